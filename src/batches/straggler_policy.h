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
  /// Events generated so far.
  double events = 0;
  /// Estimated number of events of the whole output; 0 if unknown.
  double expected_events = 0;
};

/// An upstream that can take over runs.
struct FreeUpstream {
  UpstreamId id;
  /// Smoothed interval between events; nullopt if it had no work lately.
  std::optional<std::chrono::microseconds> event_interval;
  /// Number of free slots.
  std::uint32_t free_slots = 0;
};

/// A run is moved only if its upstream is slower by this factor: more than the
/// differences that load causes.
inline constexpr double kMinSpeedRatio = 1.2;
/// A run is moved only if it is expected to end this much earlier. Several
/// times the duration of a move.
inline constexpr std::chrono::milliseconds kMinMoveGain{300};
/// Minimum age of a run that is moved. It also limits how often a run moves.
inline constexpr std::chrono::milliseconds kMinMoveAge{600};
/// Expected further length of an output that is longer than estimated, as a
/// share of its length so far.
inline constexpr double kOverrunShare = 0.5;

/// Returns the runs to interrupt, so that they are placed again. The runs with
/// the most events left come first; there are at most as many as faster
/// upstreams have free slots. An upstream without recent work takes no runs.
std::vector<ItemRef> RunsToMove(std::vector<RunningItem> running,
                                const std::vector<FreeUpstream>& free);

/// Returns the estimated number of events that a run still generates.
double EventsLeft(const RunningItem& run);

}  // namespace mulberryroad::batches

#endif  // MULBERRYROAD_SRC_BATCHES_STRAGGLER_POLICY_H_
