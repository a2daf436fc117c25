// Exchange of store contents between nodes. A node that the store rejects stays
// up to date through its peers, and a node that reaches neither the store nor a
// peer detects that it is isolated.

#ifndef MULBERRYROAD_SRC_NODE_PEER_VIEW_H_
#define MULBERRYROAD_SRC_NODE_PEER_VIEW_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "base/event_loop.h"
#include "base/structured_log.h"
#include "http/client.h"
#include "http/server.h"
#include "mulberryroad/clock.h"
#include "mulberryroad/endpoint.h"
#include "mulberryroad/store.pb.h"
#include "platform/partition_store.h"

namespace mulberryroad::node {

/// Reachability of the store, directly or through peers.
enum class StoreReachability {
  /// The node reads the store itself or receives its contents from a peer.
  kCurrent,
  /// Peers answer, but they do not reach the store either.
  kOutage,
  /// Neither the store nor a peer answers.
  kIsolated,
};

/// Latest value of each key of one topic, for exchange with peers.
struct PeerRecords {
  std::map<std::string, std::string> values;
  /// Offset after the last applied record.
  platform::Offset position = 0;

  /// Applies a record; one without a value removes its key.
  void Apply(const platform::KeyedRecord& record);
  /// Replaces all values by those of a snapshot.
  /// @param end offset up to which the snapshot is complete, exclusive
  void Replace(const std::vector<platform::KeyedRecord>& records,
               platform::Offset end);
};

/// Derives the reachability of the store from the times of successful calls to
/// the store and to peers. Performs no I/O and reads no clock.
class ReachabilityTracker {
 public:
  /// Records that the store answered a call.
  /// @param sent time at which the call was sent
  void OnStoreAnswer(Instant sent) {
    direct_contact_ = std::max(direct_contact_, sent);
  }
  /// Records that a peer answered a query.
  /// @param now time of the answer
  /// @param peer_store_contact time of the last store contact of that peer
  void OnPeerAnswer(Instant now, Instant peer_store_contact);
  StoreReachability reachability(Instant now) const;

  /// Age up to which a contact with the store, direct or through a peer, counts
  /// as current.
  static constexpr std::chrono::milliseconds kMaxContactAge{1'600};
  /// Maximum time that a long-poll read of the operator topic waits for a
  /// record. Less than half of kMaxContactAge, so that a read is answered
  /// before the contact made by the previous one expires.
  static constexpr std::chrono::milliseconds kMaxReadWait{750};
  /// Time without an answer from any peer after which a node counts as
  /// isolated. Each query goes to one peer, several times a second, so the
  /// timeout allows for queries that fail because several of three peers are
  /// down.
  static constexpr std::chrono::milliseconds kPeerContactTimeout{3'000};

 private:
  Instant direct_contact_{};
  Instant relayed_contact_{};
  std::optional<Instant> last_peer_answer_;
};

/// Upper bound on the time until calls reach the store through a peer: the
/// relay takes over after 400 ms without an answer, and its first peer may be
/// down.
inline constexpr std::chrono::milliseconds kRelayFailoverTime{1'000};
/// Retry delay for a caller if only this node does not reach the store and
/// another node can serve the retry.
inline constexpr std::chrono::milliseconds kOtherNodeRetryDelay{50};

/// Decides whether a call that needs the store should be retried at another
/// node. Performs no I/O and reads no clock.
/// @param failing_since time of the first failed call since the store last
///     answered; nullopt if the store answers
/// @return the retry delay; nullopt if the call should wait at this node: the
///     store answers, the relay may still reach it, or it is unreachable for
///     all nodes
std::optional<std::chrono::milliseconds> RetryAtOtherNode(
    std::optional<Instant> failing_since, StoreReachability reachability,
    Instant now);

/// Serves the store contents known to this node to its peers, and queries peers
/// while the store does not answer. Runs on the event loop thread.
class PeerView {
 public:
  /// Called with all records of a peer whose position is ahead of this node.
  using OnRecords =
      std::function<void(const std::vector<platform::KeyedRecord>&)>;

  PeerView(base::EventLoop& loop, const Clock& clock, base::StructuredLog& log,
           http::Client& client, std::mt19937_64& random,
           std::vector<Endpoint> peers, OnRecords on_operator_records,
           OnRecords on_registrations);
  ~PeerView();
  PeerView(const PeerView&) = delete;
  PeerView& operator=(const PeerView&) = delete;

  /// Serves queries of peers on this server.
  void Register(http::Server& server);
  /// Starts querying peers.
  void Start();
  /// Replaces the list of peers to query.
  void SetPeers(std::vector<Endpoint> peers) { peers_ = std::move(peers); }
  /// Records that the store answered a call.
  /// @param sent time at which the call was sent
  void OnStoreAnswer(Instant sent) {
    reachability_.OnStoreAnswer(sent);
    last_store_contact_ = std::max(last_store_contact_, sent);
  }
  StoreReachability reachability() const {
    return reachability_.reachability(clock_.now());
  }

  PeerRecords& operator_records() { return operator_records_; }
  PeerRecords& registrations() { return registrations_; }

  static constexpr std::chrono::milliseconds kQueryInterval{200};
  /// Time without an answer from the store after which peers are queried. Less
  /// than ReachabilityTracker::kMaxContactAge, so that their answers are known
  /// when the last contact with the store expires.
  static constexpr std::chrono::milliseconds kStoreAnswerTimeout{1'200};
  /// Timeout for connecting to a peer and for its answer.
  static constexpr std::chrono::milliseconds kQueryTimeout{400};

 private:
  void ReplyToPeer(const std::shared_ptr<http::Exchange>& exchange);
  void QueryPeer();
  void OnQueryResult(Instant sent, const http::Result& result);

  base::EventLoop& loop_;
  const Clock& clock_;
  base::StructuredLog& log_;
  http::Client& client_;
  std::mt19937_64& random_;
  std::vector<Endpoint> peers_;
  OnRecords on_operator_records_;
  OnRecords on_registrations_;
  PeerRecords operator_records_;
  PeerRecords registrations_;
  ReachabilityTracker reachability_;
  Instant last_store_contact_{};
  StoreReachability logged_reachability_ = StoreReachability::kCurrent;
  base::Timer timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mulberryroad::node

#endif  // MULBERRYROAD_SRC_NODE_PEER_VIEW_H_
