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
#include <functional>
#include <map>
#include <optional>
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
  /// Set for a cold upstream: requests that may follow each other without a
  /// pause. It tolerates no more even just after another node became its
  /// allocator.
  std::optional<double> cold_burst = {};
  /// Whether this node has been the allocator for so long that no permit of a
  /// predecessor is in use.
  bool settled = false;
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
  /// Discards the state of the upstreams for which this node is no longer the
  /// allocator, since another node grants requests meanwhile.
  void Retain(const std::function<bool(const UpstreamId&)>& is_allocator);
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
  /// Longest delay of a request to a cold upstream. A new allocator grants
  /// nothing for that long, since its predecessor may have granted the requests
  /// of that time.
  static constexpr std::chrono::milliseconds kMaxColdDelay{250};

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
