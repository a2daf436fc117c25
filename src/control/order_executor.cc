#include "control/order_executor.h"

#include <utility>
#include <variant>

namespace mulberryroad::control {

namespace {

constexpr std::chrono::milliseconds kAppendTimeout{5'000};
/// Reason with which the ordering adapter reports an order never seen.
constexpr char kUnknownOrder[] = "unknown";

v1::PlatformOrder ToPlatformOrder(const v1::OrderIntent& intent,
                                  std::uint64_t fencing) {
  v1::PlatformOrder order;
  order.set_order_id(intent.order_id());
  order.set_role(intent.role());
  order.set_fencing(fencing);
  if (intent.kind() == v1::ORDER_STOP) {
    order.mutable_stop()->set_upstream(intent.upstream());
    return order;
  }
  v1::StartUpstream& start = *order.mutable_start();
  start.set_failure_domain(intent.failure_domain());
  start.set_upstream_class(intent.upstream_class());
  start.set_target(intent.target());
  start.set_version(intent.version());
  return order;
}

OrderAnswer ToAnswer(const std::variant<v1::PlatformOrderStatus,
                                        platform::PlatformFailure>& answer) {
  if (const auto* failure = std::get_if<platform::PlatformFailure>(&answer)) {
    return OrderNoAnswer{failure->verdict, failure->reason};
  }
  const auto& status = std::get<v1::PlatformOrderStatus>(answer);
  if (status.accepted()) {
    return OrderDone{status.upstream()};
  }
  if (status.reason() == kUnknownOrder) {
    return OrderNotSeen{};
  }
  return OrderRefused{status.reason()};
}

OrderAnswer ToLoadAnswer(
    const v1::OrderIntent& intent,
    const std::variant<v1::EngineLoad, platform::PlatformFailure>& answer) {
  if (const auto* failure = std::get_if<platform::PlatformFailure>(&answer)) {
    return OrderNoAnswer{failure->verdict, failure->reason};
  }
  const auto& load = std::get<v1::EngineLoad>(answer);
  if (load.version() == intent.version()) {
    return OrderDone{intent.upstream()};
  }
  if (load.swapping()) {
    return OrderNoAnswer{Verdict::kMayHaveRun, "the engine is swapping"};
  }
  return OrderNotSeen{};
}

}  // namespace

OrderExecutor::OrderExecutor(const Clock& clock, log::Journal& journal,
                             lease::Leases& leases,
                             platform::OrderingService& ordering,
                             platform::EngineControl& engines, RoleId role,
                             std::string stream, EndpointOf endpoint_of,
                             OnSettled on_settled)
    : clock_(clock),
      journal_(journal),
      leases_(leases),
      ordering_(ordering),
      engines_(engines),
      role_(std::move(role)),
      stream_(std::move(stream)),
      endpoint_of_(std::move(endpoint_of)),
      on_settled_(std::move(on_settled)),
      book_(role_) {
  journal_.Subscribe(stream_, [this, alive = std::weak_ptr(alive_)](
                                  platform::Offset offset,
                                  const v1::Record& record) {
    if (alive.expired()) {
      return;
    }
    records_.OnRecord(offset, record);
    const std::optional<SettledOrder> settled = book_.OnRecord(offset, record);
    if (settled) {
      on_settled_(*settled);
    }
  });
}

OrderExecutor::~OrderExecutor() { journal_.Unsubscribe(stream_); }

void OrderExecutor::Save(v1::Snapshot* snapshot) {
  records_.Keep(book_.live_offsets());
  records_.Save(snapshot);
}

std::optional<std::uint64_t> OrderExecutor::UpdateTerm() {
  const std::optional<lease::Term> term = leases_.term(role_);
  const std::optional<std::uint64_t> epoch =
      term ? std::optional(term->epoch) : std::nullopt;
  if (epoch == epoch_) {
    return epoch_;
  }
  epoch_ = epoch;
  if (epoch_) {
    book_.Gained(*epoch_);
  } else {
    book_.Lost();
  }
  return epoch_;
}

std::optional<v1::OrderIntent> OrderExecutor::Give(v1::OrderIntent order) {
  std::optional<v1::OrderIntent> intent =
      book_.Intend(std::move(order), clock_.wall_now());
  if (intent) {
    v1::Record record;
    *record.mutable_order_intent() = *intent;
    // Whether the intent is in the log shows when it is read back.
    journal_.Append(stream_, std::move(record), kAppendTimeout,
                    [](std::optional<platform::Offset>, const std::string&) {});
  }
  return intent;
}

void OrderExecutor::Step() {
  if (!UpdateTerm() || !journal_.caught_up(stream_)) {
    return;
  }
  for (const OrderStep& step : book_.Next(clock_.wall_now())) {
    std::visit([this](const auto& known) { Take(known); }, step);
  }
}

void OrderExecutor::Take(const SendOrder& step) {
  // The last look at the term and at the time before the write.
  const std::optional<lease::Term> term = leases_.term(role_);
  const v1::OrderIntent& intent = step.intent;
  if (!term || term->epoch != intent.epoch() ||
      clock_.wall_now() > NotAfter(intent)) {
    Tell(intent.order_id(), OrderNoAnswer{Verdict::kNotRun, "no term"});
    return;
  }
  if (intent.kind() == v1::ORDER_LOAD_VERSION) {
    SendToEngine(intent, term->epoch);
  } else {
    SendToPlatform(intent, term->epoch);
  }
}

void OrderExecutor::SendToPlatform(const v1::OrderIntent& intent,
                                   std::uint64_t fencing) {
  ordering_.Send(ToPlatformOrder(intent, fencing),
                 [this, alive = std::weak_ptr(alive_),
                  id = intent.order_id()](const auto& answer) {
                   if (!alive.expired()) {
                     Tell(id, ToAnswer(answer));
                   }
                 });
}

void OrderExecutor::SendToEngine(const v1::OrderIntent& intent,
                                 std::uint64_t fencing) {
  const std::optional<Endpoint> engine = endpoint_of_(intent.upstream());
  if (!engine) {
    Tell(intent.order_id(), OrderRefused{"the engine is gone"});
    return;
  }
  v1::LoadVersion order;
  order.set_order_id(intent.order_id());
  order.set_role(intent.role());
  order.set_fencing(fencing);
  order.set_model(intent.target());
  order.set_version(intent.version());
  engines_.Load(
      *engine, order,
      [this, alive = std::weak_ptr(alive_), intent](const auto& answer) {
        if (alive.expired()) {
          return;
        }
        const auto* failure = std::get_if<platform::PlatformFailure>(&answer);
        if (failure == nullptr) {
          Tell(intent.order_id(), OrderDone{intent.upstream()});
          return;
        }
        Tell(intent.order_id(),
             OrderNoAnswer{failure->verdict, failure->reason});
      });
}

void OrderExecutor::Take(const SettleOrder& step) {
  const v1::OrderIntent& intent = step.intent;
  if (intent.kind() == v1::ORDER_LOAD_VERSION) {
    AskEngine(intent);
    return;
  }
  ordering_.Status(intent.order_id(),
                   [this, alive = std::weak_ptr(alive_),
                    id = intent.order_id()](const auto& answer) {
                     if (!alive.expired()) {
                       Tell(id, ToAnswer(answer));
                     }
                   });
}

void OrderExecutor::AskEngine(const v1::OrderIntent& intent) {
  const std::optional<Endpoint> engine = endpoint_of_(intent.upstream());
  if (!engine) {
    Tell(intent.order_id(), OrderNotSeen{});
    return;
  }
  engines_.Report(*engine, [this, alive = std::weak_ptr(alive_),
                            intent](const auto& answer) {
    if (!alive.expired()) {
      Tell(intent.order_id(), ToLoadAnswer(intent, answer));
    }
  });
}

void OrderExecutor::Take(const RecordOutcome& step) {
  v1::Record record;
  *record.mutable_order_outcome() = step.outcome;
  journal_.Append(
      stream_, std::move(record), kAppendTimeout,
      [this, alive = std::weak_ptr(alive_), id = step.outcome.order_id()](
          std::optional<platform::Offset> offset, const std::string&) {
        if (!alive.expired() && !offset) {
          book_.OutcomeLost(id);
        }
      });
}

void OrderExecutor::Tell(const std::string& order_id,
                         const OrderAnswer& answer) {
  book_.Answered(order_id, answer, clock_.wall_now());
}

}  // namespace mulberryroad::control
