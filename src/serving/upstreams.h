// Directory of the registered upstreams, their load, and load balancing among
// them.

#ifndef MULBERRYROAD_SRC_SERVING_UPSTREAMS_H_
#define MULBERRYROAD_SRC_SERVING_UPSTREAMS_H_

#include <sigc++/signal.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mulberryroad/clock.h"
#include "mulberryroad/endpoint.h"
#include "mulberryroad/ids.h"
#include "serving/evacuations.h"
#include "serving/other_nodes_load.h"
#include "serving/upstream_health.h"
#include "serving/upstream_pace.h"
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
  /// Remaining time during which it is cold; nullopt if the registration states
  /// none. Not checked.
  std::optional<std::chrono::milliseconds> cold_left = {};
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
  /// Returns the upstreams of a service that are not draining and not in an
  /// evacuated domain.
  std::vector<const Registration*> Ready(const TargetId& service) const;
  /// Returns whether nothing may be sent to the upstream since its domain is
  /// evacuated. Checked by those who choose an upstream other than by Ready, or
  /// earlier than they send to it.
  bool IsEvacuated(const Registration& upstream) const {
    return evacuations_.contains(upstream.failure_domain);
  }
  /// Returns all entries, also draining ones and those in their grace period.
  const std::map<UpstreamId, Registration>& all() const { return entries_; }

  Evacuations& evacuations() { return evacuations_; }
  const Evacuations& evacuations() const { return evacuations_; }

 private:
  std::map<UpstreamId, Registration> entries_;
  /// End of the grace period of each removed entry that is still kept.
  std::map<UpstreamId, Instant> removal_times_;
  struct Leaving {
    std::chrono::milliseconds started{0};
    Instant learned{};
  };
  std::map<UpstreamId, Leaving> leaving_;
  Evacuations evacuations_;
};

/// Begin of a slow start of an upstream, for the log.
struct PaceBegin {
  UpstreamId upstream;
  PaceCause cause = PaceCause::kStarted;
};

/// End of a slow start of an upstream, for the log.
struct PaceEnd {
  UpstreamId upstream;
  /// Time since its begin.
  std::chrono::milliseconds took{0};
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
      std::chrono::milliseconds latency_max_age = kLatencyMaxAge);
  UpstreamLoads(const UpstreamLoads&) = delete;
  UpstreamLoads& operator=(const UpstreamLoads&) = delete;

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

  /// Adds the interval between two streamed events, which raises the limit of
  /// an upstream below its slots sooner than the samples of RecordLatency.
  void RecordInterval(const UpstreamId& id, std::chrono::microseconds interval,
                      Instant now);

  /// Clears the statistics of an upstream whose process was restarted, except
  /// the counts of requests in flight, its slots and its settled latency.
  void Reset(const UpstreamId& id);
  /// Records a registration, and begins a slow start if its process is new.
  /// @param initial whether the registration belongs to the first listing,
  ///     whose upstreams have run for an unknown time
  void OnRegistered(const Registration& registration, bool initial,
                    Instant now);
  /// Begins a slow start of a registered upstream.
  void StartPace(const UpstreamId& id, PaceCause cause, Instant now);
  /// Limits slow starts to the upstreams of these services. Without a call, all
  /// services have them.
  void SetSlowStartServices(std::set<TargetId> services) {
    slow_start_services_ = std::move(services);
  }
  /// Sets this node's name, from which the delays of its first requests to
  /// started upstreams are derived.
  void set_node(const std::string& node) { node_ = node; }

  /// Returns this node's requests in flight at the upstream.
  std::uint32_t running(const UpstreamId& id) const;
  /// Returns whether the upstream counts as full: for a time after a refusal,
  /// and while a probe request is in flight.
  bool full(const UpstreamId& id, Instant now) const;
  /// Returns how many of the slots a slow start allows to use.
  std::uint32_t usable_slots(const UpstreamId& id, std::uint32_t slots,
                             Instant now) const;
  /// Returns how many of the slots are neither in use by any node nor withheld
  /// by a slow start.
  std::uint32_t free_slots(const UpstreamId& id, std::uint32_t slots,
                           Instant now) const;
  /// Returns whether a slow start allows no further request at the upstream.
  bool at_pace_limit(const UpstreamId& id, Instant now) const;
  /// Returns whether the upstream is limited to fewer requests than its slots
  /// by a slow start.
  bool below_slots(const UpstreamId& id) const;
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
  /// Returns whether the upstream has a free slot, is not full, and is below
  /// the limits of UpstreamPace for requests in flight and not yet accepted.
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

  /// Emitted when a slow start begins.
  sigc::signal<void(const PaceBegin&)>& on_pace_begun() {
    return on_pace_begun_;
  }
  /// Emitted when an upstream may use all its slots after a slow start.
  sigc::signal<void(const PaceEnd&)>& on_settled() { return on_settled_; }
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
    Instant full_until{};
    std::optional<double> latency_us;
    /// Time of the last latency sample.
    Instant measured_at{};
    /// Time of the first of the consecutive refusals.
    Instant refused_since{};
    UpstreamPace pace;
    /// From the registration; empty or 0 if there was none.
    TargetId service;
    std::chrono::milliseconds started{0};
  };

  /// Returns the latency in microseconds that counts as normal for an upstream:
  /// its own settled one, or the median of the service's other upstreams.
  std::optional<double> NormalLatency(const Load& load) const;
  void EmitIfSettled(const UpstreamId& id, const Load& load, Instant now);

  UpstreamStatements& statements_;
  std::chrono::milliseconds latency_max_age_;
  std::map<UpstreamId, Load> loads_;
  UpstreamHealth health_;
  std::string node_;
  std::optional<std::set<TargetId>> slow_start_services_;
  sigc::signal<void(const PaceBegin&)> on_pace_begun_;
  sigc::signal<void(const PaceEnd&)> on_settled_;
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

/// Returns those upstreams for which background work should ask for a permit:
/// as UpstreamsWithoutPermit, but without cold ones while another of the
/// upstreams takes requests.
std::vector<UpstreamId> UpstreamsToAskFor(
    const std::vector<const Registration*>& upstreams,
    const UpstreamLoads& loads, Instant now);

/// Most permits that background work asks for at the same time. One at a time
/// left many cold upstreams idle at nodes that answer slowly: in a trial, 16 of
/// them used 39% of their rate with 60 ms to an allocator, and 95% with four.
inline constexpr std::size_t kMaxPendingPermits = 4;
/// Returns the number of permits to ask for at the same time: one, or as many
/// as there are cold ones among the candidates, up to kMaxPendingPermits.
std::size_t PendingPermitsFor(const std::vector<UpstreamId>& candidates,
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
