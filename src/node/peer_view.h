// What nodes tell each other of the store, so that one that the store turns
// away stays current, and one that is cut off from all knows that it is.

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

/// How a node stands to the store and to its peers.
enum class Reach {
  /// It reads the store, or a peer tells it what the store holds.
  kCurrent,
  /// Its peers do not reach the store either.
  kOutage,
  /// Neither the store nor a peer answers.
  kIsolated,
};

/// Newest records of the operator and of upstreams, by key.
struct PeerRecords {
  std::map<std::string, std::string> values;
  platform::Offset position = 0;

  void Take(const platform::KeyedRecord& record);
  void Replace(const std::vector<platform::KeyedRecord>& records);
};

/// Judges the reach of a node from its contacts. Pure.
class ReachJudge {
 public:
  /// The store answered a call that was sent at this instant.
  void OnStore(Instant sent) { store_ = std::max(store_, sent); }
  /// A peer answered, and had heard of the store then.
  void OnPeer(Instant now, Instant heard_of_store);
  Reach reach(Instant now) const;

  /// Without word of the store for longer a node asks its peers.
  static constexpr std::chrono::milliseconds kFresh{1'600};
  /// Reads that bring word of the store wait at most this long for a record, so
  /// that the answers of two in a row come while the first is still fresh.
  static constexpr std::chrono::milliseconds kReadWait{750};
  /// Peers are asked some times a second; several of three may be gone.
  static constexpr std::chrono::milliseconds kPeerSilence{3'000};

 private:
  Instant store_{};
  Instant heard_{};
  std::optional<Instant> peer_;
};

/// Calls find their way through a peer in less: the relay begins after 400 ms
/// without an answer, and its first peer may be gone.
inline constexpr std::chrono::milliseconds kRelayFound{1'000};
/// When a caller may come back, to another node, if this one alone does not
/// reach the store.
inline constexpr std::chrono::milliseconds kElsewhereRetry{50};

/// Decides whether a caller that wants something stored is better off at
/// another node. Pure.
/// @param failing_since first call that failed since the store last answered
/// @return when to come back; nullopt if it is to wait here, since the store
///     answers, may yet be reached through a peer, or is away for all
std::optional<std::chrono::milliseconds> RetryElsewhere(
    std::optional<Instant> failing_since, Reach reach, Instant now);

class PeerView {
 public:
  /// Called with all records of a peer that has read further.
  using OnRecords =
      std::function<void(const std::vector<platform::KeyedRecord>&)>;

  PeerView(base::EventLoop& loop, const Clock& clock, base::StructuredLog& log,
           http::Client& client, std::mt19937_64& random,
           std::vector<Endpoint> peers, OnRecords on_operator_records,
           OnRecords on_registrations);
  ~PeerView();
  PeerView(const PeerView&) = delete;
  PeerView& operator=(const PeerView&) = delete;

  /// Answers peers on this server.
  void Register(http::Server& server);
  void Start();
  /// Asks these peers from now on.
  void Follow(std::vector<Endpoint> peers) { peers_ = std::move(peers); }
  /// Tells when the last answered call to the store was sent.
  void OnStore(Instant sent) {
    judge_.OnStore(sent);
    last_store_ = std::max(last_store_, sent);
  }
  Reach reach() const { return judge_.reach(clock_.now()); }

  PeerRecords& operator_records() { return operator_records_; }
  PeerRecords& registrations() { return registrations_; }

  static constexpr std::chrono::milliseconds kAskInterval{200};
  /// Peers are asked once the store was silent for this long: before its
  /// silence counts, so that what they say is known by then.
  static constexpr std::chrono::milliseconds kAskFrom{1'200};
  static constexpr std::chrono::milliseconds kTimeout{400};

 private:
  void Answer(const std::shared_ptr<http::Exchange>& exchange);
  void Ask();
  void OnAnswer(Instant sent, const http::Result& result);

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
  ReachJudge judge_;
  Instant last_store_{};
  Reach told_ = Reach::kCurrent;
  base::Timer timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mulberryroad::node

#endif  // MULBERRYROAD_SRC_NODE_PEER_VIEW_H_
