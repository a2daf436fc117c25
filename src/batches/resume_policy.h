// Decides whether an interrupted item goes on or starts again. Pure: no I/O
// and no clock.
//
// The events of an item must all come from one software version. While the
// upstreams of that version are busy, waiting for them competes with
// generating the events again elsewhere. The item waits about as long as that
// would take, so that it never loses more than twice the shorter of the two.

#ifndef MULBERRYROAD_SRC_BATCHES_RESUME_POLICY_H_
#define MULBERRYROAD_SRC_BATCHES_RESUME_POLICY_H_

#include <chrono>
#include <cstdint>
#include <variant>

namespace mulberryroad::batches {

/// Resume at an upstream of the version that began the item.
struct ResumeItem {};
/// Discard the events and start at any upstream.
struct RestartItem {};
/// Wait for a slot at an upstream of the version.
struct AwaitVersion {};
using ResumeDecision = std::variant<ResumeItem, RestartItem, AwaitVersion>;

struct InterruptedItem {
  /// Events generated so far.
  std::uint64_t events = 0;
  /// Expected time to generate one event.
  std::chrono::microseconds event_interval{0};
  /// Time since the last run ended.
  std::chrono::milliseconds waited{0};
};

/// Event interval if none was measured.
inline constexpr std::chrono::microseconds kDefaultEventInterval{20'000};

/// @param registered whether an upstream of the version is registered that may
///     run the item
/// @param free whether one of them has a free slot
inline ResumeDecision DecideResume(const InterruptedItem& item, bool registered,
                                   bool free) {
  if (free) {
    return ResumeItem{};
  }
  const bool waited_long =
      item.waited >=
      item.event_interval * static_cast<std::int64_t>(item.events);
  if (!registered || waited_long) {
    return RestartItem{};
  }
  return AwaitVersion{};
}

}  // namespace mulberryroad::batches

#endif  // MULBERRYROAD_SRC_BATCHES_RESUME_POLICY_H_
