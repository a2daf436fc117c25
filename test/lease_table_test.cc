#include "lease/lease_table.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

namespace mulberryroad::lease {
namespace {

v1::Record Claim(const std::string& holder, std::uint64_t previous) {
  v1::Record record;
  v1::LeaseClaim* claim = record.mutable_lease_claim();
  claim->set_role("r");
  claim->set_holder(holder);
  claim->set_previous_offset(previous);
  claim->set_ttl_ms(10'000);
  return record;
}

v1::Record Renewal(const std::string& holder, std::uint64_t epoch) {
  v1::Record record;
  record.mutable_lease_renewal()->set_role("r");
  record.mutable_lease_renewal()->set_holder(holder);
  record.mutable_lease_renewal()->set_epoch(epoch);
  return record;
}

v1::Record Release(const std::string& holder, std::uint64_t epoch) {
  v1::Record record;
  record.mutable_lease_release()->set_role("r");
  record.mutable_lease_release()->set_holder(holder);
  record.mutable_lease_release()->set_epoch(epoch);
  return record;
}

char Kind(const LeaseEvent& event) { return "CRLv-"[event.index()]; }

Test(lease_table, applies_the_rules_in_offset_order) {
  struct Case {
    const char* name;
    std::vector<v1::Record> records;
    const char* expected;
  };
  const Case cases[] = {
      {"first claim wins", {Claim("a", 0), Claim("b", 0)}, "Cv"},
      {"a claim delayed past a renewal is void",
       {Claim("a", 0), Renewal("a", 0), Claim("b", 1)},
       "CRv"},
      {"a claim naming the renewal takes over",
       {Claim("a", 0), Renewal("a", 0), Claim("b", 2)},
       "CRC"},
      {"a renewal of an older epoch is void",
       {Claim("a", 0), Claim("b", 1), Renewal("a", 0)},
       "CCv"},
      {"a renewal by another node is void",
       {Claim("a", 0), Renewal("b", 0)},
       "Cv"},
      {"a void renewal does not make a claim void",
       {Claim("a", 0), Renewal("b", 0), Claim("c", 1)},
       "CvC"},
      {"a claim past a release is valid",
       {Claim("a", 0), Release("a", 0), Claim("b", 1)},
       "CLC"},
      {"a renewal after the release is void",
       {Claim("a", 0), Release("a", 0), Renewal("a", 0)},
       "CLv"},
      {"a release of an older epoch is void",
       {Claim("a", 0), Claim("b", 1), Release("a", 0)},
       "CCv"},
      {"a renewal without a claim is void", {Renewal("a", 0)}, "v"},
      {"other records are none of its business", {v1::Record()}, "-"},
  };
  for (const Case& c : cases) {
    LeaseTable table;
    std::string found;
    for (std::size_t i = 0; i < c.records.size(); ++i) {
      found += Kind(table.Apply(i, c.records[i]));
    }
    cr_expect(found == c.expected, "%s: expected %s, found %s", c.name,
              c.expected, found.c_str());
  }
}

Test(lease_table, a_snapshot_carries_its_state) {
  LeaseTable table;
  table.Apply(0, Claim("a", 0));
  table.Apply(1, Renewal("a", 0));
  v1::Snapshot snapshot;
  table.Save(&snapshot);
  LeaseTable loaded;
  loaded.Load(snapshot);
  v1::Snapshot again;
  loaded.Save(&again);
  cr_expect(LeaseDigest(snapshot) == LeaseDigest(again));
  cr_expect(Kind(loaded.Apply(2, Claim("b", 1))) == 'v');
  cr_expect(Kind(loaded.Apply(3, Claim("b", 2))) == 'C');
}

}  // namespace
}  // namespace mulberryroad::lease
