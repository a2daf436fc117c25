// Tests that the lease has one holder at a time, does not return to an earlier
// holder at once, and protects services that do not reject outdated epochs.

#include "duties/duty_lease.h"

#include <criterion/criterion.h>

#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "duties/lease_runner.h"
#include "fakes/loop_wait.h"
#include "fakes/memory_store.h"

namespace mulberryroad::duties {
namespace {

using std::chrono::milliseconds;

Instant At(int millis) { return Instant{} + milliseconds(millis); }

v1::DutyRecord Write(DutyLease& lease, Instant now) {
  const LeaseStep step = lease.Tick(now);
  const auto* write = std::get_if<WriteLease>(&step);
  return write == nullptr ? v1::DutyRecord() : write->record;
}

Test(duty_lease, first_start_claims_at_once) {
  DutyLease lease("a", "a/1", {}, At(0));
  const v1::DutyRecord claim = Write(lease, At(0));
  cr_assert_eq(claim.epoch(), 1);
  cr_assert(!lease.epoch(At(1)).has_value(),
            "expected no epoch before the claim was read");
  lease.OnRecord(claim, At(5));
  cr_assert_eq(lease.epoch(At(6)).value_or(0), 1);
}

Test(duty_lease, holder_term_starts_when_the_claim_is_sent) {
  DutyLease lease("a", "a/1", {}, At(0));
  const v1::DutyRecord claim = Write(lease, At(0));
  lease.OnRecord(claim, At(1'400));
  cr_assert(!lease.epoch(At(1'400)).has_value(),
            "expected a claim read late to be within its margin");
}

Test(duty_lease, other_node_counts_the_term_from_its_read) {
  DutyLease holder("a", "a/1", {}, At(0));
  DutyLease other("b", "b/1", {}, At(0));
  const v1::DutyRecord claim = Write(holder, At(0));
  other.OnRecord(claim, At(100));
  cr_assert_eq(Write(other, At(1'700)).epoch(), 0);
  cr_assert_eq(Write(other, At(1'800)).epoch(), 2);
}

v1::DutyRecord ReleasedBy(const char* node, const char* earlier) {
  v1::DutyRecord released;
  released.set_holder(std::string(node) + "/1");
  released.set_node(node);
  released.set_epoch(7);
  released.set_released(true);
  if (earlier != nullptr) {
    released.add_earlier_nodes(earlier);
  }
  return released;
}

Test(duty_lease, restarted_vm_that_held_it_before_the_holder_waits) {
  DutyLease lease("a", "a/2", {}, At(0));
  lease.OnRecord(ReleasedBy("b", "a"), At(10));
  cr_assert_eq(Write(lease, At(3'000)).epoch(), 0);
  const v1::DutyRecord claim = Write(lease, At(3'600));
  cr_assert_eq(claim.epoch(), 8);
  cr_assert_eq(claim.earlier_nodes_size(), 1);
  cr_assert_str_eq(claim.earlier_nodes(0).c_str(), "b");
}

Test(duty_lease, restarted_vm_that_held_it_last_claims_at_once) {
  DutyLease lease("a", "a/2", {}, At(0));
  lease.OnRecord(ReleasedBy("a", "b"), At(10));
  cr_assert_eq(Write(lease, At(20)).epoch(), 8);
}

v1::DutyRecord HeldBy(const char* node) {
  v1::DutyRecord held = ReleasedBy(node, nullptr);
  held.set_released(false);
  return held;
}

// The holder is an earlier process of the same VM, which has ended.
Test(duty_lease, restarted_vm_that_holds_it_claims_at_once) {
  DutyLease lease("a", "a/2", {}, At(0));
  lease.OnRecord(HeldBy("a"), At(10));
  cr_assert(!lease.epoch(At(15)).has_value());
  cr_assert_eq(Write(lease, At(20)).epoch(), 8);
}

Test(duty_lease, restarted_vm_waits_for_the_term_of_another) {
  DutyLease lease("a", "a/2", {}, At(0));
  lease.OnRecord(HeldBy("b"), At(10));
  cr_assert_eq(Write(lease, At(1'600)).epoch(), 0);
  cr_assert_eq(Write(lease, At(1'710)).epoch(), 8);
}

Test(duty_lease, restarted_vm_that_never_held_it_claims_at_once) {
  DutyLease lease("a", "a/2", {}, At(0));
  lease.OnRecord(ReleasedBy("b", "c"), At(10));
  cr_assert_eq(Write(lease, At(20)).epoch(), 8);
}

Test(duty_lease, released_lease_is_claimed_at_once_by_another) {
  DutyLease holder("a", "a/1", {}, At(0));
  DutyLease other("b", "b/1", {}, At(0));
  const v1::DutyRecord claim = Write(holder, At(0));
  holder.OnRecord(claim, At(4));
  other.OnRecord(claim, At(4));
  const auto release = holder.Release(At(500));
  cr_assert(release.has_value());
  cr_assert(!holder.epoch(At(500)).has_value());
  other.OnRecord(*release, At(505));
  cr_assert_eq(Write(other, At(510)).epoch(), 2);
}

Test(duty_lease, yielded_lease_returns_only_after_the_reclaim_delay) {
  const LeaseTiming timing;
  DutyLease holder("a", "a/1", timing, At(0));
  holder.OnRecord(Write(holder, At(0)), At(4));
  const auto release = holder.Yield(At(500));
  cr_assert(release.has_value());
  cr_expect(!holder.epoch(At(500)).has_value());
  holder.OnRecord(*release, At(505));
  const Instant end = At(505) + timing.reclaim_delay;
  cr_expect(
      std::holds_alternative<NoWrite>(holder.Tick(end - milliseconds(1))));
  cr_expect(std::holds_alternative<WriteLease>(holder.Tick(end)));
}

// Two holders would both perform the duties. Three processes write to a
// partition with conditional appends whose acknowledgements and records are
// delayed, and processes pause; at no instant do two hold the lease.
Test(duty_lease, no_two_holders_under_delays_and_pauses) {
  constexpr int kSeeds = 200;
  constexpr int kStep = 50;
  for (int seed = 0; seed < kSeeds; ++seed) {
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    const auto draw = [&random](int below) {
      return static_cast<int>(random() % static_cast<unsigned>(below));
    };
    struct Process {
      DutyLease lease;
      std::size_t read = 0;
      int paused_until = 0;
      int reads_at = 0;
    };
    std::vector<Process> processes;
    for (const char* name : {"a", "b", "c"}) {
      processes.push_back(
          {DutyLease(name, std::string(name) + "/1", {}, At(0))});
    }
    struct Append {
      int at = 0;
      std::size_t expected_end = 0;
      v1::DutyRecord record;
    };
    std::deque<Append> pending_appends;
    std::vector<v1::DutyRecord> log;
    for (int now = 0; now < 60'000; now += kStep) {
      for (auto append = pending_appends.begin();
           append != pending_appends.end();) {
        if (append->at > now) {
          ++append;
          continue;
        }
        if (append->expected_end == log.size()) {
          log.push_back(append->record);
        }
        append = pending_appends.erase(append);
      }
      int holders = 0;
      for (Process& process : processes) {
        // Time also passes for a paused process: its term expires.
        holders += process.lease.epoch(At(now)).has_value() ? 1 : 0;
        if (now < process.paused_until) {
          continue;
        }
        if (draw(400) == 0) {
          process.paused_until = now + draw(8'000);
          continue;
        }
        if (now >= process.reads_at) {
          while (process.read < log.size()) {
            process.lease.OnRecord(log[process.read++], At(now));
          }
          process.reads_at = now + draw(draw(30) == 0 ? 3'000 : 100);
        }
        const LeaseStep step = process.lease.Tick(At(now));
        if (const auto* write = std::get_if<WriteLease>(&step)) {
          pending_appends.push_back({now + draw(draw(20) == 0 ? 6'000 : 100),
                                     process.read, write->record});
        }
      }
      cr_assert_leq(holders, 1, "seed %d at %d ms: %d holders", seed, now,
                    holders);
    }
  }
}

// Where the services do not reject outdated epochs, the holder itself must not
// send them. Processes pause between deciding on a call and writing it, and
// check their term again when they write.
Test(duty_lease, unfenced_service_sees_ascending_epochs_and_no_alternation) {
  constexpr int kSeeds = 200;
  constexpr int kStep = 20;
  constexpr int kLeaseMs = 3'000;
  constexpr int kMaxConnectMs = 1'000;
  for (int seed = 0; seed < kSeeds; ++seed) {
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    const auto draw = [&random](int below) {
      return static_cast<int>(random() % static_cast<unsigned>(below));
    };
    struct Call {
      std::uint64_t epoch = 0;
      int written_at = 0;
    };
    struct Process {
      std::string node;
      int number = 1;
      DutyLease lease;
      std::size_t read = 0;
      int paused_until = 0;
      std::vector<Call> calls = {};
    };
    const LeaseTiming timing{.reclaim_delay = milliseconds(kLeaseMs + 500)};
    std::vector<Process> processes;
    for (const char* name : {"a", "b", "c"}) {
      processes.push_back(
          {name, 1, DutyLease(name, std::string(name) + "/1", timing, At(0))});
    }
    struct Append {
      int at = 0;
      std::size_t expected_end = 0;
      v1::DutyRecord record;
    };
    std::deque<Append> pending_appends;
    std::vector<v1::DutyRecord> log;
    std::uint64_t newest_epoch = 0;
    std::map<std::string, int> last_acted;
    std::string last_node;
    std::string node_before;
    for (int now = 0; now < 60'000; now += kStep) {
      std::erase_if(pending_appends, [&](const Append& append) {
        if (append.at > now) {
          return false;
        }
        if (append.expected_end == log.size()) {
          log.push_back(append.record);
        }
        return true;
      });
      for (Process& process : processes) {
        if (now < process.paused_until) {
          continue;
        }
        if (draw(400) == 0) {
          process.paused_until = now + draw(8'000);
          continue;
        }
        if (draw(1'500) == 0) {
          // The process is killed and starts again; its calls are gone.
          ++process.number;
          process.lease = DutyLease(
              process.node, process.node + "/" + std::to_string(process.number),
              timing, At(now));
          process.read = 0;
          process.calls.clear();
        }
        // Calls whose connection is ready are written, or withdrawn.
        std::erase_if(process.calls, [&](const Call& call) {
          if (call.written_at > now) {
            return false;
          }
          if (process.lease.epoch(At(now)) == call.epoch) {
            cr_assert_geq(call.epoch, newest_epoch, "seed %d at %d ms", seed,
                          now);
            newest_epoch = call.epoch;
            if (process.node != last_node) {
              cr_assert(process.node != node_before ||
                            now >= last_acted[process.node] + kLeaseMs,
                        "seed %d at %d ms: %s acted %d ms ago", seed, now,
                        process.node.c_str(), now - last_acted[process.node]);
              node_before = last_node;
              last_node = process.node;
            }
            last_acted[process.node] = now;
          }
          return true;
        });
        while (process.read < log.size()) {
          process.lease.OnRecord(log[process.read++], At(now));
        }
        const LeaseStep step = process.lease.Tick(At(now));
        if (const auto* write = std::get_if<WriteLease>(&step)) {
          pending_appends.push_back({now + draw(draw(20) == 0 ? 6'000 : 100),
                                     process.read, write->record});
        }
        if (const auto epoch = process.lease.epoch(At(now));
            epoch.has_value() && draw(5) == 0) {
          process.calls.push_back(
              {*epoch, now + draw(draw(10) == 0 ? kMaxConnectMs : 40)});
        }
      }
    }
    cr_assert_gt(newest_epoch, 0, "seed %d: nobody acted", seed);
  }
}

struct RunnerFixture {
  base::EventLoop loop;
  SystemClock clock;
  base::StructuredLog log{clock, NodeId("a")};
  fakes::MemoryStore store{loop};
  int calls_in_flight = 0;
  bool able = true;
  LeaseRunner runner{loop,
                     clock,
                     log,
                     store,
                     DutyLease("a", "a/1", {}, clock.now()),
                     [this] { return calls_in_flight; },
                     [this] { return able; }};

  bool released() {
    v1::DutyRecord record;
    return record.ParseFromString(
               store.value({kDutyTopic, kLeasePartition}, "duties")
                   .value_or("")) &&
           record.released();
  }
};

// The next holder acts as soon as it reads the release. A call that is still on
// its way would reach an unfenced service after those of the next holder.
Test(lease_runner, release_waits_for_calls_in_flight) {
  RunnerFixture fixture;
  fixture.runner.Start();
  cr_assert(fakes::RunUntil(
      fixture.loop, [&fixture] { return fixture.runner.epoch().has_value(); }));
  fixture.calls_in_flight = 1;
  fixture.runner.Release();
  fakes::RunFor(fixture.loop, milliseconds(100));
  cr_assert(!fixture.runner.epoch().has_value(), "no new call may start");
  cr_assert(!fixture.released());
  fixture.calls_in_flight = 0;
  cr_assert(
      fakes::RunUntil(fixture.loop, [&fixture] { return fixture.released(); }));
}

Test(lease_runner, node_without_links_keeps_the_duties) {
  RunnerFixture fixture;
  fixture.runner.Start();
  cr_assert(fakes::RunUntil(
      fixture.loop, [&fixture] { return fixture.runner.epoch().has_value(); }));
  fixture.able = false;
  cr_expect(
      fakes::RunUntil(fixture.loop, [&fixture] { return fixture.released(); }));
  cr_expect(!fixture.runner.epoch().has_value());
}

}  // namespace
}  // namespace mulberryroad::duties
