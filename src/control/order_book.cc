#include "control/order_book.h"

#include <algorithm>
#include <utility>

#include "base/digest.h"

namespace mulberryroad::control {

namespace {

/// Returns an order id that is safe in a URL path.
std::string MakeOrderId(const RoleId& role, std::uint64_t epoch,
                        std::uint64_t sequence) {
  return "o" + std::to_string(base::StableHash(role.value())) + "-" +
         std::to_string(epoch) + "-" + std::to_string(sequence);
}

}  // namespace

WallTime NotAfter(const v1::OrderIntent& intent) {
  return WallTime{} + std::chrono::milliseconds(intent.not_after_unix_ms());
}

OrderBook::OrderBook(RoleId role, OrderBookOptions options)
    : role_(std::move(role)), options_(options) {}

void OrderBook::Gained(std::uint64_t epoch) {
  epoch_ = epoch;
  proposed_.clear();
  for (auto& [id, order] : orders_) {
    order.state = Order::State::kUnknown;
    order.next_settle = {};
  }
}

void OrderBook::Lost() {
  epoch_.reset();
  proposed_.clear();
}

bool OrderBook::IsOwn(const v1::OrderIntent& intent) const {
  return epoch_ && intent.epoch() == *epoch_;
}

std::optional<v1::OrderIntent> OrderBook::Intend(v1::OrderIntent order,
                                                 WallTime now) {
  if (!epoch_) {
    return std::nullopt;
  }
  const WallTime start = std::max(now, predecessor_bound());
  const WallTime not_after = start + options_.send_window;
  order.set_order_id(MakeOrderId(role_, *epoch_, next_sequence_++));
  order.set_role(role_.value());
  order.set_epoch(*epoch_);
  order.set_not_after_unix_ms(
      static_cast<std::uint64_t>(UnixTime(not_after).count()));
  if (options_.require_read_back) {
    proposed_[order.order_id()] = order;
  } else {
    orders_[order.order_id()].intent = order;
  }
  return order;
}

std::optional<SettledOrder> OrderBook::OnRecord(platform::Offset offset,
                                                const v1::Record& record) {
  if (record.has_snapshot() && record.snapshot().covered_offset() == offset) {
    orders_.clear();
    highest_epoch_ = 0;
    highest_epoch_offset_.reset();
    return std::nullopt;
  }
  if (record.has_order_intent()) {
    FoldIntent(offset, record.order_intent());
    return std::nullopt;
  }
  if (!record.has_order_outcome()) {
    return std::nullopt;
  }
  const auto found = orders_.find(record.order_outcome().order_id());
  if (found == orders_.end()) {
    return std::nullopt;
  }
  SettledOrder settled{found->second.intent, record.order_outcome()};
  orders_.erase(found);
  return settled;
}

void OrderBook::FoldIntent(platform::Offset offset,
                           const v1::OrderIntent& intent) {
  proposed_.erase(intent.order_id());
  if (options_.check_epoch && intent.epoch() < highest_epoch_) {
    ++void_intents_;
    return;
  }
  if (!highest_epoch_offset_ || intent.epoch() > highest_epoch_) {
    highest_epoch_ = intent.epoch();
    highest_epoch_offset_ = offset;
  }
  Order& order = orders_[intent.order_id()];
  const bool known_before = !order.intent.order_id().empty();
  order.intent = intent;
  order.offset = offset;
  if (!known_before && !IsOwn(intent)) {
    order.state = Order::State::kUnknown;
  }
}

std::vector<OrderStep> OrderBook::Next(WallTime now) {
  std::vector<OrderStep> steps;
  const bool succeeded = options_.check_epoch && epoch_ &&
                         highest_epoch_offset_ && highest_epoch_ > *epoch_;
  if (!epoch_ || succeeded) {
    return steps;
  }
  for (auto& [id, order] : orders_) {
    std::optional<OrderStep> step = StepOf(order, now);
    if (step) {
      steps.push_back(std::move(*step));
    }
  }
  return steps;
}

std::optional<OrderStep> OrderBook::StepOf(Order& order, WallTime now) {
  switch (order.state) {
    case Order::State::kReady:
      return StepOfReady(order, now);
    case Order::State::kUnknown:
      if (now < order.next_settle) {
        return std::nullopt;
      }
      order.next_settle = now + options_.settle_interval;
      return SettleOrder{order.intent};
    case Order::State::kAnswered:
      order.state = Order::State::kRecording;
      return RecordOutcome{order.outcome};
    case Order::State::kSent:
    case Order::State::kRecording:
      return std::nullopt;
  }
  return std::nullopt;
}

std::optional<OrderStep> OrderBook::StepOfReady(Order& order, WallTime now) {
  if (now > NotAfter(order.intent)) {
    Finish(order, false, "not sent in time", "");
    order.state = Order::State::kRecording;
    return RecordOutcome{order.outcome};
  }
  const bool must_wait = options_.wait_for_predecessor &&
                         !order.intent.checks_fencing() &&
                         now <= predecessor_bound();
  if (must_wait) {
    return std::nullopt;
  }
  order.state = Order::State::kSent;
  return SendOrder{order.intent};
}

WallTime OrderBook::predecessor_bound() const {
  WallTime bound{};
  for (const auto& [id, order] : orders_) {
    const v1::OrderIntent& intent = order.intent;
    if (epoch_ && intent.epoch() < *epoch_ && !intent.checks_fencing()) {
      bound = std::max(bound, NotAfter(intent) + options_.clock_margin);
    }
  }
  return bound;
}

void OrderBook::Answered(const std::string& order_id, const OrderAnswer& answer,
                         WallTime now) {
  const auto found = orders_.find(order_id);
  if (found == orders_.end()) {
    return;
  }
  Order& order = found->second;
  const bool waits = order.state == Order::State::kSent ||
                     order.state == Order::State::kUnknown;
  if (waits) {
    std::visit([&](const auto& known) { Apply(order, known, now); }, answer);
  }
}

void OrderBook::Apply(Order& order, const OrderDone& answer, WallTime) {
  Finish(order, true, "", answer.upstream);
}

void OrderBook::Apply(Order& order, const OrderRefused& answer, WallTime) {
  Finish(order, false, answer.reason, "");
}

void OrderBook::Apply(Order& order, const OrderNotSeen&, WallTime now) {
  if (now > NotAfter(order.intent) + options_.clock_margin) {
    Finish(order, false, "never arrived", "");
    return;
  }
  order.state = Order::State::kUnknown;
  order.next_settle = now + options_.settle_interval;
}

void OrderBook::Apply(Order& order, const OrderNoAnswer& answer, WallTime now) {
  const bool send_again = order.state == Order::State::kSent &&
                          answer.verdict == Verdict::kNotRun &&
                          IsOwn(order.intent);
  order.state = send_again ? Order::State::kReady : Order::State::kUnknown;
  order.next_settle = now + options_.settle_interval;
}

void OrderBook::Finish(Order& order, bool done, const std::string& reason,
                       const std::string& upstream) {
  order.state = Order::State::kAnswered;
  order.outcome.set_order_id(order.intent.order_id());
  order.outcome.set_done(done);
  order.outcome.set_reason(reason);
  order.outcome.set_upstream(upstream);
}

void OrderBook::OutcomeLost(const std::string& order_id) {
  const auto found = orders_.find(order_id);
  if (found != orders_.end() &&
      found->second.state == Order::State::kRecording) {
    found->second.state = Order::State::kAnswered;
  }
}

std::vector<v1::OrderIntent> OrderBook::unfinished(WallTime now) const {
  std::vector<v1::OrderIntent> intents;
  for (const auto& [id, order] : orders_) {
    intents.push_back(order.intent);
  }
  for (const auto& [id, intent] : proposed_) {
    if (now <= NotAfter(intent)) intents.push_back(intent);
  }
  return intents;
}

std::set<platform::Offset> OrderBook::live_offsets() const {
  std::set<platform::Offset> live;
  for (const auto& [id, order] : orders_) {
    live.insert(order.offset);
  }
  if (highest_epoch_offset_) {
    live.insert(*highest_epoch_offset_);
  }
  return live;
}

}  // namespace mulberryroad::control
