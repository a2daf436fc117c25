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

/// Two nodes: one reads the store and answers its peers, the other does not
/// reach the store.
struct TwoNodes {
  base::EventLoop loop;
  SystemClock clock;
  base::StructuredLog log{clock, NodeId("n")};
  http::Client client{loop};
  std::mt19937_64 random{1};
  Endpoint reader_address{"127.0.0.1", fakes::FreePort()};
  PeerView::OnRecords ignore = [](const auto& /*records*/) {};
  PeerView reader{loop, clock, log, client, random, {}, ignore, ignore};
  http::Server server{loop, {}};
  std::vector<platform::KeyedRecord> learnt;

  TwoNodes() {
    reader.Register(server);
    cr_assert(server.Listen(reader_address));
    reader.operator_records().Take({"config", "manifest 7", 41});
  }

  /// Makes the node that does not reach the store.
  std::unique_ptr<PeerView> CutOff(const Endpoint& peer) {
    return std::make_unique<PeerView>(
        loop, clock, log, client, random, std::vector<Endpoint>{peer},
        [this](const std::vector<platform::KeyedRecord>& records) {
          learnt = records;
        },
        ignore);
  }
};

Test(peer_view, node_without_the_store_learns_from_a_peer) {
  TwoNodes nodes;
  nodes.reader.OnStore(nodes.clock.now());
  const auto cut_off = nodes.CutOff(nodes.reader_address);
  cut_off->Start();
  const base::Timer contact = nodes.loop.Every(
      milliseconds(100), [&] { nodes.reader.OnStore(nodes.clock.now()); });
  cr_assert(
      fakes::RunUntil(nodes.loop, [&nodes] { return !nodes.learnt.empty(); }));
  cr_assert_str_eq(nodes.learnt[0].value->c_str(), "manifest 7");
  cr_assert(cut_off->reach() == Reach::kCurrent);
}

// The seeds that a node started with are gone; its settings name others now.
Test(peer_view, seeds_that_changed_are_asked) {
  TwoNodes nodes;
  const auto cut_off = nodes.CutOff({"127.0.0.1", fakes::FreePort()});
  cut_off->Start();
  fakes::RunFor(nodes.loop, milliseconds(500));
  cr_assert(nodes.learnt.empty());
  cut_off->Follow({nodes.reader_address});
  cr_assert(
      fakes::RunUntil(nodes.loop, [&nodes] { return !nodes.learnt.empty(); }));
}

}  // namespace
}  // namespace mulberryroad::node
