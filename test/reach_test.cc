// Tracking of the reachability of the store, and the exchange with peers.

#include <criterion/criterion.h>

#include "fakes/free_port.h"
#include "fakes/loop_wait.h"
#include "node/peer_view.h"

namespace mulberryroad::node {
namespace {

using std::chrono::milliseconds;

Instant At(int millis) { return Instant{} + milliseconds(millis); }

Test(reachability, recent_store_contact_is_current) {
  ReachabilityTracker tracker;
  tracker.OnStoreAnswer(At(1'000));
  cr_assert(tracker.reachability(At(2'599)) == StoreReachability::kCurrent);
}

Test(reachability, peer_with_store_contact_keeps_node_current) {
  ReachabilityTracker tracker;
  tracker.OnStoreAnswer(At(1'000));
  tracker.OnPeerAnswer(At(4'000), At(3'500));
  cr_assert(tracker.reachability(At(5'000)) == StoreReachability::kCurrent);
}

Test(reachability, peers_without_store_contact_mean_outage) {
  ReachabilityTracker tracker;
  tracker.OnStoreAnswer(At(1'000));
  tracker.OnPeerAnswer(At(4'000), At(1'200));
  cr_assert(tracker.reachability(At(4'000)) == StoreReachability::kOutage);
  cr_assert(tracker.reachability(At(7'000)) == StoreReachability::kIsolated);
}

// A batch that arrives just as the node loses the store must wait at this node:
// within half a second the relay reaches the store through a peer.
Test(reachability, callers_retry_at_other_node_only_after_relay_failover_time) {
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
Test(reachability, idle_store_stays_current_between_reads) {
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

Test(reachability, no_answer_from_store_or_peers_is_isolation) {
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
  std::vector<platform::KeyedRecord> received;

  TwoNodes() {
    reader.Register(server);
    cr_assert(server.Listen(reader_address));
    reader.operator_records().Apply({"config", "manifest 7", 41});
  }

  /// Creates the node that does not reach the store.
  std::unique_ptr<PeerView> MakeDisconnectedNode(const Endpoint& peer) {
    return std::make_unique<PeerView>(
        loop, clock, log, client, random, std::vector<Endpoint>{peer},
        [this](const std::vector<platform::KeyedRecord>& records) {
          received = records;
        },
        ignore);
  }
};

Test(peer_view, node_without_store_contact_receives_records_from_peer) {
  TwoNodes nodes;
  nodes.reader.OnStoreAnswer(nodes.clock.now());
  const auto disconnected = nodes.MakeDisconnectedNode(nodes.reader_address);
  disconnected->Start();
  const base::Timer contact = nodes.loop.Every(milliseconds(100), [&] {
    nodes.reader.OnStoreAnswer(nodes.clock.now());
  });
  cr_assert(fakes::RunUntil(nodes.loop,
                            [&nodes] { return !nodes.received.empty(); }));
  cr_assert_str_eq(nodes.received[0].value->c_str(), "manifest 7");
  cr_assert(disconnected->reachability() == StoreReachability::kCurrent);
}

// The seeds known at start are unreachable; a reload of the settings provides
// others.
Test(peer_view, changed_seeds_are_queried) {
  TwoNodes nodes;
  const auto disconnected =
      nodes.MakeDisconnectedNode({"127.0.0.1", fakes::FreePort()});
  disconnected->Start();
  fakes::RunFor(nodes.loop, milliseconds(500));
  cr_assert(nodes.received.empty());
  disconnected->SetPeers({nodes.reader_address});
  cr_assert(fakes::RunUntil(nodes.loop,
                            [&nodes] { return !nodes.received.empty(); }));
}

}  // namespace
}  // namespace mulberryroad::node
