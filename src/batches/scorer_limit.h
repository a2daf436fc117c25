// Limits the calls that this node has in flight at one scorer service. Pure: no
// I/O and no clock.
//
// Designed for the end of a training step: its 64 to 152 items complete within
// a short time, and their calls reach a service of a few slots that also serves
// callers with deadlines below a second. All nodes that run batches share the
// service without knowing of each other, so that each one derives its limit
// from the latency and the refusals of its own calls.

#ifndef MULBERRYROAD_SRC_BATCHES_SCORER_LIMIT_H_
#define MULBERRYROAD_SRC_BATCHES_SCORER_LIMIT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

#include "mulberryroad/clock.h"
#include "mulberryroad/ids.h"

namespace mulberryroad::batches {

/// Returns the number of an upstream's slots that scorer calls of one node may
/// take. The other half is left to callers.
/// @param slots maximum number of concurrent requests of the upstream
constexpr std::uint32_t ScorerSlots(std::uint32_t slots) {
  return (slots + 1) / 2;
}

/// Adaptive concurrency limit (additive increase, multiplicative decrease).
class ScorerLimit {
 public:
  /// Starts a call if the limit allows it.
  /// @param repeat whether the call repeats an earlier one; repeats take at
  ///     most half of the limit
  /// @param max_in_flight upper bound of the limit: the slots that scorer calls
  ///     may take at all upstreams of the service
  /// @return true if the call may be sent; it counts as in flight until `OnEnd`
  bool TryStart(bool repeat, std::uint32_t max_in_flight);
  /// Records an answered call.
  /// @param target target latency of the scorer's route; calls that take longer
  ///     than half of it on average reduce the limit
  void OnAnswered(std::chrono::microseconds latency,
                  std::chrono::milliseconds target, Instant now);
  /// Records a call that was refused or not answered in time.
  void OnOverload(Instant now);
  /// Ends a call, whatever its outcome.
  /// @param repeat as given to `TryStart`
  void OnEnd(bool repeat);

  /// Number of calls in flight.
  std::uint32_t in_flight() const { return in_flight_; }
  /// Number of calls that may be in flight.
  std::uint32_t limit() const;

  /// Limit before the first answer.
  static constexpr double kInitialLimit = 4;
  /// The limit does not fall below this, so that one lost call does not stop
  /// the others.
  static constexpr double kMinLimit = 2;
  /// Factor of a decrease.
  static constexpr double kDecrease = 0.6;
  /// Minimum time between two decreases: the calls in flight at a decrease were
  /// sent under the earlier limit and must not reduce it again.
  static constexpr std::chrono::milliseconds kDecreaseInterval{100};
  /// Share of the target latency above which the service counts as overloaded.
  static constexpr double kOverloadShare = 0.5;
  /// Smoothing factor of the latency average: about the last ten calls count.
  static constexpr double kLatencySmoothing = 0.1;

 private:
  void Decrease(Instant now);

  double limit_ = kInitialLimit;
  /// The limit grows with each answer instead of once per round trip, until the
  /// first decrease.
  bool slow_start_ = true;
  std::uint32_t in_flight_ = 0;
  std::uint32_t repeats_in_flight_ = 0;
  std::optional<double> latency_us_;
  std::optional<Instant> decreased_at_;
};

/// Limits of a node by scorer service.
using ScorerLimits = std::map<TargetId, ScorerLimit>;

}  // namespace mulberryroad::batches

#endif  // MULBERRYROAD_SRC_BATCHES_SCORER_LIMIT_H_
