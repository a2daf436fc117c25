// Rate at which a pool finishes requests while others wait, measured from its
// latest releases.

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
  /// Counts one finished request.
  /// @param saturated requests wait, so that the time since the release before
  /// tells what the pool can do
  void Add(bool saturated, Instant now);
  /// Returns the mean time between finished requests, or nullopt if too few
  /// are known. A stall shows before its end.
  std::optional<std::chrono::nanoseconds> interval(Instant now) const;
  /// Returns how long `requests` take to finish, within bounds that suit a
  /// Retry-After header.
  std::chrono::milliseconds TimeFor(double requests, Instant now) const;

 private:
  std::deque<std::chrono::nanoseconds> intervals_;
  std::chrono::nanoseconds sum_{0};
  /// The latest release while requests waited.
  std::optional<Instant> last_;
};

}  // namespace mulberryroad::dispatch

#endif  // MULBERRYROAD_SRC_DISPATCH_DRAIN_RATE_H_
