// Tracking of the reachability of the store, and the exchange with peers.

#include <criterion/criterion.h>

#include "fakes/free_port.h"
#include "fakes/loop_wait.h"
#include "node/peer_view.h"

namespace mulberryroad::node {
namespace {

using std::chrono::milliseconds;

Instant At(int millis) { return Instant{} + milliseconds(millis); }

Test(reachability, store_in_reach_is_current) {
  ReachabilityTracker tracker;
  tracker.OnStoreAnswer(At(1'000));
  cr_assert(tracker.reachability(At(2'599)) == StoreReachability::kCurrent);
}

Test(reachability, peer_that_hears_of_the_store_keeps_a_node_current) {
  ReachabilityTracker tracker;
  tracker.OnStoreAnswer(At(1'000));
  tracker.OnPeerAnswer(At(4'000), At(3'500));
  cr_assert(tracker.reachability(At(5'000)) == StoreReachability::kCurrent);
}

Test(reachability, peers_without_the_store_make_an_outage) {
  ReachabilityTracker tracker;
  tracker.OnStoreAnswer(At(1'000));
  tracker.OnPeerAnswer(At(4'000), At(1'200));
  cr_assert(tracker.reachability(At(4'000)) == StoreReachability::kOutage);
  cr_assert(tracker.reachability(At(7'000)) == StoreReachability::kIsolated);
}

// A batch that arrives just as the node loses the store is to wait for the
// relay, which reaches the store through a peer within half a second.
Test(reachability,
     callers_are_sent_elsewhere_only_after_the_relay_had_its_time) {
  cr_assert(
      !RetryAtOtherNode(std::nullopt, StoreReachability::kCurrent, At(0)));
  for (const StoreReachability reachability :
       {StoreReachability::kCurrent, StoreReachability::kIsolated}) {
    cr_assert(!RetryAtOtherNode(At(0), reachability, At(999)));
    cr_assert(RetryAtOtherNode(At(0), reachability, At(1'000)).has_value());
  }
  cr_assert(!RetryAtOtherNode(At(0), StoreReachability::kOutage, At(5'000)),
            "no other node reaches the store");
}

// A contact is dated by the time at which its read was sent. It must stay
// current until the next read of an idle store is answered.
Test(reachability, idle_store_stays_current_from_read_to_read) {
  constexpr milliseconds kSlowAnswer{50};
  ReachabilityTracker tracker;
  Instant sent = At(0);
  for (int read = 0; read < 5; ++read) {
    const Instant answered =
        sent + ReachabilityTracker::kMaxReadWait + kSlowAnswer;
    cr_assert(tracker.reachability(answered - milliseconds(1)) ==
                  StoreReachability::kCurrent ||
              read == 0);
    tracker.OnStoreAnswer(sent);
    sent = answered;
  }
}

Test(reachability, silence_of_all_is_isolation) {
  ReachabilityTracker tracker;
  tracker.OnStoreAnswer(At(1'000));
  cr_assert(tracker.reachability(At(2'600)) == StoreReachability::kIsolated);
  tracker.OnStoreAnswer(At(9'000));
  cr_assert(tracker.reachability(At(9'100)) == StoreReachability::kCurrent);
}

/// Two nodes: one reads the store and serves its peers, the other does not
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
    reader.operator_records().Apply({"config", "manifest 7", 41});
  }

  /// Creates the node that does not reach the store.
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
  nodes.reader.OnStoreAnswer(nodes.clock.now());
  const auto cut_off = nodes.CutOff(nodes.reader_address);
  cut_off->Start();
  const base::Timer contact = nodes.loop.Every(milliseconds(100), [&] {
    nodes.reader.OnStoreAnswer(nodes.clock.now());
  });
  cr_assert(
      fakes::RunUntil(nodes.loop, [&nodes] { return !nodes.learnt.empty(); }));
  cr_assert_str_eq(nodes.learnt[0].value->c_str(), "manifest 7");
  cr_assert(cut_off->reachability() == StoreReachability::kCurrent);
}

// The seeds in the settings change after all seeds known at start are gone.
Test(peer_view, seeds_that_changed_are_asked) {
  TwoNodes nodes;
  const auto cut_off = nodes.CutOff({"127.0.0.1", fakes::FreePort()});
  cut_off->Start();
  fakes::RunFor(nodes.loop, milliseconds(500));
  cr_assert(nodes.learnt.empty());
  cut_off->SetPeers({nodes.reader_address});
  cr_assert(
      fakes::RunUntil(nodes.loop, [&nodes] { return !nodes.learnt.empty(); }));
}

}  // namespace
}  // namespace mulberryroad::node
