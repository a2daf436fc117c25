#include "dispatch/dispatcher.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include "base/digest.h"

namespace mulberryroad::dispatch {

namespace {

constexpr std::chrono::milliseconds kListInterval = std::chrono::seconds{1};
constexpr std::chrono::milliseconds kEngineInterval =
    std::chrono::milliseconds{500};
// Maximum number of engines polled per interval; bounds the polling traffic of
// large pools.
constexpr std::size_t kEnginesPerInterval = 8;
constexpr std::chrono::milliseconds kMovedRetry =
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

v1::Decision Describe(const v1::GrantRequest& request, const PoolId& pool) {
  v1::Decision decision;
  decision.set_request_id(request.request_id());
  decision.set_organisation(request.organisation());
  decision.set_target(pool.target.value());
  decision.set_failure_domain(pool.failure_domain.value());
  return decision;
}

std::uint64_t SeedOf(std::uint64_t seed, const PoolId& pool, Instant now) {
  const auto start = static_cast<std::uint64_t>(now.time_since_epoch().count());
  return base::StableHash(ToString(pool), seed ^ start);
}

}  // namespace

DispatcherHost::Dispatcher::Dispatcher(DispatcherHost& host, PoolId pool)
    : host_(host),
      pool_(std::move(pool)),
      scheduler_(SchedulerOptions{},
                 SeedOf(host.seed_, pool_, host.clock_.now())) {}

void DispatcherHost::Dispatcher::Start() {
  Configure();
  const std::weak_ptr<Dispatcher> weak = weak_from_this();
  directory_timer_ = host_.loop_.Every(kListInterval, [weak] {
    if (const auto self = weak.lock()) {
      self->PollDirectory();
    }
  });
  engine_timer_ = host_.loop_.Every(kEngineInterval, [weak] {
    if (const auto self = weak.lock()) {
      self->PollEngines();
    }
  });
  PollDirectory();
}

void DispatcherHost::Dispatcher::Stop() {
  stopped_ = true;
  directory_timer_.Cancel();
  engine_timer_.Cancel();
  wakeup_timer_.Cancel();
  const auto waiting = std::exchange(waiting_, {});
  for (const auto& [ticket, on_reply] : waiting) {
    on_reply(ToReply(Refused{"the dispatcher moved", kMovedRetry}));
  }
}

void DispatcherHost::Dispatcher::Configure() {
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
    waiting_.emplace(std::get<Queued>(decision).ticket, std::move(on_reply));
  }
  Pump();
}

void DispatcherHost::Dispatcher::Release(const v1::GrantRelease& release) {
  scheduler_.Release(release, host_.clock_.now());
  Pump();
}

void DispatcherHost::Dispatcher::ReleaseEntry(const NodeId& entry) {
  scheduler_.ReleaseEntry(entry, host_.clock_.now());
  Pump();
}

v1::UpstreamNoticeReply DispatcherHost::Dispatcher::Notice(
    const v1::UpstreamNotice& notice) {
  scheduler_.Notice(notice, host_.clock_.now());
  v1::UpstreamNoticeReply reply;
  reply.set_in_flight(scheduler_.in_flight(UpstreamId(notice.upstream())));
  Pump();
  return reply;
}

v1::PoolStatus DispatcherHost::Dispatcher::status() const {
  v1::PoolStatus status = scheduler_.status();
  status.set_target(pool_.target.value());
  status.set_failure_domain(pool_.failure_domain.value());
  status.set_dispatcher(host_.members_.self().node_id());
  return status;
}

void DispatcherHost::Dispatcher::PollDirectory() {
  if (listing_ || stopped_) {
    return;
  }
  listing_ = true;
  host_.directory_.ListPool(
      pool_,
      [weak = weak_from_this()](
          const std::variant<v1::VmList, platform::PlatformFailure>& answer) {
        const auto self = weak.lock();
        if (self == nullptr) {
          return;
        }
        self->listing_ = false;
        if (const auto* list = std::get_if<v1::VmList>(&answer)) {
          self->TakeList(*list);
        }
      });
}

UpstreamSpec DispatcherHost::Dispatcher::SpecOf(const v1::Vm& vm) const {
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

void DispatcherHost::Dispatcher::TakeList(const v1::VmList& list) {
  if (stopped_) {
    return;
  }
  std::vector<UpstreamSpec> specs;
  for (const v1::Vm& vm : list.vms()) {
    specs.push_back(SpecOf(vm));
  }
  scheduler_.SetUpstreams(specs);
  KeepPolled(list);
  Pump();
}

void DispatcherHost::Dispatcher::KeepPolled(const v1::VmList& list) {
  std::set<UpstreamId> listed;
  bool added = false;
  for (const v1::Vm& vm : list.vms()) {
    const std::optional<Endpoint> endpoint = ParseEndpoint(vm.endpoint());
    if (!endpoint.has_value()) {
      continue;
    }
    const UpstreamId id(vm.name());
    listed.insert(id);
    Polled& polled = polled_[id];
    added = added || polled.id.empty();
    polled.id = id;
    polled.endpoint = *endpoint;
  }
  std::erase_if(polled_, [&](const auto& entry) {
    return !listed.contains(entry.first);
  });
  if (added) {
    PollEngines();
  }
}

void DispatcherHost::Dispatcher::PollEngines() {
  if (!is_model_ || polled_.empty() || stopped_) {
    return;
  }
  const std::size_t count = std::min(kEnginesPerInterval, polled_.size());
  for (std::size_t polled = 0; polled < count; ++polled) {
    auto next = polled_.upper_bound(last_polled_);
    if (next == polled_.end()) {
      next = polled_.begin();
    }
    last_polled_ = next->first;
    PollLoad(&next->second);
    PollEvents(&next->second);
  }
}

void DispatcherHost::Dispatcher::PollLoad(Polled* polled) {
  if (polled->waiting_for_load) {
    return;
  }
  polled->waiting_for_load = true;
  host_.engines_.Report(
      polled->endpoint,
      [weak = weak_from_this(), id = polled->id](
          const std::variant<v1::EngineLoad, platform::PlatformFailure>&
              answer) {
        const auto self = weak.lock();
        if (self == nullptr || self->stopped_) {
          return;
        }
        const auto found = self->polled_.find(id);
        if (found != self->polled_.end()) {
          found->second.waiting_for_load = false;
        }
        if (const auto* load = std::get_if<v1::EngineLoad>(&answer)) {
          self->scheduler_.Observe(id, *load, self->host_.clock_.now());
        } else {
          self->scheduler_.ObservePollFailure(id);
        }
        self->Pump();
      });
}

void DispatcherHost::Dispatcher::PollEvents(Polled* polled) {
  if (polled->waiting_for_events) {
    return;
  }
  polled->waiting_for_events = true;
  host_.engines_.Events(
      polled->endpoint, polled->next_cache_event,
      [weak = weak_from_this(), id = polled->id](
          const std::variant<v1::CacheEvents, platform::PlatformFailure>&
              answer) {
        const auto self = weak.lock();
        if (self == nullptr || self->stopped_) {
          return;
        }
        const auto found = self->polled_.find(id);
        if (found == self->polled_.end()) {
          return;
        }
        found->second.waiting_for_events = false;
        if (const auto* events = std::get_if<v1::CacheEvents>(&answer)) {
          found->second.next_cache_event = events->next_sequence();
          self->scheduler_.ObserveCache(id, *events, self->host_.clock_.now());
        }
      });
}

void DispatcherHost::Dispatcher::Pump() {
  if (stopped_) {
    return;
  }
  for (const ScheduledDecision& decision :
       scheduler_.Schedule(host_.clock_.now())) {
    Answer(decision);
  }
  SetTimer();
}

void DispatcherHost::Dispatcher::SetTimer() {
  const std::optional<Instant> wakeup = scheduler_.next_wakeup();
  if (!wakeup.has_value() || stopped_) {
    wakeup_timer_.Cancel();
    return;
  }
  const std::chrono::nanoseconds delay = std::max<std::chrono::nanoseconds>(
      *wakeup - host_.clock_.now(), std::chrono::milliseconds{1});
  wakeup_timer_ = host_.loop_.After(delay, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->Pump();
    }
  });
}

void DispatcherHost::Dispatcher::Answer(const ScheduledDecision& decision) {
  if (const auto* granted = std::get_if<Granted>(&decision.outcome)) {
    WriteGrant(decision.request, *granted);
  } else {
    WriteRefusal(decision.request, std::get<Refused>(decision.outcome));
  }
  const auto found = waiting_.find(decision.ticket);
  if (found == waiting_.end()) {
    return;
  }
  const OnGrantReply on_reply = std::move(found->second);
  waiting_.erase(found);
  on_reply(std::visit([](const auto& outcome) { return ToReply(outcome); },
                      decision.outcome));
}

void DispatcherHost::Dispatcher::WriteGrant(const v1::GrantRequest& request,
                                            const Granted& granted) {
  v1::Decision line = Describe(request, pool_);
  line.set_kind("grant");
  line.set_chosen(granted.grant.upstream());
  line.set_reason(granted.grant.reason());
  line.mutable_candidates()->Assign(granted.candidates.begin(),
                                    granted.candidates.end());
  host_.decisions_.Write(std::move(line));
}

void DispatcherHost::Dispatcher::WriteRefusal(const v1::GrantRequest& request,
                                              const Refused& refused) {
  v1::Decision line = Describe(request, pool_);
  line.set_kind("refuse");
  line.set_reason(refused.reason);
  line.set_verdict(std::string(ToString(Verdict::kNotRun)));
  host_.decisions_.Write(std::move(line));
}

}  // namespace mulberryroad::dispatch
