// Chooses the peers through which requests are forwarded. Pure: no I/O and no
// clock.
//
// Load spreads by the power of two random choices, so that nodes that are cut
// off at the same moment do not all use the same peer. A peer that refused or
// did not answer is left alone for a while.

#ifndef MULBERRYROAD_SRC_NODE_PEER_POOL_H_
#define MULBERRYROAD_SRC_NODE_PEER_POOL_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "mulberryroad/clock.h"
#include "mulberryroad/endpoint.h"

namespace mulberryroad::node {

/// Used on the event loop's thread.
class PeerPool {
 public:
  /// Replaces the peers; keeps what is known of those that stay.
  void SetPeers(const std::vector<Endpoint>& peers);
  /// Returns a peer that may get a request, or nullopt.
  /// @param tried peers that must not be used again
  std::optional<Endpoint> Choose(const std::set<Endpoint>& tried, Instant now,
                                 std::mt19937_64& random) const;
  void OnSent(const Endpoint& peer);
  void OnEnded(const Endpoint& peer);
  /// Records that the peer refused to forward, or did not answer.
  void OnRefused(const Endpoint& peer, Instant now);
  /// Returns whether there are any peers.
  bool empty() const { return peers_.empty(); }

  /// How long a peer that refused gets no request: the state of its links is
  /// tried several times in that time.
  static constexpr std::chrono::milliseconds kRefusedTime{500};
  /// Maximum number of requests in flight to one peer.
  static constexpr std::size_t kMaxInFlight = 128;

 private:
  struct Peer {
    std::size_t in_flight = 0;
    Instant refused_until{};
  };

  std::map<Endpoint, Peer> peers_;
};

}  // namespace mulberryroad::node

#endif  // MULBERRYROAD_SRC_NODE_PEER_POOL_H_
