// Tests of one run of an item.

#include "batches/item_run.h"

#include <criterion/criterion.h>

#include <memory>
#include <utility>

#include "fakes/fake_upstreams.h"
#include "fakes/loop_wait.h"

namespace mulberryroad::batches {
namespace {

using std::chrono::milliseconds;

struct Fixture {
  base::EventLoop loop;
  SystemClock clock;
  serving::UpstreamStatements statements;
  serving::UpstreamLoads loads{statements};
  fakes::FakeUpstreams upstreams{loop};
  serving::Registration upstream = fakes::MakeUpstream("u1", "engines");
  int ends = 0;

  std::shared_ptr<ItemRun> Start(RunLimits limits = {}) {
    auto run = std::make_shared<ItemRun>(
        loop, clock, upstreams, loads, upstream.id, ItemProgress(),
        clock.now() + milliseconds(5'000), limits, [] {},
        [this](const RunEnd&, const ItemProgress&) { ++ends; });
    run->Start(upstream, {}, 0);
    return run;
  }
  // Drops the test's own references to the handlers of the requests.
  bool IsReleased(std::weak_ptr<ItemRun> run) {
    upstreams.requests.clear();
    return fakes::RunUntil(loop, [&run] { return run.expired(); });
  }
};

// Guards against runs that stay in memory because their call refers to them.
Test(item_run, ended_run_is_kept_alive_by_its_call) {
  Fixture fixture;
  std::weak_ptr<ItemRun> run = fixture.Start();
  fakes::FakeUpstreams::SendEvents(*fixture.upstreams.requests[0], 3, 5);
  fixture.upstreams.requests[0]->done(serving::CompleteResponse{200, {}, {}});
  cr_assert_eq(fixture.ends, 1);
  cr_assert(fixture.IsReleased(run));

  run = fixture.Start();
  fixture.upstreams.requests[0]->done(serving::NotRun{"full", true});
  cr_assert_eq(fixture.ends, 2);
  cr_assert(fixture.IsReleased(run));

  run = fixture.Start({.first_event_timeout = milliseconds(20)});
  cr_assert(
      fakes::RunUntil(fixture.loop, [&fixture] { return fixture.ends == 3; }));
  cr_assert(fixture.IsReleased(run));
}

Test(item_run, cancelled_run_is_kept_alive_by_its_call) {
  Fixture fixture;
  std::shared_ptr<ItemRun> run = fixture.Start();
  const std::weak_ptr<ItemRun> weak = run;
  run->Cancel();
  run.reset();
  cr_assert(fixture.IsReleased(weak));

  run = fixture.Start();
  const std::weak_ptr<ItemRun> moved = run;
  run->InterruptForMove();
  run.reset();
  cr_assert_eq(fixture.ends, 1);
  cr_assert(fixture.IsReleased(moved));
}

}  // namespace
}  // namespace mulberryroad::batches
