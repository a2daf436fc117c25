#include "rollout/batch_host.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fakes/memory_cluster.h"
#include "fakes/memory_transport.h"
#include "fakes/plan_driver.h"

namespace mulberryroad {
namespace {

using fakes::MakeSpec;
using std::chrono::milliseconds;

constexpr milliseconds kWaitTimeout{5'000};
constexpr char kRole[] = "batch/armor/step-1";

struct Node {
  Node(base::EventLoop& loop, fakes::MemoryCluster& cluster,
       fakes::MemoryNetwork& network, fakes::MemoryGenerator& generator,
       fakes::MemoryMeter& meter, fakes::MemoryConfiguration& config,
       const std::string& name, std::uint16_t port)
      : transport(network, {"127.0.0.1", port}),
        members(cluster, name),
        leases(cluster, name),
        journal(cluster),
        decisions(clock, NodeId(name)),
        host(loop, clock, transport, members, config, leases, journal,
             generator, meter, decisions, Options()) {}

  static rollout::BatchHostOptions Options() {
    rollout::BatchHostOptions options;
    options.tick = milliseconds(5);
    options.copy_timeout = milliseconds(50);
    options.recover_timeout = milliseconds(50);
    options.takeover_grace = milliseconds(200);
    return options;
  }

  SystemClock clock;
  fakes::MemoryTransport transport;
  fakes::MemoryMembers members;
  fakes::MemoryLeases leases;
  fakes::MemoryJournal journal;
  base::DecisionLog decisions;
  rollout::BatchHost host;
};

// A cluster of three nodes in three failure domains.
class TestCluster {
 public:
  TestCluster() : cluster_(loop_), network_(loop_) {
    base::SetUpLogging("error");
    v1::Model& model = *config.mutable_declaration()->add_models();
    model.set_name("draft");
    model.set_version(5);
    model.set_max_versions_behind(1);
    for (int i = 0; i < 3; ++i) {
      v1::Member member;
      member.set_node_id("n" + std::to_string(i));
      member.set_state(v1::MEMBER_ALIVE);
      member.set_failure_domain("fd" + std::to_string(i));
      member.set_peer_endpoint("127.0.0.1:" + std::to_string(i + 1));
      cluster_.members.push_back(member);
    }
    for (int i = 0; i < 3; ++i) {
      nodes.push_back(std::make_unique<Node>(
          loop_, cluster_, network_, generator, meter, config,
          "n" + std::to_string(i), static_cast<std::uint16_t>(i + 1)));
    }
  }

  bool WaitFor(const std::function<bool()>& condition) {
    bool met = condition();
    const base::Timer poll = loop_.Every(milliseconds(1), [&] {
      met = condition();
      if (met) {
        loop_.Stop();
      }
    });
    const base::Timer limit = loop_.After(kWaitTimeout, [&] { loop_.Stop(); });
    if (!met) {
      loop_.Run();
    }
    return met;
  }
  // Runs the event loop for 5 ms before a refused call is retried.
  void RunBeforeRetry() {
    const base::Timer end =
        loop_.After(milliseconds(5), [this] { loop_.Stop(); });
    loop_.Run();
  }
  v1::BatchReply Call(std::size_t node, v1::BatchCall call) {
    call.set_batch("step-1");
    if (call.organisation().empty()) {
      call.set_organisation("armor");
    }
    const auto reply = std::make_shared<std::optional<v1::BatchReply>>();
    nodes[node]->host.Call(std::move(call), [reply](v1::BatchReply answer) {
      *reply = std::move(answer);
    });
    WaitFor([&] { return reply->has_value(); });
    return reply->value_or(v1::BatchReply{});
  }
  v1::BatchReply Submit(std::size_t node, const v1::BatchSpec& spec) {
    v1::BatchCall call;
    *call.mutable_submit() = spec;
    return Call(node, call);
  }
  v1::BatchReply Pull(std::size_t node, std::uint64_t cursor,
                      std::uint64_t wait_ms = 1'000) {
    v1::BatchCall call;
    call.mutable_pull()->set_cursor(cursor);
    call.mutable_pull()->set_wait_ms(wait_ms);
    return Call(node, call);
  }
  // Pulls until `wanted` samples have been received or a page is empty.
  std::vector<v1::Sample> PullAll(std::size_t node, std::uint64_t cursor,
                                  std::size_t wanted) {
    std::vector<v1::Sample> samples;
    while (samples.size() < wanted) {
      const v1::BatchReply page = Pull(node, cursor + samples.size());
      if (page.outcome() == v1::BatchReply::REFUSED) {
        RunBeforeRetry();
        continue;
      }
      if (page.samples().empty()) {
        break;
      }
      samples.insert(samples.end(), page.samples().begin(),
                     page.samples().end());
    }
    return samples;
  }
  v1::BatchReply Acknowledge(std::size_t node, std::uint64_t cursor) {
    v1::BatchCall call;
    call.mutable_ack()->set_cursor(cursor);
    return Call(node, call);
  }
  void Kill(std::size_t node) {
    cluster_.Find("n" + std::to_string(node))->set_state(v1::MEMBER_DEAD);
    nodes[node].reset();
    generator.runs.clear();
  }
  fakes::MemoryCluster& cluster() { return cluster_; }

 private:
  base::EventLoop loop_;
  fakes::MemoryCluster cluster_;
  fakes::MemoryNetwork network_;

 public:
  fakes::MemoryGenerator generator;
  fakes::MemoryMeter meter;
  fakes::MemoryConfiguration config;
  std::vector<std::unique_ptr<Node>> nodes;
};

int Outcome(const v1::BatchReply& reply) {
  return static_cast<int>(reply.outcome());
}

Test(batch_host, delivers_a_batch_through_any_node_and_bills_it_once) {
  TestCluster test_cluster;
  cr_assert_eq(Outcome(test_cluster.Submit(0, MakeSpec(2, 2))),
               v1::BatchReply::OK);
  cr_assert(test_cluster.WaitFor(
      [&] { return test_cluster.generator.runs.size() == 4; }));
  test_cluster.generator.FinishAll(20, 5);
  const auto samples = test_cluster.PullAll(2, 0, 4);
  cr_assert_eq(samples.size(), 4, "expected 4 samples, found %zu",
               samples.size());
  cr_assert_eq(Outcome(test_cluster.Acknowledge(1, 4)), v1::BatchReply::OK);
  cr_assert(test_cluster.WaitFor(
      [&] { return test_cluster.nodes[0]->host.owned() == 0; }));
  const v1::BatchReply again = test_cluster.Acknowledge(1, 4);
  cr_assert_eq(Outcome(again), v1::BatchReply::OK);
  cr_assert(again.complete(), "the reply of a closed batch is not complete");
  const billing::Usage billed = test_cluster.meter.sums["armor"];
  cr_assert_eq(billed.generated_tokens, 80, "billed %lu tokens",
               static_cast<unsigned long>(billed.generated_tokens));
}

Test(batch_host, a_submission_is_idempotent_and_bound_to_its_organisation) {
  TestCluster test_cluster;
  cr_assert_eq(Outcome(test_cluster.Submit(0, MakeSpec(1, 1))),
               v1::BatchReply::OK);
  cr_assert_eq(Outcome(test_cluster.Submit(1, MakeSpec(1, 1))),
               v1::BatchReply::OK);
  cr_assert(test_cluster.WaitFor(
      [&] { return !test_cluster.generator.runs.empty(); }));
  cr_assert_eq(test_cluster.generator.runs.size(), 1, "the batch runs twice");
  cr_assert_eq(Outcome(test_cluster.Submit(1, MakeSpec(1, 2))),
               v1::BatchReply::CONFLICT);
  v1::BatchCall other;
  other.set_organisation("coulee");
  other.mutable_pull()->set_cursor(0);
  cr_assert_eq(Outcome(test_cluster.Call(0, other)),
               v1::BatchReply::UNKNOWN_BATCH);
}

Test(batch_host, the_copy_node_takes_over_from_a_dead_owner) {
  TestCluster test_cluster;
  test_cluster.Submit(0, MakeSpec(2, 2));
  test_cluster.WaitFor([&] { return test_cluster.generator.runs.size() == 4; });
  test_cluster.generator.FinishAll(20, 5);
  const auto before = test_cluster.PullAll(0, 0, 4);
  cr_assert_eq(before.size(), 4);
  test_cluster.Kill(0);
  cr_assert(test_cluster.WaitFor([&] {
    return test_cluster.nodes[1]->leases.term(RoleId(kRole)).has_value();
  }));
  const auto after = test_cluster.PullAll(2, 0, 4);
  cr_assert_eq(after.size(), 4, "expected 4 samples, found %zu", after.size());
  for (std::size_t i = 0; i < 4; ++i) {
    cr_assert_eq(before[i].SerializeAsString(), after[i].SerializeAsString(),
                 "sequence %zu is bound to another sample", i);
  }
  cr_assert(test_cluster.generator.runs.empty(),
            "copied samples were generated again");
}

Test(batch_host, an_owner_killed_before_binding_causes_no_duplicate_delivery) {
  TestCluster test_cluster;
  test_cluster.Submit(0, MakeSpec(2, 1));
  test_cluster.WaitFor([&] { return test_cluster.generator.runs.size() == 2; });
  test_cluster.cluster().log_down = true;
  test_cluster.generator.FinishAll(20, 5);
  const v1::BatchReply none = test_cluster.Pull(0, 0, 50);
  cr_assert_eq(none.samples_size(), 0, "delivered without a binding");
  test_cluster.Kill(0);
  test_cluster.cluster().log_down = false;
  const auto samples = test_cluster.PullAll(1, 0, 2);
  cr_assert_eq(samples.size(), 2, "expected 2, found %zu", samples.size());
}

Test(batch_host,
     resumes_at_the_trainers_cursor_after_owner_and_copy_node_are_lost) {
  TestCluster test_cluster;
  test_cluster.Submit(0, MakeSpec(3, 1));
  test_cluster.WaitFor([&] { return test_cluster.generator.runs.size() == 3; });
  test_cluster.generator.FinishAll(20, 5);
  const auto samples = test_cluster.PullAll(0, 0, 3);
  cr_assert_eq(samples.size(), 3);
  test_cluster.Kill(0);
  test_cluster.Kill(1);
  while (test_cluster.Pull(2, 2, 0).outcome() == v1::BatchReply::REFUSED) {
    test_cluster.RunBeforeRetry();
  }
  cr_assert_eq(Outcome(test_cluster.Pull(2, 2, 0)),
               v1::BatchReply::UNKNOWN_BATCH);
  v1::BatchSpec again = MakeSpec(3, 1);
  again.set_cursor(2);
  cr_assert_eq(Outcome(test_cluster.Submit(2, again)), v1::BatchReply::OK);
  test_cluster.WaitFor([&] { return !test_cluster.generator.runs.empty(); });
  cr_assert_eq(test_cluster.generator.runs.size(), 1,
               "expected only the missing sample to run, found %zu",
               test_cluster.generator.runs.size());
  test_cluster.generator.FinishAll(20, 5);
  const v1::BatchReply rest = test_cluster.Pull(2, 2);
  cr_assert_eq(rest.samples_size(), 1);
  cr_assert_eq(rest.samples(0).group(), samples[2].group());
  cr_assert_eq(rest.samples(0).sequence(), 2);
}

Test(batch_host, replaces_a_dead_copy_node_and_copies_all_samples_again) {
  TestCluster test_cluster;
  test_cluster.Submit(0, MakeSpec(1, 2));
  test_cluster.WaitFor([&] { return test_cluster.generator.runs.size() == 2; });
  test_cluster.generator.FinishAll(20, 5);
  test_cluster.Kill(1);
  const auto& opened = test_cluster.cluster().streams[kRole];
  cr_assert(test_cluster.WaitFor([&] {
    return std::any_of(opened.begin(), opened.end(),
                       [](const v1::Record& record) {
                         return record.has_batch_opened() &&
                                record.batch_opened().copy_node() == "n2";
                       });
  }));
  cr_assert_eq(test_cluster.PullAll(0, 0, 2).size(), 2);
  test_cluster.Kill(0);
  const auto samples = test_cluster.PullAll(2, 0, 2);
  cr_assert_eq(samples.size(), 2, "expected 2, found %zu", samples.size());
  cr_assert(test_cluster.generator.runs.empty(),
            "copied samples were generated again");
}

Test(batch_host, a_leaving_owner_hands_over_after_its_attempts_finish) {
  TestCluster test_cluster;
  test_cluster.Submit(0, MakeSpec(1, 2));
  test_cluster.WaitFor([&] { return test_cluster.generator.runs.size() == 2; });
  test_cluster.cluster().Find("n0")->set_state(v1::MEMBER_LEAVING);
  test_cluster.WaitFor(
      [&] { return test_cluster.nodes[1]->host.owned() == 1; });
  cr_assert_not(test_cluster.generator.runs[0]->cancelled,
                "an attempt was cancelled");
  test_cluster.generator.FinishAll(20, 5);
  cr_assert(test_cluster.WaitFor(
      [&] { return test_cluster.nodes[0]->host.owned() == 0; }));
  const auto samples = test_cluster.PullAll(2, 0, 2);
  cr_assert_eq(samples.size(), 2, "expected 2, found %zu", samples.size());
  cr_assert(test_cluster.generator.runs.empty(),
            "a sample was generated again");
}

Test(batch_host, a_superseded_owner_binds_and_delivers_nothing) {
  TestCluster test_cluster;
  test_cluster.Submit(0, MakeSpec(1, 1));
  test_cluster.WaitFor([&] { return test_cluster.generator.runs.size() == 1; });
  const auto first = test_cluster.generator.runs[0];
  test_cluster.nodes[1]->leases.Want(RoleId(kRole), true);
  test_cluster.nodes[0]->leases.Lapse(kRole);
  cr_assert_eq(test_cluster.Pull(0, 0, 20).samples_size(), 0);
  cr_assert(test_cluster.cluster().streams[kRole].size() == 1,
            "a node without the lease appended");
}

}  // namespace
}  // namespace mulberryroad
