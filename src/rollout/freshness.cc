#include "rollout/freshness.h"

#include <algorithm>

namespace mulberryroad::rollout {

void Freshness::SetNewest(std::uint32_t version, Instant now) {
  if (version <= newest_) {
    return;
  }
  if (newest_ != 0) {
    version_interval_ = now - newest_since_;
  }
  newest_ = version;
  newest_since_ = now;
}

bool Freshness::VersionAllowed(std::uint32_t version) const {
  return version >= MinAllowedVersion(newest_);
}

bool Freshness::Deliverable(const VersionRanges& ranges, Instant first_token,
                            Instant now) const {
  const std::optional<std::uint32_t> oldest = OldestVersion(ranges);
  if (!oldest.has_value() || !VersionAllowed(*oldest)) {
    return false;
  }
  return bound_.max_age.count() == 0 || now - first_token <= bound_.max_age;
}

bool Freshness::WillBeDeliverable(
    const VersionRanges& ranges, Instant first_token, Instant now,
    std::chrono::nanoseconds until_delivery) const {
  const std::uint32_t oldest = OldestVersion(ranges).value_or(newest_);
  if (oldest < MinAllowedVersion(PredictNewest(now + until_delivery))) {
    return false;
  }
  return bound_.max_age.count() == 0 ||
         now + until_delivery - first_token <= bound_.max_age;
}

std::uint32_t Freshness::MinVersionToStart(
    Instant now, std::chrono::nanoseconds expected) const {
  // Capped at the newest version, since no engine serves a later one yet.
  return std::min(newest_, MinAllowedVersion(PredictNewest(now + expected)));
}

// Predicts at most one further version change, since longer forecasts are too
// inaccurate.
std::uint32_t Freshness::PredictNewest(Instant later) const {
  if (version_interval_.count() == 0 ||
      later < newest_since_ + version_interval_) {
    return newest_;
  }
  return newest_ + 1;
}

std::uint32_t Freshness::MinAllowedVersion(std::uint32_t newest) const {
  return newest - std::min(newest, bound_.max_versions_behind);
}

}  // namespace mulberryroad::rollout
