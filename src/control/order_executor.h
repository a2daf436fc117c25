// Carries out the steps of an order book: appends, sends, asks.

#ifndef MULBERRYROAD_SRC_CONTROL_ORDER_EXECUTOR_H_
#define MULBERRYROAD_SRC_CONTROL_ORDER_EXECUTOR_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "control/order_book.h"
#include "lease/leases.h"
#include "log/journal.h"
#include "log/live_records.h"
#include "mulberryroad/clock.h"
#include "platform/platform.h"

namespace mulberryroad::control {

/// Finds the HTTP endpoint of an upstream.
using EndpointOf =
    std::function<std::optional<Endpoint>(const std::string& upstream)>;
using OnSettled = std::function<void(const SettledOrder&)>;

class OrderExecutor {
 public:
  /// Subscribes to the stream of orders.
  /// @param on_settled called for each outcome in the stream, old ones included
  OrderExecutor(const Clock& clock, log::Journal& journal,
                lease::Leases& leases, platform::OrderingService& ordering,
                platform::EngineControl& engines, RoleId role,
                std::string stream, EndpointOf endpoint_of,
                OnSettled on_settled);
  ~OrderExecutor();
  OrderExecutor(const OrderExecutor&) = delete;
  OrderExecutor& operator=(const OrderExecutor&) = delete;

  /// Takes note of the term held now.
  /// @return its epoch, or nullopt if the role is not held
  std::optional<std::uint64_t> UpdateTerm();
  /// Appends the intent of an order; it is sent once it was read back.
  /// @return the intent, or nullopt without a term
  std::optional<v1::OrderIntent> Give(v1::OrderIntent order);
  /// Takes the steps that are due.
  void Step();
  const OrderBook& book() const { return book_; }
  const std::string& stream() const { return stream_; }
  /// Writes the records that a reader needs to come to this state.
  void Save(v1::Snapshot* snapshot);

 private:
  void Take(const SendOrder& step);
  void Take(const SettleOrder& step);
  void Take(const RecordOutcome& step);
  void SendToPlatform(const v1::OrderIntent& intent, std::uint64_t fencing);
  void SendToEngine(const v1::OrderIntent& intent, std::uint64_t fencing);
  void AskEngine(const v1::OrderIntent& intent);
  void Tell(const std::string& order_id, const OrderAnswer& answer);

  const Clock& clock_;
  log::Journal& journal_;
  lease::Leases& leases_;
  platform::OrderingService& ordering_;
  platform::EngineControl& engines_;
  RoleId role_;
  std::string stream_;
  EndpointOf endpoint_of_;
  OnSettled on_settled_;
  OrderBook book_;
  log::LiveRecords records_;
  std::optional<std::uint64_t> epoch_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mulberryroad::control

#endif  // MULBERRYROAD_SRC_CONTROL_ORDER_EXECUTOR_H_
