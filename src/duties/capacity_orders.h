// Sends orders that replace lost capacity while this node holds the duty lease.

#ifndef MULBERRYROAD_SRC_DUTIES_CAPACITY_ORDERS_H_
#define MULBERRYROAD_SRC_DUTIES_CAPACITY_ORDERS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/event_loop.h"
#include "base/metrics.h"
#include "base/structured_log.h"
#include "duties/capacity_plan.h"
#include "mulberryroad/clock.h"
#include "platform/duty_services.h"
#include "serving/catalog.h"
#include "serving/upstreams.h"

namespace mulberryroad::duties {

/// Runs CapacityPlan on a timer and sends its orders to the platform. Used on
/// the event loop's thread.
class CapacityOrders {
 public:
  /// @param node name of this node in its orders
  /// @param epoch returns the epoch of the lease while this node holds it, else
  ///     nullopt
  /// @param store_unstable returns whether the store has an outage or recently
  ///     had one
  CapacityOrders(base::EventLoop& loop, const Clock& clock,
                 base::StructuredLog& log, base::Metrics& metrics,
                 platform::DutyServices& services,
                 const serving::UpstreamDirectory& directory,
                 const serving::Catalog& catalog, std::string node,
                 std::function<std::optional<std::uint64_t>()> epoch,
                 std::function<bool()> store_unstable);
  ~CapacityOrders();
  CapacityOrders(const CapacityOrders&) = delete;
  CapacityOrders& operator=(const CapacityOrders&) = delete;

  /// Starts the timer. Called once.
  void Start();

  /// Interval of the plan: short compared with the seconds until a loss is
  /// detected.
  static constexpr std::chrono::milliseconds kTickInterval{500};

 private:
  /// Observes the registrations, and sends the due orders if the lease is held.
  void Tick();
  void SendOrder(const CapacityOrder& order, std::uint64_t epoch);

  base::EventLoop& loop_;
  const Clock& clock_;
  base::StructuredLog& log_;
  base::Metrics& metrics_;
  platform::DutyServices& services_;
  const serving::UpstreamDirectory& directory_;
  const serving::Catalog& catalog_;
  std::string node_;
  std::function<std::optional<std::uint64_t>()> epoch_;
  std::function<bool()> store_unstable_;
  CapacityPlan plan_;
  base::Timer timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mulberryroad::duties

#endif  // MULBERRYROAD_SRC_DUTIES_CAPACITY_ORDERS_H_
