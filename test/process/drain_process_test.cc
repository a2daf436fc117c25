// Graceful stop of every node in turn, under load.

#include <criterion/criterion.h>

#include <csignal>
#include <optional>
#include <string>

#include "process/scenario.h"

using mulberryroad::process::CallerEndpoints;
using mulberryroad::process::Cluster;
using mulberryroad::process::FastOptions;
using mulberryroad::process::kLong;
using mulberryroad::process::kShort;
using mulberryroad::process::Load;
using mulberryroad::process::LoadKind;
using mulberryroad::process::LoadOptions;
using mulberryroad::process::ReportFault;
using mulberryroad::process::StartServing;

namespace {

LoadOptions Options(LoadKind kind) {
  LoadOptions options;
  options.kind = kind;
  options.callers = 4;
  // Some 400 ms of generation, so that each stop meets requests under way.
  options.max_tokens = 150;
  return options;
}

/// Takes a node out of the balancer's set once it says that it leaves.
bool WaitUntilLeaving(Cluster* cluster, std::size_t node) {
  return cluster->WaitFor(kShort, [&] {
    return cluster->Get(cluster->node(node).caller, "/healthz").status != 200;
  });
}

}  // namespace

Test(graceful_stop, of_every_node_in_turn_cuts_no_request) {
  Cluster cluster(FastOptions());
  std::string reason;
  cr_assert(StartServing(&cluster, &reason), "%s", reason.c_str());
  Load completions(cluster.loop(), cluster.client(), CallerEndpoints(&cluster),
                   Options(LoadKind::kCompletions));
  Load reports(cluster.loop(), cluster.client(), CallerEndpoints(&cluster),
               Options(LoadKind::kReports));
  completions.Start();
  reports.Start();
  for (std::size_t i = 0; i < cluster.size(); ++i) {
    cluster.Pump(std::chrono::milliseconds(300));
    cluster.node(i).process->Signal(SIGTERM);
    cr_expect(WaitUntilLeaving(&cluster, i), "node %zu does not say it leaves",
              i);
    completions.Balance(cluster.node(i).caller, false);
    reports.Balance(cluster.node(i).caller, false);
    std::optional<int> code;
    cluster.WaitFor(kLong, [&] {
      code = cluster.node(i).process->Wait(std::chrono::milliseconds(0));
      return code.has_value();
    });
    cr_expect(code == 0, "node %zu: expected exit code 0, found %d", i,
              code.value_or(-1));
    cluster.StartNode(i);
    cr_assert(cluster.WaitFor(kLong,
                              [&] {
                                return mulberryroad::process::CompletionStatus(
                                           &cluster, i,
                                           mulberryroad::process::kBrestKey) ==
                                       200;
                              }),
              "node %zu does not serve again", i);
    completions.Balance(cluster.node(i).caller, true);
    reports.Balance(cluster.node(i).caller, true);
  }
  completions.Stop();
  reports.Stop();
  cluster.WaitFor(kLong,
                  [&] { return completions.open() + reports.open() == 0; });
  for (const Load* load : {&completions, &reports}) {
    const auto& counts = load->counts();
    cr_expect(counts.cut == 0, "%lu requests cut, the last: %s", counts.cut,
              counts.last_fault.c_str());
    cr_expect(counts.wrong == 0, "%lu wrong answers, the last: %s",
              counts.wrong, counts.last_fault.c_str());
    cr_expect(counts.may_have_run == 0, "%lu requests in doubt, the last: %s",
              counts.may_have_run, counts.last_fault.c_str());
    cr_expect(counts.whole > 20, "only %lu answers", counts.whole);
  }
  const std::string fault = ReportFault(&cluster, reports);
  cr_expect(fault.empty(), "%s", fault.c_str());
}
