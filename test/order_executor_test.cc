// Tests the shell of the order protocol: freezes before the write and answers
// lost after the effect.

#include "control/order_executor.h"

#include <criterion/criterion.h>

#include <map>
#include <string>

#include "fakes/memory_services.h"

namespace {

using namespace mulberryroad;           // NOLINT(google-build-using-namespace)
using namespace mulberryroad::control;  // NOLINT(google-build-using-namespace)
using std::chrono::seconds;

class Ordering final : public platform::OrderingService {
 public:
  bool lose_answers = false;
  std::map<std::string, v1::PlatformOrder> taken;
  int sends = 0;

  void Send(const v1::PlatformOrder& order,
            platform::ResponseCallback<v1::PlatformOrderStatus> on_response)
      override {
    ++sends;
    taken[order.order_id()] = order;
    if (lose_answers) {
      on_response(platform::PlatformFailure{Verdict::kMayHaveRun, "timeout"});
      return;
    }
    Status(order.order_id(), on_response);
  }
  void Status(const std::string& order_id,
              platform::ResponseCallback<v1::PlatformOrderStatus> on_response)
      override {
    v1::PlatformOrderStatus status;
    status.set_order_id(order_id);
    status.set_accepted(taken.contains(order_id));
    status.set_reason(status.accepted() ? "" : "unknown");
    status.set_upstream("vm-1");
    on_response(status);
  }
};

class Engines final : public platform::EngineControl {
 public:
  v1::EngineLoad load;
  int loads = 0;

  void Load(const Endpoint& /*engine*/, const v1::LoadVersion& /*order*/,
            platform::ResponseCallback<v1::EngineLoad> on_response) override {
    ++loads;
    on_response(platform::PlatformFailure{Verdict::kMayHaveRun, "timeout"});
  }
  void Report(const Endpoint& /*engine*/,
              platform::ResponseCallback<v1::EngineLoad> on_response) override {
    on_response(load);
  }
  void Events(
      const Endpoint& /*engine*/, std::uint64_t /*from*/,
      platform::ResponseCallback<v1::CacheEvents> /*on_response*/) override {}
};

struct Bench {
  ManualClock clock;
  fakes::MemoryStreams streams;
  fakes::MemoryJournal journal{streams};
  fakes::MemoryLeases leases;
  Ordering ordering;
  Engines engines;
  std::vector<SettledOrder> settled;
  OrderExecutor executor{
      clock,
      journal,
      leases,
      ordering,
      engines,
      RoleId("controller/regina"),
      "orders/regina",
      [](const std::string&) {
        return Endpoint{"127.0.0.1", 1};
      },
      [this](const SettledOrder& order) { settled.push_back(order); }};

  void Give(v1::OrderKind kind) {
    leases.Hold(5);
    executor.UpdateTerm();
    v1::OrderIntent order;
    order.set_kind(kind);
    order.set_version(2);
    cr_assert(executor.Give(order).has_value());
  }
  void Turn() {
    journal.Deliver();
    executor.Step();
    journal.Deliver();
  }
};

}  // namespace

Test(order_executor, sends_nothing_after_a_freeze_past_the_term) {
  Bench bench;
  bench.Give(v1::ORDER_START);
  bench.journal.Deliver();
  bench.clock.Advance(seconds(30));
  bench.leases.Lapse();
  bench.Turn();
  cr_assert_eq(bench.ordering.sends, 0, "expected no order, got %d",
               bench.ordering.sends);
  bench.leases.Hold(9);
  bench.Turn();
  cr_assert_eq(bench.ordering.sends, 0, "the old order is settled, not sent");
  bench.Turn();
  cr_assert_eq(bench.settled.size(), 1);
  cr_assert_eq(bench.settled[0].outcome.reason(), "never arrived");
}

Test(order_executor, settles_an_effect_whose_answer_was_lost) {
  Bench bench;
  bench.ordering.lose_answers = true;
  bench.Give(v1::ORDER_START);
  bench.Turn();
  bench.clock.Advance(seconds(2));
  bench.Turn();
  bench.Turn();
  cr_assert_eq(bench.ordering.sends, 1, "expected one send, got %d",
               bench.ordering.sends);
  cr_assert_eq(bench.settled.size(), 1);
  cr_assert(bench.settled[0].outcome.done());
  cr_assert_eq(bench.settled[0].outcome.upstream(), "vm-1");
}

Test(order_executor, sends_nothing_while_the_log_is_down) {
  Bench bench;
  bench.journal.SetDown(true);
  bench.Give(v1::ORDER_START);
  bench.Turn();
  bench.clock.Advance(seconds(60));
  bench.journal.SetDown(false);
  bench.Turn();
  cr_assert_eq(bench.ordering.sends, 0);
}

Test(order_executor, observes_the_version_after_a_lost_load_answer) {
  Bench bench;
  bench.Give(v1::ORDER_LOAD_VERSION);
  bench.engines.load.set_version(1);
  bench.engines.load.set_swapping(true);
  bench.Turn();
  bench.clock.Advance(seconds(2));
  bench.Turn();
  cr_assert(bench.settled.empty(), "a swap under way is not settled");
  bench.engines.load.set_version(2);
  bench.engines.load.set_swapping(false);
  bench.clock.Advance(seconds(2));
  bench.Turn();
  bench.Turn();
  cr_assert_eq(bench.settled.size(), 1);
  cr_assert(bench.settled[0].outcome.done());
  cr_assert_eq(bench.engines.loads, 1);
}
