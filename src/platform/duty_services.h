// What one node at a time asks of the platform and of upstreams, under its
// lease's epoch.

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

/// Who acts, and under which epoch.
struct DutyFence {
  std::string holder;
  std::uint64_t epoch = 0;
};

/// The call was carried out, or holds already.
struct DutyDone {};
/// A higher epoch acted: this holder must stop.
struct DutyFenced {};
/// The call was refused for now.
struct DutyRefused {
  int status = 0;
};
using DutyOutcome =
    std::variant<DutyDone, DutyFenced, DutyRefused, PlatformFailure>;
using OnDuty = std::function<void(DutyOutcome)>;

/// Usage reports and orders of capacity.
class DutyServices {
 public:
  virtual ~DutyServices() = default;
  /// Reports the requests of a usage window.
  virtual void ReportUsage(
      const DutyFence& fence, std::int64_t window,
      const std::map<OrganisationId, std::uint64_t>& counts,
      OnDuty on_outcome) = 0;
  /// Orders the number of upstreams of a service in a failure domain.
  virtual void OrderCapacity(const DutyFence& fence, const TargetId& service,
                             const FailureDomainId& failure_domain,
                             std::uint32_t count, OnDuty on_outcome) = 0;
};

/// How runs of the model are treated when its weights change.
enum class SwapMode {
  /// Runs finish first.
  kHold,
  /// Runs go on under the new version.
  kRetain,
};

/// Names an upstream and its process.
struct OrderTarget {
  UpstreamId id;
  Endpoint endpoint;
};

struct VersionOrder {
  TargetId model;
  std::uint64_t version = 0;
  SwapMode mode = SwapMode::kRetain;
  /// Orders that the upstream has accepted so far; one that comes late is void.
  std::uint64_t after_orders = 0;
};

/// An upstream's state as it tells it itself.
struct UpstreamState {
  std::uint64_t accepted_orders = 0;
  /// An order is being carried out.
  bool busy = false;
  std::map<TargetId, std::uint64_t> versions;
};
/// The order is being carried out.
struct OrderAccepted {};
/// The order already holds.
struct OrderHolds {};
/// Another order is under way, or the count of orders differs.
struct OrderConflict {};
using OrderOutcome = std::variant<OrderAccepted, OrderHolds, OrderConflict,
                                  DutyFenced, DutyRefused, PlatformFailure>;

/// Orders to one upstream.
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
