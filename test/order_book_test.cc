// Tests the order protocol and the settling of unknown outcomes.

#include "control/order_book.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

namespace {

using namespace mulberryroad;           // NOLINT(google-build-using-namespace)
using namespace mulberryroad::control;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

const RoleId kRole("controller/regina");
constexpr OrderBookOptions kOptions;

WallTime At(int millis) {
  return WallTime{} + milliseconds(1'000'000 + millis);
}

v1::Record IntentRecord(const v1::OrderIntent& intent) {
  v1::Record record;
  *record.mutable_order_intent() = intent;
  return record;
}

v1::Record OutcomeRecord(const v1::OrderOutcome& outcome) {
  v1::Record record;
  *record.mutable_order_outcome() = outcome;
  return record;
}

v1::OrderIntent StartOrder(bool checks_fencing = false) {
  v1::OrderIntent order;
  order.set_kind(v1::ORDER_START);
  order.set_upstream_class("cheap");
  order.set_checks_fencing(checks_fencing);
  return order;
}

/// Returns "send", "settle", "outcome:REASON" or "" for the only step.
std::string OnlyStep(OrderBook& book, WallTime now) {
  const std::vector<OrderStep> steps = book.Next(now);
  if (steps.empty()) {
    return "";
  }
  if (std::holds_alternative<SendOrder>(steps[0])) {
    return "send";
  }
  if (std::holds_alternative<SettleOrder>(steps[0])) {
    return "settle";
  }
  const v1::OrderOutcome& outcome = std::get<RecordOutcome>(steps[0]).outcome;
  return outcome.done() ? "outcome:done" : "outcome:" + outcome.reason();
}

void ExpectStep(OrderBook& book, WallTime now, const std::string& expected,
                const char* what) {
  const std::string step = OnlyStep(book, now);
  cr_assert_eq(step, expected, "%s: expected step '%s', got '%s'", what,
               expected.c_str(), step.c_str());
}

}  // namespace

Test(order_book, sends_only_what_was_read_back_in_its_own_epoch) {
  OrderBook book(kRole);
  cr_assert_not(book.Intend(StartOrder(), At(0)).has_value(),
                "without a term there is no order");
  book.Gained(5);
  const auto intent = book.Intend(StartOrder(), At(0));
  ExpectStep(book, At(10), "", "before the read-back");
  cr_assert_eq(book.unfinished(At(10)).size(), 1);
  book.OnRecord(3, IntentRecord(*intent));
  ExpectStep(book, At(20), "send", "after the read-back");
  ExpectStep(book, At(21), "", "while the answer is out");
}

Test(order_book, never_sends_an_intent_behind_its_successors) {
  OrderBook old_holder(kRole);
  OrderBook successor(kRole);
  old_holder.Gained(5);
  successor.Gained(9);
  const auto stale = old_holder.Intend(StartOrder(), At(0));
  const auto fresh = successor.Intend(StartOrder(), At(0));
  for (OrderBook* book : {&old_holder, &successor}) {
    book->OnRecord(0, IntentRecord(*fresh));
    book->OnRecord(1, IntentRecord(*stale));
    cr_assert_eq(book->void_intents(), 1);
  }
  ExpectStep(old_holder, At(10), "", "the stale holder");
  ExpectStep(successor, At(10), "send", "the successor");
}

Test(order_book, gives_an_order_up_after_its_last_instant) {
  OrderBook book(kRole);
  book.Gained(5);
  const auto intent = book.Intend(StartOrder(), At(0));
  book.OnRecord(0, IntentRecord(*intent));
  ExpectStep(book, At(5'001), "outcome:not sent in time", "too late");
}

struct AnswerCase {
  const char* name;
  OrderAnswer answer;
  int answered_at;
  const char* next_step;
};

Test(order_book, acts_on_each_answer) {
  const std::vector<AnswerCase> cases = {
      {"done", OrderDone{"vm"}, 100, "outcome:done"},
      {"refused", OrderRefused{"unavailable"}, 100, "outcome:unavailable"},
      {"no byte written", OrderNoAnswer{Verdict::kNotRun, "refused"}, 100,
       "send"},
      {"answer lost", OrderNoAnswer{Verdict::kMayHaveRun, "timeout"}, 100, ""},
      {"not seen, may be on its way", OrderNotSeen{}, 100, ""},
      {"not seen, too late to come", OrderNotSeen{}, 6'001,
       "outcome:never arrived"},
  };
  for (const AnswerCase& test : cases) {
    OrderBook book(kRole);
    book.Gained(5);
    const auto intent = book.Intend(StartOrder(), At(0));
    book.OnRecord(0, IntentRecord(*intent));
    ExpectStep(book, At(0), "send", test.name);
    book.Answered(intent->order_id(), test.answer, At(test.answered_at));
    ExpectStep(book, At(test.answered_at + 1), test.next_step, test.name);
  }
}

Test(order_book, settles_an_unknown_outcome_under_the_same_order_id) {
  OrderBook book(kRole);
  book.Gained(5);
  const auto intent = book.Intend(StartOrder(), At(0));
  book.OnRecord(0, IntentRecord(*intent));
  ExpectStep(book, At(0), "send", "first");
  book.Answered(intent->order_id(), OrderNoAnswer{Verdict::kMayHaveRun, "lost"},
                At(10));
  ExpectStep(book, At(1'010), "settle", "after the pause");
  ExpectStep(book, At(1'011), "", "asked once at a time");
  book.Answered(intent->order_id(), OrderDone{"vm-7"}, At(1'020));
  const auto steps = book.Next(At(1'021));
  const v1::OrderOutcome outcome = std::get<RecordOutcome>(steps.at(0)).outcome;
  cr_assert_eq(outcome.order_id(), intent->order_id());
  cr_assert_eq(outcome.upstream(), "vm-7");
  book.OutcomeLost(intent->order_id());
  ExpectStep(book, At(1'030), "outcome:done", "append again after a loss");
  const auto settled = book.OnRecord(1, OutcomeRecord(outcome));
  cr_assert(settled.has_value());
  cr_assert(book.unfinished(At(1'040)).empty());
}

struct TakeoverCase {
  const char* name;
  bool checks_fencing;
  int at;
  const char* step_of_own;
};

// The predecessor's intent may still be sent until 5,000 ms, and be on its way
// for another 1,000 ms.
Test(order_book, successor_waits_where_fencing_is_ignored) {
  const std::vector<TakeoverCase> cases = {
      {"ignored, too early", false, 5'999, ""},
      {"ignored, late enough", false, 6'001, "send"},
      {"checked", true, 1'000, "send"},
  };
  for (const TakeoverCase& test : cases) {
    OrderBook old_holder(kRole);
    old_holder.Gained(5);
    const auto last = old_holder.Intend(StartOrder(test.checks_fencing), At(0));
    OrderBook book(kRole);
    book.OnRecord(0, IntentRecord(*last));
    book.Gained(9);
    const auto own = book.Intend(StartOrder(test.checks_fencing), At(500));
    book.OnRecord(1, IntentRecord(*own));
    std::string step_of_own;
    for (const OrderStep& step : book.Next(At(test.at))) {
      if (std::holds_alternative<SendOrder>(step)) {
        step_of_own = "send";
      } else {
        cr_assert(std::holds_alternative<SettleOrder>(step),
                  "%s: the predecessor's order is settled", test.name);
      }
    }
    cr_assert_eq(step_of_own, test.step_of_own, "%s: expected '%s', got '%s'",
                 test.name, test.step_of_own, step_of_own.c_str());
  }
}

Test(order_book, keeps_open_intents_and_the_highest_epoch_alive) {
  OrderBook book(kRole);
  book.Gained(5);
  const auto first = book.Intend(StartOrder(), At(0));
  const auto second = book.Intend(StartOrder(), At(0));
  book.OnRecord(3, IntentRecord(*first));
  book.OnRecord(4, IntentRecord(*second));
  v1::OrderOutcome outcome;
  outcome.set_order_id(first->order_id());
  book.OnRecord(5, OutcomeRecord(outcome));
  cr_assert_eq(book.live_offsets(), (std::set<platform::Offset>{3, 4}));
}
