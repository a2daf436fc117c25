#include "batches/scorer_limit.h"

#include <algorithm>
#include <cmath>

namespace mulberryroad::batches {

std::uint32_t ScorerLimit::limit() const {
  return static_cast<std::uint32_t>(limit_);
}

bool ScorerLimit::TryStart(bool repeat, std::uint32_t max_in_flight) {
  // An unused limit must not grow without bound.
  limit_ = std::clamp(limit_, kMinLimit,
                      std::max(kMinLimit, static_cast<double>(max_in_flight)));
  const std::uint32_t max_repeats = std::max(1U, limit() / 2);
  if (in_flight_ >= limit() || (repeat && repeats_in_flight_ >= max_repeats)) {
    return false;
  }
  ++in_flight_;
  repeats_in_flight_ += repeat ? 1 : 0;
  return true;
}

void ScorerLimit::OnAnswered(std::chrono::microseconds latency,
                             std::chrono::milliseconds target, Instant now) {
  const auto sample_us = static_cast<double>(latency.count());
  latency_us_ = latency_us_.has_value()
                    ? std::lerp(*latency_us_, sample_us, kLatencySmoothing)
                    : sample_us;
  const auto target_us = static_cast<double>(
      std::chrono::duration_cast<std::chrono::microseconds>(target).count());
  if (*latency_us_ > kOverloadShare * target_us) {
    Decrease(now);
  } else {
    limit_ += slow_start_ ? 1.0 : 1.0 / limit_;
  }
}

void ScorerLimit::OnOverload(Instant now) { Decrease(now); }

void ScorerLimit::OnEnd(bool repeat) {
  in_flight_ -= std::min(in_flight_, 1U);
  repeats_in_flight_ -= std::min(repeats_in_flight_, repeat ? 1U : 0U);
}

void ScorerLimit::Decrease(Instant now) {
  if (decreased_at_.has_value() && now < *decreased_at_ + kDecreaseInterval) {
    return;
  }
  decreased_at_ = now;
  slow_start_ = false;
  limit_ = std::max(kMinLimit, limit_ * kDecrease);
}

}  // namespace mulberryroad::batches
