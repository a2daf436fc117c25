#include "serving/upstream_pace.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace mulberryroad::serving {

namespace {

// A fresh process gets a single request from each node, since several nodes
// begin at the same time; one that has shown that it answers gets two.
constexpr double kStartLimit = 1.0;
constexpr double kRecoveredLimit = 2.0;
// Refusals and failures within this time of another belong to the same burst:
// about the time of one plain request.
constexpr std::chrono::milliseconds kBurstTime{100};
// Pause after a failure below the slots. It doubles with each burst of failures
// up to 1.6 s, which bounds the rate of requests to an upstream that never
// recovers.
constexpr std::chrono::milliseconds kFailurePause{100};
constexpr int kMaxPauseDoublings = 4;
// Share of the last sample in the latency since the start: about the last three
// samples count, because the latency of a cold upstream changes quickly.
constexpr double kLatencySmoothing = 0.3;
constexpr double kSettledSmoothing = 0.05;
// Latency that has fallen to this share shows that the upstream still warms up.
constexpr double kFallingShare = 0.9;
// Initial window of unaccepted requests: a single one may be lost, both of two
// rarely are.
constexpr std::uint32_t kMinUnanswered = 2;
// How long an acceptance shows that the upstream accepts requests: half the
// time of a weight load.
constexpr std::chrono::milliseconds kAcceptanceTime{450};

}  // namespace

std::string_view PaceCauseName(PaceCause cause) {
  switch (cause) {
    case PaceCause::kStarted:
      return "started";
    case PaceCause::kReadmitted:
      return "readmitted";
    case PaceCause::kRefusalsEnded:
      return "refusals_ended";
    case PaceCause::kReturned:
      return "returned";
  }
  return "";
}

void UpstreamPace::SetSlots(std::uint32_t slots) { slots_ = slots; }

void UpstreamPace::Begin(PaceCause cause, std::uint32_t running,
                         std::chrono::milliseconds spread, Instant now) {
  const bool answered =
      cause == PaceCause::kReadmitted || cause == PaceCause::kRefusalsEnded;
  limit_ = answered ? kRecoveredLimit : kStartLimit;
  if (cause == PaceCause::kRefusalsEnded) {
    limit_ = std::max(limit_, running + 1.0);
  }
  cause_ = cause;
  began_ = now;
  spread_ = spread;
  not_before_ = answered ? now : now + spread;
  threshold_ = slots_;
  failures_ = 0;
  latency_us_.reset();
  held_since_.reset();
  below_slots_ = limit_ < slots_;
}

void UpstreamPace::OnAccepted(std::optional<double> reference, Instant now) {
  window_ = AcceptedRecently(now) ? window_ + 1 : kMinUnanswered + 1;
  accepted_at_ = now;
  if (!below_slots_) {
    return;
  }
  const bool kept_state = cause_ == PaceCause::kRefusalsEnded;
  if (!reference.has_value() || (kept_state && !LatencyRaised(reference))) {
    Grow(now);
  }
}

void UpstreamPace::OnRefused(std::uint32_t accepted, Instant now) {
  accepted_at_.reset();
  if (may_be_cold()) {
    Shrink(std::max(1.0, static_cast<double>(accepted)), now);
  }
}

void UpstreamPace::OnFailed(Instant now) {
  if (Shrink(1.0, now)) {
    const auto pause =
        kFailurePause * (1 << std::min(failures_, kMaxPauseDoublings));
    not_before_ = std::max(not_before_, now + pause + spread_);
    ++failures_;
  }
}

void UpstreamPace::OnLatency(std::chrono::microseconds latency,
                             std::optional<double> reference, Instant now) {
  if (!below_slots_) {
    return;
  }
  const auto sample_us = static_cast<double>(latency.count());
  latency_us_ = latency_us_.has_value()
                    ? std::lerp(*latency_us_, sample_us, kLatencySmoothing)
                    : sample_us;
  failures_ = 0;
  if (!LatencyRaised(reference)) {
    held_since_.reset();
    Grow(now);
    return;
  }
  if (!held_since_.has_value() ||
      *latency_us_ < held_latency_us_ * kFallingShare) {
    held_since_ = now;
    held_latency_us_ = *latency_us_;
  } else if (now >= *held_since_ + kMaxHold) {
    settled_us_ = *latency_us_;
    settled_samples_ = kMinSettledSamples;
    held_since_.reset();
    Grow(now);
  }
}

void UpstreamPace::AddSettledSample(std::chrono::microseconds latency) {
  if (below_slots_) {
    return;
  }
  const auto sample_us = static_cast<double>(latency.count());
  settled_samples_ = std::min(settled_samples_ + 1, kMinSettledSamples + 1);
  const double share = settled_samples_ <= kMinSettledSamples
                           ? 1.0 / settled_samples_
                           : kSettledSmoothing;
  settled_us_ = std::lerp(settled_us_, sample_us, share);
}

void UpstreamPace::Reset() {
  below_slots_ = false;
  accepted_at_.reset();
  window_ = 0;
}

std::uint32_t UpstreamPace::max_in_flight(Instant now) const {
  if (!below_slots_) {
    return std::numeric_limits<std::uint32_t>::max();
  }
  return now < not_before_ ? 0 : static_cast<std::uint32_t>(limit_);
}

std::uint32_t UpstreamPace::max_unanswered(Instant now) const {
  return AcceptedRecently(now) ? window_ : kMinUnanswered;
}

std::optional<double> UpstreamPace::settled_latency() const {
  return settled_samples_ < kMinSettledSamples ? std::nullopt
                                               : std::optional(settled_us_);
}

void UpstreamPace::Grow(Instant now) {
  if (now < not_before_) {
    return;
  }
  limit_ += limit_ < threshold_ ? 1.0 : 1.0 / limit_;
  below_slots_ = limit_ < slots_;
}

bool UpstreamPace::Shrink(double min_limit, Instant now) {
  if (!below_slots_ || now < shrunk_at_ + kBurstTime) {
    return false;
  }
  shrunk_at_ = now;
  limit_ = std::min(limit_, std::max(min_limit, limit_ / 2));
  threshold_ = limit_;
  return true;
}

bool UpstreamPace::LatencyRaised(std::optional<double> reference) const {
  return latency_us_.has_value() && reference.has_value() &&
         *latency_us_ > *reference * kRaisedFactor;
}

bool UpstreamPace::AcceptedRecently(Instant now) const {
  return accepted_at_.has_value() && now < *accepted_at_ + kAcceptanceTime;
}

}  // namespace mulberryroad::serving
