#include "dispatch/fair_queue.h"

#include <algorithm>
#include <chrono>
#include <variant>

namespace mulberryroad::dispatch {

namespace {

// Target queueing time of caller requests.
constexpr std::chrono::milliseconds kCallerTargetWait = std::chrono::seconds{1};
// Target queueing time of samples without a deadline.
constexpr std::chrono::milliseconds kDefaultSampleTargetWait =
    std::chrono::seconds{600};
constexpr double kMinWeight = 1e-3;

const std::string kFifoQueueName;

bool IsCallerWork(v1::WorkKind kind) { return kind != v1::WORK_SAMPLE; }

}  // namespace

FairQueue::FairQueue(QueuePolicy policy)
    : policy_(policy), fifo_(std::holds_alternative<FifoQueuePolicy>(policy)) {
  if (const auto* fair = std::get_if<FairQueuePolicy>(&policy_)) {
    max_idle_credit_tokens_ = fair->max_idle_credit_tokens;
  }
}

const std::string& FairQueue::QueueName(const v1::GrantRequest& request) const {
  return fifo_ ? kFifoQueueName : request.organisation();
}

FairQueue::OrganisationIndex FairQueue::IndexOf(const std::string& name) {
  const auto [found, added] = by_name_.try_emplace(
      name, static_cast<OrganisationIndex>(organisations_.size()));
  if (added) {
    organisations_.emplace_back();
    organisations_.back().name = name;
    organisations_.back().counter = virtual_time_;
  }
  return found->second;
}

const FairQueue::Organisation* FairQueue::FindOrganisation(
    const std::string& name) const {
  const auto found = by_name_.find(name);
  return found == by_name_.end() ? nullptr : &organisations_[found->second];
}

void FairQueue::SetWeights(const std::vector<OrganisationWeight>& weights) {
  for (const OrganisationWeight& declared : weights) {
    const OrganisationIndex index = IndexOf(declared.organisation.value());
    RemoveFromIndexes(index);
    Organisation& organisation = organisations_[index];
    const double weight = declared.weight > 0 ? declared.weight : 1;
    organisation.weight = std::max(weight, kMinWeight);
    AddToIndexes(index);
  }
}

FairQueue::Urgency FairQueue::UrgencyOf(const QueueItem& item) const {
  if (fifo_) {
    return {item.arrived, item.ticket};
  }
  if (item.request.kind() == v1::WORK_SAMPLE) {
    const std::chrono::milliseconds deadline{item.request.deadline_ms()};
    const bool has_deadline = item.request.deadline_ms() > 0;
    return {item.arrived + (has_deadline ? deadline : kDefaultSampleTargetWait),
            item.ticket};
  }
  return {item.arrived + kCallerTargetWait, item.ticket};
}

// Limits the credit of an organisation that was idle by raising its counter.
void FairQueue::LimitIdleCredit(Organisation* organisation) {
  const double min_queued_counter =
      by_counter_.empty() ? virtual_time_ : by_counter_.begin()->first;
  const double min_counter = std::max(virtual_time_, min_queued_counter) -
                             max_idle_credit_tokens_ / organisation->weight;
  organisation->counter = std::max(organisation->counter, min_counter);
}

void FairQueue::RemoveFromIndexes(OrganisationIndex index) {
  const Organisation& organisation = organisations_[index];
  if (organisation.queued == 0) {
    return;
  }
  for (const auto& [requirement, waiting] : organisation.waiting) {
    const auto indexed = by_requirement_.find(requirement);
    indexed->second.erase({organisation.counter, index});
    if (indexed->second.empty()) {
      by_requirement_.erase(indexed);
    }
  }
  by_backlog_.erase({organisation.backlog(), index});
  by_counter_.erase({organisation.counter, index});
  queued_weight_ -= organisation.weight;
}

void FairQueue::AddToIndexes(OrganisationIndex index) {
  const Organisation& organisation = organisations_[index];
  if (organisation.queued == 0) {
    return;
  }
  for (const auto& [requirement, waiting] : organisation.waiting) {
    by_requirement_[requirement].emplace(organisation.counter, index);
  }
  by_backlog_.emplace(organisation.backlog(), index);
  by_counter_.emplace(organisation.counter, index);
  queued_weight_ += organisation.weight;
}

void FairQueue::Push(QueueItem item) {
  const OrganisationIndex index = IndexOf(QueueName(item.request));
  RemoveFromIndexes(index);
  Organisation& organisation = organisations_[index];
  if (organisation.queued == 0) {
    LimitIdleCredit(&organisation);
  }
  ++organisation.queued;
  organisation.queued_caller_requests +=
      IsCallerWork(item.request.kind()) ? 1 : 0;
  organisation.tickets.insert(item.ticket);
  organisation.waiting[{item.request.min_version(), item.request.repeatable()}]
      .insert(UrgencyOf(item));
  AddToIndexes(index);
  by_expiry_.emplace(item.expires, item.ticket);
  const Ticket ticket = item.ticket;
  items_.emplace(ticket, std::move(item));
}

std::optional<QueueItem> FairQueue::Remove(Ticket ticket) {
  const auto found = items_.find(ticket);
  if (found == items_.end()) {
    return std::nullopt;
  }
  QueueItem item = std::move(found->second);
  items_.erase(found);
  by_expiry_.erase({item.expires, ticket});
  const OrganisationIndex index = IndexOf(QueueName(item.request));
  RemoveFromIndexes(index);
  Organisation& organisation = organisations_[index];
  --organisation.queued;
  organisation.queued_caller_requests -=
      IsCallerWork(item.request.kind()) ? 1 : 0;
  organisation.tickets.erase(ticket);
  const auto waiting = organisation.waiting.find(
      {item.request.min_version(), item.request.repeatable()});
  waiting->second.erase(UrgencyOf(item));
  if (waiting->second.empty()) {
    organisation.waiting.erase(waiting);
  }
  AddToIndexes(index);
  return item;
}

const QueueItem* FairQueue::Next(
    const std::function<bool(const Requirement&)>& can_meet) const {
  const Urgency* best_urgency = nullptr;
  double best_counter = 0;
  for (const auto& [requirement, organisations] : by_requirement_) {
    if (!can_meet(requirement)) {
      continue;
    }
    const auto& [counter, index] = *organisations.begin();
    const Urgency& urgency =
        *organisations_[index].waiting.at(requirement).begin();
    const bool better = best_urgency == nullptr || counter < best_counter ||
                        (counter == best_counter && urgency < *best_urgency);
    if (better) {
      best_counter = counter;
      best_urgency = &urgency;
    }
  }
  return best_urgency == nullptr ? nullptr : &items_.at(best_urgency->second);
}

std::optional<QueueItem> FairQueue::RemoveExpired(Instant now) {
  if (by_expiry_.empty() || by_expiry_.begin()->first > now) {
    return std::nullopt;
  }
  return Remove(by_expiry_.begin()->second);
}

std::optional<QueueItem> FairQueue::EvictExcess(
    const OrganisationId& organisation) {
  if (fifo_ || by_backlog_.empty()) {
    return std::nullopt;
  }
  const auto& [backlog, index] = *by_backlog_.rbegin();
  const Organisation* requester = FindOrganisation(organisation.value());
  const double weight = requester == nullptr ? 1 : requester->weight;
  const double own_backlog =
      (static_cast<double>(size(organisation)) + 1) / weight;
  if (backlog <= own_backlog ||
      organisations_[index].name == organisation.value()) {
    return std::nullopt;
  }
  return Remove(*organisations_[index].tickets.rbegin());
}

void FairQueue::Charge(const OrganisationId& organisation, double tokens) {
  const OrganisationIndex index =
      IndexOf(fifo_ ? kFifoQueueName : organisation.value());
  RemoveFromIndexes(index);
  Organisation& charged = organisations_[index];
  virtual_time_ =
      std::max(virtual_time_, tokens > 0 ? charged.counter : virtual_time_);
  charged.counter += tokens / charged.weight;
  AddToIndexes(index);
}

std::size_t FairQueue::size(const OrganisationId& organisation) const {
  const Organisation* found =
      FindOrganisation(fifo_ ? kFifoQueueName : organisation.value());
  return found == nullptr ? 0 : found->queued;
}

std::size_t FairQueue::queued_ahead(const OrganisationId& organisation,
                                    v1::WorkKind kind) const {
  if (fifo_ || !IsCallerWork(kind)) {
    return size(organisation);
  }
  const Organisation* found = FindOrganisation(organisation.value());
  return found == nullptr ? 0 : found->queued_caller_requests;
}

std::optional<Instant> FairQueue::next_expiry() const {
  if (by_expiry_.empty()) {
    return std::nullopt;
  }
  return by_expiry_.begin()->first;
}

double FairQueue::ShareOf(const OrganisationId& organisation) const {
  if (fifo_) {
    return 1;
  }
  const Organisation* found = FindOrganisation(organisation.value());
  const double weight = found == nullptr ? 1 : found->weight;
  const bool counted = found != nullptr && found->queued > 0;
  const double total = queued_weight_ + (counted ? 0 : weight);
  return total > 0 ? weight / total : 1;
}

double FairQueue::counter(const OrganisationId& organisation) const {
  const Organisation* found = FindOrganisation(organisation.value());
  return found == nullptr ? virtual_time_ : found->counter;
}

}  // namespace mulberryroad::dispatch
