// Sends the weight loads of WeightPlan to the upstreams while this node holds
// the duty lease.

#ifndef MULBERRYROAD_SRC_DUTIES_WEIGHT_ORDERS_H_
#define MULBERRYROAD_SRC_DUTIES_WEIGHT_ORDERS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/event_loop.h"
#include "base/metrics.h"
#include "base/structured_log.h"
#include "duties/weight_plan.h"
#include "mulberryroad/clock.h"
#include "platform/duty_services.h"
#include "serving/catalog.h"
#include "serving/permit_source.h"
#include "serving/upstream_statements.h"
#include "serving/upstreams.h"

namespace mulberryroad::duties {

/// Runs WeightPlan on a timer. Used on the event loop's thread.
class WeightOrders {
 public:
  /// @param node name of this node in its orders
  /// @param epoch returns the epoch of the lease while this node holds it, else
  ///     nullopt
  WeightOrders(base::EventLoop& loop, const Clock& clock,
               base::StructuredLog& log, base::Metrics& metrics,
               platform::UpstreamOrders& orders,
               const serving::UpstreamDirectory& directory,
               const serving::Catalog& catalog, std::string node,
               std::function<std::optional<std::uint64_t>()> epoch,
               serving::UpstreamStatements& statements,
               serving::PermitSource& permits);
  ~WeightOrders();
  WeightOrders(const WeightOrders&) = delete;
  WeightOrders& operator=(const WeightOrders&) = delete;

  /// Starts the timer. Called once.
  void Start();
  /// Records a weight version that a trainer published.
  void OnVersionPublished(const TargetId& model, std::uint64_t version);

  static constexpr std::chrono::milliseconds kTickInterval{50};
  /// Longest delay of a request to a cold upstream.
  static constexpr std::chrono::milliseconds kPermitWait{250};

 private:
  /// Number of orders that an upstream's current process has accepted.
  struct OrderCount {
    /// Start time of the process; a restart resets the count.
    std::chrono::milliseconds started{0};
    /// nullopt if it must be read from the upstream before the next order.
    std::optional<std::uint64_t> accepted_orders;
  };

  /// Orders the loads that are due, if the lease is held.
  void Tick();
  /// Returns the registered upstreams outside the evacuated domains.
  std::map<UpstreamId, serving::Registration> OrderableUpstreams() const;
  /// Calls `send` once one request may be sent to the upstream, and counts it.
  /// Without a permit, the load counts as failed and is tried again.
  void WithPermit(const UpstreamId& upstream, std::function<void()> send);
  void ReadState(const LoadWeights& load);
  void PermitOrder(const LoadWeights& load, std::uint64_t after_orders);
  /// Sends an order, after reading the state of the upstream if needed.
  void StartOrder(const LoadWeights& load);
  /// Sends an order.
  /// @param after_orders number of orders that the upstream has accepted so
  ///     far; it refuses the order if its count differs
  void SendOrder(const LoadWeights& load, std::uint64_t after_orders);
  /// Logs the outcome of an order and updates the plan and the order count.
  void OnOutcome(const LoadWeights& load, std::uint64_t after_orders,
                 const platform::OrderOutcome& outcome);
  /// Returns whether running requests finish before the load or continue under
  /// the new version. They finish first if a route of the service requires a
  /// single version or no manifest is known.
  platform::SwapMode SwapModeFor(const TargetId& service) const;

  base::EventLoop& loop_;
  const Clock& clock_;
  base::StructuredLog& log_;
  base::Metrics& metrics_;
  platform::UpstreamOrders& orders_;
  const serving::UpstreamDirectory& directory_;
  const serving::Catalog& catalog_;
  std::string node_;
  std::function<std::optional<std::uint64_t>()> epoch_;
  WeightPlan plan_;
  std::map<UpstreamId, OrderCount> order_counts_;
  /// Epoch that an upstream or its platform rejected as outdated.
  std::optional<std::uint64_t> fenced_epoch_;
  base::Timer timer_;
  serving::UpstreamStatements& statements_;
  serving::PermitSource& permits_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mulberryroad::duties

#endif  // MULBERRYROAD_SRC_DUTIES_WEIGHT_ORDERS_H_
