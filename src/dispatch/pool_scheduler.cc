#include "dispatch/pool_scheduler.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace mulberryroad::dispatch {

namespace {

// Cost of a prompt token relative to a generated token.
constexpr double kPromptTokenCost = 0.25;
// Fixed cost of a request, in generated tokens.
constexpr double kRequestCost = 1;
// Retry delay suggested if the request excludes every upstream.
constexpr std::chrono::milliseconds kAllExcludedRetryAfter{500};
// If all upstreams are suspended or excluded, a request is queued only if a
// suspension ends within this time.
constexpr std::chrono::milliseconds kMaxSuspensionToQueue{1'000};
// Weight of a new sample in the moving average of used_share_.
constexpr double kUsedShareSmoothing = 0.05;
// Maximum number of queued items skipped per call because they exclude every
// eligible upstream.
constexpr std::size_t kMaxSkippedItems = 16;
constexpr unsigned kGrantIdShift = 20;

}  // namespace

PoolScheduler::PoolScheduler(SchedulerOptions options, std::uint64_t seed)
    : options_(options),
      upstreams_(options.report_lag),
      chooser_(options.choice, seed),
      queue_(options.queue),
      prefixes_(options.max_prefixes, options.prefix_max_age),
      // Random start, because grant ids of two dispatchers of one pool must not
      // collide.
      next_grant_((std::mt19937_64(seed)() >> kGrantIdShift) + 1) {}

double PoolScheduler::ExpectedTokens(const v1::GrantRequest& request) const {
  return used_share_ * request.max_tokens();
}

std::optional<Refused> PoolScheduler::CheckAdmission(
    const v1::GrantRequest& request, Instant now) const {
  if (upstreams_.listed_count() == 0) {
    return Refused{"the pool has no upstream",
                   RetryAfter(OrganisationId(request.organisation()), now)};
  }
  const OrganisationId organisation(request.organisation());
  if (upstreams_.AllExcluded(request)) {
    return Refused{"every upstream of the pool was tried",
                   kAllExcludedRetryAfter};
  }
  const std::chrono::milliseconds suspended = TimeToSuspensionEnd(now);
  if (upstreams_.AllSuspendedOrExcluded(request) &&
      suspended > kMaxSuspensionToQueue) {
    return Refused{"every upstream of the pool failed lately", suspended};
  }
  const std::chrono::milliseconds deadline{request.deadline_ms()};
  const bool drain_rate_known = drain_rate_.mean_interval(now).has_value();
  const std::size_t ahead = queue_.queued_ahead(organisation, request.kind());
  if (deadline.count() > 0 && drain_rate_known && ahead > 0) {
    const std::chrono::milliseconds wait = ExpectedWait(request, now);
    if (wait > deadline && request.kind() != v1::WORK_SAMPLE) {
      return Refused{"the queue is longer than the deadline allows", wait};
    }
  }
  return std::nullopt;
}

AdmissionDecision PoolScheduler::Admit(const v1::GrantRequest& request,
                                       Instant now) {
  upstreams_.EndExpiredSuspensions(now);
  ExpireGrants(now);
  const Requirement requirement = RequirementOf(request);
  const bool queued_first = queue_.Next([&](const Requirement& waiting) {
    return upstreams_.AnyEligible(waiting);
  }) != nullptr;
  if (!queued_first && upstreams_.AnyEligible(requirement)) {
    if (std::optional<Granted> granted = TryGrant(request, now)) {
      return *std::move(granted);
    }
  }
  if (std::optional<Refused> refused = CheckAdmission(request, now)) {
    return *std::move(refused);
  }
  const OrganisationId organisation(request.organisation());
  if (queue_.size() >= options_.max_queued) {
    std::optional<QueueItem> evicted = queue_.EvictExcess(organisation);
    if (!evicted.has_value()) {
      return Refused{"the queue is full", RetryAfter(organisation, now)};
    }
    ticket_by_request_.erase(evicted->request.request_id());
    const OrganisationId owner(evicted->request.organisation());
    evicted_.push_back(
        {evicted->ticket, std::move(evicted->request),
         Refused{"the queue is full and the organisation is over its share",
                 RetryAfter(owner, now)}});
  }
  return Queued{Enqueue(request, now)};
}

Ticket PoolScheduler::Enqueue(const v1::GrantRequest& request, Instant now) {
  const std::chrono::milliseconds deadline{request.deadline_ms()};
  QueueItem item;
  item.ticket = next_ticket_++;
  item.request = request;
  item.arrived = now;
  item.expires =
      now + (deadline.count() > 0 ? deadline : options_.max_queue_time);
  ticket_by_request_[request.request_id()] = item.ticket;
  const Ticket ticket = item.ticket;
  queue_.Push(std::move(item));
  return ticket;
}

std::optional<Granted> PoolScheduler::TryGrant(const v1::GrantRequest& request,
                                               Instant now) {
  std::optional<Choice> choice =
      chooser_.Choose(request, upstreams_, prefixes_, now);
  if (!choice.has_value()) {
    return std::nullopt;
  }
  return MakeGrant(request, *std::move(choice), now);
}

Granted PoolScheduler::MakeGrant(const v1::GrantRequest& request, Choice choice,
                                 Instant now) {
  const UpstreamIndex index = choice.upstream;
  upstreams_.AcquireSlot(index, now);
  for (const std::uint64_t hash : request.prefix_hashes()) {
    prefixes_.Add(hash, index, now);
  }
  ActiveGrant active;
  active.upstream = index;
  active.request_id = request.request_id();
  active.organisation = OrganisationId(request.organisation());
  active.entry = request.entry();
  active.prompt_cost =
      kRequestCost + kPromptTokenCost * request.prompt_tokens();
  active.charged = active.prompt_cost + ExpectedTokens(request);
  active.max_tokens = request.max_tokens();
  active.repeatable = request.repeatable();
  active.expires = now + options_.grant_lease;
  queue_.Charge(active.organisation, active.charged);
  repeatable_in_flight_ += active.repeatable ? 1 : 0;

  const GrantId id = next_grant_++;
  grant_expiry_.emplace(active.expires, id);
  grant_by_request_[active.request_id] = id;
  grants_.emplace(id, std::move(active));

  const UpstreamState& state = upstreams_.at(index);
  Granted granted;
  granted.candidates = std::move(choice.candidates);
  granted.grant.set_grant_id(id);
  granted.grant.set_upstream(state.spec.id.value());
  granted.grant.set_endpoint(state.spec.endpoint);
  granted.grant.set_version(state.version);
  granted.grant.set_slots(state.slots);
  granted.grant.set_reclaimable(state.spec.reclaimable);
  granted.grant.set_reason(choice.reason);
  return granted;
}

std::vector<ScheduledDecision> PoolScheduler::Schedule(Instant now) {
  upstreams_.EndExpiredSuspensions(now);
  ExpireGrants(now);
  std::vector<ScheduledDecision> decisions = std::exchange(evicted_, {});
  RefuseExpired(now, &decisions);
  GrantQueued(now, &decisions);
  return decisions;
}

void PoolScheduler::RefuseExpired(Instant now,
                                  std::vector<ScheduledDecision>* decisions) {
  while (std::optional<QueueItem> item = queue_.RemoveExpired(now)) {
    ticket_by_request_.erase(item->request.request_id());
    const std::chrono::milliseconds wait = ExpectedWait(item->request, now);
    decisions->push_back({item->ticket, std::move(item->request),
                          Refused{"no slot came free in time", wait}});
  }
}

void PoolScheduler::GrantQueued(Instant now,
                                std::vector<ScheduledDecision>* decisions) {
  std::vector<QueueItem> skipped;
  while (skipped.size() < kMaxSkippedItems) {
    const QueueItem* next = queue_.Next([&](const Requirement& requirement) {
      return upstreams_.AnyEligible(requirement);
    });
    if (next == nullptr) {
      break;
    }
    std::optional<Granted> granted = TryGrant(next->request, now);
    QueueItem item = *queue_.Remove(next->ticket);
    if (!granted.has_value()) {
      skipped.push_back(std::move(item));
      continue;
    }
    ticket_by_request_.erase(item.request.request_id());
    decisions->push_back(
        {item.ticket, std::move(item.request), *std::move(granted)});
  }
  for (QueueItem& item : skipped) {
    queue_.Push(std::move(item));
  }
}

bool PoolScheduler::Release(const v1::GrantRelease& release, Instant now) {
  if (release.grant_id() == 0) {
    return CancelRequest(release.request_id(), now);
  }
  if (!grants_.contains(release.grant_id())) {
    return false;
  }
  EndGrant(release.grant_id(), release, now);
  return true;
}

bool PoolScheduler::CancelRequest(const std::string& request_id, Instant now) {
  const auto ticket = ticket_by_request_.find(request_id);
  if (ticket != ticket_by_request_.end()) {
    queue_.Remove(ticket->second);
    ticket_by_request_.erase(ticket);
    return true;
  }
  const auto grant = grant_by_request_.find(request_id);
  if (grant == grant_by_request_.end()) {
    return false;
  }
  EndGrant(grant->second, v1::GrantRelease(), now);
  return true;
}

void PoolScheduler::EndGrant(GrantId id, const v1::GrantRelease& release,
                             Instant now) {
  const auto found = grants_.find(id);
  const ActiveGrant grant = std::move(found->second);
  grants_.erase(found);
  grant_expiry_.erase({grant.expires, id});
  const auto by_request = grant_by_request_.find(grant.request_id);
  if (by_request != grant_by_request_.end() && by_request->second == id) {
    grant_by_request_.erase(by_request);
  }
  repeatable_in_flight_ -= grant.repeatable ? 1 : 0;
  const double actual = grant.prompt_cost + release.tokens();
  if (grant.max_tokens > 0 && release.tokens() > 0) {
    const double share = static_cast<double>(release.tokens()) /
                         static_cast<double>(grant.max_tokens);
    used_share_ += kUsedShareSmoothing * (std::min(share, 1.0) - used_share_);
  }
  queue_.Charge(grant.organisation, actual - grant.charged);
  drain_rate_.RecordCompletion(queue_.size() > 0, now);
  upstreams_.ReleaseSlot(grant.upstream, release.failed(),
                         release.observed_version(), now);
}

void PoolScheduler::ExpireGrants(Instant now) {
  while (!grant_expiry_.empty() && grant_expiry_.begin()->first <= now) {
    EndGrant(grant_expiry_.begin()->second, v1::GrantRelease(), now);
  }
}

void PoolScheduler::ReleaseEntry(const NodeId& entry, Instant now) {
  std::vector<GrantId> ids;
  for (const auto& [id, grant] : grants_) {
    if (grant.entry == entry.value()) {
      ids.push_back(id);
    }
  }
  for (const GrantId id : ids) {
    EndGrant(id, v1::GrantRelease(), now);
  }
}

void PoolScheduler::SetUpstreams(const std::vector<UpstreamSpec>& upstreams) {
  upstreams_.Replace(upstreams);
}

void PoolScheduler::SetWeights(const std::vector<OrganisationWeight>& weights) {
  queue_.SetWeights(weights);
}

void PoolScheduler::ObserveLoad(const UpstreamId& upstream,
                                const v1::EngineLoad& load, Instant now) {
  upstreams_.Observe(upstream, load, now);
}

void PoolScheduler::ObservePollFailure(const UpstreamId& upstream) {
  upstreams_.ObservePollFailure(upstream);
}

void PoolScheduler::ObserveCache(const UpstreamId& upstream,
                                 const v1::CacheEvents& events, Instant now) {
  const std::optional<UpstreamIndex> index = upstreams_.Find(upstream);
  if (!index.has_value()) {
    return;
  }
  for (const v1::CacheEvent& event : events.events()) {
    if (event.evicted()) {
      prefixes_.Remove(event.prefix_hash(), *index);
    } else {
      prefixes_.Add(event.prefix_hash(), *index, now);
    }
  }
}

void PoolScheduler::ApplyNotice(const v1::UpstreamNotice& notice, Instant now) {
  upstreams_.ApplyNotice(notice, now);
}

std::optional<Instant> PoolScheduler::next_wakeup() const {
  std::optional<Instant> earliest = queue_.next_expiry();
  const auto consider = [&](Instant candidate) {
    earliest = std::min(earliest.value_or(candidate), candidate);
  };
  if (!grant_expiry_.empty()) {
    consider(grant_expiry_.begin()->first);
  }
  if (const std::optional<Instant> suspension_end =
          upstreams_.next_suspension_end()) {
    consider(*suspension_end);
  }
  return earliest;
}

std::uint32_t PoolScheduler::in_flight(const UpstreamId& upstream) const {
  const std::optional<UpstreamIndex> index = upstreams_.Find(upstream);
  return index.has_value() ? upstreams_.at(*index).in_flight : 0;
}

v1::PoolStatus PoolScheduler::status() const {
  v1::PoolStatus status;
  status.set_queued(static_cast<std::uint32_t>(queued()));
  status.set_in_flight(static_cast<std::uint32_t>(in_flight()));
  for (const UpstreamIndex index : upstreams_.all()) {
    const UpstreamState& state = upstreams_.at(index);
    v1::UpstreamStatus& upstream = *status.add_upstreams();
    upstream.set_name(state.spec.id.value());
    upstream.set_endpoint(state.spec.endpoint);
    upstream.set_upstream_class(state.spec.upstream_class);
    upstream.set_version(state.version);
    upstream.set_in_flight(state.in_flight);
    upstream.set_leaving(state.leaving());
    upstream.set_swapping(state.swapping);
  }
  return status;
}

v1::DemandReply PoolScheduler::demand() const {
  v1::DemandReply reply;
  reply.set_is_dispatcher(true);
  reply.set_queued(static_cast<std::uint32_t>(queued()));
  reply.set_in_flight(static_cast<std::uint32_t>(in_flight()));
  reply.set_repeatable_in_flight(repeatable_in_flight_);
  for (const UpstreamIndex index : upstreams_.all()) {
    const UpstreamState& state = upstreams_.at(index);
    v1::UpstreamDemand& upstream = *reply.add_upstreams();
    upstream.set_upstream(state.spec.id.value());
    upstream.set_in_flight(state.in_flight);
    upstream.set_version(state.version);
  }
  return reply;
}

std::chrono::milliseconds PoolScheduler::ExpectedWait(
    const v1::GrantRequest& request, Instant now) const {
  const OrganisationId organisation(request.organisation());
  const auto ahead =
      static_cast<double>(queue_.queued_ahead(organisation, request.kind())) +
      1;
  return drain_rate_.EstimateTime(ahead / queue_.ShareOf(organisation), now);
}

std::chrono::milliseconds PoolScheduler::TimeToSuspensionEnd(
    Instant now) const {
  const Instant next = upstreams_.next_suspension_end().value_or(now);
  return std::chrono::ceil<std::chrono::milliseconds>(next - now);
}

std::chrono::milliseconds PoolScheduler::RetryAfter(
    const OrganisationId& organisation, Instant now) const {
  const double ahead = static_cast<double>(queue_.size(organisation)) + 1;
  return drain_rate_.EstimateTime(ahead / queue_.ShareOf(organisation), now);
}

}  // namespace mulberryroad::dispatch
