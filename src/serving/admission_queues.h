// The admission queues of the services of a node: sends waiting requests as
// slots free.

#ifndef MULBERRYROAD_SRC_SERVING_ADMISSION_QUEUES_H_
#define MULBERRYROAD_SRC_SERVING_ADMISSION_QUEUES_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <variant>

#include "base/event_loop.h"
#include "base/metrics.h"
#include "mulberryroad/clock.h"
#include "mulberryroad/ids.h"
#include "serving/admission_queue.h"

namespace mulberryroad::serving {

/// Runs on the event loop's thread.
class AdmissionQueues {
 public:
  /// Callbacks of a waiting request. The queue drops them when the request
  /// leaves it.
  struct Waiter {
    /// Returns whether the request could be sent now, or would be refused for
    /// want of upstreams.
    std::function<bool()> may_send;
    /// Called once, when the request has left the queue because it is its turn.
    std::function<void()> on_turn;
  };

  AdmissionQueues(base::EventLoop& loop, const Clock& clock,
                  base::Metrics& metrics, std::mt19937_64& random);
  ~AdmissionQueues();
  AdmissionQueues(const AdmissionQueues&) = delete;
  AdmissionQueues& operator=(const AdmissionQueues&) = delete;

  /// Adds a request. Its callbacks are never called from inside Add.
  std::variant<AdmissionQueue::Ticket, AdmissionRefusal> Add(
      const TargetId& service, const QueuedRequest& request, Waiter waiter);
  /// Removes a request that waits no longer.
  void Remove(const TargetId& service, AdmissionQueue::Ticket ticket);
  /// Ends the wait of a request that reached its limit.
  /// @return the refusal if the service is overloaded; nullopt if the request
  ///     may be sent although no slot is free
  std::optional<AdmissionRefusal> EndWait(const TargetId& service,
                                          AdmissionQueue::Ticket ticket);
  /// Records that a request was sent to an upstream, and its end.
  void OnStarted(const TargetId& service, const RequestRank& rank);
  void OnEnded(const TargetId& service, const RequestRank& rank,
               std::chrono::microseconds used);

  /// Returns whether requests of a service wait.
  bool HasWaiting(const TargetId& service) const;
  /// Returns the number of waiting requests.
  std::size_t size() const;

  /// Interval at which waiting requests are tried also without a request that
  /// ended: slots free as well by scorer calls, by new upstreams and at the end
  /// of the time for which an upstream counts as full.
  static constexpr std::chrono::milliseconds kRetryInterval{10};

 private:
  struct Service {
    AdmissionQueue queue;
    std::map<AdmissionQueue::Ticket, Waiter> waiters;
    bool posted = false;
    base::Timer timer;
  };

  void PostDispatch(const TargetId& id);
  void Dispatch(const TargetId& id);
  double Draw();

  base::EventLoop& loop_;
  const Clock& clock_;
  base::Metrics& metrics_;
  std::mt19937_64& random_;
  std::map<TargetId, Service> services_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mulberryroad::serving

#endif  // MULBERRYROAD_SRC_SERVING_ADMISSION_QUEUES_H_
