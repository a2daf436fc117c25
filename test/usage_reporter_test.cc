// Tests that all holders report the same figures for a usage window.

#include "duties/usage_reporter.h"

#include <criterion/criterion.h>

#include <vector>

#include "fakes/loop_wait.h"
#include "fakes/memory_store.h"
#include "mulberryroad/clock.h"

namespace mulberryroad::duties {
namespace {

using std::chrono::milliseconds;

/// Accepts and records all usage reports.
class FakeDutyServices final : public platform::DutyServices {
 public:
  void ReportUsage(const platform::DutyFence& /*fence*/, std::int64_t window,
                   const std::map<OrganisationId, std::uint64_t>& counts,
                   platform::DutyCallback done) override {
    reports[window].push_back(counts);
    done(platform::DutyDone{});
  }
  void OrderCapacity(const platform::DutyFence& /*fence*/,
                     const TargetId& /*service*/,
                     const FailureDomainId& /*failure_domain*/,
                     std::uint32_t /*count*/,
                     platform::DutyCallback /*done*/) override {}

  std::map<std::int64_t, std::vector<UsageByOrganisation>> reports;
};

struct Fixture {
  base::EventLoop loop;
  ManualClock clock;
  base::StructuredLog log{clock, NodeId("node-1")};
  fakes::MemoryStore store{loop};
  FakeDutyServices services;
  UsageCounts counts{"node-1/1", std::chrono::seconds(5)};
  std::optional<std::uint64_t> epoch = 1;
  UsageReporter reporter{
      loop, clock, log,      store,  services,
      4,    {},    "node-1", counts, [this] { return epoch; }};
};

Test(usage_reporter, lease_regained_under_its_epoch_reports_the_same_figures) {
  Fixture fixture;
  fixture.reporter.Start();
  const std::int64_t window =
      WindowAt(fixture.clock.wall_now(), std::chrono::seconds(5));
  fixture.counts.Count(OrganisationId("brest"), fixture.clock.wall_now());
  fixture.counts.Count(OrganisationId("brest"), fixture.clock.wall_now());
  fixture.reporter.Flush();
  fakes::RunFor(fixture.loop, milliseconds(400));
  fixture.epoch = std::nullopt;
  fakes::RunFor(fixture.loop, milliseconds(400));
  fixture.epoch = 1;
  fixture.clock.Advance(std::chrono::seconds(9));
  cr_assert(fakes::RunUntil(
      fixture.loop, [&] { return fixture.services.reports.contains(window); }));
  // The next holder reports the window again from the store.
  fixture.epoch = 2;
  cr_assert(fakes::RunUntil(fixture.loop, [&] {
    return fixture.services.reports[window].size() >= 2;
  }));
  const auto& reports = fixture.services.reports[window];
  cr_assert_eq(reports[0].at(OrganisationId("brest")), 2);
  cr_assert(reports[0] == reports[1],
            "expected the same figures from both holders");
}

Test(usage_reporter, counts_are_stored_again_after_store_outage) {
  Fixture fixture;
  fixture.reporter.Start();
  const std::int64_t window =
      WindowAt(fixture.clock.wall_now(), std::chrono::seconds(5));
  fixture.counts.Count(OrganisationId("vannes"), fixture.clock.wall_now());
  fixture.store.unavailable = true;
  fixture.reporter.Flush();
  fakes::RunFor(fixture.loop, milliseconds(50));
  fixture.store.unavailable = false;
  fixture.reporter.Flush();
  fakes::RunFor(fixture.loop, milliseconds(50));
  const auto stored = fixture.store.value(UsagePartition(window, 4),
                                          UsageKeyPrefix(window) + "node-1/1");
  cr_assert(stored.has_value(), "expected the counts in the store");
}

}  // namespace
}  // namespace mulberryroad::duties
