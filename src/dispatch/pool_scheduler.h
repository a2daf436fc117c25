// Admission of requests to the upstreams of one pool. Takes events and the
// time, returns decisions; holds no clock and no socket.

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
  /// @param seed for policies that draw at random
  PoolScheduler(SchedulerOptions options, std::uint64_t seed);

  /// Decides on a new request. After Queued, Schedule tells the outcome.
  AdmissionDecision Admit(const v1::GrantRequest& request, Instant now);
  /// Decides on queued requests. To be called after each event and at
  /// next_wakeup.
  std::vector<ScheduledDecision> Schedule(Instant now);
  /// Takes a slot back. With grant_id 0 the grant or the queued request of
  /// release.request_id() is given up.
  /// @return false if it is not known, or was released before
  bool Release(const v1::GrantRelease& release, Instant now);
  /// Takes back all slots of an entry that is gone and forgets its requests.
  void ReleaseEntry(const NodeId& entry, Instant now);

  void SetUpstreams(const std::vector<UpstreamSpec>& upstreams);
  void SetWeights(const std::vector<OrganisationWeight>& weights);
  void Observe(const UpstreamId& upstream, const v1::EngineLoad& load,
               Instant now);
  void ObserveSilence(const UpstreamId& upstream);
  void ObserveCache(const UpstreamId& upstream, const v1::CacheEvents& events,
                    Instant now);
  void Notice(const v1::UpstreamNotice& notice, Instant now);

  /// Returns when Schedule is to be called next if no event comes before.
  std::optional<Instant> next_wakeup() const;
  std::size_t queued() const { return queue_.size(); }
  std::size_t in_flight() const { return grants_.size(); }
  std::uint32_t in_flight(const UpstreamId& upstream) const;
  /// Fills in figures and upstreams.
  v1::PoolStatus status() const;
  v1::DemandReply demand() const;
  /// Time until a refused request of an organisation may find a place.
  std::chrono::milliseconds SuspendedFor(Instant now) const;
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
  std::optional<Refused> RefuseAtOnce(const v1::GrantRequest& request,
                                      Instant now) const;
  Ticket Enqueue(const v1::GrantRequest& request, Instant now);
  void EndGrant(GrantId id, const v1::GrantRelease& release, Instant now);
  bool GiveUp(const std::string& request_id, Instant now);
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
  std::unordered_map<std::string, GrantId> grant_of_request_;
  std::unordered_map<std::string, Ticket> ticket_of_request_;
  std::set<std::pair<Instant, GrantId>> grant_expiry_;
  std::vector<ScheduledDecision> evicted_;
  GrantId next_grant_;
  Ticket next_ticket_ = 1;
  std::uint32_t repeatable_in_flight_ = 0;
  /// Mean share of max_tokens that answers used lately.
  double used_share_ = 0.5;
};

}  // namespace mulberryroad::dispatch

#endif  // MULBERRYROAD_SRC_DISPATCH_POOL_SCHEDULER_H_
