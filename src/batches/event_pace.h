// Measures how fast an upstream generates the events of one stream. Pure: no
// I/O and no clock.

#ifndef MULBERRYROAD_SRC_BATCHES_EVENT_PACE_H_
#define MULBERRYROAD_SRC_BATCHES_EVENT_PACE_H_

#include <algorithm>
#include <chrono>
#include <optional>

#include "mulberryroad/clock.h"

namespace mulberryroad::batches {

/// Averages the intervals between events over windows of `kWindow` intervals.
/// Upstreams differ by a third in speed, single intervals by much more.
class EventPace {
 public:
  /// Records an event.
  /// @return the mean interval of the window that the event completes; nullopt
  ///     if it completes none, or if the window contains a pause, for instance
  ///     a change of weights
  std::optional<std::chrono::microseconds> OnEvent(Instant now) {
    if (!last_event_at_.has_value()) {
      last_event_at_ = now;
      window_start_ = now;
      return std::nullopt;
    }
    longest_ = std::max(longest_, now - *last_event_at_);
    last_event_at_ = now;
    if (++intervals_ < kWindow) {
      return std::nullopt;
    }
    const auto total = now - window_start_;
    const auto mean_of_others = (total - longest_) / (kWindow - 1);
    const bool has_pause = longest_ > kPauseFactor * mean_of_others;
    window_start_ = now;
    longest_ = {};
    intervals_ = 0;
    if (has_pause) {
      return std::nullopt;
    }
    return std::chrono::duration_cast<std::chrono::microseconds>(total) /
           kWindow;
  }

  static constexpr int kWindow = 8;
  /// An interval longer than the mean of the others by this factor is a pause.
  /// Events that are read late and together have shorter ones.
  static constexpr int kPauseFactor = 6;

 private:
  std::optional<Instant> last_event_at_;
  Instant window_start_{};
  Instant::duration longest_{};
  int intervals_ = 0;
};

}  // namespace mulberryroad::batches

#endif  // MULBERRYROAD_SRC_BATCHES_EVENT_PACE_H_
