// Queue of one pool that shares service between organisations by tokens served
// (virtual token counters) and orders each organisation's requests by urgency.

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

/// One request that waits for a slot.
struct QueueItem {
  Ticket ticket = 0;
  v1::GrantRequest request;
  Instant arrived{};
  /// The request is refused at this instant.
  Instant expires{};
};

/// A declared share of an organisation.
struct OrganisationWeight {
  OrganisationId organisation;
  double weight = 1;
};

class FairQueue {
 public:
  explicit FairQueue(QueuePolicy policy);

  /// Sets the declared weights. Organisations without one have weight 1.
  void SetWeights(const std::vector<OrganisationWeight>& weights);

  void Push(QueueItem item);
  /// Takes an item out, or nullopt if it is not queued.
  std::optional<QueueItem> Remove(Ticket ticket);
  /// Finds the item to serve next among those whose requirement can be met.
  /// Returns null if there is none. Valid until the next change.
  const QueueItem* Next(
      const std::function<bool(const Requirement&)>& can_meet) const;
  /// Takes out an item whose time is over, one at a time.
  std::optional<QueueItem> TakeExpired(Instant now);
  /// Takes the latest item of the organisation that queues most for its weight,
  /// if that is more than `organisation` would queue with one item more.
  std::optional<QueueItem> TakeExcess(const OrganisationId& organisation);

  /// Counts tokens against an organisation; negative to correct an estimate.
  void Charge(const OrganisationId& organisation, double tokens);

  std::size_t size() const { return items_.size(); }
  std::size_t size(const OrganisationId& organisation) const;
  /// Returns how many requests of its organisation a request of a kind would
  /// wait for: callers go before samples.
  std::size_t ahead(const OrganisationId& organisation,
                    v1::WorkKind kind) const;
  /// Returns the earliest instant at which an item expires.
  std::optional<Instant> next_expiry() const;
  /// Share of the service that the organisation gets among those that queue,
  /// itself included.
  double ShareOf(const OrganisationId& organisation) const;
  /// Returns the tokens per weight counted against an organisation.
  double counter(const OrganisationId& organisation) const;

 private:
  using OrganisationIndex = std::uint32_t;
  /// Orders the requests of one organisation: the earliest instant at which one
  /// becomes late, then the order of arrival.
  using Urgency = std::pair<Instant, Ticket>;

  struct Organisation {
    std::string name;
    double weight = 1;
    /// Tokens per weight.
    double counter = 0;
    std::size_t queued = 0;
    /// Part of queued that is no sample.
    std::size_t calls = 0;
    std::map<Requirement, std::set<Urgency>> waiting;
    std::set<Ticket> tickets;

    double backlog() const { return static_cast<double>(queued) / weight; }
  };
  using ReadySet = std::set<std::pair<double, OrganisationIndex>>;

  const std::string& QueueName(const v1::GrantRequest& request) const;
  OrganisationIndex IndexOf(const std::string& name);
  const Organisation* FindOrganisation(const std::string& name) const;
  Urgency UrgencyOf(const QueueItem& item) const;
  void Activate(Organisation* organisation);
  void Detach(OrganisationIndex index);
  void Attach(OrganisationIndex index);

  QueuePolicy policy_;
  bool fifo_;
  double max_saved_tokens_ = 0;
  std::vector<Organisation> organisations_;
  std::unordered_map<std::string, OrganisationIndex> by_name_;
  std::unordered_map<Ticket, QueueItem> items_;
  std::map<Requirement, ReadySet> ready_;
  std::set<std::pair<double, OrganisationIndex>> by_backlog_;
  std::set<std::pair<Instant, Ticket>> by_expiry_;
  ReadySet active_;
  double active_weight_ = 0;
  /// Counter of the organisation served last; newcomers start near it.
  double floor_ = 0;
};

}  // namespace mulberryroad::dispatch

#endif  // MULBERRYROAD_SRC_DISPATCH_FAIR_QUEUE_H_
