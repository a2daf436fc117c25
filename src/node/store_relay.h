// Relays store calls through a peer while only this node cannot reach the
// store.
//
// Covers a store that rejects some nodes and serves the others: a rejected node
// keeps processing the partitions that it owns and keeps storing the data of
// its callers.

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

/// Decides from the results of direct calls whether the next call goes to the
/// store or through a peer. Performs no I/O and reads no clock.
class RelayPolicy {
 public:
  explicit RelayPolicy(Instant started) : last_answer_(started) {}

  /// Records the result of a direct call.
  void OnDirectResult(bool answered, Instant now);
  /// Returns true if calls are to go through a peer.
  bool uses_relay(Instant now) const;
  /// Returns true if a call should also be sent directly, to detect that the
  /// store answers again. The caller must then send it: the next probe is
  /// allowed after kProbeInterval.
  bool AcquireProbe(Instant now);

  /// Time without an answer after which calls go through a peer. Calls are made
  /// at least this often, so a longer time without an answer means that the
  /// direct path has failed.
  static constexpr std::chrono::milliseconds kDirectTimeout{400};
  static constexpr std::chrono::milliseconds kProbeInterval{250};

 private:
  Instant last_answer_;
  bool failing_ = false;
  Instant last_probe_{};
};

/// Sends calls to the store, directly or through a peer, and relays the calls
/// of peers. Runs on the event loop thread.
class StoreRelay final : public http::Sender {
 public:
  /// @param peers nodes that may relay; unreachable ones are skipped
  StoreRelay(base::EventLoop& loop, const Clock& clock,
             base::StructuredLog& log, base::Metrics& metrics,
             http::Client& client, std::mt19937_64& random, Endpoint store,
             std::vector<Endpoint> peers);
  ~StoreRelay() override;
  StoreRelay(const StoreRelay&) = delete;
  StoreRelay& operator=(const StoreRelay&) = delete;

  /// Sends a call; on_done is called once, with the response of the store or of
  /// a peer that refuses to relay, or with a failure.
  void Send(http::ClientRequest request, http::ResultCallback on_done) override;
  /// Serves relayed calls of peers on this server.
  void Register(http::Server& server);
  /// Replaces the list of peers that may relay.
  void SetPeers(std::vector<Endpoint> peers);

  static constexpr std::chrono::milliseconds kPeerConnectTimeout{200};

 private:
  void SendDirect(http::ClientRequest request, http::ResultCallback on_done);
  void SendToPeer(http::ClientRequest request, http::ResultCallback on_done);
  void OnDirectResult(const http::Result& result);
  void Relay(const std::shared_ptr<http::Exchange>& exchange);
  void LogChange(bool relaying);

  base::EventLoop& loop_;
  const Clock& clock_;
  base::StructuredLog& log_;
  base::Metrics& metrics_;
  http::Client& client_;
  std::mt19937_64& random_;
  Endpoint store_;
  std::vector<Endpoint> peers_;
  std::size_t peer_index_ = 0;
  RelayPolicy policy_;
  bool logged_relaying_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mulberryroad::node

#endif  // MULBERRYROAD_SRC_NODE_STORE_RELAY_H_
