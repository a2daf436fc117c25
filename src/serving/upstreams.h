// Directory of the registered upstreams, their load, and load balancing among
// them.

#ifndef MULBERRYROAD_SRC_SERVING_UPSTREAMS_H_
#define MULBERRYROAD_SRC_SERVING_UPSTREAMS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mulberryroad/clock.h"
#include "mulberryroad/endpoint.h"
#include "mulberryroad/ids.h"
#include "serving/other_nodes_load.h"
#include "serving/upstream_health.h"
#include "serving/upstream_statements.h"

namespace mulberryroad::serving {

/// Entry that an upstream registers about itself.
struct Registration {
  UpstreamId id;
  TargetId service;
  Endpoint endpoint;
  FailureDomainId failure_domain;
  /// Maximum number of concurrent requests.
  std::uint32_t slots = 1;
  /// Whether it is draining: it takes no new requests.
  bool draining = false;
  /// Start time that its process reports. A changed value means that the
  /// process was restarted and lost its state.
  std::chrono::milliseconds started{0};
  /// Version of the software that it runs; empty if the registration names
  /// none. Upstreams of one service may run several versions side by side.
  std::string software;
  /// Loaded weight version by model.
  std::map<TargetId, std::uint64_t> versions;
  /// Whether it runs on capacity that may be reclaimed.
  bool spot = false;
};

/// How long entries removed during or just after a store outage are still used:
/// live upstreams register again within about two seconds of its end.
inline constexpr std::chrono::milliseconds kRemovalGracePeriod{1'500};
/// Time without a latency sample after which an upstream's latency average
/// expires, so that a slow upstream is tried again.
inline constexpr std::chrono::milliseconds kLatencyMaxAge{4'000};

/// How long a process that said it leaves is remembered once its entry is gone:
/// the entry may return after an outage of the store.
inline constexpr std::chrono::minutes kLeavingMaxAge{10};

/// The current registrations. Used on the event loop's thread.
class UpstreamDirectory {
 public:
  /// Adds or replaces an entry.
  void Put(Registration registration);
  /// Removes an entry.
  /// @param store_unstable whether the store has an outage or recently had one;
  ///     the entry may have expired because of it and is kept for
  ///     kRemovalGracePeriod
  void Remove(const UpstreamId& id, bool store_unstable, Instant now);
  /// Replaces all entries by a full listing. Entries that are not listed are
  /// removed as by Remove.
  void Replace(std::vector<Registration> all, bool store_unstable, Instant now);
  /// Records that a process of an upstream said that it leaves: its entry
  /// counts as draining, whatever its registration says.
  void MarkLeaving(const UpstreamId& id, std::chrono::milliseconds started,
                   Instant now);
  /// Drops the removed entries whose grace period is over, and statements of
  /// upstreams that are gone.
  void Expire(Instant now);

  /// Returns an entry, or null. Valid until the directory changes.
  const Registration* find(const UpstreamId& id) const;
  /// Returns the upstreams of a service that are not draining.
  std::vector<const Registration*> Ready(const TargetId& service) const;
  /// Returns all entries, also draining ones and those in their grace period.
  const std::map<UpstreamId, Registration>& all() const { return entries_; }

 private:
  std::map<UpstreamId, Registration> entries_;
  /// End of the grace period of each removed entry that is still kept.
  std::map<UpstreamId, Instant> removal_times_;
  struct Leaving {
    std::chrono::milliseconds started{0};
    Instant learned{};
  };
  std::map<UpstreamId, Leaving> leaving_;
};

/// Load and health of upstreams as seen by this node's own requests. Used on
/// the event loop's thread.
class UpstreamLoads {
 public:
  /// @param statements rate limits of the upstreams and permits for requests;
  ///     requests that are recorded here use them up
  /// @param latency_max_age time without a sample after which a latency average
  ///     expires
  explicit UpstreamLoads(
      UpstreamStatements& statements,
      std::chrono::milliseconds latency_max_age = kLatencyMaxAge)
      : statements_(statements), latency_max_age_(latency_max_age) {}

  /// Records that a request was sent to the upstream.
  void OnRequestSent(const UpstreamId& id, Instant now);
  /// Records the end of a request.
  /// @param answered true if OnAccepted or OnRefused is also called for the
  /// request;
  ///     if false, this call removes it from the unanswered requests
  void OnRequestEnded(const UpstreamId& id, bool answered);
  /// Records a refusal because the upstream is full. It then counts as full for
  /// a time that doubles with each consecutive refusal, followed by a single
  /// probe request.
  void OnRefused(const UpstreamId& id, Instant now);
  /// Records that the upstream accepted a request, whatever its outcome.
  void OnAccepted(const UpstreamId& id, Instant now);
  /// Adds a latency sample: the time of a unit of work, such as a request or a
  /// streamed event.
  void RecordLatency(const UpstreamId& id, std::chrono::microseconds latency,
                     Instant now);

  /// Clears the statistics of an upstream whose process was restarted, except
  /// the counts of requests in flight.
  void Reset(const UpstreamId& id);

  /// Returns this node's requests in flight at the upstream.
  std::uint32_t running(const UpstreamId& id) const;
  /// Returns whether the upstream counts as full: for a time after a refusal,
  /// and while a probe request is in flight.
  bool full(const UpstreamId& id, Instant now) const;
  /// Returns whether a request may be sent to the upstream under its rate
  /// limit.
  bool MaySend(const UpstreamId& id, Instant now) const {
    return statements_.MaySend(id, now);
  }
  /// Returns whether one more queued request may be sent to the upstream: it
  /// has a free slot, and its rate limit allows it.
  bool HasCapacity(const UpstreamId& id, std::uint32_t slots,
                   Instant now) const {
    return MaySend(id, now) && HasFreeSlot(id, slots, now);
  }
  /// Returns whether the upstream has a free slot, is not full, and the number
  /// of requests sent but not yet accepted or refused is below the window. The
  /// window starts small and grows with each acceptance, doubling per round
  /// trip, since an upstream that is loading weights refuses all requests of a
  /// burst.
  /// Slots that other nodes report as in use are not free.
  bool HasFreeSlot(const UpstreamId& id, std::uint32_t slots,
                   Instant now) const;
  /// Returns the moving average of the latency samples, or nullopt without a
  /// recent one.
  std::optional<std::chrono::microseconds> latency(const UpstreamId& id,
                                                   Instant now) const;
  /// Returns the failure statistics of the upstreams.
  UpstreamHealth& health() { return health_; }
  const UpstreamHealth& health() const { return health_; }

  const UpstreamStatements& statements() const { return statements_; }

  /// Sets the source of other nodes' load, which must outlive this object; null
  /// for none.
  void SetOtherNodesLoad(OtherNodesLoad* other_nodes) {
    other_nodes_ = other_nodes;
  }
  OtherNodesLoad* other_nodes() const { return other_nodes_; }
  /// Returns the requests in flight at the upstream: those of this node, and
  /// those that other nodes report.
  std::uint32_t in_use(const UpstreamId& id, Instant now) const;
  /// Returns the requests of this node that the upstream has neither accepted
  /// nor refused yet.
  std::uint32_t unanswered(const UpstreamId& id) const;
  /// Like HasCapacity, but by the requests of this node alone.
  bool HasCapacityForOwnLoad(const UpstreamId& id, std::uint32_t slots,
                             Instant now) const {
    return MaySend(id, now) && HasFreeSlot(id, slots, 0, now);
  }

 private:
  /// @param others requests of other nodes, reported or expected
  bool HasFreeSlot(const UpstreamId& id, std::uint32_t slots,
                   std::uint32_t others, Instant now) const;

  /// State of one upstream.
  struct Load {
    std::uint32_t running = 0;
    /// Consecutive refusals. After the first one only a refused probe request
    /// counts, so that a burst of requests counts once.
    std::uint32_t refusals = 0;
    /// Whether a probe request is in flight after a refusal.
    bool probing = false;
    /// Requests sent but neither accepted nor refused yet.
    std::uint32_t unanswered = 0;
    /// Upper bound of `unanswered` while the upstream accepts requests.
    std::uint32_t window = 0;
    /// Time of the last acceptance; nullopt after a refusal.
    std::optional<Instant> accepted_at;
    Instant full_until{};
    std::optional<double> latency_us;
    /// Time of the last latency sample.
    Instant measured_at{};
  };

  UpstreamStatements& statements_;
  std::chrono::milliseconds latency_max_age_;
  std::map<UpstreamId, Load> loads_;
  UpstreamHealth health_;
  OtherNodesLoad* other_nodes_ = nullptr;
};

/// Returns the upstreams of a service that may get requests now: all except
/// those that UpstreamHealth::ExcludedUpstreams excludes.
std::vector<const Registration*> UsableUpstreams(
    const std::vector<const Registration*>& service, const UpstreamLoads& loads,
    Instant now);

/// Returns those upstreams to which a request may be sent only with a permit
/// that this node does not hold.
std::vector<UpstreamId> UpstreamsWithoutPermit(
    const std::vector<const Registration*>& upstreams,
    const UpstreamLoads& loads, Instant now);

/// Chooses the upstream for a request: among those whose rate limit allows it
/// and without recent failures the one with the lowest share of used slots,
/// weighted by latency. Among similar ones an upstream in `own_domain` is
/// preferred. Excluded upstreams are chosen only if no other is left.
/// @param tried upstreams that must not be used again
/// @param own_domain failure domain of this node
/// @param draw random number in [0, 1) that breaks ties
/// @return null if none is left
const Registration* ChooseUpstream(
    const std::vector<const Registration*>& ready, const UpstreamLoads& loads,
    const std::set<UpstreamId>& tried, const FailureDomainId& own_domain,
    Instant now, double draw);

}  // namespace mulberryroad::serving

#endif  // MULBERRYROAD_SRC_SERVING_UPSTREAMS_H_
