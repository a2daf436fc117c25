#include "rollout/bindings.h"

#include <criterion/criterion.h>

#include <string>
#include <variant>
#include <vector>

namespace mulberryroad {
namespace {

v1::BatchOpened Opened(std::uint64_t epoch, const std::string& digest = "d") {
  v1::BatchOpened record;
  record.set_epoch(epoch);
  record.set_spec_sha256(digest);
  return record;
}

v1::SequenceBound Bound(std::uint64_t epoch, std::uint64_t first,
                        const std::string& group) {
  v1::SequenceBound record;
  record.set_epoch(epoch);
  record.set_first_sequence(first);
  record.add_groups(group);
  return record;
}

v1::BatchClosed Closed(std::uint64_t epoch) {
  v1::BatchClosed record;
  record.set_epoch(epoch);
  return record;
}

using AnyRecord =
    std::variant<v1::BatchOpened, v1::SequenceBound, v1::BatchClosed>;

bool Apply(rollout::Bindings* bindings, const v1::BatchOpened& record) {
  return bindings->Apply(record);
}
bool Apply(rollout::Bindings* bindings, const v1::SequenceBound& record) {
  return bindings->Apply(record, 2);
}
bool Apply(rollout::Bindings* bindings, const v1::BatchClosed& record) {
  return bindings->Apply(record);
}

Test(bindings, the_last_record_is_valid_only_in_the_newest_epoch_and_in_order) {
  struct Case {
    const char* name;
    std::vector<AnyRecord> records;
    bool last_valid;
    std::uint64_t next_sequence;
  };
  const Case cases[] = {
      {"not opened", {Bound(1, 0, "a")}, false, 0},
      {"first", {Opened(1), Bound(1, 0, "a")}, true, 2},
      {"repeat", {Opened(1), Bound(1, 0, "a"), Bound(1, 0, "a")}, false, 2},
      {"second", {Opened(1), Bound(1, 0, "a"), Bound(1, 2, "b")}, true, 4},
      {"gap", {Opened(1), Bound(1, 0, "a"), Bound(1, 3, "b")}, false, 2},
      {"former owner",
       {Opened(1), Bound(1, 0, "a"), Opened(4), Bound(1, 2, "b")},
       false,
       2},
      {"successor",
       {Opened(1), Bound(1, 0, "a"), Opened(4), Bound(4, 2, "b")},
       true,
       4},
      {"former owner opens again", {Opened(4), Opened(1)}, false, 0},
      {"other specification", {Opened(1), Opened(4, "e")}, false, 0},
      {"former owner closes", {Opened(1), Opened(4), Closed(1)}, false, 0},
      {"owner closes", {Opened(1), Closed(1)}, true, 0},
  };
  for (const Case& c : cases) {
    rollout::Bindings bindings;
    bool valid = false;
    for (const AnyRecord& record : c.records) {
      valid = std::visit([&](const auto& one) { return Apply(&bindings, one); },
                         record);
    }
    cr_assert_eq(valid, c.last_valid, "%s: valid is %d", c.name, valid);
    cr_assert_eq(bindings.next_sequence(), c.next_sequence, "%s", c.name);
  }
}

}  // namespace
}  // namespace mulberryroad
