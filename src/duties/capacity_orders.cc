#include "duties/capacity_orders.h"

#include <utility>
#include <variant>

namespace mulberryroad::duties {

CapacityOrders::CapacityOrders(
    base::EventLoop& loop, const Clock& clock, base::StructuredLog& log,
    base::Metrics& metrics, platform::DutyServices& services,
    const serving::UpstreamDirectory& directory,
    const serving::Catalog& catalog, std::string node,
    std::function<std::optional<std::uint64_t>()> epoch,
    std::function<bool()> store_unstable)
    : loop_(loop),
      clock_(clock),
      log_(log),
      metrics_(metrics),
      services_(services),
      directory_(directory),
      catalog_(catalog),
      node_(std::move(node)),
      epoch_(std::move(epoch)),
      store_unstable_(std::move(store_unstable)) {}

CapacityOrders::~CapacityOrders() { *alive_ = false; }

void CapacityOrders::Start() {
  timer_ = loop_.Every(kTickInterval, [this] { Tick(); });
}

void CapacityOrders::Tick() {
  const Instant now = clock_.now();
  plan_.Observe(directory_.all(), store_unstable_(), now);
  const auto epoch = epoch_();
  const serving::Manifest* manifest = catalog_.manifest();
  if (!epoch.has_value() || manifest == nullptr) {
    return;
  }
  for (const CapacityOrder& order : plan_.Next(*manifest, now)) {
    SendOrder(order, *epoch);
  }
}

void CapacityOrders::SendOrder(const CapacityOrder& order,
                               std::uint64_t epoch) {
  metrics_.Count("capacity_orders_total", {});
  services_.OrderCapacity(
      {node_, epoch, [this, epoch] { return epoch_() == epoch; }},
      order.target.service, order.target.failure_domain, order.count,
      [this, alive = alive_, order,
       epoch](const platform::DutyOutcome& outcome) {
        if (!*alive) {
          return;
        }
        static constexpr const char* kOutcomeNames[] = {
            "done", "fenced or no capacity available", "refused",
            "no response"};
        log_.Write("order.capacity",
                   {{"service", order.target.service.value()},
                    {"failure_domain", order.target.failure_domain.value()},
                    {"present", static_cast<std::int64_t>(order.present)},
                    {"ordered", static_cast<std::int64_t>(order.count)},
                    {"epoch", static_cast<std::int64_t>(epoch)},
                    {"manifest", static_cast<std::int64_t>(catalog_.version())},
                    {"outcome", kOutcomeNames[outcome.index()]}});
      });
}

}  // namespace mulberryroad::duties
