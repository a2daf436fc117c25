// Tests the waves of a weight rollout.

#include "control/weight_rollout.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

namespace {

using namespace mulberryroad;           // NOLINT(google-build-using-namespace)
using namespace mulberryroad::control;  // NOLINT(google-build-using-namespace)
using std::chrono::seconds;

Instant At(int second) { return Instant{} + seconds(second); }

std::vector<EngineState> MakeEngines(int count, std::uint32_t version) {
  std::vector<EngineState> engines;
  engines.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    engines.push_back({UpstreamId("e" + std::to_string(i)), version});
  }
  return engines;
}

template <typename Kind>
std::size_t Count(const std::vector<RolloutDecision>& decisions) {
  std::size_t count = 0;
  for (const RolloutDecision& decision : decisions) {
    count += std::holds_alternative<Kind>(decision) ? 1 : 0;
  }
  return count;
}

struct WaveCase {
  const char* name;
  int engines;
  std::uint32_t percent;
  std::optional<std::uint32_t> newest;
  std::size_t expected;
};

}  // namespace

Test(weight_rollout, keeps_each_wave_within_its_share) {
  const std::vector<WaveCase> cases = {
      {"a quarter by default", 12, 0, 2, 3},
      {"as declared", 12, 50, 2, 6},
      {"at least one", 3, 10, 2, 1},
      {"bounded by the store's first rate", 100, 50, 2, 8},
      {"not in the store yet", 12, 50, 1, 0},
      {"store silent", 12, 50, std::nullopt, 0},
  };
  for (const WaveCase& test : cases) {
    WeightRollout rollout;
    const RolloutTarget target{2, test.newest, test.percent};
    const auto decisions =
        rollout.Step(target, MakeEngines(test.engines, 1), At(0));
    cr_assert_eq(Count<BeginSwap>(decisions), test.expected,
                 "%s: expected %zu swaps, got %zu", test.name, test.expected,
                 Count<BeginSwap>(decisions));
  }
}

Test(weight_rollout, goes_on_only_with_observed_versions) {
  WeightRollout rollout;
  std::vector<EngineState> engines = MakeEngines(4, 1);
  const RolloutTarget target{2, 2, 25};
  cr_assert_eq(Count<BeginSwap>(rollout.Step(target, engines, At(0))), 1);
  cr_assert(rollout.swapping(engines[0].id));
  cr_assert_eq(Count<BeginSwap>(rollout.Step(target, engines, At(1))), 0);
  engines[0].version = 2;
  engines[0].swapping = true;
  cr_assert_eq(Count<EndSwap>(rollout.Step(target, engines, At(2))), 0);
  engines[0].swapping = false;
  const auto decisions = rollout.Step(target, engines, At(3));
  cr_assert_eq(Count<EndSwap>(decisions), 1);
  cr_assert_eq(Count<BeginSwap>(decisions), 1);
  cr_assert(rollout.swapping(engines[1].id));
}

Test(weight_rollout, retries_a_failed_swap_and_then_takes_the_engine_out) {
  WeightRollout rollout;
  std::vector<EngineState> engines = MakeEngines(2, 1);
  engines[1].version = 2;
  const RolloutTarget target{2, 2, 25};
  int second = 0;
  for (int attempt = 0; attempt < 3; ++attempt) {
    const auto decisions = rollout.Step(target, engines, At(second));
    cr_assert_eq(Count<BeginSwap>(decisions), 1, "attempt %d", attempt + 1);
    rollout.LoadFailed(engines[0].id, At(second));
    cr_assert_not(rollout.swapping(engines[0].id),
                  "it serves the old version between attempts");
    second += 2;
  }
  const auto decisions = rollout.Step(target, engines, At(second));
  cr_assert_eq(Count<TakeOut>(decisions), 1);
  cr_assert_eq(Count<BeginSwap>(decisions), 0);
  cr_assert(rollout.taken_out(engines[0].id));
}

Test(weight_rollout, takes_a_swap_that_is_never_observed_for_failed) {
  WeightRollout rollout;
  const std::vector<EngineState> engines = MakeEngines(1, 1);
  const RolloutTarget target{2, 2, 25};
  rollout.Step(target, engines, At(0));
  rollout.Step(target, engines, At(60));
  cr_assert(rollout.swapping(engines[0].id));
  rollout.Step(target, engines, At(61));
  cr_assert_not(rollout.swapping(engines[0].id));
}

// Gone engines are replaced; yet a version that no engine can load takes none
// out, and costs no more than the share at a time.
Test(weight_rollout, never_takes_engines_out_for_a_version_nobody_serves) {
  WeightRollout rollout;
  const std::vector<EngineState> engines = MakeEngines(12, 1);
  const RolloutTarget target{2, 2, 25};
  std::size_t taken_out = 0;
  std::size_t swaps = 0;
  for (int second = 0; second < 600; ++second) {
    for (const auto& decision : rollout.Step(target, engines, At(second))) {
      if (const auto* begin = std::get_if<BeginSwap>(&decision)) {
        rollout.LoadFailed(begin->upstream, At(second));
        ++swaps;
      }
      taken_out += std::holds_alternative<TakeOut>(decision) ? 1 : 0;
    }
  }
  cr_assert_eq(taken_out, 0, "expected 0 of 12, got %zu", taken_out);
  cr_assert_gt(swaps, 12, "the version is tried again");
}

Test(weight_rollout, swaps_neither_silent_nor_leaving_engines) {
  WeightRollout rollout;
  std::vector<EngineState> engines = MakeEngines(2, 1);
  engines[0].version.reset();
  engines[1].leaving = true;
  const auto decisions = rollout.Step({2, 2, 50}, engines, At(0));
  cr_assert(decisions.empty());
}
