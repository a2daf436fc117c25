// The order protocol: intent, read-back, send, outcome; and the settling of
// orders whose outcome is unknown.

#ifndef MULBERRYROAD_SRC_CONTROL_ORDER_BOOK_H_
#define MULBERRYROAD_SRC_CONTROL_ORDER_BOOK_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "mulberryroad/clock.h"
#include "mulberryroad/control.pb.h"
#include "mulberryroad/ids.h"
#include "mulberryroad/record.pb.h"
#include "mulberryroad/verdict.h"
#include "platform/log_service.h"

namespace mulberryroad::control {

/// Send the order now, in one piece, if the term still holds.
struct SendOrder {
  v1::OrderIntent intent;
};
/// Ask the platform, or the engine, what became of the order.
struct SettleOrder {
  v1::OrderIntent intent;
};
/// Append this outcome.
struct RecordOutcome {
  v1::OrderOutcome outcome;
};
using OrderStep = std::variant<SendOrder, SettleOrder, RecordOutcome>;

/// What the receiver of an order said.
struct OrderDone {
  std::string upstream;
};
struct OrderRefused {
  std::string reason;
};
/// The receiver answers that it has not seen the order.
struct OrderNotSeen {};
/// No answer came.
struct OrderNoAnswer {
  Verdict verdict = Verdict::kMayHaveRun;
  std::string reason;
};
using OrderAnswer =
    std::variant<OrderDone, OrderRefused, OrderNotSeen, OrderNoAnswer>;

/// An order with its outcome, as read in the stream.
struct SettledOrder {
  v1::OrderIntent intent;
  v1::OrderOutcome outcome;
};

struct OrderBookOptions {
  /// From the intent until the order may no longer be sent.
  std::chrono::milliseconds send_window{5'000};
  /// Bound on the difference of two nodes' calendar clocks, and on the time
  /// that an order travels.
  std::chrono::milliseconds clock_margin{1'000};
  /// Time between two questions about one order.
  std::chrono::milliseconds settle_interval{1'000};
  /// Protections; switched off only to show that each one is needed.
  bool require_read_back = true;
  bool check_epoch = true;
  bool wait_for_predecessor = true;
};

/// An order without an outcome, or one that was given in this stream.
struct Order {
  enum class State {
    /// The intent was read back, nothing was sent.
    kReady,
    /// Sent by this node; no answer yet.
    kSent,
    /// May have run: to be settled.
    kUnknown,
    /// The answer is known; the outcome is to be appended.
    kAnswered,
    /// The outcome is being appended.
    kRecording,
  };

  v1::OrderIntent intent;
  platform::Offset offset = 0;
  State state = State::kReady;
  WallTime next_settle{};
  v1::OrderOutcome outcome{};
};

/// State of the orders of one role, folded from its stream.
///
/// An intent is void if an intent of a higher epoch stands before it. So the
/// first intent of a successor ends its predecessor's: whoever reads back an
/// own intent that is void never sends it.
class OrderBook {
 public:
  explicit OrderBook(RoleId role, OrderBookOptions options = {});

  /// Starts a term of this node, or ends it.
  void Gained(std::uint64_t epoch);
  void Lost();

  /// Makes the intent of an order of the present term, to be appended.
  /// @param order its kind, failure domain, class, target, upstream, version
  ///   and whether the receiver checks fencing numbers
  /// @return nullopt without a term
  std::optional<v1::OrderIntent> Intend(v1::OrderIntent order, WallTime now);

  /// Folds one record of the stream, in offset order. A snapshot handed out
  /// with the offset that it covers replaces all state.
  /// @return the order that the record settles, if it settles one
  std::optional<SettledOrder> OnRecord(platform::Offset offset,
                                       const v1::Record& record);

  /// Returns the steps that are due; none once a successor's intent was read. A
  /// step is returned once, until its result is told or its time has come
  /// again.
  std::vector<OrderStep> Next(WallTime now);

  /// Tells the answer to a sent or settled order.
  void Answered(const std::string& order_id, const OrderAnswer& answer,
                WallTime now);
  /// Tells that an outcome is not known to be appended.
  void OutcomeLost(const std::string& order_id);

  /// Returns the intents without an outcome, those under way to the log
  /// included.
  std::vector<v1::OrderIntent> unfinished(WallTime now) const;
  /// Returns the instant before which no order to a receiver that ignores
  /// fencing numbers may be sent.
  WallTime predecessor_bound() const;
  std::uint64_t highest_epoch() const { return highest_epoch_; }
  std::size_t void_intents() const { return void_intents_; }
  /// Returns the offsets of the records that a reader needs to come to this
  /// state.
  std::set<platform::Offset> live_offsets() const;

 private:
  void FoldIntent(platform::Offset offset, const v1::OrderIntent& intent);
  std::optional<OrderStep> StepOf(Order& order, WallTime now);
  std::optional<OrderStep> StepOfReady(Order& order, WallTime now);
  void Finish(Order& order, bool done, const std::string& reason,
              const std::string& upstream);
  void Apply(Order& order, const OrderDone& answer, WallTime now);
  void Apply(Order& order, const OrderRefused& answer, WallTime now);
  void Apply(Order& order, const OrderNotSeen& answer, WallTime now);
  void Apply(Order& order, const OrderNoAnswer& answer, WallTime now);
  bool IsOwn(const v1::OrderIntent& intent) const;

  RoleId role_;
  OrderBookOptions options_;
  std::optional<std::uint64_t> epoch_;
  std::uint64_t next_sequence_ = 0;
  std::uint64_t highest_epoch_ = 0;
  std::optional<platform::Offset> highest_epoch_offset_;
  /// Own intents that were not read back yet, by order id.
  std::map<std::string, v1::OrderIntent> proposed_;
  std::map<std::string, Order> orders_;
  std::size_t void_intents_ = 0;
};

/// Returns the last instant at which an order may be sent.
WallTime NotAfter(const v1::OrderIntent& intent);

}  // namespace mulberryroad::control

#endif  // MULBERRYROAD_SRC_CONTROL_ORDER_BOOK_H_
