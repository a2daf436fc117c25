// Admission control and scheduling for the upstreams of one pool. A
// deterministic state machine: the caller passes in events and the current time
// and carries out the returned decisions.

#ifndef MULBERRYROAD_SRC_DISPATCH_POOL_SCHEDULER_H_
#define MULBERRYROAD_SRC_DISPATCH_POOL_SCHEDULER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "dispatch/drain_rate.h"
#include "dispatch/fair_queue.h"
#include "dispatch/prefix_index.h"
#include "dispatch/scheduler_types.h"
#include "dispatch/upstream_choice.h"
#include "dispatch/upstream_table.h"
#include "mulberryroad/api.pb.h"
#include "mulberryroad/clock.h"
#include "mulberryroad/ids.h"

namespace mulberryroad::dispatch {

class PoolScheduler {
 public:
  /// @param seed seeds randomised policies and the first grant id
  PoolScheduler(SchedulerOptions options, std::uint64_t seed);

  /// Decides on a new request. The outcome of a queued request is returned by a
  /// later call of Schedule.
  AdmissionDecision Admit(const v1::GrantRequest& request, Instant now);
  /// Returns the decisions on queued requests that can be made now. Must be
  /// called after each event and at next_wakeup().
  std::vector<ScheduledDecision> Schedule(Instant now);
  /// Releases a grant. With grant_id 0, cancels the queued request or releases
  /// the grant of release.request_id().
  /// @return false if the grant or request is unknown or already released
  bool Release(const v1::GrantRelease& release, Instant now);
  /// Releases all grants of an entry node that has failed. Requests of the node
  /// that are still queued stay queued; a slot granted to one of them later is
  /// released when the grant expires.
  void ReleaseEntry(const NodeId& entry, Instant now);

  /// Replaces the list of upstreams of the pool.
  void SetUpstreams(const std::vector<UpstreamSpec>& upstreams);
  void SetWeights(const std::vector<OrganisationWeight>& weights);
  /// Applies a load report of an engine.
  void ObserveLoad(const UpstreamId& upstream, const v1::EngineLoad& load,
                   Instant now);
  /// Discards the reported load of an engine whose poll failed.
  void ObservePollFailure(const UpstreamId& upstream);
  /// Applies prefix cache events of an engine.
  void ObserveCache(const UpstreamId& upstream, const v1::CacheEvents& events,
                    Instant now);
  /// Applies a controller's notice that an upstream is leaving or swapping
  /// weights.
  void ApplyNotice(const v1::UpstreamNotice& notice, Instant now);

  /// Returns when Schedule must be called next if no event arrives earlier.
  std::optional<Instant> next_wakeup() const;
  std::size_t queued() const { return queue_.size(); }
  std::size_t in_flight() const { return grants_.size(); }
  std::uint32_t in_flight(const UpstreamId& upstream) const;
  /// Returns counters and upstreams; target, failure domain and dispatcher are
  /// left empty.
  v1::PoolStatus status() const;
  v1::DemandReply demand() const;
  /// Returns the time until the next suspension of an upstream ends; zero if
  /// none is suspended.
  std::chrono::milliseconds TimeToSuspensionEnd(Instant now) const;
  /// Returns the estimated time until a refused request of an organisation can
  /// be queued.
  std::chrono::milliseconds RetryAfter(const OrganisationId& organisation,
                                       Instant now) const;

 private:
  struct ActiveGrant {
    UpstreamIndex upstream = 0;
    std::string request_id;
    OrganisationId organisation;
    std::string entry;
    double charged = 0;
    double prompt_cost = 0;
    std::uint32_t max_tokens = 0;
    bool repeatable = false;
    Instant expires{};
  };
  using GrantId = std::uint64_t;

  std::optional<Granted> TryGrant(const v1::GrantRequest& request, Instant now);
  Granted MakeGrant(const v1::GrantRequest& request, Choice choice,
                    Instant now);
  std::optional<Refused> CheckAdmission(const v1::GrantRequest& request,
                                        Instant now) const;
  Ticket Enqueue(const v1::GrantRequest& request, Instant now);
  void EndGrant(GrantId id, const v1::GrantRelease& release, Instant now);
  bool CancelRequest(const std::string& request_id, Instant now);
  void ExpireGrants(Instant now);
  void RefuseExpired(Instant now, std::vector<ScheduledDecision>* decisions);
  void GrantQueued(Instant now, std::vector<ScheduledDecision>* decisions);
  std::chrono::milliseconds ExpectedWait(const v1::GrantRequest& request,
                                         Instant now) const;
  double ExpectedTokens(const v1::GrantRequest& request) const;

  SchedulerOptions options_;
  UpstreamTable upstreams_;
  UpstreamChooser chooser_;
  FairQueue queue_;
  PrefixIndex prefixes_;
  DrainRate drain_rate_;
  std::unordered_map<GrantId, ActiveGrant> grants_;
  std::unordered_map<std::string, GrantId> grant_by_request_;
  std::unordered_map<std::string, Ticket> ticket_by_request_;
  std::set<std::pair<Instant, GrantId>> grant_expiry_;
  std::vector<ScheduledDecision> evicted_;
  GrantId next_grant_;
  Ticket next_ticket_ = 1;
  std::uint32_t repeatable_in_flight_ = 0;
  /// Moving average of the fraction of max_tokens that responses use.
  double used_share_ = 0.5;
};

}  // namespace mulberryroad::dispatch

#endif  // MULBERRYROAD_SRC_DISPATCH_POOL_SCHEDULER_H_
