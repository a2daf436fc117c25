// Where the items of a step go while some upstreams refuse or fail.

#include <list>

#include "fakes/part_owner_fixture.h"

namespace mulberryroad::batches {
namespace {

using fakes::FakeUpstreams;
using fakes::ReceivedRequest;
using std::chrono::milliseconds;
using Fixture = PartOwnerFixture;

// One of two upstreams changes its weights for 0.9 s and refuses all meanwhile;
// it has no runs, so that each item would go there first.
Test(item_placement, load_beside_a_loading_upstream_is_rarely_refused) {
  Fixture fixture;
  const Instant loaded = fixture.clock.now() + milliseconds(900);
  int refusals = 0;
  std::list<base::Timer> work;
  fixture.upstreams.script = [&](ReceivedRequest& received) {
    if (received.upstream.value() == "u1" && fixture.clock.now() < loaded) {
      ++refusals;
      received.done(serving::NotRun{"loading", /*full=*/true});
      return;
    }
    work.push_back(fixture.loop.After(milliseconds(40), [&received] {
      FakeUpstreams::SendEvents(received, 3, 5);
      received.done(serving::Whole{200, {}, {}});
    }));
  };
  const auto owner = fixture.Own(1);
  constexpr int kItems = 60;
  std::vector<std::string> items;
  items.reserve(kItems);
  for (int i = 0; i < kItems; ++i) {
    items.push_back("i" + std::to_string(i));
  }
  const base::Timer pump =
      fixture.loop.Every(milliseconds(50), [&owner] { owner->Pump(); });
  fixture.Submit("b1", items, 5);
  cr_assert(fixture.WaitForResults("b1", items.size()));
  // The first burst of four, and one each time that it is tried again.
  cr_assert_leq(refusals, 8, "%d refusals", refusals);
  owner->Stop();
}

// One of two upstreams cuts each run; the other has places for four items at a
// time, so that most of a step waits.
Test(item_placement,
     items_wait_for_a_sound_upstream_rather_than_go_to_a_bad_one) {
  Fixture fixture;
  std::list<base::Timer> work;
  int cuts = 0;
  fixture.upstreams.script = [&](ReceivedRequest& received) {
    if (received.upstream.value() == "u1") {
      ++cuts;
      received.done(serving::MayHaveRun{"cut"});
      return;
    }
    work.push_back(fixture.loop.After(milliseconds(40), [&received] {
      FakeUpstreams::SendEvents(received, 3, 5);
      received.done(serving::Whole{200, {}, {}});
    }));
  };
  const auto owner = fixture.Own(1);
  constexpr int kItems = 60;
  std::vector<std::string> items;
  items.reserve(kItems);
  for (int i = 0; i < kItems; ++i) {
    items.push_back("i" + std::to_string(i));
  }
  const base::Timer pump =
      fixture.loop.Every(milliseconds(20), [&owner] { owner->Pump(); });
  fixture.Submit("b1", items, 5);
  cr_assert(fixture.WaitForResults("b1", items.size()));
  // The first four runs show it.
  cr_assert_leq(cuts, 4, "%d runs were cut", cuts);
  owner->Stop();
}

// Steps begin as upstreams change their weights. Each refusal costs a new
// connection and a place in the order of items.
Test(item_placement, step_begins_with_few_refusals_and_fills_what_serves) {
  Fixture fixture;
  for (const char* id : {"u1", "u2"}) {
    serving::Registration upstream = fakes::MakeUpstream(id, "engines");
    upstream.slots = 16;
    upstream.versions[TargetId("m")] = 5;
    fixture.directory.Put(upstream);
  }
  constexpr milliseconds kFirstEvent{20};
  int refusals = 0;
  int begun = 0;
  std::list<base::Timer> work;
  fixture.upstreams.script = [&](ReceivedRequest& received) {
    if (received.upstream.value() == "u1") {
      ++refusals;
      received.done(serving::NotRun{"loading", /*full=*/true});
      return;
    }
    ++begun;
    work.push_back(fixture.loop.After(kFirstEvent, [&received] {
      FakeUpstreams::SendEvents(received, 1, 5);
    }));
  };
  const auto owner = fixture.Own(1);
  std::vector<std::string> items;
  for (int i = 0; i < 60; ++i) {
    items.push_back("i" + std::to_string(i));
  }
  fixture.Submit("b1", items, 5);
  cr_assert(fakes::RunUntil(fixture.loop, [&begun] { return begun > 0; }));
  // As fast as doubling with each answer: 1, 2, 4, 8, 16.
  const milliseconds ramp = 4 * kFirstEvent + milliseconds(40);
  fakes::RunFor(fixture.loop, ramp);
  cr_assert_eq(begun, 16, "%d of 16 places are used", begun);
  // The two that begin the burst, and one 100 ms later to see.
  cr_assert_leq(refusals, 3, "%d refusals", refusals);
  owner->Stop();
}

}  // namespace
}  // namespace mulberryroad::batches
