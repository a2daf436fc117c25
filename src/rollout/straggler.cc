#include "rollout/straggler.h"

#include <algorithm>
#include <vector>

namespace mulberryroad::rollout {

namespace {

// Minimum expected remaining tokens, as a fraction of the mean sample length.
// Applies to attempts that are near or past the mean.
constexpr double kMinRemainingFraction = 0.25;

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

void RunTimeEstimator::Add(const AttemptProgress& finished, Instant now) {
  finished_tokens_ += finished.total_tokens;
  ++finished_attempts_;
  const Instant first = finished.first_token.value_or(now);
  times_to_first_token_.push_back(first - finished.started);
  times_per_token_.push_back((now - first) / std::max(1U, finished.own_tokens));
  if (times_per_token_.size() > kRetainedAttempts) {
    times_per_token_.pop_front();
    times_to_first_token_.pop_front();
  }
}

std::chrono::nanoseconds RunTimeEstimator::ExpectedTotal(
    std::uint32_t max_tokens) const {
  if (!has_estimate()) {
    return std::chrono::nanoseconds{0};
  }
  AttemptProgress fresh;
  fresh.max_tokens = max_tokens;
  return ExpectedOnOtherUpstream(fresh);
}

std::chrono::nanoseconds RunTimeEstimator::ExpectedRemaining(
    const AttemptProgress& attempt, Instant now) const {
  const std::uint32_t left = RemainingTokens(attempt);
  if (!attempt.first_token.has_value()) {
    const Instant expected = attempt.started + MedianTimeToFirstToken();
    return std::max(expected - now, std::chrono::nanoseconds{0}) +
           MedianTimePerToken() * left;
  }
  const auto own_time_per_token =
      (now - *attempt.first_token) / std::max(1U, attempt.own_tokens);
  return own_time_per_token * left;
}

std::chrono::nanoseconds RunTimeEstimator::ExpectedOnOtherUpstream(
    const AttemptProgress& attempt) const {
  return MedianTimeToFirstToken() +
         MedianTimePerToken() * RemainingTokens(attempt);
}

std::uint32_t RunTimeEstimator::RemainingTokens(
    const AttemptProgress& attempt) const {
  const double mean = MeanTokens();
  const double min_remaining = kMinRemainingFraction * mean;
  const double so_far = attempt.total_tokens;
  const double left = std::max(mean - so_far, min_remaining);
  const std::uint32_t limit =
      attempt.max_tokens - std::min(attempt.max_tokens, attempt.total_tokens);
  return std::min(limit, static_cast<std::uint32_t>(left));
}

bool RunTimeEstimator::Stalled(const AttemptProgress& attempt,
                               const HedgePolicy& policy, Instant now) const {
  const auto median = attempt.first_token.has_value()
                          ? MedianTimePerToken()
                          : MedianTimeToFirstToken();
  const auto limit =
      std::max(policy.min_stall, Scale(median, policy.stall_factor));
  return now - attempt.last_progress > limit;
}

std::chrono::nanoseconds RunTimeEstimator::MedianTimePerToken() const {
  return Median(times_per_token_);
}

std::chrono::nanoseconds RunTimeEstimator::MedianTimeToFirstToken() const {
  return Median(times_to_first_token_);
}

double RunTimeEstimator::MeanTokens() const {
  return finished_attempts_ == 0 ? 0.0
                                 : static_cast<double>(finished_tokens_) /
                                       static_cast<double>(finished_attempts_);
}

}  // namespace mulberryroad::rollout
