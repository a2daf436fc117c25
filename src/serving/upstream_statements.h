// What upstreams state about themselves in their responses. Pure: no I/O and no
// clock.

#ifndef MULBERRYROAD_SRC_SERVING_UPSTREAM_STATEMENTS_H_
#define MULBERRYROAD_SRC_SERVING_UPSTREAM_STATEMENTS_H_

#include <sigc++/signal.h>

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "mulberryroad/clock.h"
#include "mulberryroad/ids.h"

namespace mulberryroad::serving {
class ColdUpstreams;
struct ColdGrant;
}  // namespace mulberryroad::serving

namespace mulberryroad::serving {

/// What one response states about the upstream that sent it.
struct Statement {
  /// Requests per second that the upstream accepts from all nodes together;
  /// nullopt if the response names no limit.
  std::optional<double> requests_per_second = {};
  /// Whether the upstream will stop and takes no new requests.
  bool leaving = false;
  /// Whether the absence of a limit in this response means that there is none.
  bool complete = false;
};

/// A change of the rate limit of an upstream, for the log.
struct LimitChange {
  UpstreamId upstream;
  /// nullopt if the upstream has no limit any more.
  std::optional<double> requests_per_second;
  /// Whether another node reported it.
  bool reported = false;
};

/// The process of an upstream that said that it leaves.
struct LeavingUpstream {
  UpstreamId upstream;
  std::chrono::milliseconds started{0};
  /// Whether another node reported it.
  bool reported = false;
};

/// What is known from the responses of a process of an upstream.
struct KnownStatement {
  /// Start time of the process; 0 if it is not known.
  std::chrono::milliseconds started{0};
  /// nullopt without a limit.
  std::optional<double> requests_per_second;
  bool leaving = false;
  /// Time of the latest response that stated something.
  Instant learned{};
};

/// The latest statements of the upstreams, each of them valid for one process
/// of its upstream, and this node's permits to send requests to those with a
/// limit. An upstream that is cold has the lower of the limits that it stated
/// and that cold ones have. Used on the event loop's thread.
class UpstreamStatements {
 public:
  /// @param cold the cold upstreams; null if none has a limit
  explicit UpstreamStatements(const ColdUpstreams* cold = nullptr)
      : cold_(cold) {}

  /// Records the statement of a response.
  /// @param started start time of the upstream's process, as registered when
  ///     the request was sent; a statement of an earlier process is ignored
  void OnResponse(const UpstreamId& id, std::chrono::milliseconds started,
                  const Statement& statement, Instant now);
  /// Records what another node learned. Ignored if it is of an earlier process
  /// or not newer than what is known.
  void OnReported(const UpstreamId& id, const KnownStatement& known);
  /// Discards the statements of earlier processes of an upstream.
  void OnRestarted(const UpstreamId& id, std::chrono::milliseconds started);
  /// Discards the statements that are older than kMaxAge.
  /// @return their upstreams
  std::vector<UpstreamId> TakeExpired(Instant now);

  /// Adds a permit for one request.
  /// @param for_cold whether it was granted under the limit of cold upstreams;
  ///     others cannot be used while the upstream is cold
  void AddPermit(const UpstreamId& id, Instant usable_until,
                 bool for_cold = false);
  /// Records that a request was sent, which uses up a permit if the upstream
  /// has a limit.
  void OnRequestSent(const UpstreamId& id, Instant now);
  /// Returns whether a request may be sent: the upstream has no limit, or this
  /// node holds a permit.
  bool MaySend(const UpstreamId& id, Instant now) const;

  /// Returns the requests per second that the upstream stated to accept from
  /// all nodes together, or nullopt without a limit.
  std::optional<double> limit(const UpstreamId& id) const;
  /// Returns the lower of the stated limit and the one of cold upstreams, or
  /// nullopt without a limit.
  std::optional<double> limit(const UpstreamId& id, Instant now) const;
  /// Returns the grant of a cold upstream with a limit, or nullopt.
  std::optional<ColdGrant> cold_grant(const UpstreamId& id, Instant now) const;
  /// Returns what is known of an upstream, or nullopt.
  std::optional<KnownStatement> find(const UpstreamId& id) const;
  /// Returns the number of upstreams with a statement.
  std::size_t size() const { return entries_.size(); }

  /// Emitted when a process of an upstream says for the first time that it
  /// leaves.
  sigc::signal<void(const LeavingUpstream&)>& on_leaving() {
    return on_leaving_;
  }
  /// Emitted when a limit is named for the first time, changes or ends.
  sigc::signal<void(const LimitChange&)>& on_limit_changed() {
    return on_limit_changed_;
  }

  /// An upstream that did not answer for this long has most likely ended.
  static constexpr std::chrono::minutes kMaxAge{10};

 private:
  struct Entry {
    KnownStatement known;
  };
  struct Permit {
    Instant usable_until{};
    bool for_cold = false;
  };

  /// Discards what an earlier process stated.
  void SetStarted(const UpstreamId& id, std::chrono::milliseconds started,
                  bool reported, Entry* entry);
  void SetLimit(const LimitChange& change, Entry* entry, Instant learned);
  void SetLeaving(const UpstreamId& id, bool reported, Entry* entry);

  /// Returns the first permit that can be used, or end().
  static std::deque<Permit>::const_iterator FindUsable(
      const std::deque<Permit>& permits, bool cold, Instant now);

  const ColdUpstreams* cold_;
  std::map<UpstreamId, Entry> entries_;
  /// Permits in ascending order of their ends.
  std::map<UpstreamId, std::deque<Permit>> permits_;
  sigc::signal<void(const LimitChange&)> on_limit_changed_;
  sigc::signal<void(const LeavingUpstream&)> on_leaving_;
};

}  // namespace mulberryroad::serving

#endif  // MULBERRYROAD_SRC_SERVING_UPSTREAM_STATEMENTS_H_
