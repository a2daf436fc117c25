#include "serving/limit_allocator.h"

#include <algorithm>
#include <limits>

namespace mulberryroad::serving {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

nanoseconds IntervalOf(const LimitedUpstream& upstream) {
  const std::chrono::duration<double> interval(
      1.0 / std::max(upstream.requests_per_second, LimitAllocator::kMinRate));
  return duration_cast<nanoseconds>(interval);
}

}  // namespace

Allocation LimitAllocator::Allocate(
    const std::vector<LimitedUpstream>& candidates, RequestPriority priority,
    milliseconds max_wait, Instant now) {
  const bool background = priority == RequestPriority::kBackground;
  const LimitedUpstream* best = &candidates.front();
  Instant best_time = Instant::max();
  for (const LimitedUpstream& candidate : candidates) {
    const nanoseconds interval = IntervalOf(candidate);
    const auto added = buckets_.try_emplace(candidate.id);
    Bucket& bucket = added.first->second;
    bucket.used_at = now;
    if (added.second && candidate.cold_burst.has_value()) {
      bucket.full_at = candidate.settled
                           ? now
                           : now + kMaxColdDelay +
                                 duration_cast<nanoseconds>(interval * kBurst);
    } else if (added.second) {
      // The previous allocator may have granted requests just now.
      bucket.full_at =
          now + duration_cast<nanoseconds>(interval * (kBurst - 1));
    }
    const double burst = candidate.cold_burst.value_or(kBurst);
    // Callers and background work share a bucket of one request.
    const double usable =
        background ? std::max(1.0, burst - kReservedForCallers) : burst;
    const Instant allowed_at =
        bucket.full_at - duration_cast<nanoseconds>(interval * (usable - 1));
    if (allowed_at < best_time) {
      best = &candidate;
      best_time = allowed_at;
    }
  }
  Bucket& bucket = buckets_[best->id];
  const nanoseconds interval = IntervalOf(*best);
  const Instant latest =
      background ? now
                 : now + (best->cold_burst.has_value()
                              ? std::min<milliseconds>(max_wait, kMaxColdDelay)
                              : max_wait);
  if (best_time <= latest) {
    bucket.full_at = std::max(bucket.full_at, now) + interval;
    return Allocated{best->id, std::chrono::ceil<milliseconds>(std::max(
                                   best_time - now, Instant::duration(0)))};
  }
  Instant retry_at = best_time;
  if (!background) {
    // Callers that were denied earlier return first.
    retry_at = std::max(best_time, bucket.promised + interval);
    bucket.promised = std::min(retry_at, now + kMaxRetryAfter);
  }
  return NotAllocated{
      best->id, std::min(kMaxRetryAfter,
                         std::chrono::ceil<milliseconds>(retry_at - now))};
}

void LimitAllocator::Expire(Instant now) {
  std::erase_if(buckets_, [now](const auto& bucket) {
    return bucket.second.used_at + kMaxIdleTime < now;
  });
}

void LimitAllocator::Retain(
    const std::function<bool(const UpstreamId&)>& is_allocator) {
  std::erase_if(buckets_, [&is_allocator](const auto& bucket) {
    return !is_allocator(bucket.first);
  });
}

}  // namespace mulberryroad::serving
