// The staleness bound of a model: which samples may still be delivered, and
// which versions a new generation needs so that its sample will be.

#ifndef MULBERRYROAD_SRC_ROLLOUT_FRESHNESS_H_
#define MULBERRYROAD_SRC_ROLLOUT_FRESHNESS_H_

#include <chrono>
#include <cstdint>

#include "mulberryroad/clock.h"
#include "rollout/version_ranges.h"

namespace mulberryroad::rollout {

/// A model's bound on the age of its samples at delivery.
struct FreshnessBound {
  std::uint32_t max_versions_behind = 0;
  /// Counted from the first token; zero for no bound.
  std::chrono::seconds max_age{0};
};

/// Follows the newest version of a model and judges samples by the bound.
class Freshness {
 public:
  explicit Freshness(FreshnessBound bound) : bound_(bound) {}

  /// Takes the newest version in force from an instant on. Lower ones are
  /// ignored.
  void SetNewest(std::uint32_t version, Instant now);
  void SetBound(FreshnessBound bound) { bound_ = bound; }
  std::uint32_t newest() const { return newest_; }

  /// Tells whether tokens of a version are within the bound at this moment.
  bool VersionAllowed(std::uint32_t version) const;
  /// Tells whether a sample may be delivered now. A sample without a version
  /// label never may.
  bool Deliverable(const VersionRanges& ranges, Instant first_token,
                   Instant now) const;
  /// Predicts whether tokens that exist already will be within the bound after
  /// a further time.
  bool WillBeDeliverable(const VersionRanges& ranges, Instant first_token,
                         Instant now, std::chrono::nanoseconds further) const;
  /// Returns the lowest version on which a generation of the expected length
  /// should start now.
  std::uint32_t MinVersionToStart(Instant now,
                                  std::chrono::nanoseconds expected) const;

 private:
  std::uint32_t NewestAt(Instant later) const;
  std::uint32_t LowestAllowed(std::uint32_t newest) const;

  FreshnessBound bound_;
  std::uint32_t newest_ = 0;
  Instant newest_since_{};
  // Time between the last two changes; zero before the second one.
  std::chrono::nanoseconds interval_{0};
};

}  // namespace mulberryroad::rollout

#endif  // MULBERRYROAD_SRC_ROLLOUT_FRESHNESS_H_
