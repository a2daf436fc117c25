// Slots of upstreams in use by all nodes that run items: keeps the counts that
// other nodes report, and decides what this node reports to which of them and
// when. Pure.

#ifndef MULBERRYROAD_SRC_BATCHES_SHARED_SLOTS_H_
#define MULBERRYROAD_SRC_BATCHES_SHARED_SLOTS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mulberryroad/clock.h"
#include "mulberryroad/endpoint.h"
#include "mulberryroad/ids.h"

namespace mulberryroad::batches {

/// Slots of one upstream that one node uses.
struct SlotCount {
  UpstreamId upstream;
  /// Start time of the upstream's process; zero if unknown.
  std::chrono::milliseconds started{0};
  /// Runs, including those not yet accepted.
  std::uint32_t running = 0;
};

/// All slots that a process uses.
struct SlotCounts {
  std::string process;
  /// Increases with each report of the process.
  std::uint64_t sequence = 0;
  /// Whether items wait for a slot.
  bool waiting = false;
  std::vector<SlotCount> slots;
  /// Address of the process for other nodes; empty if it has none.
  Endpoint address = {};

  /// Returns whether it has runs or waiting items.
  bool active() const { return waiting || !slots.empty(); }
};

/// Counts with their age.
struct AgedCounts {
  SlotCounts counts;
  std::chrono::milliseconds age{0};
};

/// Counts of other nodes. A report replaces the earlier one of its process.
class ReportedSlots {
 public:
  /// Records a report of a node, received from it or through another one.
  /// @return false if it is too old, not newer than the one known, or of one
  ///     process too many
  bool Record(AgedCounts report, Instant now);
  /// Returns the latest reports of other nodes to be passed on, those of active
  /// nodes first.
  std::vector<AgedCounts> Relayable(Instant now) const;
  /// Removes the reports older than `kMaxAge`.
  /// @return number of removed reports that counted runs
  std::size_t Expire(Instant now);
  /// Returns the runs of other nodes at the upstream.
  /// @param started start time of the upstream's process; counts of earlier
  ///     processes are not used
  std::uint32_t running(const UpstreamId& id, std::chrono::milliseconds started,
                        Instant now) const;
  /// Returns whether another node reports runs.
  bool present(Instant now) const;
  /// Returns the runs of other nodes at all upstreams.
  std::uint64_t total(Instant now) const;

  /// Age beyond which a count is not used: one refresh of each second may be
  /// lost or late by half a second.
  static constexpr std::chrono::milliseconds kMaxAge{1'500};
  /// Processes whose reports are kept; the number of nodes that the design
  /// holds for.
  static constexpr std::size_t kMaxProcesses = 1'000;
  /// Maximum number of reports passed on in one message, four times the nodes
  /// that usually run items; bounds the size of a message.
  static constexpr std::size_t kMaxRelayed = 24;
  /// Maximum count that is taken from a report for one upstream. Protects sums
  /// from malformed reports.
  static constexpr std::uint32_t kMaxRunning = 10'000;

 private:
  struct Report {
    SlotCounts counts;
    /// When the counts were made, by the clock of this node.
    Instant made;
  };
  void UpdateTotals(Instant now) const;

  std::map<std::string, Report> reports_;
  /// Runs by upstream and start time of its process; a cache of `reports_`,
  /// since each placement looks at all upstreams.
  mutable std::map<UpstreamId,
                   std::map<std::chrono::milliseconds, std::uint32_t>>
      totals_;
  /// When the first report in `totals_` expires; nullopt if the cache is out of
  /// date.
  mutable std::optional<Instant> totals_valid_until_;
};

/// Schedule of this node's reports to the other nodes.
class ReportSchedule {
 public:
  /// Sets the addresses of the other nodes that may start items.
  void SetPeers(const std::set<Endpoint>& peers);
  bool has_peers() const { return !peers_.empty(); }
  /// Records that the counts of this node have changed.
  /// @param active whether it has runs or waiting items
  void OnChanged(bool active);
  /// Records a report of a peer.
  /// @param active whether it has runs or waiting items
  void OnReportOf(const Endpoint& peer, bool active, Instant now);
  /// Records that the reply to a peer's report carries the current counts.
  void OnReplied(const Endpoint& peer, Instant now);
  /// Returns the peers to which a report should be sent now, those most overdue
  /// first, and records them as sent.
  std::vector<Endpoint> TakeDue(Instant now);
  /// Returns when `TakeDue` returns a peer at the earliest; nullopt if only
  /// after a change.
  std::optional<Instant> next_due(Instant now) const;
  /// Records the end of a report that `TakeDue` returned.
  void OnDelivered(const Endpoint& peer);
  /// @param unknown_path whether the peer does not know these reports
  void OnFailed(const Endpoint& peer, bool unknown_path, Instant now);

  /// Minimum interval of reports to a peer that also runs items.
  static constexpr std::chrono::milliseconds kActiveInterval{200};
  /// Interval of reports to other peers, and of reports without a change.
  static constexpr std::chrono::milliseconds kRefreshInterval{1'000};
  /// Time since a peer's last report with runs or waiting items during which it
  /// gets reports at the short interval: longer than the 4 s between the steps
  /// of a trainer.
  static constexpr std::chrono::milliseconds kRecentlyActive{5'000};
  /// Reports a second to peers that run items, and to the others. Their sum is
  /// 20: with as many received, a node handles 40 a second. The limits are
  /// separate, so that many peers without items do not delay the reports to the
  /// few that run some.
  static constexpr double kActiveReportsPerSecond = 16;
  static constexpr double kOtherReportsPerSecond = 4;
  /// Duration whose reports may be sent at once: one to each of the usual six
  /// owners.
  static constexpr std::chrono::milliseconds kBurst{500};
  /// Delay after a peer did not answer; it doubles up to `kRefreshInterval`
  /// while the peer stays silent.
  static constexpr std::chrono::milliseconds kRetryAfterNoReply{100};
  /// Delay after a peer does not know the path: an old build, which a rolling
  /// replacement exchanges within minutes.
  static constexpr std::chrono::milliseconds kRetryAfterUnknownPath{10'000};

 private:
  struct Peer {
    std::optional<Instant> last_sent;
    std::optional<Instant> last_active;
    /// Version of the counts that were sent last.
    std::uint64_t sent_version = 0;
    /// Whether the counts that were sent last are other than none.
    bool sent_active = false;
    bool in_flight = false;
    /// Consecutive reports without a reply.
    int failures = 0;
    Instant blocked_until{};
  };
  /// Limits the reports to one class of peers.
  class Budget {
   public:
    explicit Budget(double per_second) : per_second_(per_second) {}
    bool TryTake(Instant now);
    /// Returns when one more report may be sent.
    Instant available_at(Instant now) const;

   private:
    double TokensAt(Instant now) const;

    double per_second_;
    double tokens_ = 0;
    Instant updated_at_{};
  };

  static bool IsActive(const Peer& peer, Instant now);
  /// Returns when a report to the peer is due, without the limit on all
  /// reports.
  std::optional<Instant> DueAt(const Peer& peer, Instant now) const;
  void MarkSent(Peer& peer, Instant now) const;

  std::map<Endpoint, Peer> peers_;
  std::uint64_t version_ = 0;
  bool active_ = false;
  Budget active_budget_{kActiveReportsPerSecond};
  Budget other_budget_{kOtherReportsPerSecond};
};

/// Limits how long counts of other nodes alone hold items back. After
/// `kMaxHold` without a free slot and without a refusal, one item is sent in
/// spite of them; the next follows once it is accepted.
class HoldLimit {
 public:
  /// Records that all upstreams of the service are full, some of them only by
  /// the counts of other nodes.
  /// @return true if one item should be sent
  bool OnHeld(const TargetId& service, Instant now);
  /// Returns whether the hold has just begun.
  bool began() const { return began_; }
  void OnNotHeld(const TargetId& service);
  void OnAccepted(const TargetId& service, Instant now);
  void OnRefused(const TargetId& service, Instant now);

  static constexpr std::chrono::milliseconds kMaxHold{1'000};

 private:
  struct Hold {
    /// Time of the beginning, of the last refusal, or of the last item sent,
    /// whichever is latest.
    Instant since;
    /// An item was sent and is not answered yet.
    bool probing = false;
  };
  std::map<TargetId, Hold> holds_;
  bool began_ = false;
};

/// Starts of this node that other nodes may not know of yet.
class UnreportedStarts {
 public:
  void OnStarted(const UpstreamId& id, Instant now);
  /// Removes the upstreams without such starts.
  void Expire(Instant now);
  /// Returns the starts at the upstream within the last `kReportDelay`.
  std::uint32_t count(const UpstreamId& id, Instant now) const;

  /// Time in which a start becomes known to other nodes, at most: the interval
  /// of reports and their way.
  static constexpr std::chrono::milliseconds kReportDelay{300};

 private:
  std::map<UpstreamId, std::deque<Instant>> starts_;
};

}  // namespace mulberryroad::batches

#endif  // MULBERRYROAD_SRC_BATCHES_SHARED_SLOTS_H_
