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

constexpr milliseconds kPatience{5'000};
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
class Bench {
 public:
  Bench() : cluster_(loop_), network_(loop_) {
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
    const base::Timer limit = loop_.After(kPatience, [&] { loop_.Stop(); });
    if (!met) {
      loop_.Run();
    }
    return met;
  }
  // Runs the event loop for 5 ms before a refused call is retried.
  void Pause() {
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
        Pause();
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
  Bench bench;
  cr_assert_eq(Outcome(bench.Submit(0, MakeSpec(2, 2))), v1::BatchReply::OK);
  cr_assert(bench.WaitFor([&] { return bench.generator.runs.size() == 4; }));
  bench.generator.FinishAll(20, 5);
  const auto samples = bench.PullAll(2, 0, 4);
  cr_assert_eq(samples.size(), 4, "expected 4 samples, found %zu",
               samples.size());
  cr_assert_eq(Outcome(bench.Acknowledge(1, 4)), v1::BatchReply::OK);
  cr_assert(bench.WaitFor([&] { return bench.nodes[0]->host.owned() == 0; }));
  const v1::BatchReply again = bench.Acknowledge(1, 4);
  cr_assert_eq(Outcome(again), v1::BatchReply::OK);
  cr_assert(again.complete(), "a closed batch forgot its trainer");
  const billing::Usage billed = bench.meter.sums["armor"];
  cr_assert_eq(billed.generated_tokens, 80, "billed %lu tokens",
               static_cast<unsigned long>(billed.generated_tokens));
}

Test(batch_host, a_submission_is_idempotent_and_bound_to_its_organisation) {
  Bench bench;
  cr_assert_eq(Outcome(bench.Submit(0, MakeSpec(1, 1))), v1::BatchReply::OK);
  cr_assert_eq(Outcome(bench.Submit(1, MakeSpec(1, 1))), v1::BatchReply::OK);
  cr_assert(bench.WaitFor([&] { return !bench.generator.runs.empty(); }));
  cr_assert_eq(bench.generator.runs.size(), 1, "the batch runs twice");
  cr_assert_eq(Outcome(bench.Submit(1, MakeSpec(1, 2))),
               v1::BatchReply::CONFLICT);
  v1::BatchCall other;
  other.set_organisation("coulee");
  other.mutable_pull()->set_cursor(0);
  cr_assert_eq(Outcome(bench.Call(0, other)), v1::BatchReply::UNKNOWN_BATCH);
}

Test(batch_host, the_copy_node_takes_over_from_a_dead_owner) {
  Bench bench;
  bench.Submit(0, MakeSpec(2, 2));
  bench.WaitFor([&] { return bench.generator.runs.size() == 4; });
  bench.generator.FinishAll(20, 5);
  const auto before = bench.PullAll(0, 0, 4);
  cr_assert_eq(before.size(), 4);
  bench.Kill(0);
  cr_assert(bench.WaitFor(
      [&] { return bench.nodes[1]->leases.term(RoleId(kRole)).has_value(); }));
  const auto after = bench.PullAll(2, 0, 4);
  cr_assert_eq(after.size(), 4, "expected 4 samples, found %zu", after.size());
  for (std::size_t i = 0; i < 4; ++i) {
    cr_assert_eq(before[i].SerializeAsString(), after[i].SerializeAsString(),
                 "sequence %zu stands for another sample", i);
  }
  cr_assert(bench.generator.runs.empty(), "kept samples were run again");
}

Test(batch_host, an_owner_killed_before_binding_delivers_nothing_twice) {
  Bench bench;
  bench.Submit(0, MakeSpec(2, 1));
  bench.WaitFor([&] { return bench.generator.runs.size() == 2; });
  bench.cluster().log_down = true;
  bench.generator.FinishAll(20, 5);
  const v1::BatchReply none = bench.Pull(0, 0, 50);
  cr_assert_eq(none.samples_size(), 0, "handed out without a binding");
  bench.Kill(0);
  bench.cluster().log_down = false;
  const auto samples = bench.PullAll(1, 0, 2);
  cr_assert_eq(samples.size(), 2, "expected 2, found %zu", samples.size());
}

Test(batch_host, after_both_holders_are_lost_the_trainers_cursor_counts) {
  Bench bench;
  bench.Submit(0, MakeSpec(3, 1));
  bench.WaitFor([&] { return bench.generator.runs.size() == 3; });
  bench.generator.FinishAll(20, 5);
  const auto samples = bench.PullAll(0, 0, 3);
  cr_assert_eq(samples.size(), 3);
  bench.Kill(0);
  bench.Kill(1);
  while (bench.Pull(2, 2, 0).outcome() == v1::BatchReply::REFUSED) {
    bench.Pause();
  }
  cr_assert_eq(Outcome(bench.Pull(2, 2, 0)), v1::BatchReply::UNKNOWN_BATCH);
  v1::BatchSpec again = MakeSpec(3, 1);
  again.set_cursor(2);
  cr_assert_eq(Outcome(bench.Submit(2, again)), v1::BatchReply::OK);
  bench.WaitFor([&] { return !bench.generator.runs.empty(); });
  cr_assert_eq(bench.generator.runs.size(), 1,
               "expected only the missing sample to run, found %zu",
               bench.generator.runs.size());
  bench.generator.FinishAll(20, 5);
  const v1::BatchReply rest = bench.Pull(2, 2);
  cr_assert_eq(rest.samples_size(), 1);
  cr_assert_eq(rest.samples(0).group(), samples[2].group());
  cr_assert_eq(rest.samples(0).sequence(), 2);
}

Test(batch_host, another_copy_node_gets_everything_when_the_first_dies) {
  Bench bench;
  bench.Submit(0, MakeSpec(1, 2));
  bench.WaitFor([&] { return bench.generator.runs.size() == 2; });
  bench.generator.FinishAll(20, 5);
  bench.Kill(1);
  const auto& opened = bench.cluster().streams[kRole];
  cr_assert(bench.WaitFor([&] {
    return std::any_of(opened.begin(), opened.end(),
                       [](const v1::Record& record) {
                         return record.has_batch_opened() &&
                                record.batch_opened().copy_node() == "n2";
                       });
  }));
  cr_assert_eq(bench.PullAll(0, 0, 2).size(), 2);
  bench.Kill(0);
  const auto samples = bench.PullAll(2, 0, 2);
  cr_assert_eq(samples.size(), 2, "expected 2, found %zu", samples.size());
  cr_assert(bench.generator.runs.empty(), "kept samples were run again");
}

Test(batch_host, a_leaving_owner_hands_over_after_its_attempts) {
  Bench bench;
  bench.Submit(0, MakeSpec(1, 2));
  bench.WaitFor([&] { return bench.generator.runs.size() == 2; });
  bench.cluster().Find("n0")->set_state(v1::MEMBER_LEAVING);
  bench.WaitFor([&] { return bench.nodes[1]->host.owned() == 1; });
  cr_assert_not(bench.generator.runs[0]->cancelled, "an attempt was cut");
  bench.generator.FinishAll(20, 5);
  cr_assert(bench.WaitFor([&] { return bench.nodes[0]->host.owned() == 0; }));
  const auto samples = bench.PullAll(2, 0, 2);
  cr_assert_eq(samples.size(), 2, "expected 2, found %zu", samples.size());
  cr_assert(bench.generator.runs.empty(), "a sample was run again");
}

Test(batch_host, a_deposed_owner_binds_and_delivers_nothing) {
  Bench bench;
  bench.Submit(0, MakeSpec(1, 1));
  bench.WaitFor([&] { return bench.generator.runs.size() == 1; });
  const auto first = bench.generator.runs[0];
  bench.nodes[1]->leases.Want(RoleId(kRole), true);
  bench.nodes[0]->leases.Lapse(kRole);
  cr_assert_eq(bench.Pull(0, 0, 20).samples_size(), 0);
  cr_assert(bench.cluster().streams[kRole].size() == 1,
            "a node without the lease appended");
}

}  // namespace
}  // namespace mulberryroad
