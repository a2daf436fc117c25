#include "batches/item_placement.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace mulberryroad::batches {

namespace {

// A suspect upstream is used only if no other can take the item.
constexpr double kSuspectCost = 1'000.0;
// Breaks ties without outweighing a slot.
constexpr double kTieCost = 0.02;

}  // namespace

const PlacementCandidate* ChooseItemUpstream(
    const std::vector<PlacementCandidate>& candidates,
    const std::optional<std::string>& software, const UpstreamId& avoid,
    double length_share, double draw) {
  const auto fits = [&software](const PlacementCandidate& candidate) {
    return !software.has_value() || candidate.software == *software;
  };
  const auto fitting =
      std::count_if(candidates.begin(), candidates.end(), fits);
  double fastest = std::numeric_limits<double>::max();
  double sum = 0;
  int known = 0;
  for (const PlacementCandidate& candidate : candidates) {
    if (candidate.event_interval.has_value()) {
      const auto interval =
          std::max(1.0, static_cast<double>(candidate.event_interval->count()));
      fastest = std::min(fastest, interval);
      sum += interval;
      ++known;
    }
  }
  const double average = known > 0 ? sum / known : 1.0;
  const PlacementCandidate* best = nullptr;
  double best_cost = std::numeric_limits<double>::max();
  std::size_t index = 0;
  for (const PlacementCandidate& candidate : candidates) {
    const double tie_break = std::fmod(
        static_cast<double>(index++) / static_cast<double>(candidates.size()) +
            draw,
        1.0);
    if (!fits(candidate) || (fitting > 1 && candidate.id == avoid)) {
      continue;
    }
    const double interval =
        candidate.event_interval.has_value()
            ? static_cast<double>(candidate.event_interval->count())
            : average;
    const double slowdown =
        known > 0 ? std::max(0.0, interval / fastest - 1.0) : 0.0;
    const double cost =
        (candidate.running + kUnreportedWeight * candidate.unreported + 1.0) /
            std::max(candidate.slots, 1U) +
        kSpeedWeight * length_share * slowdown +
        (candidate.local ? 0.0 : kRemoteItemCost) +
        (candidate.suspect ? kSuspectCost : 0.0) + tie_break * kTieCost;
    if (cost < best_cost) {
      best = &candidate;
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace mulberryroad::batches
