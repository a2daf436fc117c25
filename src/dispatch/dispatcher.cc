#include "dispatch/dispatcher.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include "base/digest.h"

namespace mulberryroad::dispatch {

namespace {

constexpr std::chrono::milliseconds kVmListPollInterval =
    std::chrono::seconds{1};
constexpr std::chrono::milliseconds kEnginePollInterval =
    std::chrono::milliseconds{500};
// Maximum number of engines polled per interval; bounds the polling traffic of
// large pools.
constexpr std::size_t kMaxEnginesPerPoll = 8;
constexpr std::chrono::milliseconds kMovedRetryAfter =
    std::chrono::milliseconds{200};

v1::GrantReply ToReply(const Granted& granted) {
  v1::GrantReply reply;
  *reply.mutable_grant() = granted.grant;
  return reply;
}

v1::GrantReply ToReply(const Refused& refused) {
  v1::GrantReply reply;
  *reply.mutable_refusal() = ToMessage(refused);
  return reply;
}

v1::Decision NewDecision(const v1::GrantRequest& request, const PoolId& pool) {
  v1::Decision decision;
  decision.set_request_id(request.request_id());
  decision.set_organisation(request.organisation());
  decision.set_target(pool.target.value());
  decision.set_failure_domain(pool.failure_domain.value());
  return decision;
}

std::uint64_t SchedulerSeed(std::uint64_t seed, const PoolId& pool,
                            Instant now) {
  const auto start = static_cast<std::uint64_t>(now.time_since_epoch().count());
  return base::StableHash(ToString(pool), seed ^ start);
}

}  // namespace

DispatcherHost::Dispatcher::Dispatcher(DispatcherHost& host, PoolId pool)
    : host_(host),
      pool_(std::move(pool)),
      scheduler_(SchedulerOptions{},
                 SchedulerSeed(host.seed_, pool_, host.clock_.now())) {}

void DispatcherHost::Dispatcher::Start() {
  ApplyDeclaration();
  const std::weak_ptr<Dispatcher> weak = weak_from_this();
  vm_list_timer_ = host_.loop_.Every(kVmListPollInterval, [weak] {
    if (const auto self = weak.lock()) {
      self->PollVmList();
    }
  });
  engine_timer_ = host_.loop_.Every(kEnginePollInterval, [weak] {
    if (const auto self = weak.lock()) {
      self->PollEngines();
    }
  });
  PollVmList();
}

void DispatcherHost::Dispatcher::Stop() {
  stopped_ = true;
  vm_list_timer_.Cancel();
  engine_timer_.Cancel();
  wakeup_timer_.Cancel();
  const auto pending_replies = std::exchange(pending_replies_, {});
  for (const auto& [ticket, on_reply] : pending_replies) {
    on_reply(ToReply(Refused{"the dispatcher moved", kMovedRetryAfter}));
  }
}

void DispatcherHost::Dispatcher::ApplyDeclaration() {
  const v1::Declaration* declaration = host_.configuration_.declaration();
  if (declaration == nullptr) {
    return;
  }
  std::vector<OrganisationWeight> weights;
  for (const v1::Organisation& organisation : declaration->organisations()) {
    weights.push_back(
        {OrganisationId(organisation.name()), organisation.weight()});
  }
  scheduler_.SetWeights(weights);
  is_model_ = std::any_of(
      declaration->models().begin(), declaration->models().end(),
      [&](const auto& model) { return model.name() == pool_.target.value(); });
}

void DispatcherHost::Dispatcher::Acquire(const v1::GrantRequest& request,
                                         OnGrantReply on_reply) {
  AdmissionDecision decision = scheduler_.Admit(request, host_.clock_.now());
  if (const auto* granted = std::get_if<Granted>(&decision)) {
    WriteGrant(request, *granted);
    on_reply(ToReply(*granted));
  } else if (const auto* refused = std::get_if<Refused>(&decision)) {
    WriteRefusal(request, *refused);
    on_reply(ToReply(*refused));
  } else {
    pending_replies_.emplace(std::get<Queued>(decision).ticket,
                             std::move(on_reply));
  }
  RunScheduler();
}

void DispatcherHost::Dispatcher::Release(const v1::GrantRelease& release) {
  scheduler_.Release(release, host_.clock_.now());
  RunScheduler();
}

void DispatcherHost::Dispatcher::ReleaseEntry(const NodeId& entry) {
  scheduler_.ReleaseEntry(entry, host_.clock_.now());
  RunScheduler();
}

v1::UpstreamNoticeReply DispatcherHost::Dispatcher::ApplyNotice(
    const v1::UpstreamNotice& notice) {
  scheduler_.ApplyNotice(notice, host_.clock_.now());
  v1::UpstreamNoticeReply reply;
  reply.set_in_flight(scheduler_.in_flight(UpstreamId(notice.upstream())));
  RunScheduler();
  return reply;
}

v1::PoolStatus DispatcherHost::Dispatcher::status() const {
  v1::PoolStatus status = scheduler_.status();
  status.set_target(pool_.target.value());
  status.set_failure_domain(pool_.failure_domain.value());
  status.set_dispatcher(host_.members_.self().node_id());
  return status;
}

void DispatcherHost::Dispatcher::PollVmList() {
  if (vm_list_pending_ || stopped_) {
    return;
  }
  vm_list_pending_ = true;
  host_.directory_.ListPool(
      pool_,
      [weak = weak_from_this()](
          const std::variant<v1::VmList, platform::PlatformFailure>& answer) {
        const auto self = weak.lock();
        if (self == nullptr) {
          return;
        }
        self->vm_list_pending_ = false;
        if (const auto* list = std::get_if<v1::VmList>(&answer)) {
          self->ApplyVmList(*list);
        }
      });
}

UpstreamSpec DispatcherHost::Dispatcher::ToUpstreamSpec(
    const v1::Vm& vm) const {
  UpstreamSpec spec;
  spec.id = UpstreamId(vm.name());
  spec.endpoint = vm.endpoint();
  spec.upstream_class = vm.upstream_class();
  spec.leaving = vm.state() == v1::VM_LEAVING;
  const v1::Declaration* declaration = host_.configuration_.declaration();
  if (declaration == nullptr) {
    return spec;
  }
  for (const v1::UpstreamClass& declared : declaration->upstream_classes()) {
    if (declared.name() == vm.upstream_class()) {
      spec.slots = std::max(declared.slots(), 1U);
      spec.price_per_hour = declared.price_per_hour();
      spec.reclaimable = declared.reclaimable();
    }
  }
  return spec;
}

void DispatcherHost::Dispatcher::ApplyVmList(const v1::VmList& list) {
  if (stopped_) {
    return;
  }
  std::vector<UpstreamSpec> specs;
  for (const v1::Vm& vm : list.vms()) {
    specs.push_back(ToUpstreamSpec(vm));
  }
  scheduler_.SetUpstreams(specs);
  UpdatePolledEngines(list);
  RunScheduler();
}

void DispatcherHost::Dispatcher::UpdatePolledEngines(const v1::VmList& list) {
  std::set<UpstreamId> listed;
  bool added = false;
  for (const v1::Vm& vm : list.vms()) {
    const std::optional<Endpoint> endpoint = ParseEndpoint(vm.endpoint());
    if (!endpoint.has_value()) {
      continue;
    }
    const UpstreamId id(vm.name());
    listed.insert(id);
    PolledEngine& engine = polled_engines_[id];
    added = added || engine.id.empty();
    engine.id = id;
    engine.endpoint = *endpoint;
  }
  std::erase_if(polled_engines_, [&](const auto& entry) {
    return !listed.contains(entry.first);
  });
  if (added) {
    PollEngines();
  }
}

void DispatcherHost::Dispatcher::PollEngines() {
  if (!is_model_ || polled_engines_.empty() || stopped_) {
    return;
  }
  const std::size_t count =
      std::min(kMaxEnginesPerPoll, polled_engines_.size());
  for (std::size_t number = 0; number < count; ++number) {
    auto next = polled_engines_.upper_bound(last_polled_engine_);
    if (next == polled_engines_.end()) {
      next = polled_engines_.begin();
    }
    last_polled_engine_ = next->first;
    PollLoad(&next->second);
    PollCacheEvents(&next->second);
  }
}

void DispatcherHost::Dispatcher::PollLoad(PolledEngine* engine) {
  if (engine->load_pending) {
    return;
  }
  engine->load_pending = true;
  host_.engines_.Report(
      engine->endpoint,
      [weak = weak_from_this(), id = engine->id](
          const std::variant<v1::EngineLoad, platform::PlatformFailure>&
              answer) {
        const auto self = weak.lock();
        if (self == nullptr || self->stopped_) {
          return;
        }
        const auto found = self->polled_engines_.find(id);
        if (found != self->polled_engines_.end()) {
          found->second.load_pending = false;
        }
        if (const auto* load = std::get_if<v1::EngineLoad>(&answer)) {
          self->scheduler_.ObserveLoad(id, *load, self->host_.clock_.now());
        } else {
          self->scheduler_.ObservePollFailure(id);
        }
        self->RunScheduler();
      });
}

void DispatcherHost::Dispatcher::PollCacheEvents(PolledEngine* engine) {
  if (engine->cache_events_pending) {
    return;
  }
  engine->cache_events_pending = true;
  host_.engines_.Events(
      engine->endpoint, engine->next_cache_event,
      [weak = weak_from_this(), id = engine->id](
          const std::variant<v1::CacheEvents, platform::PlatformFailure>&
              answer) {
        const auto self = weak.lock();
        if (self == nullptr || self->stopped_) {
          return;
        }
        const auto found = self->polled_engines_.find(id);
        if (found == self->polled_engines_.end()) {
          return;
        }
        found->second.cache_events_pending = false;
        if (const auto* events = std::get_if<v1::CacheEvents>(&answer)) {
          found->second.next_cache_event = events->next_sequence();
          self->scheduler_.ObserveCache(id, *events, self->host_.clock_.now());
        }
      });
}

void DispatcherHost::Dispatcher::RunScheduler() {
  if (stopped_) {
    return;
  }
  for (const ScheduledDecision& decision :
       scheduler_.Schedule(host_.clock_.now())) {
    DeliverDecision(decision);
  }
  SetWakeupTimer();
}

void DispatcherHost::Dispatcher::SetWakeupTimer() {
  const std::optional<Instant> wakeup = scheduler_.next_wakeup();
  if (!wakeup.has_value() || stopped_) {
    wakeup_timer_.Cancel();
    return;
  }
  const std::chrono::nanoseconds delay = std::max<std::chrono::nanoseconds>(
      *wakeup - host_.clock_.now(), std::chrono::milliseconds{1});
  wakeup_timer_ = host_.loop_.After(delay, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->RunScheduler();
    }
  });
}

void DispatcherHost::Dispatcher::DeliverDecision(
    const ScheduledDecision& decision) {
  if (const auto* granted = std::get_if<Granted>(&decision.outcome)) {
    WriteGrant(decision.request, *granted);
  } else {
    WriteRefusal(decision.request, std::get<Refused>(decision.outcome));
  }
  const auto found = pending_replies_.find(decision.ticket);
  if (found == pending_replies_.end()) {
    return;
  }
  const OnGrantReply on_reply = std::move(found->second);
  pending_replies_.erase(found);
  on_reply(std::visit([](const auto& outcome) { return ToReply(outcome); },
                      decision.outcome));
}

void DispatcherHost::Dispatcher::WriteGrant(const v1::GrantRequest& request,
                                            const Granted& granted) {
  v1::Decision decision = NewDecision(request, pool_);
  decision.set_kind("grant");
  decision.set_chosen(granted.grant.upstream());
  decision.set_reason(granted.grant.reason());
  decision.mutable_candidates()->Assign(granted.candidates.begin(),
                                        granted.candidates.end());
  host_.decisions_.Write(std::move(decision));
}

void DispatcherHost::Dispatcher::WriteRefusal(const v1::GrantRequest& request,
                                              const Refused& refused) {
  v1::Decision decision = NewDecision(request, pool_);
  decision.set_kind("refuse");
  decision.set_reason(refused.reason);
  decision.set_verdict(std::string(ToString(Verdict::kNotRun)));
  host_.decisions_.Write(std::move(decision));
}

}  // namespace mulberryroad::dispatch
