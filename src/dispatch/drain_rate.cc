#include "dispatch/drain_rate.h"

#include <algorithm>

namespace mulberryroad::dispatch {

namespace {

constexpr std::size_t kIntervalsKept = 64;
constexpr std::size_t kIntervalsNeeded = 4;
constexpr std::chrono::milliseconds kShortestRetry =
    std::chrono::milliseconds{100};
constexpr std::chrono::milliseconds kLongestRetry = std::chrono::seconds{60};
constexpr std::chrono::milliseconds kUnknownRetry = std::chrono::seconds{1};

}  // namespace

void DrainRate::Add(bool saturated, Instant now) {
  if (saturated && last_.has_value()) {
    intervals_.push_back(now - *last_);
    sum_ += intervals_.back();
  }
  if (intervals_.size() > kIntervalsKept) {
    sum_ -= intervals_.front();
    intervals_.pop_front();
  }
  last_ = saturated ? std::optional(now) : std::nullopt;
}

std::optional<std::chrono::nanoseconds> DrainRate::interval(Instant now) const {
  if (intervals_.size() < kIntervalsNeeded) {
    return std::nullopt;
  }
  const auto count = static_cast<std::int64_t>(intervals_.size());
  const std::chrono::nanoseconds mean = sum_ / count;
  const std::chrono::nanoseconds running =
      last_.has_value() ? now - *last_ : std::chrono::nanoseconds{0};
  return running > mean ? (sum_ + running) / (count + 1) : mean;
}

std::chrono::milliseconds DrainRate::TimeFor(double requests,
                                             Instant now) const {
  const std::optional<std::chrono::nanoseconds> each = interval(now);
  if (!each.has_value()) {
    return kUnknownRetry;
  }
  const std::chrono::duration<double, std::milli> total = *each * requests;
  const std::chrono::duration<double, std::milli> bounded =
      std::clamp<std::chrono::duration<double, std::milli>>(
          total, kShortestRetry, kLongestRetry);
  return std::chrono::duration_cast<std::chrono::milliseconds>(bounded);
}

}  // namespace mulberryroad::dispatch
