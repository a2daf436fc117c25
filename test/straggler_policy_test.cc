// Tests of the choice of runs to move to a faster upstream.

#include "batches/straggler_policy.h"

#include <criterion/criterion.h>

namespace mulberryroad::batches {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

RunningItem Run(std::size_t index, const char* upstream, int event_interval_ms,
                double expected_events, double events = 0) {
  return {{"b", index},
          UpstreamId(upstream),
          milliseconds(event_interval_ms),
          milliseconds(1'000),
          events,
          expected_events};
}

Test(straggler_policy, longest_runs_of_a_slow_upstream_move_to_free_slots) {
  const std::vector<ItemRef> moves =
      RunsToMove({Run(0, "slow", 160, 100), Run(1, "slow", 160, 900),
                  Run(2, "fast", 40, 5'000), Run(3, "slow", 160, 500)},
                 {{UpstreamId("fast"), milliseconds(40), 2}});
  cr_assert_eq(moves.size(), 2);
  cr_assert_eq(moves[0].index, 1);
  cr_assert_eq(moves[1].index, 3);
}

Test(straggler_policy, no_run_moves_without_a_clearly_faster_free_slot) {
  cr_assert(RunsToMove({Run(0, "a", 47, 100)},
                       {{UpstreamId("b"), milliseconds(40), 2}})
                .empty());
  cr_assert(
      RunsToMove({Run(0, "a", 160, 100)}, {{UpstreamId("b"), std::nullopt, 2}})
          .empty());
  cr_assert(RunsToMove({Run(0, "a", 160, 100)},
                       {{UpstreamId("b"), milliseconds(40), 0}})
                .empty());
  cr_assert(RunsToMove({Run(0, "a", 160, 100)}, {}).empty());
}

Test(straggler_policy, young_runs_and_unknown_event_intervals_stay) {
  RunningItem young = Run(0, "slow", 160, 100);
  young.age = milliseconds(599);
  RunningItem unknown = Run(1, "slow", 160, 100);
  unknown.event_interval = std::nullopt;
  cr_assert(
      RunsToMove({young, unknown}, {{UpstreamId("fast"), milliseconds(40), 2}})
          .empty());
}

// Two speeds that differ by a third, as on real services.
Test(straggler_policy, only_runs_with_enough_events_left_move) {
  const FreeUpstream fast{UpstreamId("fast"), milliseconds(47), 8};
  cr_assert_eq(RunsToMove({Run(0, "slow", 63, 137, 20)}, {fast}).size(), 1);
  cr_assert(RunsToMove({Run(0, "slow", 63, 30, 20)}, {fast}).empty());
  // Longer than estimated: the more it has generated, the more is expected.
  cr_assert(RunsToMove({Run(0, "slow", 63, 15, 20)}, {fast}).empty());
  cr_assert_eq(RunsToMove({Run(0, "slow", 63, 15, 60)}, {fast}).size(), 1);
}

// Simulates a step of 48 runs on four upstreams, one of them four times slower,
// with a policy decision every 250 ms. The step ends with its last item.
Test(straggler_policy, step_with_a_slow_upstream_completes_sooner_with_moves) {
  struct Item {
    double events_left;
    int upstream;
    int since_ms;
  };
  const int event_intervals_ms[] = {40, 40, 40, 160};
  const auto simulate_step_time = [&](bool move_runs) {
    std::vector<Item> items;
    items.reserve(48);
    for (int i = 0; i < 48; ++i) {
      items.push_back({i % 12 == 3 ? 120.0 : 20.0, i % 4, 0});
    }
    for (int now = 0;; now += 250) {
      std::vector<int> used(4, 0);
      std::vector<RunningItem> running;
      for (std::size_t i = 0; i < items.size(); ++i) {
        if (items[i].events_left > 0) {
          ++used[static_cast<std::size_t>(items[i].upstream)];
          running.push_back(
              {{"b", i},
               UpstreamId(std::to_string(items[i].upstream)),
               milliseconds(event_intervals_ms[static_cast<std::size_t>(
                   items[i].upstream)]),
               milliseconds(now - items[i].since_ms),
               0,
               items[i].events_left});
        }
      }
      if (running.empty()) {
        return now;
      }
      std::vector<FreeUpstream> free;
      for (int u = 0; u < 4; ++u) {
        const auto index = static_cast<std::size_t>(u);
        free.push_back({UpstreamId(std::to_string(u)),
                        milliseconds(event_intervals_ms[index]),
                        static_cast<std::uint32_t>(12 - used[index])});
      }
      if (move_runs) {
        for (const ItemRef& move : RunsToMove(running, free)) {
          const auto least = std::min_element(used.begin(), used.begin() + 3);
          items[move.index].upstream = static_cast<int>(least - used.begin());
          items[move.index].since_ms = now;
          ++*least;
        }
      }
      for (Item& item : items) {
        item.events_left -=
            250.0 / event_intervals_ms[static_cast<std::size_t>(item.upstream)];
      }
    }
  };
  const int moved = simulate_step_time(true);
  const int stayed = simulate_step_time(false);
  cr_assert_lt(moved, stayed, "with moves %d ms, without %d ms", moved, stayed);
}

}  // namespace
}  // namespace mulberryroad::batches
