// Tests the slow start of upstreams against a simulated upstream, and compares
// it with the window of unaccepted requests alone.

#include "serving/upstream_pace.h"

#include <criterion/criterion.h>

#include <cstdio>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "serving/upstreams.h"

namespace mulberryroad::serving {
namespace {

using std::chrono::milliseconds;

const UpstreamId kId("u");
constexpr int kSlots = 8;
constexpr int kEvents = 18;
constexpr int kIntervalMs = 60;
constexpr int kStartMs = 10'000;

Instant At(int millis) { return Instant{} + milliseconds(millis); }

Registration Registered(int started) {
  Registration registration;
  registration.id = kId;
  registration.service = TargetId("s");
  registration.slots = kSlots;
  registration.started = milliseconds(started);
  return registration;
}

struct Upstream {
  /// Whether it starts when the simulation begins; otherwise it is settled.
  bool starts = true;
  /// Time until the event interval has fallen from four times the normal one.
  int warm_ms = 0;
  /// Starts per second above which it crashes while cold; 0: none.
  int cold_rate = 0;
  bool recovers = true;
  /// Refuses all requests instead of failing them while it is down.
  bool refuses = false;
};

struct Result {
  int sent = 0;
  int refused = 0;
  int failed = 0;
  /// Time until all slots were used; -1 if they never were.
  int full_after_ms = -1;
  double idle_slot_s = 0;
};

struct Run {
  std::size_t node = 0;
  int answer_ms = 0;
  bool accepted = false;
  int events = 0;
  double next_event_ms = 0;
  int interval_ms = 0;
};

// Nodes with unlimited work share one upstream that starts at kStartMs.
class Simulation {
 public:
  Simulation(Upstream upstream, int nodes, bool paced) : upstream_(upstream) {
    for (int i = 0; i < nodes; ++i) {
      loads_.push_back(std::make_unique<UpstreamLoads>(statements_));
      UpstreamLoads& loads = *loads_.back();
      if (paced) {
        loads.set_node("node-" + std::to_string(i));
        loads.OnRegistered(Registered(1), /*initial=*/true, At(0));
      }
      for (int k = 0; k < 10; ++k) {
        loads.RecordLatency(kId, milliseconds(kIntervalMs), At(100 * k));
      }
      if (upstream.starts) {
        loads.Reset(kId);
      }
      if (paced && upstream.starts) {
        loads.OnRegistered(Registered(2), /*initial=*/false, At(kStartMs));
      }
    }
  }

  Result Run(int duration_ms) {
    cold_from_ = kStartMs;
    for (now_ = kStartMs; now_ < kStartMs + duration_ms; ++now_) {
      Advance();
      // The nodes take turns, so that none is preferred.
      for (std::size_t i = 0; i < loads_.size(); ++i) {
        const std::size_t node =
            (i + static_cast<std::size_t>(now_)) % loads_.size();
        while (MaySend(node)) {
          loads_[node]->OnRequestSent(kId, At(now_));
          runs_.push_back({.node = node, .answer_ms = now_ + 2});
          ++result_.sent;
        }
      }
      if (used_ == kSlots && result_.full_after_ms < 0) {
        result_.full_after_ms = now_ - kStartMs;
      }
      result_.idle_slot_s += (kSlots - used_) / 1000.0;
    }
    return result_;
  }

 private:
  bool MaySend(std::size_t node) const {
    const HealthState health =
        loads_[node]->health().health_state(kId, At(now_));
    return health != HealthState::kEjected &&
           loads_[node]->HasFreeSlot(kId, kSlots, At(now_));
  }

  bool Down() const { return !upstream_.recovers || now_ < down_until_; }

  double Factor() const {
    const double cold = now_ - cold_from_;
    return cold >= upstream_.warm_ms ? 1.0
                                     : 4.0 - 3.0 * cold / upstream_.warm_ms;
  }

  void CountStart() {
    starts_.push_back(now_);
    while (starts_.front() <= now_ - 1000) {
      starts_.pop_front();
    }
    if (upstream_.cold_rate > 0 &&
        now_<cold_from_ + upstream_.warm_ms&& static_cast<int>(starts_.size())>
            upstream_.cold_rate) {
      down_until_ = now_ + 2'000;
      cold_from_ = down_until_;
    }
  }

  // Returns whether the run goes on.
  bool AdvanceRun(struct Run* run) {
    UpstreamLoads& loads = *loads_[run->node];
    const Instant now = At(now_);
    if (!run->accepted && now_ < run->answer_ms) {
      return true;
    }
    if (!run->accepted && !Down()) {
      CountStart();
    }
    if (Down() && upstream_.refuses) {
      ++result_.refused;
      loads.OnRefused(kId, now);
      loads.OnRequestEnded(kId, /*answered=*/true);
      return false;
    }
    if (Down()) {
      ++result_.failed;
      used_ -= run->accepted ? 1 : 0;
      loads.health().OnRequestFailed(kId, now);
      loads.OnRequestEnded(kId, run->accepted);
      return false;
    }
    if (!run->accepted) {
      if (used_ == kSlots) {
        ++result_.refused;
        loads.OnRefused(kId, now);
        loads.OnRequestEnded(kId, /*answered=*/true);
        return false;
      }
      ++used_;
      run->accepted = true;
      loads.OnAccepted(kId, now);
      run->next_event_ms = now_ + kIntervalMs * Factor();
      return true;
    }
    if (now_ < run->next_event_ms) {
      return true;
    }
    if (run->events++ == 0) {
      loads.health().OnResponseStarted(kId, now);
    } else {
      loads.RecordInterval(kId, milliseconds(run->interval_ms), now);
    }
    run->interval_ms = static_cast<int>(kIntervalMs * Factor());
    run->next_event_ms += run->interval_ms;
    if (run->events < kEvents) {
      return true;
    }
    --used_;
    loads.health().OnResponseCompleted(kId, now);
    loads.OnRequestEnded(kId, /*answered=*/true);
    return false;
  }

  void Advance() {
    std::erase_if(runs_, [this](struct Run& run) { return !AdvanceRun(&run); });
  }

  Upstream upstream_;
  UpstreamStatements statements_;
  std::vector<std::unique_ptr<UpstreamLoads>> loads_;
  std::vector<struct Run> runs_;
  std::deque<int> starts_;
  Result result_;
  int now_ = 0;
  int used_ = 0;
  int down_until_ = 0;
  int cold_from_ = 0;
};

struct Comparison {
  Result window;
  Result pace;
};

Comparison Compare(const char* name, Upstream upstream, int nodes) {
  // In the time after the warm-up only the nodes compete for the slots.
  const int duration_ms =
      upstream.recovers && upstream.starts ? upstream.warm_ms + 2'000 : 20'000;
  const auto run = [&](bool paced) {
    const Result result = Simulation(upstream, nodes, paced).Run(duration_ms);
    std::printf(
        "%s nodes=%d %s: sent %d refused %d failed %d full after %d ms,"
        " idle %.1f slot s\n",
        name, nodes, paced ? "pace" : "window", result.sent, result.refused,
        result.failed, result.full_after_ms, result.idle_slot_s);
    return result;
  };
  return {run(false), run(true)};
}

// Guards against a slow start that leaves a warm upstream idle.
Test(upstream_pace, warm_upstream_uses_all_slots_within_a_second) {
  for (const int nodes : {1, 90}) {
    const auto [window, pace] = Compare("warm 0 s", {}, nodes);
    cr_assert(pace.full_after_ms >= 0 && pace.full_after_ms <= 1'000);
    cr_assert_leq(pace.refused, window.refused);
    cr_assert_eq(pace.failed, 0);
  }
}

// Guards against a hold that outlasts the warm-up.
Test(upstream_pace, warming_upstream_uses_all_slots_once_warm) {
  for (const int warm_ms : {1'000, 3'000, 10'000}) {
    for (const int nodes : {1, 90}) {
      const auto [window, pace] =
          Compare(("warm " + std::to_string(warm_ms)).c_str(),
                  {.warm_ms = warm_ms}, nodes);
      cr_assert(
          pace.full_after_ms >= 0 && pace.full_after_ms <= warm_ms + 1'000,
          "all slots used after %d ms", pace.full_after_ms);
    }
  }
}

// Guards against a burst that crashes a cold upstream.
Test(upstream_pace, upstream_that_falls_over_above_a_rate_recovers) {
  for (const int nodes : {1, 90}) {
    const auto [window, pace] =
        Compare("falls over", {.warm_ms = 3'000, .cold_rate = 6}, nodes);
    cr_assert_lt(pace.failed, window.failed);
    if (nodes == 1) {
      cr_assert_eq(pace.failed, 0, "found %d", pace.failed);
      cr_assert_leq(pace.full_after_ms, 4'000);
    }
  }
}

// Guards against a rate of trials that only the callers limit.
Test(upstream_pace, upstream_that_never_recovers_gets_few_requests) {
  for (const int nodes : {1, 90}) {
    const auto [window, pace] =
        Compare("never recovers", {.recovers = false}, nodes);
    cr_assert_leq(pace.sent, window.sent);
    cr_assert_leq(pace.sent, 20 * nodes);
    const auto [window_refused, pace_refused] = Compare(
        "refuses for ever", {.recovers = false, .refuses = true}, nodes);
    cr_assert_leq(pace_refused.sent, 20 * nodes);
    cr_assert_lt(pace_refused.sent, window_refused.sent);
  }
}

// Guards against a settled upstream whose slots are used by several nodes and
// that is taken for one that loads weights, since it refuses requests as well.
Test(upstream_pace, settled_upstream_is_not_limited) {
  for (const int nodes : {1, 2, 6, 24, 90}) {
    const auto [window, pace] = Compare("settled", {.starts = false}, nodes);
    cr_assert_eq(pace.full_after_ms, window.full_after_ms);
    cr_assert_leq(pace.idle_slot_s, 1.05 * window.idle_slot_s,
                  "found %.1f instead of %.1f idle slot seconds",
                  pace.idle_slot_s, window.idle_slot_s);
    cr_assert_leq(pace.refused, window.refused);
  }
}

// Guards against a slow start after a weight load that costs more than round
// trips, and against one after a single refusal.
Test(upstream_pace, slots_are_used_within_round_trips_after_a_weight_load) {
  UpstreamStatements statements;
  UpstreamLoads loads(statements);
  loads.OnRegistered(Registered(1), /*initial=*/true, At(0));
  int begun = 0;
  int settled = 0;
  loads.on_pace_begun().connect([&begun](const PaceBegin&) { ++begun; });
  loads.on_settled().connect([&settled](const PaceEnd&) { ++settled; });
  for (const int probe_at : {1'000, 1'110, 1'320, 1'730}) {
    cr_assert_eq(begun, 0);
    loads.OnRequestSent(kId, At(probe_at));
    loads.OnRefused(kId, At(probe_at + 2));
    loads.OnRequestEnded(kId, /*answered=*/true);
  }
  int now = 2'140;
  for (; loads.running(kId) < kSlots && now < 2'160; now += 2) {
    int sent = 0;
    for (; loads.HasFreeSlot(kId, kSlots, At(now)); ++sent) {
      loads.OnRequestSent(kId, At(now));
    }
    for (; sent > 0; --sent) {
      loads.OnAccepted(kId, At(now + 2));
    }
  }
  cr_assert_leq(now, 2'150, "expected a few round trips, found %d ms", now);
  cr_assert(begun == 1 && settled == 1);
}

// Guards against a failed request when the only upstream is above its pace.
Test(upstream_pace, upstream_above_its_pace_is_used_if_it_is_the_only_one) {
  UpstreamStatements statements;
  UpstreamLoads loads(statements);
  loads.OnRegistered(Registered(1), /*initial=*/false, At(0));
  loads.OnRequestSent(kId, At(0));
  const Registration paced = Registered(1);
  Registration busier = Registered(1);
  busier.id = UpstreamId("busier");
  for (int i = 0; i < kSlots - 1; ++i) {
    loads.OnRequestSent(busier.id, At(0));
  }
  cr_assert(loads.at_pace_limit(kId, At(0)));
  cr_assert_eq(ChooseUpstream({&paced}, loads, {}, {}, At(0), 0), &paced);
  cr_assert_eq(ChooseUpstream({&paced, &busier}, loads, {}, {}, At(0), 0),
               &busier);
}

// Guards against an upstream that is held for ever because it became slower.
Test(upstream_pace, latency_that_stays_raised_becomes_the_normal_one) {
  UpstreamPace pace;
  pace.SetSlots(kSlots);
  pace.Begin(PaceCause::kStarted, 0, milliseconds(0), At(0));
  int now = 0;
  for (; pace.below_slots() && now < 10'000; now += 100) {
    pace.OnLatency(milliseconds(2 * kIntervalMs),
                   pace.settled_latency().value_or(1'000.0 * kIntervalMs),
                   At(now));
    cr_assert(now >= 3'000 || pace.max_in_flight(At(now)) == 1);
  }
  cr_assert_leq(now, 5'000);
}

}  // namespace
}  // namespace mulberryroad::serving
