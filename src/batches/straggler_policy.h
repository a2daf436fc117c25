// Decides which runs go on at a faster upstream. Pure.
//
// It answers the load of a step whose last items run on a slow upstream while
// faster ones have places free: a run that goes on elsewhere reads its prompt
// and what it generated again, which takes some milliseconds.

#ifndef MULBERRYROAD_SRC_BATCHES_STRAGGLER_POLICY_H_
#define MULBERRYROAD_SRC_BATCHES_STRAGGLER_POLICY_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "batches/item_scheduler.h"
#include "mulberryroad/ids.h"

namespace mulberryroad::batches {

/// A run under way.
struct RunningItem {
  ItemRef item;
  UpstreamId upstream;
  /// Time of an event at its upstream; nullopt if unknown.
  std::optional<std::chrono::microseconds> pace;
  /// Since it started there.
  std::chrono::milliseconds age{0};
  double expected_tokens = 0;
};

/// An upstream that the item of a run may go to.
struct FreeUpstream {
  UpstreamId id;
  /// Time of an event; nullopt if it had no work lately.
  std::optional<std::chrono::microseconds> pace;
  std::uint32_t places = 0;
};

/// A run gains from a move if its upstream is slower by this factor: above what
/// the upstreams' own speeds and loads make (1.3 and 1.2).
inline constexpr double kMoveRatio = 2.0;
/// Below this age the pace of a run's upstream is not sure yet, and moves must
/// not follow each other faster.
inline constexpr std::chrono::milliseconds kMoveAge{600};

/// Returns the runs to interrupt; they are placed anew. The longest come first,
/// and no more move than faster upstreams have places.
std::vector<ItemRef> RunsToMove(std::vector<RunningItem> running,
                                const std::vector<FreeUpstream>& free);

}  // namespace mulberryroad::batches

#endif  // MULBERRYROAD_SRC_BATCHES_STRAGGLER_POLICY_H_
