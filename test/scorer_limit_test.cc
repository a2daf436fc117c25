// Tests of the limit on scorer calls, with a simulated service that callers use
// as well.

#include "batches/scorer_limit.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <random>
#include <vector>

namespace mulberryroad::batches {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::uint32_t kUpstreams = 4;
constexpr std::uint32_t kSlots = 6;
constexpr milliseconds kWork{30};
constexpr milliseconds kTarget{150};

// Upstreams that run `kSlots` requests at a time and queue the others in order.
// Each request takes `kWork`; time advances in steps of one millisecond.
class SimulatedService {
 public:
  using OnDone = std::function<void(milliseconds latency)>;

  void Send(std::uint32_t upstream, milliseconds now, OnDone done) {
    queues_[upstream].push_back({now, milliseconds(0), false, std::move(done)});
  }
  // The least loaded upstream of two random ones, as a caller that does not
  // know the load of other nodes would choose.
  std::uint32_t Choose(std::mt19937& random) const {
    const std::uint32_t a = random() % kUpstreams;
    const std::uint32_t b = random() % kUpstreams;
    return queues_[a].size() <= queues_[b].size() ? a : b;
  }
  void Advance(milliseconds now) {
    for (auto& queue : queues_) {
      for (std::size_t i = 0; i < std::min<std::size_t>(kSlots, queue.size());
           ++i) {
        if (!queue[i].running) {
          queue[i].running = true;
          queue[i].started = now;
        }
      }
      std::vector<Request> done;
      std::erase_if(queue, [now, &done](Request& request) {
        const bool ends = request.running && now >= request.started + kWork;
        if (ends) {
          done.push_back(std::move(request));
        }
        return ends;
      });
      for (Request& request : done) {
        request.done(now - request.sent);
      }
    }
  }

 private:
  struct Request {
    milliseconds sent;
    milliseconds started;
    bool running = false;
    OnDone done;
  };
  std::vector<std::deque<Request>> queues_ =
      std::vector<std::deque<Request>>(kUpstreams);
};

struct BurstResult {
  // Share of callers answered within the target latency.
  double callers_in_time = 0;
  // Time until the last item was scored.
  milliseconds scored{0};
};

// `nodes` nodes score `items` items each, all of which complete at once after
// one second; 40 callers a second use the same service.
BurstResult PlayBurst(int nodes, int items, bool limited) {
  constexpr milliseconds kBurstAt{1'000};
  constexpr milliseconds kEnd{4'000};
  SimulatedService service;
  std::mt19937 random(1);
  std::vector<ScorerLimit> limits(static_cast<std::size_t>(nodes));
  std::vector<int> waiting(static_cast<std::size_t>(nodes), 0);
  int callers = 0;
  int in_time = 0;
  BurstResult result;
  for (milliseconds now{0}; now < kEnd; now += milliseconds(1)) {
    if (now == kBurstAt) {
      std::fill(waiting.begin(), waiting.end(), items);
    }
    if (now.count() % 25 == 0) {
      const bool counted = now >= kBurstAt;
      callers += counted ? 1 : 0;
      service.Send(service.Choose(random), now, [&, counted](milliseconds l) {
        in_time += counted && l <= kTarget ? 1 : 0;
      });
    }
    for (std::size_t node = 0; node < limits.size(); ++node) {
      while (waiting[node] > 0 &&
             (!limited ||
              limits[node].TryStart(false, kUpstreams * ScorerSlots(kSlots)))) {
        --waiting[node];
        service.Send(service.Choose(random), now, [&, node](milliseconds l) {
          limits[node].OnEnd(false);
          limits[node].OnAnswered(duration_cast<microseconds>(l), kTarget,
                                  Instant{} + now);
          result.scored = now - kBurstAt;
        });
      }
    }
    service.Advance(now);
  }
  result.callers_in_time = static_cast<double>(in_time) / callers;
  return result;
}

// The end of a step of 152 items on one node and on three.
Test(scorer_limit, burst_of_a_step_leaves_callers_within_their_target) {
  for (const int nodes : {1, 3}) {
    const BurstResult limited = PlayBurst(nodes, 152, /*limited=*/true);
    const BurstResult unlimited = PlayBurst(nodes, 152, /*limited=*/false);
    cr_expect_gt(limited.callers_in_time, 0.99,
                 "%d nodes: %.3f of the callers in time", nodes,
                 limited.callers_in_time);
    cr_expect_lt(unlimited.callers_in_time, limited.callers_in_time,
                 "%d nodes: %.3f of the callers in time without the limit",
                 nodes, unlimited.callers_in_time);
    // The service could score 800 items a second.
    cr_expect_lt(limited.scored.count(), 1'500, "%d nodes: scored after %ld ms",
                 nodes, static_cast<long>(limited.scored.count()));
  }
}

Test(scorer_limit, grows_while_calls_are_fast_up_to_its_bound) {
  ScorerLimit limit;
  Instant now{};
  for (int i = 0; i < 100; ++i) {
    cr_assert(limit.TryStart(false, 12));
    limit.OnEnd(false);
    limit.OnAnswered(microseconds(30'000), kTarget, now += milliseconds(5));
  }
  std::uint32_t started = 0;
  while (limit.TryStart(false, 12)) {
    ++started;
  }
  cr_assert_eq(started, 12);
}

Test(scorer_limit, overload_in_one_round_trip_reduces_it_once) {
  ScorerLimit limit;
  Instant now{};
  for (int i = 0; i < 16; ++i) {
    limit.OnAnswered(microseconds(30'000), kTarget, now);
  }
  const std::uint32_t before = limit.limit();
  for (int i = 0; i < 10; ++i) {
    limit.OnOverload(now + milliseconds(i));
  }
  cr_assert_geq(limit.limit(), before / 2);
  cr_assert_lt(limit.limit(), before);
  for (int i = 0; i < 100; ++i) {
    limit.OnOverload(now += ScorerLimit::kDecreaseInterval);
  }
  cr_assert_eq(limit.limit(), 2, "calls must still be possible");
}

Test(scorer_limit, repeats_take_at_most_half_of_it) {
  ScorerLimit limit;
  std::uint32_t repeats = 0;
  while (limit.TryStart(/*repeat=*/true, 12)) {
    ++repeats;
  }
  cr_assert_eq(repeats, 2);
  cr_assert(limit.TryStart(/*repeat=*/false, 12));
}

}  // namespace
}  // namespace mulberryroad::batches
