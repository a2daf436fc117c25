// Reaches the store through a peer while this node alone is cut off from it.
//
// It answers a store that turns some nodes away and serves the others: what
// such a node owns goes on, and what callers ask of it is stored.

#ifndef MULBERRYROAD_SRC_NODE_STORE_RELAY_H_
#define MULBERRYROAD_SRC_NODE_STORE_RELAY_H_

#include <chrono>
#include <cstddef>
#include <memory>
#include <random>
#include <vector>

#include "base/event_loop.h"
#include "base/metrics.h"
#include "base/structured_log.h"
#include "http/client.h"
#include "http/sender.h"
#include "http/server.h"
#include "mulberryroad/clock.h"
#include "mulberryroad/endpoint.h"

namespace mulberryroad::node {

/// Decides from the outcomes of direct calls which way the next one goes. Pure.
class RelayPolicy {
 public:
  explicit RelayPolicy(Instant started) : answered_(started) {}

  /// A direct call was answered, or not.
  void OnDirect(bool answered, Instant now);
  /// True while calls go through a peer.
  bool relays(Instant now) const;
  /// True if a call is to go the direct way as well, to see whether it answers
  /// again. Counts as taken.
  bool TakeProbe(Instant now);

  /// Calls are made at least this often, so that without an answer for longer
  /// the direct way is taken to be closed.
  static constexpr std::chrono::milliseconds kClosedAfter{400};
  static constexpr std::chrono::milliseconds kProbeInterval{250};

 private:
  Instant answered_;
  bool failing_ = false;
  Instant probed_{};
};

class StoreRelay final : public http::Sender {
 public:
  /// @param peers nodes that may relay; those that are gone are passed over
  StoreRelay(base::EventLoop& loop, const Clock& clock,
             base::StructuredLog& log, base::Metrics& metrics,
             http::Client& client, std::mt19937_64& random, Endpoint store,
             std::vector<Endpoint> peers);
  ~StoreRelay() override;
  StoreRelay(const StoreRelay&) = delete;
  StoreRelay& operator=(const StoreRelay&) = delete;

  void Send(http::ClientRequest request, http::OnDone on_done) override;
  /// Relays calls of peers on this server.
  void Register(http::Server& server);
  /// Relays through these peers from now on.
  void Follow(std::vector<Endpoint> peers);

  static constexpr std::chrono::milliseconds kPeerConnectTimeout{200};

 private:
  void SendDirect(http::ClientRequest request, http::OnDone on_done);
  void SendToPeer(http::ClientRequest request, http::OnDone on_done);
  void OnDirect(const http::Result& result);
  void Relay(const std::shared_ptr<http::Exchange>& exchange);
  void Tell(bool relaying);

  base::EventLoop& loop_;
  const Clock& clock_;
  base::StructuredLog& log_;
  base::Metrics& metrics_;
  http::Client& client_;
  std::mt19937_64& random_;
  Endpoint store_;
  std::vector<Endpoint> peers_;
  std::size_t peer_ = 0;
  RelayPolicy policy_;
  bool told_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mulberryroad::node

#endif  // MULBERRYROAD_SRC_NODE_STORE_RELAY_H_
