#include "dispatch/drain_rate.h"

#include <algorithm>

namespace mulberryroad::dispatch {

namespace {

constexpr std::size_t kReleasesKept = 64;
constexpr std::size_t kReleasesNeeded = 4;
constexpr std::chrono::milliseconds kShortestRetry =
    std::chrono::milliseconds{100};
constexpr std::chrono::milliseconds kLongestRetry = std::chrono::seconds{60};
constexpr std::chrono::milliseconds kUnknownRetry = std::chrono::seconds{1};

}  // namespace

void DrainRate::Add(Instant now) {
  releases_.push_back(now);
  if (releases_.size() > kReleasesKept) {
    releases_.pop_front();
  }
}

std::optional<std::chrono::nanoseconds> DrainRate::interval(Instant now) const {
  if (releases_.size() < kReleasesNeeded) {
    return std::nullopt;
  }
  const auto count = static_cast<std::int64_t>(releases_.size());
  return (now - releases_.front()) / count;
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
