#include "batches/straggler_policy.h"

#include <algorithm>
#include <utility>

namespace mulberryroad::batches {

std::vector<ItemRef> RunsToMove(std::vector<RunningItem> running,
                                const std::vector<FreeUpstream>& free) {
  // An upstream without recent work is assumed to be as fast as the fastest.
  std::optional<std::chrono::microseconds> fastest;
  for (const RunningItem& run : running) {
    if (run.event_interval.has_value() &&
        (!fastest.has_value() || run.event_interval < fastest)) {
      fastest = run.event_interval;
    }
  }
  for (const FreeUpstream& upstream : free) {
    if (upstream.event_interval.has_value() &&
        (!fastest.has_value() || upstream.event_interval < fastest)) {
      fastest = upstream.event_interval;
    }
  }
  std::vector<std::pair<std::chrono::microseconds, std::uint32_t>> free_slots;
  for (const FreeUpstream& upstream : free) {
    if (fastest.has_value() && upstream.free_slots > 0) {
      free_slots.emplace_back(upstream.event_interval.value_or(*fastest),
                              upstream.free_slots);
    }
  }
  std::sort(free_slots.begin(), free_slots.end());
  std::stable_sort(running.begin(), running.end(),
                   [](const RunningItem& a, const RunningItem& b) {
                     return a.expected_tokens > b.expected_tokens;
                   });
  std::vector<ItemRef> moves;
  for (const RunningItem& run : running) {
    while (!free_slots.empty() && free_slots.front().second == 0) {
      free_slots.erase(free_slots.begin());
    }
    if (free_slots.empty()) {
      break;
    }
    if (run.age < kMinMoveAge || !run.event_interval.has_value()) {
      continue;
    }
    const auto limit =
        std::chrono::duration<double, std::micro>(free_slots.front().first) *
        kMinSpeedRatio;
    if (std::chrono::duration<double, std::micro>(*run.event_interval) >=
        limit) {
      moves.push_back(run.item);
      --free_slots.front().second;
    }
  }
  return moves;
}

}  // namespace mulberryroad::batches
