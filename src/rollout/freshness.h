// Staleness bound of a model: decides which samples may still be delivered, and
// which minimum version a new generation needs to be deliverable when it ends.

#ifndef MULBERRYROAD_SRC_ROLLOUT_FRESHNESS_H_
#define MULBERRYROAD_SRC_ROLLOUT_FRESHNESS_H_

#include <chrono>
#include <cstdint>

#include "mulberryroad/clock.h"
#include "rollout/version_ranges.h"

namespace mulberryroad::rollout {

/// Upper bounds on the staleness of a model's samples at delivery.
struct FreshnessBound {
  std::uint32_t max_versions_behind = 0;
  /// Age since the first token; zero disables the bound.
  std::chrono::seconds max_age{0};
};

/// Tracks the newest version of a model and checks samples against the bound.
class Freshness {
 public:
  explicit Freshness(FreshnessBound bound) : bound_(bound) {}

  /// Sets the newest version. Ignored unless it is above the current one.
  /// @param now time at which the version became the newest
  void SetNewest(std::uint32_t version, Instant now);
  void SetBound(FreshnessBound bound) { bound_ = bound; }
  std::uint32_t newest() const { return newest_; }

  /// Returns whether tokens of a version are within the version bound.
  bool VersionAllowed(std::uint32_t version) const;
  /// Returns whether a sample may be delivered now. Always false for a sample
  /// without version labels.
  bool Deliverable(const VersionRanges& ranges, Instant first_token,
                   Instant now) const;
  /// Predicts whether existing tokens will still be within the bound at a later
  /// time.
  /// @param until_delivery time from `now` until the delivery
  bool WillBeDeliverable(const VersionRanges& ranges, Instant first_token,
                         Instant now,
                         std::chrono::nanoseconds until_delivery) const;
  /// Returns the lowest version on which a generation may start now, so that
  /// its sample is within the bound when it ends.
  /// @param expected expected duration of the generation
  std::uint32_t MinVersionToStart(Instant now,
                                  std::chrono::nanoseconds expected) const;

 private:
  std::uint32_t PredictNewest(Instant later) const;
  std::uint32_t MinAllowedVersion(std::uint32_t newest) const;

  FreshnessBound bound_;
  std::uint32_t newest_ = 0;
  Instant newest_since_{};
  // Time between the last two version changes; zero before the second change.
  std::chrono::nanoseconds version_interval_{0};
};

}  // namespace mulberryroad::rollout

#endif  // MULBERRYROAD_SRC_ROLLOUT_FRESHNESS_H_
