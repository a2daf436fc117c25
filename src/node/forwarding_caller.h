// Sends requests to upstreams, through a peer while this node has lost its
// links to them.

#ifndef MULBERRYROAD_SRC_NODE_FORWARDING_CALLER_H_
#define MULBERRYROAD_SRC_NODE_FORWARDING_CALLER_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "base/event_loop.h"
#include "base/metrics.h"
#include "base/structured_log.h"
#include "http/client.h"
#include "mulberryroad/clock.h"
#include "node/peer_pool.h"
#include "serving/link_monitor.h"
#include "serving/upstream_caller.h"
#include "serving/upstream_statements.h"

namespace mulberryroad::node {

/// One request is one attempt at one upstream, whichever way it takes: a peer
/// sends it to that upstream once, and forwards it no further. Runs on the
/// event loop thread.
class ForwardingCaller final : public serving::UpstreamCaller {
 public:
  /// @param direct sends requests over this node's own links
  ForwardingCaller(base::EventLoop& loop, const Clock& clock,
                   base::StructuredLog& log, base::Metrics& metrics,
                   http::Client& client, std::mt19937_64& random,
                   serving::UpstreamCaller& direct,
                   const serving::UpstreamDirectory& directory,
                   serving::UpstreamStatements& statements);
  ~ForwardingCaller() override;
  ForwardingCaller(const ForwardingCaller&) = delete;
  ForwardingCaller& operator=(const ForwardingCaller&) = delete;

  /// Starts to try lost links.
  void Start();
  /// Replaces the addresses of the peers.
  void SetPeers(const std::vector<Endpoint>& peers) { peers_.SetPeers(peers); }

  std::shared_ptr<http::Call> Send(
      const serving::Registration& upstream,
      const serving::OutgoingRequest& request, serving::CallOptions options,
      std::function<void(serving::UpstreamOutcome)> on_done) override;
  /// Sends a request over this node's own link only.
  std::shared_ptr<http::Call> SendDirect(
      const serving::Registration& upstream,
      const serving::OutgoingRequest& request, serving::CallOptions options,
      std::function<void(serving::UpstreamOutcome)> on_done);
  void Probe(const serving::Registration& upstream,
             std::chrono::milliseconds timeout,
             std::function<void(bool)> on_result) override;

  const serving::LinkMonitor& links() const { return links_; }
  /// Tries the link to an upstream if none has answered for kIdleTime, and asks
  /// a peer if this node is likely cut off. Called at intervals by a node that
  /// must know the state of its links also without requests.
  void TryLinkIfIdle();
  /// Returns whether only peers reach the upstreams: this node is likely cut
  /// off, and a peer reached one of them lately.
  bool depends_on_peers() const;

  /// Number of peers that are asked for one request.
  static constexpr std::size_t kMaxPeersAsked = 3;
  /// An upstream that this node cannot connect to counts as down once this many
  /// peers cannot connect to it either.
  static constexpr std::size_t kMinPeersForDown = 2;
  static constexpr std::chrono::milliseconds kPeerConnectTimeout{200};
  /// Time that a peer gets beyond the deadline of the request, so that its own
  /// outcome arrives first.
  static constexpr std::chrono::milliseconds kDeadlineMargin{50};
  /// If no upstream answers for this long after a request was sent, the link to
  /// its upstream is tried with a new connection.
  static constexpr std::chrono::milliseconds kSilenceTime{200};
  static constexpr std::chrono::milliseconds kProbeTimeout{300};
  /// Time after its permit was used during which a request to a cold upstream
  /// may be passed to a peer.
  static constexpr std::chrono::milliseconds kMaxColdForwardDelay{100};
  static constexpr std::chrono::milliseconds kTickInterval{50};
  static constexpr std::chrono::milliseconds kExpireInterval{10'000};
  static constexpr std::chrono::milliseconds kIdleTime{1'000};
  /// Time since a peer last reached an upstream for which the peers' links
  /// count as working: a node with little traffic forwards a request in a few
  /// seconds.
  static constexpr std::chrono::milliseconds kForwardedMaxAge{10'000};

 private:
  class ForwardedCall;

  void OnOutcome(const UpstreamId& id, const serving::UpstreamOutcome& outcome);
  /// Records an answer of the upstream over this node's own link.
  void OnReached(const UpstreamId& id);
  void OnLinkWorks(const UpstreamId& id);
  void OnUnreachable(const UpstreamId& id, const std::string& reason);
  /// Tries the link to an upstream whose request has no answer, unless another
  /// upstream answered meanwhile.
  void ProbeIfSilent(const UpstreamId& id, Instant sent);
  void ProbeLink(const UpstreamId& id);
  /// Asks a peer whether it reaches an upstream that this node does not reach.
  void AskPeer(const serving::Registration& upstream);
  void OnPeerAnswer(const UpstreamId& id, const Endpoint& peer,
                    const http::Result& result);
  void Tick();

  base::EventLoop& loop_;
  const Clock& clock_;
  base::StructuredLog& log_;
  base::Metrics& metrics_;
  http::Client& client_;
  std::mt19937_64& random_;
  serving::UpstreamCaller& direct_;
  const serving::UpstreamDirectory& directory_;
  serving::UpstreamStatements& statements_;
  serving::LinkMonitor links_;
  PeerPool peers_;
  std::set<UpstreamId> probing_;
  bool asking_peer_ = false;
  Instant last_answer_{};
  std::optional<Instant> last_forwarded_;
  std::size_t logged_lost_links_ = 0;
  bool logged_cut_off_ = false;
  base::Timer tick_timer_;
  base::Timer expire_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mulberryroad::node

#endif  // MULBERRYROAD_SRC_NODE_FORWARDING_CALLER_H_
