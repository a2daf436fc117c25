#include "lease/lease_keeper.h"

#include <criterion/criterion.h>

#include <memory>
#include <string>

#include "fakes/loop_wait.h"
#include "fakes/memory_log.h"
#include "log/log_journal.h"

namespace mulberryroad::lease {
namespace {

using std::chrono::milliseconds;

constexpr LeaseTiming kTiming{milliseconds(1'200), milliseconds(200)};
const RoleId kRole("reporter");

struct Node {
  Node(base::EventLoop& loop, const Clock& clock, platform::LogService& log,
       const std::string& name)
      : link(loop, log),
        journal(loop, clock, link, NodeId(name), 1),
        decisions(clock, NodeId(name)),
        keeper(loop, clock, journal, decisions, NodeId(name), 1, kTiming) {}

  fakes::LogLink link;
  log::LogJournal journal;
  base::DecisionLog decisions;
  LeaseKeeper keeper;
};

struct Pair {
  base::EventLoop loop;
  SystemClock clock;
  fakes::MemoryLog log{loop};
  std::unique_ptr<Node> a = std::make_unique<Node>(loop, clock, log, "a");
  std::unique_ptr<Node> b = std::make_unique<Node>(loop, clock, log, "b");

  bool Until(const std::function<bool()>& condition) {
    return fakes::RunUntil(loop, condition);
  }
  bool AHolds() const { return a->keeper.term(kRole).has_value(); }
  bool BHolds() const { return b->keeper.term(kRole).has_value(); }
};

Test(lease_keeper, the_holder_keeps_the_role_and_its_successor_waits) {
  Pair pair;
  int gained = 0;
  pair.a->keeper.gained().connect(
      [&](const RoleId&, std::uint64_t) { ++gained; });
  pair.a->keeper.Want(kRole, true);
  cr_assert(pair.Until([&] { return pair.AHolds(); }));
  pair.b->keeper.Want(kRole, true);
  fakes::RunFor(pair.loop, kTiming.ttl * 2);
  cr_expect(pair.AHolds() && !pair.BHolds());
  cr_expect(gained == 1, "gained %d times", gained);
  pair.a.reset();
  cr_expect(pair.Until([&] { return pair.BHolds(); }));
}

Test(lease_keeper, a_release_hands_over_before_the_term_ends) {
  Pair pair;
  pair.a->keeper.Want(kRole, true);
  cr_assert(pair.Until([&] { return pair.AHolds(); }));
  pair.b->keeper.Want(kRole, true);
  int lost = 0;
  pair.a->keeper.lost().connect([&](const RoleId&) { ++lost; });
  const Instant start = pair.clock.now();
  pair.a->keeper.Want(kRole, false);
  cr_expect(!pair.AHolds() && lost == 1);
  cr_expect(pair.Until([&] { return pair.BHolds(); }));
  cr_expect(pair.clock.now() - start < kTiming.ttl);
}

Test(lease_keeper, an_outage_ends_the_term_and_the_role_comes_back) {
  Pair pair;
  pair.a->keeper.Want(kRole, true);
  pair.b->keeper.Want(kRole, true);
  cr_assert(pair.Until([&] { return pair.AHolds() || pair.BHolds(); }));
  pair.log.SetDown(true);
  cr_expect(pair.Until([&] { return !pair.AHolds() && !pair.BHolds(); }));
  pair.log.SetDown(false);
  cr_expect(pair.Until([&] { return pair.AHolds() || pair.BHolds(); }));
  cr_expect(!(pair.AHolds() && pair.BHolds()));
}

Test(lease_keeper, a_lost_answer_loses_no_role) {
  using Fault = fakes::MemoryLog::Fault;
  for (const Fault fault : {Fault::kLoseBefore, Fault::kLoseAfter}) {
    Pair pair;
    pair.log.FailNextAppends({fault});
    pair.a->keeper.Want(kRole, true);
    cr_expect(pair.Until([&] { return pair.AHolds(); }));
  }
}

}  // namespace
}  // namespace mulberryroad::lease
