#include "rollout/straggler.h"

#include <algorithm>
#include <vector>

namespace mulberryroad::rollout {

namespace {

// Minimum expected remaining tokens, as a fraction of the mean sample length.
// Applies to attempts that are near or past the mean.
constexpr double kTailShare = 0.25;

std::chrono::nanoseconds Median(
    const std::deque<std::chrono::nanoseconds>& values) {
  if (values.empty()) {
    return std::chrono::nanoseconds{0};
  }
  std::vector<std::chrono::nanoseconds> sorted(values.begin(), values.end());
  const auto middle =
      sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
  std::nth_element(sorted.begin(), middle, sorted.end());
  return *middle;
}

std::chrono::nanoseconds Scale(std::chrono::nanoseconds time, double factor) {
  return std::chrono::nanoseconds(
      static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

}  // namespace

void RunTimes::Add(const AttemptProgress& finished, Instant now) {
  finished_tokens_ += finished.total_tokens;
  ++finished_;
  const Instant first = finished.first_token.value_or(now);
  first_tokens_.push_back(first - finished.started);
  paces_.push_back((now - first) / std::max(1U, finished.own_tokens));
  if (paces_.size() > kWindow) {
    paces_.pop_front();
    first_tokens_.pop_front();
  }
}

std::chrono::nanoseconds RunTimes::Whole(std::uint32_t max_tokens) const {
  if (!known()) {
    return std::chrono::nanoseconds{0};
  }
  AttemptProgress fresh;
  fresh.max_tokens = max_tokens;
  return Elsewhere(fresh);
}

std::chrono::nanoseconds RunTimes::Remaining(const AttemptProgress& attempt,
                                             Instant now) const {
  const std::uint32_t left = RemainingTokens(attempt);
  if (!attempt.first_token.has_value()) {
    const Instant expected = attempt.started + FirstToken();
    return std::max(expected - now, std::chrono::nanoseconds{0}) +
           Pace() * left;
  }
  const auto own_pace =
      (now - *attempt.first_token) / std::max(1U, attempt.own_tokens);
  return own_pace * left;
}

std::chrono::nanoseconds RunTimes::Elsewhere(
    const AttemptProgress& attempt) const {
  return FirstToken() + Pace() * RemainingTokens(attempt);
}

std::uint32_t RunTimes::RemainingTokens(const AttemptProgress& attempt) const {
  const double mean = MeanTokens();
  const double tail = kTailShare * mean;
  const double so_far = attempt.total_tokens;
  const double left = std::max(mean - so_far, tail);
  const std::uint32_t limit =
      attempt.max_tokens - std::min(attempt.max_tokens, attempt.total_tokens);
  return std::min(limit, static_cast<std::uint32_t>(left));
}

bool RunTimes::Stalled(const AttemptProgress& attempt,
                       const HedgePolicy& policy, Instant now) const {
  const auto usual = attempt.first_token.has_value() ? Pace() : FirstToken();
  const auto limit =
      std::max(policy.min_stall, Scale(usual, policy.stall_factor));
  return now - attempt.last_progress > limit;
}

std::chrono::nanoseconds RunTimes::Pace() const { return Median(paces_); }

std::chrono::nanoseconds RunTimes::FirstToken() const {
  return Median(first_tokens_);
}

double RunTimes::MeanTokens() const {
  return finished_ == 0 ? 0.0
                        : static_cast<double>(finished_tokens_) /
                              static_cast<double>(finished_);
}

}  // namespace mulberryroad::rollout
