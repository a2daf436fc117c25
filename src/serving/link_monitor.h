// Distinguishes upstreams that are down from those that only this node cannot
// reach, and chooses the path of requests. Pure: no I/O and no clock.
//
// Evidence is collected per upstream, from this node's own connections and from
// peers that were asked to forward a request. An upstream that neither this
// node nor a peer can connect to is down. Once several upstreams could not be
// reached, and none was since, the node is likely cut off: requests to the
// other upstreams then take the way through a peer at once, and their links are
// tried.

#ifndef MULBERRYROAD_SRC_SERVING_LINK_MONITOR_H_
#define MULBERRYROAD_SRC_SERVING_LINK_MONITOR_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "mulberryroad/clock.h"
#include "mulberryroad/ids.h"

namespace mulberryroad::serving {

enum class LinkPath {
  /// The request goes to the upstream itself.
  kDirect,
  /// The request goes through a peer.
  kPeer,
};

/// Used on the event loop's thread.
class LinkMonitor {
 public:
  /// Records that the upstream accepted a connection or answered this node.
  void OnReached(const UpstreamId& id, Instant now);
  /// Records that a connection to the upstream could not be established.
  void OnUnreachable(const UpstreamId& id, Instant now);
  /// Records that a peer reached the upstream.
  void OnReachedByPeer(const UpstreamId& id, Instant now);
  /// Records that a peer whose links work could not reach the upstream.
  void OnUnreachableByPeer(const UpstreamId& id, Instant now);

  /// Returns the way for the next request to the upstream.
  LinkPath path(const UpstreamId& id, Instant now) const;
  /// Returns whether this node cannot reach any upstream, though its peers can.
  bool cut_off() const;
  /// Returns whether this node has likely lost all its links: several upstreams
  /// that are not known to be down could not be reached, and none was since.
  bool likely_cut_off(Instant now) const;
  /// Returns the upstreams to which a connection should be tried now: to find
  /// out whether a lost link works again, or, after a failure that no answer
  /// has followed, whether the other links are lost as well. The caller must
  /// try them: the next ones are returned after kProbeInterval.
  std::vector<UpstreamId> TakeProbes(Instant now);
  /// Discards the state of upstreams without recent evidence.
  void Expire(Instant now);
  /// Returns an upstream that could not be reached, or nullopt.
  std::optional<UpstreamId> FailingUpstream() const {
    return failing_.empty() ? std::nullopt : std::optional(*failing_.begin());
  }
  /// Returns whether only peers reach the upstream.
  bool lost(const UpstreamId& id) const {
    return failing_.contains(id) && links_.at(id).reached_by_peer;
  }
  /// Returns the number of upstreams that only peers reach.
  std::size_t lost_links() const;
  /// Returns for how long the upstream could not be reached; zero if it is
  /// reached or was not tried.
  std::chrono::milliseconds unreachable_for(const UpstreamId& id,
                                            Instant now) const;
  std::size_t size() const { return links_.size(); }

  /// How long an upstream that a peer cannot reach either counts as down.
  static constexpr std::chrono::milliseconds kDownTime{1'000};
  /// Interval between two tries of a lost link.
  static constexpr std::chrono::milliseconds kProbeInterval{250};
  /// Number of other links that are tried at a time after a failure.
  static constexpr std::size_t kOtherProbes = 4;
  /// After a lost link works again, all others are tried at once.
  static constexpr std::chrono::milliseconds kRecoveryTime{1'000};
  /// Number of lost links from which the node counts as cut off, or all that it
  /// tried if these are fewer.
  static constexpr std::size_t kMinLostLinks = 2;
  static constexpr std::chrono::minutes kMaxAge{1};

 private:
  struct Link {
    /// First failure since the upstream was last reached; nullopt if it is
    /// reached or was not tried.
    std::optional<Instant> failing_since;
    /// Whether a peer reached it since then.
    bool reached_by_peer = false;
    /// When a peer failed to reach it.
    std::optional<Instant> peer_failed;
    Instant last_evidence{};
    Instant probed{};
  };

  bool IsDown(const Link& link, Instant now) const;
  /// Returns whether `lost` of the failing links, which began to fail at
  /// `first` or later, mean that the node is cut off.
  bool IsCutOff(std::size_t lost, const std::optional<Instant>& first) const;
  /// Returns other links to try after a failure that no answer has followed.
  std::vector<UpstreamId> OtherProbes(Instant now);

  std::map<UpstreamId, Link> links_;
  /// Upstreams of `links_` that could not be reached; few of thousands.
  std::set<UpstreamId> failing_;
  /// When an upstream was last reached directly.
  std::optional<Instant> last_reached_;
  /// When a lost link last worked again.
  std::optional<Instant> recovered_;
  Instant last_probe_{};
};

}  // namespace mulberryroad::serving

#endif  // MULBERRYROAD_SRC_SERVING_LINK_MONITOR_H_
