// Interface for permits to send requests to upstreams with a rate limit.

#ifndef MULBERRYROAD_SRC_SERVING_PERMIT_SOURCE_H_
#define MULBERRYROAD_SRC_SERVING_PERMIT_SOURCE_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "mulberryroad/ids.h"

namespace mulberryroad::serving {

enum class RequestPriority {
  /// A caller waits for the response.
  kCaller,
  /// Items of batches and scorer calls.
  kBackground,
};

/// A request may be sent: UpstreamStatements holds a permit, or one of the
/// upstreams has no limit any more.
struct PermitGranted {};
/// The limits are used up, or no allocator answered.
struct PermitDenied {
  /// Time after which a request is likely to be granted.
  std::chrono::milliseconds retry_after{0};
  /// Upstream whose limit allows the next request first; empty if no allocator
  /// answered.
  UpstreamId upstream = {};
  /// The limit of that upstream and the time since it was learned.
  double requests_per_second = 0;
  std::chrono::milliseconds learned_ago{0};
  /// Address of the node that decided, or "self".
  std::string decided_by = {};
};
using PermitResult = std::variant<PermitGranted, PermitDenied>;

/// Used on the event loop's thread.
class PermitSource {
 public:
  virtual ~PermitSource() = default;
  /// Asks for a permit for one request to any of the candidates.
  /// @param candidates upstreams with a limit; at least one
  /// @param max_wait longest acceptable delay of the request
  /// @param on_result called once, possibly before Acquire returns
  virtual void Acquire(std::vector<UpstreamId> candidates,
                       RequestPriority priority,
                       std::chrono::milliseconds max_wait,
                       std::function<void(PermitResult)> on_result) = 0;
};

/// Asks for permits for background work, a bounded number at a time.
class BackgroundPermits {
 public:
  /// @param on_granted called when work may be sent
  BackgroundPermits(PermitSource& source, std::function<void()> on_granted)
      : source_(source), on_granted_(std::move(on_granted)) {}
  ~BackgroundPermits() { *alive_ = false; }
  BackgroundPermits(const BackgroundPermits&) = delete;
  BackgroundPermits& operator=(const BackgroundPermits&) = delete;

  /// Asks for a permit; does nothing without candidates or while enough earlier
  /// requests are pending.
  /// @param max_pending number of permits to ask for at the same time
  void Request(const std::vector<UpstreamId>& candidates,
               std::size_t max_pending = 1) {
    if (candidates.empty()) {
      return;
    }
    // Not a condition on `pending_`: a result may arrive inside Acquire.
    for (std::size_t i = pending_; i < max_pending; ++i) {
      ++pending_;
      source_.Acquire(candidates, RequestPriority::kBackground,
                      std::chrono::milliseconds(0),
                      [this, alive = alive_](const PermitResult& result) {
                        if (!*alive) {
                          return;
                        }
                        --pending_;
                        if (std::holds_alternative<PermitGranted>(result)) {
                          on_granted_();
                        }
                      });
    }
  }

 private:
  PermitSource& source_;
  std::function<void()> on_granted_;
  std::size_t pending_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mulberryroad::serving

#endif  // MULBERRYROAD_SRC_SERVING_PERMIT_SOURCE_H_
