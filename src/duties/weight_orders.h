// Carries out the plan of weight changes while this node holds the lease.

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
#include "serving/upstreams.h"

namespace mulberryroad::duties {

class WeightOrders {
 public:
  /// @param node name under which this node gives orders
  /// @param epoch returns the lease's epoch while this node may act
  WeightOrders(base::EventLoop& loop, const Clock& clock,
               base::StructuredLog& log, base::Metrics& metrics,
               platform::UpstreamOrders& orders,
               const serving::UpstreamDirectory& directory,
               const serving::Catalog& catalog, std::string node,
               std::function<std::optional<std::uint64_t>()> epoch);
  ~WeightOrders();
  WeightOrders(const WeightOrders&) = delete;
  WeightOrders& operator=(const WeightOrders&) = delete;

  void Start();
  /// A trainer named a version.
  void Named(const TargetId& model, std::uint64_t version);

  static constexpr std::chrono::milliseconds kTick{50};

 private:
  /// What is known of the orders that one process of an upstream accepted.
  struct Target {
    std::chrono::milliseconds started{0};
    std::optional<std::uint64_t> accepted_orders;
  };

  void Tick();
  void Order(const LoadWeights& load);
  void Send(const LoadWeights& load, std::uint64_t after_orders);
  void OnOutcome(const LoadWeights& load, std::uint64_t after_orders,
                 const platform::OrderOutcome& outcome);
  platform::SwapMode Mode(const TargetId& service) const;

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
  std::map<UpstreamId, Target> targets_;
  /// Epoch under which an upstream or its platform refused this node.
  std::optional<std::uint64_t> fenced_epoch_;
  base::Timer timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mulberryroad::duties

#endif  // MULBERRYROAD_SRC_DUTIES_WEIGHT_ORDERS_H_
