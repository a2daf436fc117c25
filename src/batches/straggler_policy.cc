#include "batches/straggler_policy.h"

#include <algorithm>
#include <utility>

namespace mulberryroad::batches {

std::vector<ItemRef> RunsToMove(std::vector<RunningItem> running,
                                const std::vector<FreeUpstream>& free) {
  // An upstream without recent work is assumed to be as fast as the fastest.
  std::optional<std::chrono::microseconds> fastest;
  for (const RunningItem& run : running) {
    if (run.pace.has_value() && (!fastest.has_value() || run.pace < fastest)) {
      fastest = run.pace;
    }
  }
  for (const FreeUpstream& upstream : free) {
    if (upstream.pace.has_value() &&
        (!fastest.has_value() || upstream.pace < fastest)) {
      fastest = upstream.pace;
    }
  }
  std::vector<std::pair<std::chrono::microseconds, std::uint32_t>> places;
  for (const FreeUpstream& upstream : free) {
    if (fastest.has_value() && upstream.places > 0) {
      places.emplace_back(upstream.pace.value_or(*fastest), upstream.places);
    }
  }
  std::sort(places.begin(), places.end());
  std::stable_sort(running.begin(), running.end(),
                   [](const RunningItem& a, const RunningItem& b) {
                     return a.expected_tokens > b.expected_tokens;
                   });
  std::vector<ItemRef> moves;
  for (const RunningItem& run : running) {
    while (!places.empty() && places.front().second == 0) {
      places.erase(places.begin());
    }
    if (places.empty()) {
      break;
    }
    if (run.age < kMoveAge || !run.pace.has_value()) {
      continue;
    }
    const auto limit =
        std::chrono::duration<double, std::micro>(places.front().first) *
        kMoveRatio;
    if (std::chrono::duration<double, std::micro>(*run.pace) >= limit) {
      moves.push_back(run.item);
      --places.front().second;
    }
  }
  return moves;
}

}  // namespace mulberryroad::batches
