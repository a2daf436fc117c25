#include "dispatch/drain_rate.h"

#include <algorithm>

namespace mulberryroad::dispatch {

namespace {

constexpr std::size_t kMaxIntervals = 64;
constexpr std::size_t kMinIntervals = 4;
constexpr std::chrono::milliseconds kMinRetryAfter =
    std::chrono::milliseconds{100};
constexpr std::chrono::milliseconds kMaxRetryAfter = std::chrono::seconds{60};
constexpr std::chrono::milliseconds kDefaultRetryAfter =
    std::chrono::seconds{1};

}  // namespace

void DrainRate::RecordCompletion(bool saturated, Instant now) {
  if (saturated && last_saturated_completion_.has_value()) {
    intervals_.push_back(now - *last_saturated_completion_);
    sum_ += intervals_.back();
  }
  if (intervals_.size() > kMaxIntervals) {
    sum_ -= intervals_.front();
    intervals_.pop_front();
  }
  last_saturated_completion_ = saturated ? std::optional(now) : std::nullopt;
}

std::optional<std::chrono::nanoseconds> DrainRate::mean_interval(
    Instant now) const {
  if (intervals_.size() < kMinIntervals) {
    return std::nullopt;
  }
  const auto count = static_cast<std::int64_t>(intervals_.size());
  const std::chrono::nanoseconds mean = sum_ / count;
  const std::chrono::nanoseconds since_last_completion =
      last_saturated_completion_.has_value() ? now - *last_saturated_completion_
                                             : std::chrono::nanoseconds{0};
  return since_last_completion > mean
             ? (sum_ + since_last_completion) / (count + 1)
             : mean;
}

std::chrono::milliseconds DrainRate::EstimateTime(double requests,
                                                  Instant now) const {
  const std::optional<std::chrono::nanoseconds> time_per_request =
      mean_interval(now);
  if (!time_per_request.has_value()) {
    return kDefaultRetryAfter;
  }
  const std::chrono::duration<double, std::milli> total =
      *time_per_request * requests;
  const std::chrono::duration<double, std::milli> bounded =
      std::clamp<std::chrono::duration<double, std::milli>>(
          total, kMinRetryAfter, kMaxRetryAfter);
  return std::chrono::duration_cast<std::chrono::milliseconds>(bounded);
}

}  // namespace mulberryroad::dispatch
