// Tests of the placement of a step's items while upstreams refuse or fail.

#include <list>

#include "fakes/part_owner_fixture.h"

namespace mulberryroad::batches {
namespace {

using fakes::FakeUpstreams;
using fakes::ReceivedRequest;
using std::chrono::milliseconds;

/// A step of 60 items on two upstreams, "u1" and "u2", with four slots each.
struct Step : PartitionOwnerFixture {
  static constexpr int kItems = 60;
  static constexpr milliseconds kWork{40};
  static constexpr milliseconds kScheduleInterval{20};

  std::shared_ptr<PartitionOwner> owner = StartOwner(1);
  std::list<base::Timer> work;

  ~Step() { owner->Stop(); }

  void Submit() {
    std::vector<std::string> items;
    items.reserve(kItems);
    for (int i = 0; i < kItems; ++i) {
      items.push_back("i" + std::to_string(i));
    }
    PartitionOwnerFixture::Submit("b1", items, 5);
  }

  /// Submits the step and waits until all its results are listed.
  void Run() {
    const base::Timer schedule_timer =
        loop.Every(kScheduleInterval, [this] { owner->ScheduleItems(); });
    Submit();
    cr_assert(WaitForResults("b1", kItems));
  }

  /// Completes a request after `kWork`.
  void CompleteLater(ReceivedRequest& received) {
    work.push_back(loop.After(kWork, [&received] {
      FakeUpstreams::SendEvents(received, 3, 5);
      received.done(serving::CompleteResponse{200, {}, {}});
    }));
  }
};

// One of two upstreams loads weights for 0.9 s and refuses all requests
// meanwhile. As it has no runs, load balancing alone would try it first for
// each item.
Test(item_placement, upstream_that_loads_weights_refuses_few_items) {
  Step step;
  const Instant loaded_at = step.clock.now() + milliseconds(900);
  int refusals = 0;
  step.upstreams.script = [&](ReceivedRequest& received) {
    if (received.upstream.value() == "u1" && step.clock.now() < loaded_at) {
      ++refusals;
      received.done(serving::NotRun{"loading", /*full=*/true});
      return;
    }
    step.CompleteLater(received);
  };
  step.Run();
  // The first burst of four, then one for each probe of the upstream.
  cr_assert_leq(refusals, 8, "%d refusals", refusals);
}

// One of two upstreams interrupts every run. Items must wait for a slot of the
// other one instead of using the free slots of this one.
Test(item_placement,
     items_wait_for_a_healthy_upstream_instead_of_a_failing_one) {
  Step step;
  int interruptions = 0;
  step.upstreams.script = [&](ReceivedRequest& received) {
    if (received.upstream.value() == "u1") {
      ++interruptions;
      received.done(serving::MayHaveRun{"cut"});
      return;
    }
    step.CompleteLater(received);
  };
  step.Run();
  // At most one interrupted run for each of its four slots.
  cr_assert_leq(interruptions, 4, "%d runs were interrupted", interruptions);
}

// Steps begin while upstreams load new weights, and an item that is refused
// loses its position in the order. Guards against sending the whole first burst
// to an upstream that refuses it, and against filling the other one too slowly.
Test(item_placement,
     step_starts_with_few_refusals_and_fills_the_serving_upstream) {
  Step step;
  for (const char* id : {"u1", "u2"}) {
    serving::Registration upstream = fakes::MakeUpstream(id, "engines");
    upstream.slots = 16;
    upstream.versions[TargetId("m")] = 5;
    step.directory.Put(upstream);
  }
  constexpr milliseconds kFirstEvent{20};
  int refusals = 0;
  int started_runs = 0;
  step.upstreams.script = [&](ReceivedRequest& received) {
    if (received.upstream.value() == "u1") {
      ++refusals;
      received.done(serving::NotRun{"loading", /*full=*/true});
      return;
    }
    ++started_runs;
    step.work.push_back(step.loop.After(kFirstEvent, [&received] {
      FakeUpstreams::SendEvents(received, 1, 5);
    }));
  };
  step.Submit();
  cr_assert(
      fakes::RunUntil(step.loop, [&started_runs] { return started_runs > 0; }));
  // The number of runs doubles with each round of answers: 1, 2, 4, 8, 16.
  fakes::RunFor(step.loop, 4 * kFirstEvent + milliseconds(40));
  cr_assert_eq(started_runs, 16, "%d of 16 slots are used", started_runs);
  // The two that begin the burst, and one probe 100 ms later.
  cr_assert_leq(refusals, 3, "%d refusals", refusals);
}

// An ejected upstream returns only after trial requests, also while the others
// have free slots.
Test(item_placement, upstream_on_trial_gets_one_item_at_a_time) {
  Step step;
  const Instant ejected_at = step.clock.now() - milliseconds(3'000);
  for (int i = 0; i < serving::UpstreamHealth::kConsecutiveFailures; ++i) {
    step.loads.health().OnRequestFailed(UpstreamId("u1"), ejected_at);
  }
  cr_assert_eq(
      step.loads.health().health_state(UpstreamId("u1"), step.clock.now()),
      serving::HealthState::kTrial);
  int on_trial = 0;
  step.upstreams.script = [&](ReceivedRequest& received) {
    on_trial += received.upstream == UpstreamId("u1") ? 1 : 0;
  };
  step.PartitionOwnerFixture::Submit("b1", {"i1", "i2", "i3"}, 5);
  fakes::RunFor(step.loop, milliseconds(50));
  cr_assert_eq(on_trial, 1, "%d items", on_trial);
}

}  // namespace
}  // namespace mulberryroad::batches
