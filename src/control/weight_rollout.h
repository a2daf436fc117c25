// Rolls a weight version out over the engines of a pool in waves.

#ifndef MULBERRYROAD_SRC_CONTROL_WEIGHT_ROLLOUT_H_
#define MULBERRYROAD_SRC_CONTROL_WEIGHT_ROLLOUT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "mulberryroad/clock.h"
#include "mulberryroad/ids.h"

namespace mulberryroad::control {

/// An engine as last observed.
struct EngineState {
  UpstreamId id;
  /// Version that the engine reports; nullopt if it has not reported.
  std::optional<std::uint32_t> version;
  bool swapping = false;
  /// Leaving, or drained on our own word: not to be swapped.
  bool leaving = false;
};

/// What a pool is to serve.
struct RolloutTarget {
  std::uint32_t version = 0;
  /// Newest version in the weight store; nullopt if it has not answered.
  std::optional<std::uint32_t> newest_in_store;
  /// Largest share of the pool that may be out at once; 0 for the default.
  std::uint32_t max_swapping_percent = 0;
};

/// Take an engine out of routing for a swap and order the load.
struct BeginSwap {
  UpstreamId upstream;
  std::uint32_t version = 0;
  std::string reason;
};
/// The version was observed: route to the engine again.
struct EndSwap {
  UpstreamId upstream;
  std::uint32_t version = 0;
};
/// Swaps failed too often: route nothing to the engine and replace it.
struct TakeOut {
  UpstreamId upstream;
  std::string reason;
};
using RolloutDecision = std::variant<BeginSwap, EndSwap, TakeOut>;

struct RolloutOptions {
  std::uint32_t default_swapping_percent = 25;
  /// A swap that is not observed by then has failed.
  std::chrono::milliseconds swap_timeout{60'000};
  /// Pause before an engine is tried again.
  std::chrono::milliseconds retry_pause{2'000};
  /// Pause after max_attempts with a version that no engine serves yet.
  std::chrono::milliseconds unproven_pause{120'000};
  std::uint32_t max_attempts = 3;
};

/// Pure state of one pool's rollout. The version is observed, never assumed.
///
/// An engine is taken out for failed swaps only if another one serves the
/// version; else the version is at fault, and the engine goes on serving its
/// old one.
class WeightRollout {
 public:
  explicit WeightRollout(RolloutOptions options = {});

  /// Decides the next moves.
  std::vector<RolloutDecision> Step(const RolloutTarget& target,
                                    const std::vector<EngineState>& engines,
                                    Instant now);
  /// Tells that a load order was refused or failed.
  void LoadFailed(const UpstreamId& upstream, Instant now);

  /// Returns true while an engine is out of routing for a swap.
  bool swapping(const UpstreamId& upstream) const;
  /// Returns true if an engine was taken out for failed swaps.
  bool taken_out(const UpstreamId& upstream) const;

 private:
  struct Progress {
    enum class Phase { kIdle, kSwapping, kOut };

    Phase phase = Phase::kIdle;
    std::uint32_t version = 0;
    std::uint32_t attempts = 0;
    Instant started{};
    Instant not_before{};
  };

  void ForgetGone(const std::vector<EngineState>& engines);
  void Observe(const EngineState& engine, Instant now,
               std::vector<RolloutDecision>& decisions);
  void GiveUp(const UpstreamId& engine, Progress& progress, bool proven,
              Instant now, std::vector<RolloutDecision>& decisions);
  void Fail(Progress& progress, Instant now);
  bool WantsSwap(const EngineState& engine, const RolloutTarget& target,
                 Instant now);
  std::size_t Room(const RolloutTarget& target, std::size_t engines) const;

  RolloutOptions options_;
  std::map<UpstreamId, Progress> progress_;
  /// Loads at once that the weight store has carried so far.
  std::size_t concurrency_ = 1;
};

}  // namespace mulberryroad::control

#endif  // MULBERRYROAD_SRC_CONTROL_WEIGHT_ROLLOUT_H_
