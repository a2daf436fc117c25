// Divides the requests that a limited upstream accepts among the nodes. Pure:
// no I/O and no clock.
//
// Designed for limits far below one request per node and window, and for load
// that is unevenly spread over the nodes: each upstream has one allocator, on
// the node that owns its partition, and grants are made per request. Callers
// come before background work, which gets only what callers leave unused.

#ifndef MULBERRYROAD_SRC_SERVING_LIMIT_ALLOCATOR_H_
#define MULBERRYROAD_SRC_SERVING_LIMIT_ALLOCATOR_H_

#include <chrono>
#include <map>
#include <variant>
#include <vector>

#include "mulberryroad/clock.h"
#include "mulberryroad/ids.h"
#include "serving/permit_source.h"

namespace mulberryroad::serving {

/// An upstream and the rate that it accepts from all nodes together.
struct LimitedUpstream {
  UpstreamId id;
  /// In requests per second.
  double requests_per_second = 0;
};

/// One request may be sent to the upstream after the delay.
struct Allocated {
  UpstreamId upstream;
  std::chrono::milliseconds delay{0};
};
/// No request may be sent.
struct NotAllocated {
  UpstreamId upstream;
  /// Time after which a request of the same priority is likely to be granted.
  std::chrono::milliseconds retry_after{0};
};
using Allocation = std::variant<Allocated, NotAllocated>;

/// Token buckets by upstream (generic cell rate algorithm). Used on the event
/// loop's thread.
class LimitAllocator {
 public:
  /// Grants one request to the candidate that can accept it first.
  /// @param candidates at least one upstream
  /// @param max_wait longest acceptable delay of the request; background work
  ///     does not wait
  Allocation Allocate(const std::vector<LimitedUpstream>& candidates,
                      RequestPriority priority,
                      std::chrono::milliseconds max_wait, Instant now);
  /// Discards the state of upstreams without recent requests.
  void Expire(Instant now);
  /// Returns the number of upstreams with state.
  std::size_t size() const { return buckets_.size(); }

  /// Requests that may follow each other without a pause.
  static constexpr double kBurst = 3;
  /// Number of these that are left to callers.
  static constexpr double kReservedForCallers = 1;
  /// Limits below this one count as this one, in requests per second.
  static constexpr double kMinRate = 0.01;
  /// Upper bound of the retry delay. Later, the limit may have changed.
  static constexpr std::chrono::milliseconds kMaxRetryAfter{5'000};
  static constexpr std::chrono::minutes kMaxIdleTime{10};

 private:
  struct Bucket {
    /// Time at which the bucket is full again.
    Instant full_at{};
    /// Retry time of the last caller that was denied.
    Instant promised{};
    Instant used_at{};
  };

  std::map<UpstreamId, Bucket> buckets_;
};

}  // namespace mulberryroad::serving

#endif  // MULBERRYROAD_SRC_SERVING_LIMIT_ALLOCATOR_H_
