// Decides which runs to move to a faster upstream. Has no side effects.
//
// Designed for steps whose last items run on a slow upstream while faster ones
// have free slots. A moved run repeats the prefill of its prompt and of the
// tokens generated so far, which takes some milliseconds.

#ifndef MULBERRYROAD_SRC_BATCHES_STRAGGLER_POLICY_H_
#define MULBERRYROAD_SRC_BATCHES_STRAGGLER_POLICY_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "batches/item_scheduler.h"
#include "mulberryroad/ids.h"

namespace mulberryroad::batches {

/// A run in progress.
struct RunningItem {
  ItemRef item;
  UpstreamId upstream;
  /// Smoothed interval between events at its upstream; nullopt if unknown.
  std::optional<std::chrono::microseconds> event_interval;
  /// Time since the run started at this upstream.
  std::chrono::milliseconds age{0};
  /// Estimated length of the output; 0 if unknown.
  double expected_tokens = 0;
};

/// An upstream that can take over runs.
struct FreeUpstream {
  UpstreamId id;
  /// Smoothed interval between events; nullopt if it had no work lately.
  std::optional<std::chrono::microseconds> event_interval;
  /// Number of free slots.
  std::uint32_t free_slots = 0;
};

/// A run is moved only if its upstream is slower by this factor. It is above
/// the usual ratios due to the speeds (1.3) and loads (1.2) of upstreams.
inline constexpr double kMinSpeedRatio = 2.0;
/// Minimum age of a run that is moved: below it the event interval of its
/// upstream is not yet reliable. It also limits how often a run moves.
inline constexpr std::chrono::milliseconds kMinMoveAge{600};

/// Returns the runs to interrupt, so that they are placed again. The runs with
/// the longest expected output come first; there are at most as many as faster
/// upstreams have free slots. An upstream without recent work counts as fast as
/// the fastest.
std::vector<ItemRef> RunsToMove(std::vector<RunningItem> running,
                                const std::vector<FreeUpstream>& free);

}  // namespace mulberryroad::batches

#endif  // MULBERRYROAD_SRC_BATCHES_STRAGGLER_POLICY_H_
