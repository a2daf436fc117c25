// Tests of how the speed of upstreams is measured and used for the placement of
// items.

#include <criterion/criterion.h>

#include <map>
#include <random>
#include <string>

#include "batches/event_pace.h"
#include "batches/item_placement.h"

namespace mulberryroad::batches {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

PlacementCandidate Candidate(const char* id, int event_interval_ms,
                             std::uint32_t running = 0) {
  return {UpstreamId(id), 12,   running, milliseconds(event_interval_ms),
          true,           false};
}

Test(event_pace, window_without_a_pause_gives_its_mean_interval) {
  EventPace pace;
  Instant now{};
  cr_assert(!pace.OnEvent(now).has_value());
  for (int i = 1; i < EventPace::kWindow; ++i) {
    cr_assert(
        !pace.OnEvent(now += milliseconds(i % 2 == 0 ? 40 : 60)).has_value());
  }
  const auto interval = pace.OnEvent(now += milliseconds(40));
  cr_assert(interval.has_value());
  cr_assert_eq(interval->count(), 50'000);
}

// Weights change within 0.9 s, during which the stream pauses.
Test(event_pace, window_with_a_pause_is_dropped) {
  EventPace pace;
  Instant now{};
  pace.OnEvent(now);
  for (int i = 1; i <= EventPace::kWindow; ++i) {
    cr_assert(
        !pace.OnEvent(now += milliseconds(i == 3 ? 900 : 47)).has_value());
  }
  std::optional<microseconds> interval;
  for (int i = 1; i <= EventPace::kWindow; ++i) {
    interval = pace.OnEvent(now += milliseconds(47));
  }
  cr_assert_eq(interval.value_or(microseconds(0)).count(), 47'000);
}

Test(item_placement_policy, longest_items_go_to_fast_upstreams) {
  const std::vector<PlacementCandidate> candidates = {Candidate("slow", 63),
                                                      Candidate("fast", 47, 8)};
  cr_assert_str_eq(ChooseItemUpstream(candidates, std::nullopt, {}, 1.0, 0.5)
                       ->id.value()
                       .c_str(),
                   "fast");
  cr_assert_str_eq(ChooseItemUpstream(candidates, std::nullopt, {}, 0.1, 0.5)
                       ->id.value()
                       .c_str(),
                   "slow", "short items leave the fast upstream to long ones");
}

Test(item_placement_policy, full_fast_upstream_is_no_better_than_a_slow_one) {
  const std::vector<PlacementCandidate> candidates = {
      Candidate("slow", 63), Candidate("fast", 47, 11)};
  cr_assert_str_eq(ChooseItemUpstream(candidates, std::nullopt, {}, 1.0, 0.5)
                       ->id.value()
                       .c_str(),
                   "slow");
}

Test(item_placement_policy, unknown_speed_counts_as_average) {
  std::vector<PlacementCandidate> candidates = {
      Candidate("slow", 63), Candidate("unknown", 0), Candidate("fast", 47)};
  candidates[1].event_interval = std::nullopt;
  cr_assert_str_eq(ChooseItemUpstream(candidates, std::nullopt, {}, 1.0, 0.5)
                       ->id.value()
                       .c_str(),
                   "fast");
  candidates.pop_back();
  cr_assert(ChooseItemUpstream({}, std::nullopt, {}, 1.0, 0.5) == nullptr);
}

Test(item_placement_policy, upstream_of_the_last_run_is_avoided) {
  std::vector<PlacementCandidate> candidates = {Candidate("last", 47),
                                                Candidate("other", 63)};
  const UpstreamId last("last");
  cr_assert_str_eq(ChooseItemUpstream(candidates, std::nullopt, last, 1.0, 0.5)
                       ->id.value()
                       .c_str(),
                   "other");
  candidates.pop_back();
  cr_assert_str_eq(ChooseItemUpstream(candidates, std::nullopt, last, 1.0, 0.5)
                       ->id.value()
                       .c_str(),
                   "last");
}

Test(item_placement_policy, suspect_upstream_is_the_last_choice) {
  std::vector<PlacementCandidate> candidates = {Candidate("suspect", 47),
                                                Candidate("slow", 160, 11)};
  candidates[0].suspect = true;
  cr_assert_str_eq(ChooseItemUpstream(candidates, std::nullopt, {}, 1.0, 0.5)
                       ->id.value()
                       .c_str(),
                   "slow");
}

// A step of 96 items, a twelfth of them five times as long, on 45 upstreams of
// 12 slots, of which a third needs 63 ms for an event and the others 47 ms. The
// step ends with its longest item. Estimates are off by a factor of up to two.
Test(item_placement_policy, step_ends_sooner_than_with_balanced_load) {
  constexpr int kItems = 96;
  constexpr int kUpstreams = 45;
  constexpr double kLongEvents = 137;
  const auto simulate_step_ms = [](bool by_speed, unsigned seed) {
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> draw(0.0, 1.0);
    std::vector<PlacementCandidate> candidates;
    std::vector<std::string> ids;
    for (int u = 0; u < kUpstreams; ++u) {
      ids.push_back("u" + std::to_string(u));
      candidates.push_back(Candidate(ids.back().c_str(), u % 3 == 0 ? 63 : 47));
    }
    double longest_ms = 0;
    for (int i = 0; i < kItems; ++i) {
      const double events = i < kItems / 12 ? kLongEvents : 19;
      const double estimate = events * std::exp2(2 * draw(random) - 1);
      const double share =
          by_speed ? std::min(1.0, estimate / kLongEvents) : 0.0;
      const PlacementCandidate* chosen =
          ChooseItemUpstream(candidates, std::nullopt, {}, share, draw(random));
      longest_ms = std::max(
          longest_ms,
          events * static_cast<double>(chosen->event_interval->count()) / 1e3);
      ++candidates[static_cast<std::size_t>(chosen - candidates.data())]
            .running;
    }
    return longest_ms;
  };
  constexpr unsigned kSeeds = 50;
  int in_time_by_speed = 0;
  int in_time_balanced = 0;
  for (unsigned seed = 0; seed < kSeeds; ++seed) {
    in_time_by_speed += simulate_step_ms(true, seed) <= 7'500 ? 1 : 0;
    in_time_balanced += simulate_step_ms(false, seed) <= 7'500 ? 1 : 0;
  }
  cr_assert_eq(in_time_by_speed, kSeeds, "%d of %u steps are in time",
               in_time_by_speed, kSeeds);
  cr_assert_lt(in_time_balanced, kSeeds, "%d of %u steps are in time",
               in_time_balanced, kSeeds);
}

}  // namespace
}  // namespace mulberryroad::batches
