#include "duties/weight_orders.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "serving/cold_upstreams.h"

namespace mulberryroad::duties {

WeightOrders::WeightOrders(base::EventLoop& loop, const Clock& clock,
                           base::StructuredLog& log, base::Metrics& metrics,
                           platform::UpstreamOrders& orders,
                           const serving::UpstreamDirectory& directory,
                           const serving::Catalog& catalog, std::string node,
                           std::function<std::optional<std::uint64_t>()> epoch,
                           serving::UpstreamStatements& statements,
                           serving::PermitSource& permits)
    : loop_(loop),
      clock_(clock),
      log_(log),
      metrics_(metrics),
      orders_(orders),
      directory_(directory),
      catalog_(catalog),
      node_(std::move(node)),
      epoch_(std::move(epoch)),
      statements_(statements),
      permits_(permits) {}

WeightOrders::~WeightOrders() { *alive_ = false; }

void WeightOrders::Start() {
  timer_ = loop_.Every(kTickInterval, [this] { Tick(); });
}

void WeightOrders::OnVersionPublished(const TargetId& model,
                                      std::uint64_t version) {
  if (version > plan_.newest(model)) {
    log_.Write("version.named",
               {{"model", model.value()},
                {"version", static_cast<std::int64_t>(version)}});
  }
  plan_.OnVersionPublished(model, version);
}

void WeightOrders::Tick() {
  const auto epoch = epoch_();
  if (!epoch.has_value() || epoch == fenced_epoch_) {
    // The next holder's orders change the counts, so they must be read again.
    order_counts_.clear();
    return;
  }
  for (const LoadWeights& load :
       plan_.Next(OrderableUpstreams(), clock_.now())) {
    StartOrder(load);
  }
}

std::map<UpstreamId, serving::Registration> WeightOrders::OrderableUpstreams()
    const {
  std::map<UpstreamId, serving::Registration> upstreams = directory_.all();
  std::erase_if(upstreams, [this](const auto& entry) {
    return directory_.IsEvacuated(entry.second);
  });
  return upstreams;
}

void WeightOrders::StartOrder(const LoadWeights& load) {
  const serving::Registration* upstream = directory_.find(load.upstream);
  OrderCount& order_count = order_counts_[load.upstream];
  if (order_count.started != upstream->started) {
    order_count = {upstream->started, std::nullopt};
  }
  if (order_count.accepted_orders.has_value()) {
    PermitOrder(load, *order_count.accepted_orders);
    return;
  }
  WithPermit(load.upstream, [this, load] { ReadState(load); });
}

void WeightOrders::ReadState(const LoadWeights& load) {
  const serving::Registration* upstream = directory_.find(load.upstream);
  if (upstream == nullptr || directory_.IsEvacuated(*upstream)) {
    plan_.OnLoadFailed(load.upstream);
    return;
  }
  orders_.ReadState(
      {upstream->id, upstream->started, upstream->endpoint},
      [this, alive = alive_,
       load](const std::variant<platform::UpstreamState,
                                platform::PlatformFailure>& state) {
        if (!*alive) {
          return;
        }
        if (const auto* read = std::get_if<platform::UpstreamState>(&state)) {
          order_counts_[load.upstream].accepted_orders = read->accepted_orders;
          PermitOrder(load, read->accepted_orders);
        } else {
          plan_.OnLoadFailed(load.upstream);
        }
      });
}

void WeightOrders::PermitOrder(const LoadWeights& load,
                               std::uint64_t after_orders) {
  WithPermit(load.upstream,
             [this, load, after_orders] { SendOrder(load, after_orders); });
}

void WeightOrders::WithPermit(const UpstreamId& upstream,
                              std::function<void()> send) {
  const auto send_if_permitted = [this, upstream, send = std::move(send)] {
    const Instant now = clock_.now();
    if (!statements_.cold_grant(upstream, now).has_value()) {
      send();
      return true;
    }
    if (!statements_.MaySend(upstream, now)) {
      return false;
    }
    statements_.OnRequestSent(upstream, now);
    send();
    return true;
  };
  if (send_if_permitted()) {
    return;
  }
  permits_.Acquire({upstream}, serving::RequestPriority::kCaller, kPermitWait,
                   [this, alive = alive_, upstream, send_if_permitted](
                       const serving::PermitResult& /*result*/) {
                     if (*alive && !send_if_permitted()) {
                       plan_.OnLoadFailed(upstream);
                     }
                   });
}

platform::SwapMode WeightOrders::SwapModeFor(const TargetId& service) const {
  const serving::Manifest* manifest = catalog_.manifest();
  if (manifest == nullptr) {
    return platform::SwapMode::kWaitForRequests;
  }
  // The weights must not change during a sample of a single-version route.
  const bool one_version = std::any_of(
      manifest->routes.begin(), manifest->routes.end(),
      [&service](const serving::Route& route) {
        return route.single_version &&
               std::any_of(route.services.begin(), route.services.end(),
                           [&service](const serving::ServiceShare& share) {
                             return share.service == service;
                           });
      });
  return one_version ? platform::SwapMode::kWaitForRequests
                     : platform::SwapMode::kContinueRequests;
}

void WeightOrders::SendOrder(const LoadWeights& load,
                             std::uint64_t after_orders) {
  const serving::Registration* upstream = directory_.find(load.upstream);
  const auto epoch = epoch_();
  if (upstream == nullptr || directory_.IsEvacuated(*upstream) ||
      !epoch.has_value()) {
    plan_.OnLoadFailed(load.upstream);
    return;
  }
  metrics_.Count("weight_orders_total", {});
  orders_.ChangeVersion(
      {node_, *epoch,
       [this, epoch, target = *upstream] {
         return epoch_() == epoch && !directory_.IsEvacuated(target);
       }},
      {upstream->id, upstream->started, upstream->endpoint},
      {load.model, load.version, SwapModeFor(upstream->service), after_orders},
      [this, alive = alive_, load,
       after_orders](const platform::OrderOutcome& outcome) {
        if (*alive) {
          OnOutcome(load, after_orders, outcome);
        }
      });
}

void WeightOrders::OnOutcome(const LoadWeights& load,
                             std::uint64_t after_orders,
                             const platform::OrderOutcome& outcome) {
  static constexpr const char* kOutcomeNames[] = {
      "accepted", "already in effect", "conflict",
      "fenced",   "refused",           "no response"};
  log_.Write("order.version",
             {{"upstream", load.upstream.value()},
              {"model", load.model.value()},
              {"version", static_cast<std::int64_t>(load.version)},
              {"after_orders", static_cast<std::int64_t>(after_orders)},
              {"epoch", static_cast<std::int64_t>(epoch_().value_or(0))},
              {"outcome", kOutcomeNames[outcome.index()]}});
  OrderCount& order_count = order_counts_[load.upstream];
  if (std::holds_alternative<platform::OrderAccepted>(outcome)) {
    order_count.accepted_orders = after_orders + 1;
    return;
  }
  if (std::holds_alternative<platform::OrderAlreadyApplied>(outcome)) {
    return;
  }
  // The upstream may have accepted the order: read its count before the next.
  order_count.accepted_orders.reset();
  if (std::holds_alternative<platform::DutyFenced>(outcome)) {
    fenced_epoch_ = epoch_();
  }
  if (!std::holds_alternative<platform::PlatformFailure>(outcome)) {
    plan_.OnLoadFailed(load.upstream);
  }
}

}  // namespace mulberryroad::duties
