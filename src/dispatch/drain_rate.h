// Estimates the rate at which a saturated pool completes requests, from its
// most recent completions.

#ifndef MULBERRYROAD_SRC_DISPATCH_DRAIN_RATE_H_
#define MULBERRYROAD_SRC_DISPATCH_DRAIN_RATE_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>

#include "mulberryroad/clock.h"

namespace mulberryroad::dispatch {

class DrainRate {
 public:
  /// Records a completed request.
  /// @param saturated whether requests are queued. The time between two
  /// completions is recorded only if requests are queued at both; otherwise it
  /// does not reflect the capacity of the pool.
  void RecordCompletion(bool saturated, Instant now);
  /// Returns the mean time between completions, or nullopt if there are too few
  /// samples. The time since the last completion is included once it exceeds
  /// the mean, so that a stall raises the result while it lasts.
  std::optional<std::chrono::nanoseconds> mean_interval(Instant now) const;
  /// Returns the estimated time to complete a number of requests, clamped to a
  /// range suitable for a Retry-After header.
  std::chrono::milliseconds EstimateTime(double requests, Instant now) const;

 private:
  std::deque<std::chrono::nanoseconds> intervals_;
  std::chrono::nanoseconds sum_{0};
  /// Time of the last completion, if requests were queued then.
  std::optional<Instant> last_saturated_completion_;
};

}  // namespace mulberryroad::dispatch

#endif  // MULBERRYROAD_SRC_DISPATCH_DRAIN_RATE_H_
