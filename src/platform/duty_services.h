// Fenced calls to the platform and to upstreams. Each carries the epoch of a
// lease, so that only the current lease holder can make it.

#ifndef MULBERRYROAD_SRC_PLATFORM_DUTY_SERVICES_H_
#define MULBERRYROAD_SRC_PLATFORM_DUTY_SERVICES_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <variant>

#include "mulberryroad/endpoint.h"
#include "mulberryroad/ids.h"
#include "platform/log_service.h"

namespace mulberryroad::platform {

/// The lease holder that makes a call, and the epoch of its lease.
struct DutyFence {
  std::string holder;
  std::uint64_t epoch = 0;
  /// Returns whether the term still runs. Called when the call is written to
  /// its connection: connecting may take longer than the rest of the term, or
  /// the process may have been suspended meanwhile, and the service may not
  /// reject outdated epochs.
  std::function<bool()> is_current;
};

/// The call was executed, or its effect was already in place.
struct DutyDone {};
/// The service or upstream has received a higher epoch. The caller must stop
/// acting as the lease holder.
struct DutyFenced {};
/// The call was refused for now. The caller may retry it.
struct DutyRefused {
  /// HTTP status.
  int status = 0;
};
using DutyOutcome =
    std::variant<DutyDone, DutyFenced, DutyRefused, PlatformFailure>;
using DutyCallback = std::function<void(DutyOutcome)>;

/// Usage reports and capacity orders to the platform.
class DutyServices {
 public:
  virtual ~DutyServices() = default;
  /// Reports the number of requests per organisation in a usage window.
  virtual void ReportUsage(
      const DutyFence& fence, std::int64_t window,
      const std::map<OrganisationId, std::uint64_t>& counts,
      DutyCallback on_outcome) = 0;
  /// Sets the desired number of upstreams of a service in a failure domain.
  virtual void OrderCapacity(const DutyFence& fence, const TargetId& service,
                             const FailureDomainId& failure_domain,
                             std::uint32_t count, DutyCallback on_outcome) = 0;
};

/// Treatment of running requests when the model's weights change.
enum class SwapMode {
  /// Wait for running requests to finish before the change.
  kWaitForRequests,
  /// Continue running requests under the new version.
  kContinueRequests,
};

/// The upstream that an order is sent to.
struct OrderTarget {
  UpstreamId id;
  /// Start time of its process, as registered.
  std::chrono::milliseconds started{0};
  Endpoint endpoint;
};

/// An order to load a version of the weights.
struct VersionOrder {
  TargetId model;
  std::uint64_t version = 0;
  SwapMode mode = SwapMode::kContinueRequests;
  /// Expected number of orders that the upstream has accepted before this one.
  /// The upstream rejects the order if the number differs, for instance because
  /// the order was delayed.
  std::uint64_t after_orders = 0;
};

/// The state reported by an upstream.
struct UpstreamState {
  std::uint64_t accepted_orders = 0;
  /// True while an order is being executed.
  bool busy = false;
  std::map<TargetId, std::uint64_t> versions;
};
/// The order was accepted and is being executed.
struct OrderAccepted {};
/// The order's effect is already in place.
struct OrderAlreadyApplied {};
/// Another order is being executed, or the number of accepted orders differs.
struct OrderConflict {};
using OrderOutcome =
    std::variant<OrderAccepted, OrderAlreadyApplied, OrderConflict, DutyFenced,
                 DutyRefused, PlatformFailure>;

/// Sends orders to upstreams and reads their state.
class UpstreamOrders {
 public:
  virtual ~UpstreamOrders() = default;
  virtual void ChangeVersion(const DutyFence& fence, const OrderTarget& target,
                             const VersionOrder& order,
                             std::function<void(OrderOutcome)> on_outcome) = 0;
  virtual void ReadState(
      const OrderTarget& target,
      std::function<void(std::variant<UpstreamState, PlatformFailure>)>
          on_state) = 0;
};

}  // namespace mulberryroad::platform

#endif  // MULBERRYROAD_SRC_PLATFORM_DUTY_SERVICES_H_
