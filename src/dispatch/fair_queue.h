// Weighted fair queue of one pool. Shares tokens between organisations with
// virtual token counters and orders the requests of each organisation by
// deadline.

#ifndef MULBERRYROAD_SRC_DISPATCH_FAIR_QUEUE_H_
#define MULBERRYROAD_SRC_DISPATCH_FAIR_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "dispatch/scheduler_types.h"
#include "dispatch/upstream_table.h"
#include "mulberryroad/clock.h"
#include "mulberryroad/ids.h"

namespace mulberryroad::dispatch {

/// A request that is queued for a slot.
struct QueueItem {
  Ticket ticket = 0;
  v1::GrantRequest request;
  Instant arrived{};
  /// The request is refused if it is still queued at this time.
  Instant expires{};
};

/// The declared scheduling weight of an organisation.
struct OrganisationWeight {
  OrganisationId organisation;
  double weight = 1;
};

/// With FifoQueuePolicy, all requests share one queue in order of arrival and
/// weights have no effect.
class FairQueue {
 public:
  explicit FairQueue(QueuePolicy policy);

  /// Sets the declared weights. The default weight is 1.
  void SetWeights(const std::vector<OrganisationWeight>& weights);

  void Push(QueueItem item);
  /// Removes and returns an item, or returns nullopt if it is not queued.
  std::optional<QueueItem> Remove(Ticket ticket);
  /// Returns the next item to serve among those whose requirement satisfies
  /// `can_meet`, or null if there is none. The pointer is invalidated by any
  /// modification of the queue.
  const QueueItem* Next(
      const std::function<bool(const Requirement&)>& can_meet) const;
  /// Removes and returns one expired item, or returns nullopt if there is none.
  std::optional<QueueItem> RemoveExpired(Instant now);
  /// Evicts the newest item of the organisation with the largest backlog in
  /// proportion to its weight, to make room for an item of `organisation`.
  /// @return the evicted item; nullopt if the largest backlog is not larger
  /// than the backlog of `organisation` including the new item, or with
  /// FifoQueuePolicy
  std::optional<QueueItem> EvictExcess(const OrganisationId& organisation);

  /// Adds tokens to the counter of an organisation. Negative values correct an
  /// earlier estimate.
  void Charge(const OrganisationId& organisation, double tokens);

  std::size_t size() const { return items_.size(); }
  std::size_t size(const OrganisationId& organisation) const;
  /// Returns the number of requests of the same organisation that are served
  /// before a new request of this kind. Caller requests precede samples.
  std::size_t queued_ahead(const OrganisationId& organisation,
                           v1::WorkKind kind) const;
  /// Returns the earliest expiry time of the queued items, if any.
  std::optional<Instant> next_expiry() const;
  /// Returns the fraction of the service, in (0, 1], that the organisation gets
  /// among the organisations with queued requests, counting itself as one.
  double ShareOf(const OrganisationId& organisation) const;
  /// Returns the organisation's virtual counter, in tokens per unit of weight.
  double counter(const OrganisationId& organisation) const;

 private:
  using OrganisationIndex = std::uint32_t;
  /// Sort key of the requests of one organisation: the time by which a request
  /// should be served, then the order of arrival.
  using Urgency = std::pair<Instant, Ticket>;

  struct Organisation {
    std::string name;
    double weight = 1;
    /// Tokens served per unit of weight.
    double counter = 0;
    std::size_t queued = 0;
    /// Queued requests that are not samples.
    std::size_t queued_caller_requests = 0;
    std::map<Requirement, std::set<Urgency>> waiting;
    std::set<Ticket> tickets;

    double backlog() const { return static_cast<double>(queued) / weight; }
  };
  using OrganisationsByCounter = std::set<std::pair<double, OrganisationIndex>>;

  const std::string& QueueName(const v1::GrantRequest& request) const;
  OrganisationIndex IndexOf(const std::string& name);
  const Organisation* FindOrganisation(const std::string& name) const;
  Urgency UrgencyOf(const QueueItem& item) const;
  void LimitIdleCredit(Organisation* organisation);
  void RemoveFromIndexes(OrganisationIndex index);
  void AddToIndexes(OrganisationIndex index);

  QueuePolicy policy_;
  bool fifo_;
  double max_idle_credit_tokens_ = 0;
  std::vector<Organisation> organisations_;
  std::unordered_map<std::string, OrganisationIndex> by_name_;
  std::unordered_map<Ticket, QueueItem> items_;
  std::map<Requirement, OrganisationsByCounter> by_requirement_;
  std::set<std::pair<double, OrganisationIndex>> by_backlog_;
  std::set<std::pair<Instant, Ticket>> by_expiry_;
  OrganisationsByCounter by_counter_;
  double queued_weight_ = 0;
  /// Virtual time: the highest counter at which an organisation was charged.
  /// Counters of new organisations start here.
  double virtual_time_ = 0;
};

}  // namespace mulberryroad::dispatch

#endif  // MULBERRYROAD_SRC_DISPATCH_FAIR_QUEUE_H_
