#include "batches/straggler_policy.h"

#include <algorithm>
#include <utility>

namespace mulberryroad::batches {

double EventsLeft(const RunningItem& run) {
  return std::max(run.expected_events - run.events, kOverrunShare * run.events);
}

std::vector<ItemRef> RunsToMove(std::vector<RunningItem> running,
                                const std::vector<FreeUpstream>& free) {
  using Micros = std::chrono::duration<double, std::micro>;
  std::vector<std::pair<Micros, std::uint32_t>> free_slots;
  for (const FreeUpstream& upstream : free) {
    if (upstream.event_interval.has_value() && upstream.free_slots > 0) {
      free_slots.emplace_back(*upstream.event_interval, upstream.free_slots);
    }
  }
  std::sort(free_slots.begin(), free_slots.end());
  std::stable_sort(running.begin(), running.end(),
                   [](const RunningItem& a, const RunningItem& b) {
                     return EventsLeft(a) > EventsLeft(b);
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
    const Micros here = *run.event_interval;
    const Micros there = free_slots.front().first;
    if (here >= there * kMinSpeedRatio &&
        (here - there) * EventsLeft(run) >= Micros(kMinMoveGain)) {
      moves.push_back(run.item);
      --free_slots.front().second;
    }
  }
  return moves;
}

}  // namespace mulberryroad::batches
