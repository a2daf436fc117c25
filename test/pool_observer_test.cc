// Tests when a pool counts as known and an upstream as drained.

#include "control/pool_observer.h"

#include <criterion/criterion.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace mulberryroad;           // NOLINT(google-build-using-namespace)
using namespace mulberryroad::control;  // NOLINT(google-build-using-namespace)
using std::chrono::seconds;

/// The dispatcher and its node, as the controller meets them.
class Dispatcher final : public peer::Transport, public membership::Members {
 public:
  v1::Member member;
  bool in_charge = true;
  std::uint32_t in_flight = 0;
  int notices = 0;

  Dispatcher() {
    member.set_node_id("n1");
    member.set_incarnation(1);
    member.set_peer_endpoint("127.0.0.1:1");
  }
  void Call(const Endpoint& /*node*/, v1::PeerRequest request,
            std::chrono::milliseconds /*timeout*/,
            peer::OnReply on_reply) override {
    v1::PeerReply reply;
    if (request.has_demand()) {
      reply.mutable_demand()->set_is_dispatcher(in_charge);
      v1::UpstreamDemand& demand = *reply.mutable_demand()->add_upstreams();
      demand.set_upstream("vm");
      demand.set_in_flight(in_flight);
    } else {
      reply.mutable_upstream_notice();
      ++notices;
    }
    on_reply(reply, "");
  }
  void Handle(v1::PeerRequest::KindCase /*kind*/,
              peer::CallHandler /*handler*/) override {}

  const v1::Member& self() const override { return member; }
  std::vector<v1::Member> all() const override { return {member}; }
  std::vector<v1::Member> eligible() const override { return {member}; }
  std::optional<v1::Member> find(const NodeId& /*node*/) const override {
    return member;
  }
  std::optional<v1::Member> Owner(std::string_view /*key*/) const override {
    return member;
  }
  std::optional<v1::Member> Partner(std::string_view /*key*/) const override {
    return std::nullopt;
  }
  sigc::signal<void()>& changed() override { return changed_; }

 private:
  sigc::signal<void()> changed_;
};

class PlatformFakes final : public platform::VmDirectory,
                            public platform::EngineControl,
                            public platform::WeightStore {
 public:
  v1::EngineLoad load;

  void ListNodes(
      platform::ResponseCallback<v1::VmList> /*on_response*/) override {}
  void ListPool(const PoolId& /*pool*/,
                platform::ResponseCallback<v1::VmList> on_response) override {
    v1::VmList list;
    list.add_vms()->set_name("vm");
    list.mutable_vms(0)->set_endpoint("127.0.0.1:2");
    on_response(list);
  }
  void Load(
      const Endpoint& /*engine*/, const v1::LoadVersion& /*order*/,
      platform::ResponseCallback<v1::EngineLoad> /*on_response*/) override {}
  void Report(const Endpoint& /*engine*/,
              platform::ResponseCallback<v1::EngineLoad> on_response) override {
    on_response(load);
  }
  void Events(
      const Endpoint& /*engine*/, std::uint64_t /*from*/,
      platform::ResponseCallback<v1::CacheEvents> /*on_response*/) override {}
  void Newest(
      const TargetId& /*model*/,
      platform::ResponseCallback<v1::WeightVersions> /*on_response*/) override {
  }
};

struct Bench {
  explicit Bench(bool is_model)
      : observer(clock, dispatcher, dispatcher, fakes, fakes, fakes,
                 PoolId{TargetId("t"), FailureDomainId("regina")}, is_model) {
    clock.Advance(seconds(1'000));
    observer.Poll();
  }

  void Leave() {
    v1::UpstreamNotice notice;
    notice.set_upstream("vm");
    notice.set_leaving(true);
    observer.Notify(notice);
  }
  void Pass(seconds span) {
    clock.Advance(span);
    observer.Poll();
  }
  void Expect(bool drained, const char* what) {
    cr_assert_eq(observer.drained("vm"), drained, "%s: expected %s", what,
                 drained ? "drained" : "not drained");
  }

  ManualClock clock;
  Dispatcher dispatcher;
  PlatformFakes fakes;
  PoolObserver observer;
};

}  // namespace

Test(pool_observer, waits_for_the_dispatcher_and_the_engine) {
  Bench bench(true);
  bench.Leave();
  bench.Expect(false, "just told");
  bench.dispatcher.in_flight = 1;
  bench.Pass(seconds(6));
  bench.Expect(false, "the dispatcher counts a request");
  bench.dispatcher.in_flight = 0;
  bench.fakes.load.set_running(1);
  bench.Pass(seconds(1));
  bench.Expect(false, "the engine still runs one");
  bench.fakes.load.set_running(0);
  bench.Pass(seconds(1));
  bench.Expect(true, "both are idle");
}

Test(pool_observer, tells_a_new_dispatcher_again) {
  Bench bench(true);
  bench.Leave();
  bench.Pass(seconds(6));
  bench.Expect(true, "told and quiet");
  bench.dispatcher.member.set_incarnation(2);
  bench.Pass(seconds(1));
  bench.Expect(false, "the new dispatcher was not told");
  bench.Leave();
  cr_assert_eq(bench.dispatcher.notices, 2, "expected 2 notices, got %d",
               bench.dispatcher.notices);
  bench.Pass(seconds(6));
  bench.Expect(true, "told again");
}

Test(pool_observer, knows_nothing_while_nobody_is_in_charge) {
  Bench bench(true);
  cr_assert(bench.observer.fresh());
  bench.dispatcher.in_charge = false;
  bench.dispatcher.member.set_incarnation(2);
  bench.Pass(seconds(1));
  cr_assert_not(bench.observer.fresh(), "the owner is not dispatching yet");
  bench.dispatcher.in_charge = true;
  bench.Pass(seconds(1));
  cr_assert(bench.observer.fresh());
}

// Without an engine report only time tells that grants of an earlier
// dispatcher have ended.
Test(pool_observer, waits_for_the_grants_of_an_earlier_dispatcher) {
  Bench bench(false);
  bench.Leave();
  bench.Pass(seconds(60));
  bench.Expect(false, "a request of an earlier dispatcher may run");
  bench.Pass(seconds(60));
  bench.Expect(true, "it has ended by now");
}
