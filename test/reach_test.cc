// What a node makes of the store's and its peers' silence.

#include <criterion/criterion.h>

#include "fakes/free_port.h"
#include "fakes/loop_wait.h"
#include "node/peer_view.h"

namespace mulberryroad::node {
namespace {

using std::chrono::milliseconds;

Instant At(int millis) { return Instant{} + milliseconds(millis); }

Test(reach, store_in_reach_is_current) {
  ReachJudge judge;
  judge.OnStore(At(1'000));
  cr_assert(judge.reach(At(2'599)) == Reach::kCurrent);
}

Test(reach, peer_that_hears_of_the_store_keeps_a_node_current) {
  ReachJudge judge;
  judge.OnStore(At(1'000));
  judge.OnPeer(At(4'000), At(3'500));
  cr_assert(judge.reach(At(5'000)) == Reach::kCurrent);
}

Test(reach, peers_without_the_store_make_an_outage) {
  ReachJudge judge;
  judge.OnStore(At(1'000));
  judge.OnPeer(At(4'000), At(1'200));
  cr_assert(judge.reach(At(4'000)) == Reach::kOutage);
  cr_assert(judge.reach(At(7'000)) == Reach::kIsolated);
}

// A step comes just as a node loses the store, to which a peer opens the way
// within half a second.
Test(reach, callers_are_sent_elsewhere_only_after_the_relay_had_its_time) {
  cr_assert(!RetryElsewhere(std::nullopt, Reach::kCurrent, At(0)));
  for (const Reach reach : {Reach::kCurrent, Reach::kIsolated}) {
    cr_assert(!RetryElsewhere(At(0), reach, At(999)));
    cr_assert(RetryElsewhere(At(0), reach, At(1'000)).has_value());
  }
  cr_assert(!RetryElsewhere(At(0), Reach::kOutage, At(5'000)),
            "nobody serves it better");
}

// Word of the store dates from the sending of the read that brought it.
Test(reach, idle_store_stays_current_from_read_to_read) {
  constexpr milliseconds kSlowAnswer{50};
  ReachJudge judge;
  Instant sent = At(0);
  for (int read = 0; read < 5; ++read) {
    const Instant answered = sent + ReachJudge::kReadWait + kSlowAnswer;
    cr_assert(judge.reach(answered - milliseconds(1)) == Reach::kCurrent ||
              read == 0);
    judge.OnStore(sent);
    sent = answered;
  }
}

Test(reach, silence_of_all_is_isolation) {
  ReachJudge judge;
  judge.OnStore(At(1'000));
  cr_assert(judge.reach(At(2'600)) == Reach::kIsolated);
  judge.OnStore(At(9'000));
  cr_assert(judge.reach(At(9'100)) == Reach::kCurrent);
}

// Two nodes: one reads the store, the other learns from it over HTTP.
Test(peer_view, node_without_the_store_learns_from_a_peer) {
  base::EventLoop loop;
  SystemClock clock;
  base::StructuredLog log(clock, NodeId("n"));
  http::Client client(loop);
  std::mt19937_64 random(1);
  const Endpoint endpoint{"127.0.0.1", fakes::FreePort()};
  const auto ignore = [](const std::vector<platform::KeyedRecord>&) {};
  PeerView reader(loop, clock, log, client, random, {}, ignore, ignore);
  http::Server server(loop, {});
  reader.Register(server);
  cr_assert(server.Listen(endpoint));
  reader.operator_records().Take({"config", "manifest 7", 41});
  reader.OnStore(clock.now());
  std::vector<platform::KeyedRecord> learnt;
  PeerView cut_off(
      loop, clock, log, client, random, {endpoint},
      [&learnt](const std::vector<platform::KeyedRecord>& records) {
        learnt = records;
      },
      ignore);
  cut_off.Start();
  const base::Timer contact =
      loop.Every(milliseconds(100), [&] { reader.OnStore(clock.now()); });
  cr_assert(fakes::RunUntil(loop, [&learnt] { return !learnt.empty(); }));
  cr_assert_str_eq(learnt[0].value->c_str(), "manifest 7");
  cr_assert(cut_off.reach() == Reach::kCurrent);
}

// The seeds that a node started with are gone; its settings name others now.
Test(peer_view, seeds_that_changed_are_asked) {
  base::EventLoop loop;
  SystemClock clock;
  base::StructuredLog log(clock, NodeId("n"));
  http::Client client(loop);
  std::mt19937_64 random(1);
  const Endpoint gone{"127.0.0.1", fakes::FreePort()};
  const Endpoint present{"127.0.0.1", fakes::FreePort()};
  const auto ignore = [](const std::vector<platform::KeyedRecord>&) {};
  PeerView reader(loop, clock, log, client, random, {}, ignore, ignore);
  http::Server server(loop, {});
  reader.Register(server);
  cr_assert(server.Listen(present));
  reader.operator_records().Take({"config", "manifest 7", 41});
  bool learnt = false;
  PeerView cut_off(
      loop, clock, log, client, random, {gone},
      [&learnt](const std::vector<platform::KeyedRecord>&) { learnt = true; },
      ignore);
  cut_off.Start();
  fakes::RunFor(loop, milliseconds(500));
  cr_assert(!learnt);
  cut_off.Follow({present});
  cr_assert(fakes::RunUntil(loop, [&learnt] { return learnt; }));
}

}  // namespace
}  // namespace mulberryroad::node
