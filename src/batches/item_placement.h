// Chooses the upstream for a run of an item. Pure.
//
// Designed for steps whose longest items generate five times as many tokens as
// the others and decide when the step ends, on services whose upstreams differ
// by a third in speed: the longest items go to the fastest upstreams.

#ifndef MULBERRYROAD_SRC_BATCHES_ITEM_PLACEMENT_H_
#define MULBERRYROAD_SRC_BATCHES_ITEM_PLACEMENT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "mulberryroad/ids.h"

namespace mulberryroad::batches {

/// An upstream that can take the item.
struct PlacementCandidate {
  UpstreamId id;
  std::uint32_t slots = 1;
  /// Runs at the upstream: those of this node and those that others report.
  std::uint32_t running = 0;
  /// Smoothed interval between events; nullopt if unknown.
  std::optional<std::chrono::microseconds> event_interval;
  /// In the failure domain of this node.
  bool local = false;
  /// Failed or was late recently.
  bool suspect = false;
  std::string software = {};
  /// Runs of this node that other nodes may not know of yet.
  std::uint32_t unreported = 0;
};

/// Speed weighs against the share of used slots: for the longest items an
/// upstream that is slower by a third costs as much as four fifths of its
/// slots. Upstreams generate more slowly the fuller they are.
inline constexpr double kSpeedWeight = 2.4;
/// Cost of an upstream in another failure domain. Items exchange few bytes.
inline constexpr double kRemoteItemCost = 0.02;

/// Weight of unreported runs in the load, in addition to that of each run. Two
/// nodes that start items at the same time both fill the least used upstreams;
/// each therefore expects as many runs of another node as it starts itself.
inline constexpr double kUnreportedWeight = 1.0;

/// Returns the best candidate, or null if there is none. An upstream without a
/// known event interval counts as average.
/// @param software software version that the upstream must run; nullopt for any
/// @param avoid upstream that is chosen only if there is no other; may be empty
/// @param length_share expected length of the item, as a share of the longest
///     item of its batch
/// @param draw random number in [0, 1) that breaks ties
const PlacementCandidate* ChooseItemUpstream(
    const std::vector<PlacementCandidate>& candidates,
    const std::optional<std::string>& software, const UpstreamId& avoid,
    double length_share, double draw);

}  // namespace mulberryroad::batches

#endif  // MULBERRYROAD_SRC_BATCHES_ITEM_PLACEMENT_H_
