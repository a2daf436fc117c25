// Rate at which a pool finishes requests, measured from its latest releases.

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
  void Add(Instant now);
  /// Returns the mean time between finished requests, or nullopt if too few
  /// are known.
  std::optional<std::chrono::nanoseconds> interval(Instant now) const;
  /// Returns how long `requests` take to finish, within bounds that suit a
  /// Retry-After header.
  std::chrono::milliseconds TimeFor(double requests, Instant now) const;

 private:
  std::deque<Instant> releases_;
};

}  // namespace mulberryroad::dispatch

#endif  // MULBERRYROAD_SRC_DISPATCH_DRAIN_RATE_H_
