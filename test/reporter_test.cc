// Tests the shell that closes and reports windows: kills, lost answers and
// outages.

#include "billing/reporter.h"

#include <criterion/criterion.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fakes/memory_services.h"

namespace {

using namespace mulberryroad;           // NOLINT(google-build-using-namespace)
using namespace mulberryroad::billing;  // NOLINT(google-build-using-namespace)
using std::chrono::seconds;

class UsagePlatform final : public platform::UsageService {
 public:
  bool lose_answers = false;
  bool down = false;
  std::vector<v1::UsageReport> taken;

  void Report(
      const v1::UsageReport& report,
      platform::ResponseCallback<v1::UsageReport> on_response) override {
    if (down) {
      on_response(platform::PlatformFailure{Verdict::kNotRun, "down"});
      return;
    }
    taken.push_back(report);
    if (lose_answers) {
      on_response(platform::PlatformFailure{Verdict::kMayHaveRun, "timeout"});
      return;
    }
    on_response(report);
  }
};

struct Node {
  explicit Node(fakes::MemoryStreams& streams, UsagePlatform& usage)
      : journal(streams),
        reporter(loop, clock, journal, leases, configuration, usage,
                 decisions) {
    configuration.mutable_declaration().mutable_billing()->set_window_seconds(
        60);
    configuration.mutable_declaration().add_organisations()->set_name(
        "ballons");
  }

  void Turn() {
    journal.Deliver();
    reporter.Tick();
    journal.Deliver();
  }

  base::EventLoop loop;
  ManualClock clock;
  fakes::MemoryJournal journal;
  fakes::MemoryLeases leases;
  fakes::MemoryConfiguration configuration;
  base::DecisionLog decisions{clock, NodeId("a")};
  Reporter reporter;
};

v1::Record Used(const Node& node, std::uint64_t requests) {
  v1::Record record;
  v1::UsageCounter& counter = *record.mutable_usage_append()->add_counters();
  counter.set_node_id("entry");
  counter.set_organisation("ballons");
  const auto now = std::chrono::duration_cast<seconds>(
      node.clock.wall_now().time_since_epoch());
  counter.set_window(static_cast<WindowStart>(now.count() / 60 * 60));
  counter.set_requests(requests);
  return record;
}

}  // namespace

Test(reporter, successor_reports_the_figures_of_the_close_record) {
  base::SetUpLogging("error");
  fakes::MemoryStreams streams;
  UsagePlatform usage;
  Node first(streams, usage);
  Node second(streams, usage);
  streams["usage"].push_back(Used(first, 7));
  usage.down = true;
  first.leases.Hold(3);
  first.clock.Advance(seconds(200));
  second.clock.Advance(seconds(200));
  first.Turn();
  cr_assert(usage.taken.empty());
  // The first reporter is gone; usage that comes after the close is late.
  streams["usage"].push_back(Used(second, 9));
  usage.down = false;
  second.leases.Hold(8);
  second.Turn();
  second.Turn();
  cr_assert_geq(usage.taken.size(), 1);
  cr_assert_eq(usage.taken[0].requests(), 7, "expected 7, got %lu",
               usage.taken[0].requests());
  cr_assert_eq(usage.taken[0].fencing(), 8);
  const ClosedWindow* closed =
      second.reporter.book().closed(usage.taken[0].window());
  cr_assert_not_null(closed);
  cr_assert_eq(closed->close.epoch(), 3, "the first close stands");
}

Test(reporter, sends_a_report_again_unchanged_after_a_lost_answer) {
  base::SetUpLogging("error");
  fakes::MemoryStreams streams;
  UsagePlatform usage;
  Node node(streams, usage);
  streams["usage"].push_back(Used(node, 7));
  node.clock.Advance(seconds(150));
  node.leases.Hold(3);
  usage.lose_answers = true;
  node.Turn();
  node.Turn();
  usage.lose_answers = false;
  node.Turn();
  cr_assert_geq(usage.taken.size(), 2);
  for (const v1::UsageReport& report : usage.taken) {
    cr_assert_eq(report.SerializeAsString(), usage.taken[0].SerializeAsString(),
                 "expected %s, got %s",
                 usage.taken[0].ShortDebugString().c_str(),
                 report.ShortDebugString().c_str());
  }
  const std::size_t sent = usage.taken.size();
  node.Turn();
  cr_assert_eq(usage.taken.size(), sent, "a taken report is not sent again");
}

Test(reporter, does_nothing_without_the_lease) {
  base::SetUpLogging("error");
  fakes::MemoryStreams streams;
  UsagePlatform usage;
  Node node(streams, usage);
  streams["usage"].push_back(Used(node, 7));
  node.clock.Advance(seconds(300));
  node.Turn();
  cr_assert_eq(streams["usage"].size(), 1);
  cr_assert(usage.taken.empty());
}

Test(reporter, catches_up_after_a_log_outage_across_a_window_end) {
  base::SetUpLogging("error");
  fakes::MemoryStreams streams;
  UsagePlatform usage;
  Node node(streams, usage);
  streams["usage"].push_back(Used(node, 7));
  node.leases.Hold(3);
  node.journal.Deliver();
  node.journal.SetDown(true);
  node.clock.Advance(seconds(400));
  node.Turn();
  cr_assert(usage.taken.empty(), "nothing is reported during the outage");
  node.journal.SetDown(false);
  for (int turn = 0; turn < 12; ++turn) {
    node.Turn();
  }
  std::map<std::string, std::uint64_t> reported;
  for (const v1::UsageReport& report : usage.taken) {
    reported[report.report_id()] = report.requests();
  }
  std::uint64_t sum = 0;
  for (const auto& [id, requests] : reported) {
    sum += requests;
  }
  cr_assert_eq(sum, 7, "expected 7 requests in all, got %lu", sum);
  cr_assert_geq(reported.size(), 4, "each window of the outage is reported");
}
