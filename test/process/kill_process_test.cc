// Nodes and upstreams that die at once, under load.

#include <criterion/criterion.h>

#include <csignal>
#include <string>

#include "process/scenario.h"

using mulberryroad::process::AnyForeignAuthorization;
using mulberryroad::process::CallerEndpoints;
using mulberryroad::process::Cluster;
using mulberryroad::process::FastOptions;
using mulberryroad::process::kLong;
using mulberryroad::process::Load;
using mulberryroad::process::LoadKind;
using mulberryroad::process::LoadOptions;
using mulberryroad::process::ReportFault;
using mulberryroad::process::StartServing;

namespace {

/// Completions, plain reports and keyed reports at the same time.
class MixedLoad {
 public:
  explicit MixedLoad(Cluster* cluster)
      : cluster_(*cluster),
        completions_(cluster->loop(), cluster->client(),
                     CallerEndpoints(cluster), Options(LoadKind::kCompletions)),
        reports_(cluster->loop(), cluster->client(), CallerEndpoints(cluster),
                 Options(LoadKind::kReports)),
        keyed_(cluster->loop(), cluster->client(), CallerEndpoints(cluster),
               Options(LoadKind::kKeyedReports)) {
    completions_.Start();
    reports_.Start();
    keyed_.Start();
  }

  void Balance(std::size_t node, bool in_use) {
    for (Load* load : {&completions_, &reports_, &keyed_}) {
      load->Balance(cluster_.node(node).caller, in_use);
    }
  }
  /// Waits until each kind was answered so many times more.
  bool Serve(std::uint64_t answers) {
    const std::uint64_t completions = completions_.counts().whole + answers;
    const std::uint64_t reports = reports_.counts().whole + answers;
    const std::uint64_t keyed = keyed_.counts().whole + answers;
    return cluster_.WaitFor(kLong, [&] {
      return completions_.counts().whole >= completions &&
             reports_.counts().whole >= reports &&
             keyed_.counts().whole >= keyed;
    });
  }
  void Finish() {
    for (Load* load : {&completions_, &reports_, &keyed_}) {
      load->Stop();
    }
    cluster_.WaitFor(kLong, [&] {
      return completions_.open() + reports_.open() + keyed_.open() == 0;
    });
  }
  void ExpectNothingWrong() {
    for (const Load* load : {&completions_, &reports_, &keyed_}) {
      cr_expect(load->counts().wrong == 0, "%lu wrong answers, the last: %s",
                load->counts().wrong, load->counts().last_fault.c_str());
      cr_expect(load->counts().others.empty(), "an answer without verdict: %s",
                load->counts().last_fault.c_str());
    }
    for (const Load* load : {&reports_, &keyed_}) {
      const std::string fault = ReportFault(&cluster_, *load);
      cr_expect(fault.empty(), "%s", fault.c_str());
    }
    cr_expect(!AnyForeignAuthorization(&cluster_),
              "an upstream saw a credential that is not the service's");
  }

 private:
  static LoadOptions Options(LoadKind kind) {
    LoadOptions options;
    options.kind = kind;
    options.callers = 4;
    return options;
  }

  Cluster& cluster_;
  Load completions_;
  Load reports_;
  Load keyed_;
};

}  // namespace

Test(killed_node, leaves_every_answer_whole_and_no_report_doubled) {
  Cluster cluster(FastOptions());
  std::string reason;
  cr_assert(StartServing(&cluster, &reason), "%s", reason.c_str());
  MixedLoad load(&cluster);
  cr_assert(load.Serve(20), "no service before the kill");
  cluster.node(1).process->Kill();
  load.Balance(1, false);
  cr_expect(load.Serve(20), "no service after the kill");
  load.Finish();
  load.ExpectNothingWrong();
}

Test(two_faults_at_once, a_node_killed_while_the_log_is_down) {
  Cluster cluster(FastOptions());
  std::string reason;
  cr_assert(StartServing(&cluster, &reason), "%s", reason.c_str());
  MixedLoad load(&cluster);
  cr_assert(load.Serve(10), "no service before the faults");
  cluster.Control(cluster.log(), R"({"faults":{"outage":true}})");
  cluster.node(2).process->Kill();
  load.Balance(2, false);
  cluster.Pump(std::chrono::seconds(4));
  cluster.Control(cluster.log(), R"({"faults":{"outage":false}})");
  cr_expect(load.Serve(20), "no service after the faults");
  load.Finish();
  load.ExpectNothingWrong();
}

Test(cold_start, all_nodes_come_back_with_the_last_declaration) {
  Cluster cluster(FastOptions());
  std::string reason;
  cr_assert(StartServing(&cluster, &reason), "%s", reason.c_str());
  const auto revision = cluster.Status(0).config_revision();
  for (std::size_t i = 0; i < cluster.size(); ++i) {
    cluster.node(i).process->Kill();
  }
  for (std::size_t i = 0; i < cluster.size(); ++i) {
    cluster.StartNode(i);
  }
  for (std::size_t i = 0; i < cluster.size(); ++i) {
    cr_expect(cluster.WaitFor(kLong,
                              [&] {
                                return mulberryroad::process::CompletionStatus(
                                           &cluster, i,
                                           mulberryroad::process::kBrestKey) ==
                                       200;
                              }),
              "node %zu does not serve after the start of all", i);
    cr_expect(cluster.Status(i).config_revision() == revision,
              "expected revision %lu, found %lu", revision,
              cluster.Status(i).config_revision());
  }
}
