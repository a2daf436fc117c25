#include "control/domain_controller.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace mulberryroad::control {

namespace {

PoolId IdOf(const v1::Pool& pool) {
  const std::string& target =
      pool.target_case() == v1::Pool::kModel ? pool.model() : pool.service();
  return {TargetId(target), FailureDomainId(pool.failure_domain())};
}

}  // namespace

RoleId ControllerRole(const FailureDomainId& domain) {
  return RoleId("controller/" + domain.value());
}

DomainController::DomainController(const ControlServices& services,
                                   FailureDomainId domain)
    : services_(services),
      domain_(std::move(domain)),
      role_(ControllerRole(domain_)),
      orders_(
          services.clock, services.journal, services.leases, services.ordering,
          services.engines, role_, "orders/" + domain_.value(),
          [this](const std::string& upstream) { return EndpointOf(upstream); },
          [this](const SettledOrder& settled) { OnSettled(settled); }) {
  services_.leases.Want(role_, true);
}

DomainController::~DomainController() { services_.leases.Want(role_, false); }

void DomainController::Tick() {
  const std::optional<std::uint64_t> held = orders_.UpdateTerm();
  if (held != epoch_) {
    epoch_ = held;
    pools_.clear();
  }
  const v1::Declaration* declaration = services_.configuration.declaration();
  if (!epoch_ || declaration == nullptr) {
    return;
  }
  UpdatePools();
  for (const v1::Pool& declared : declaration->pools()) {
    const auto found = pools_.find(IdOf(declared));
    if (found != pools_.end()) {
      Work(found->second, declared);
    }
  }
  orders_.Step();
}

std::optional<log::LedStream> DomainController::led_stream() {
  if (!services_.leases.term(role_).has_value()) {
    return std::nullopt;
  }
  return log::LedStream{orders_.stream(), [this](v1::Snapshot* snapshot) {
                          orders_.Save(snapshot);
                        }};
}

void DomainController::UpdatePools() {
  std::set<PoolId> declared;
  const v1::Declaration& declaration = *services_.configuration.declaration();
  for (const v1::Pool& pool : declaration.pools()) {
    if (pool.failure_domain() != domain_.value()) {
      continue;
    }
    const PoolId id = IdOf(pool);
    declared.insert(id);
    Pool& entry = pools_[id];
    if (entry.observer == nullptr) {
      entry.id = id;
      entry.observer = std::make_unique<PoolObserver>(
          services_.clock, services_.transport, services_.members,
          services_.directory, services_.engines, services_.weights, id,
          pool.target_case() == v1::Pool::kModel);
    }
  }
  std::erase_if(pools_, [&declared](const auto& entry) {
    return !declared.contains(entry.first);
  });
}

void DomainController::Work(Pool& pool, const v1::Pool& declared) {
  pool.observer->Poll();
  if (!pool.observer->fresh()) {
    return;
  }
  NoticeReclaims(pool);
  DecideCapacity(pool, declared);
  if (declared.target_case() == v1::Pool::kModel) {
    DecideRollout(pool);
  }
  SendNotices(pool);
}

void DomainController::NoticeReclaims(Pool& pool) {
  const auto& vms = pool.observer->vms();
  const auto reclaim = [this, &pool](const v1::Vm& vm) {
    const v1::UpstreamClass* known = FindClass(vm.upstream_class());
    const bool ours = pool.stopped.contains(vm.name());
    if (known != nullptr && known->reclaimable() && !ours &&
        pool.reclaimed.insert(vm.name()).second) {
      policy_.Reclaimed(pool.id, vm.upstream_class(), services_.clock.now());
      Log(pool, "reclaimed", vm.name(), "the platform took it back");
    }
  };
  for (const auto& [name, vm] : pool.last_vms) {
    if (!vms.contains(name)) reclaim(vm);
  }
  for (const auto& [name, vm] : vms) {
    started_.erase(name);
    if (vm.state() == v1::VM_LEAVING) reclaim(vm);
  }
  const auto gone = [&vms](const auto& entry) {
    return !vms.contains(entry.first);
  };
  const auto gone_name = [&vms](const std::string& name) {
    return !vms.contains(name);
  };
  std::erase_if(pool.draining, gone);
  std::erase_if(pool.stopped, gone_name);
  std::erase_if(pool.reclaimed, gone_name);
  pool.last_vms = vms;
}

void DomainController::DecideCapacity(Pool& pool, const v1::Pool& declared) {
  const PoolState state = StateOf(pool, declared);
  for (const CapacityDecision& decision :
       policy_.Decide(state, services_.clock.now())) {
    std::visit([&](const auto& known) { Apply(pool, known); }, decision);
  }
}

PoolState DomainController::StateOf(const Pool& pool,
                                    const v1::Pool& declared) const {
  const v1::Declaration& declaration = *services_.configuration.declaration();
  const v1::DemandReply& demand = pool.observer->demand();
  PoolState state;
  state.pool = pool.id;
  state.queued = demand.queued();
  state.in_flight = demand.in_flight();
  state.repeatable_in_flight = demand.repeatable_in_flight();
  state.organisations =
      static_cast<std::size_t>(declaration.organisations_size());
  for (const v1::Capacity& capacity : declared.capacities()) {
    const v1::UpstreamClass* known = FindClass(capacity.upstream_class());
    if (known != nullptr) {
      state.classes.push_back(
          {known->name(), known->price_per_hour(), known->reclaimable(),
           std::max(1U, known->slots()), capacity.min_upstreams(),
           capacity.max_upstreams()});
    }
  }
  AddListed(pool, state);
  AddStarting(pool, state);
  return state;
}

void DomainController::AddListed(const Pool& pool, PoolState& state) const {
  for (const auto& [name, vm] : pool.observer->vms()) {
    UpstreamState upstream;
    upstream.id = UpstreamId(name);
    upstream.upstream_class = vm.upstream_class();
    if (vm.state() == v1::VM_LEAVING || pool.stopped.contains(name) ||
        HasOpenOrder(name)) {
      upstream.phase = UpstreamPhase::kLeaving;
    } else if (pool.draining.contains(name)) {
      upstream.phase = UpstreamPhase::kDraining;
      upstream.in_flight = pool.observer->drained(name) ? 0 : 1;
    }
    for (const auto& demand : pool.observer->demand().upstreams()) {
      if (demand.upstream() == name &&
          upstream.phase == UpstreamPhase::kServing) {
        upstream.in_flight = demand.in_flight();
      }
    }
    state.upstreams.push_back(std::move(upstream));
  }
}

void DomainController::AddStarting(const Pool& pool, PoolState& state) const {
  const WallTime now = services_.clock.wall_now();
  const auto add = [&state](const std::string& id,
                            const std::string& upstream_class) {
    state.upstreams.push_back(
        {UpstreamId(id), upstream_class, UpstreamPhase::kStarting, 0});
  };
  for (const auto& [name, started] : started_) {
    if (started.pool == pool.id && now < started.expected_until) {
      add(name, started.upstream_class);
    }
  }
  for (const v1::OrderIntent& intent : orders_.book().unfinished(now)) {
    if (intent.kind() == v1::ORDER_START &&
        intent.target() == pool.id.target.value()) {
      add(intent.order_id(), intent.upstream_class());
    }
  }
}

bool DomainController::HasOpenOrder(const std::string& upstream) const {
  const auto intents = orders_.book().unfinished(services_.clock.wall_now());
  return std::any_of(intents.begin(), intents.end(),
                     [&upstream](const v1::OrderIntent& intent) {
                       return intent.kind() == v1::ORDER_STOP &&
                              intent.upstream() == upstream;
                     });
}

void DomainController::DecideRollout(Pool& pool) {
  RolloutTarget target;
  target.version = DesiredVersion(pool.id);
  target.newest_in_store = pool.observer->newest_version();
  const v1::Declaration& declaration = *services_.configuration.declaration();
  for (const v1::Model& model : declaration.models()) {
    if (model.name() == pool.id.target.value()) {
      target.max_swapping_percent = model.max_swapping_percent();
    }
  }
  std::vector<EngineState> engines;
  for (const auto& [name, vm] : pool.observer->vms()) {
    EngineState engine;
    engine.id = UpstreamId(name);
    if (const v1::EngineLoad* load = pool.observer->engine(name)) {
      engine.version = load->version();
      engine.swapping = load->swapping();
    }
    engine.leaving = vm.state() == v1::VM_LEAVING ||
                     pool.draining.contains(name) ||
                     pool.stopped.contains(name);
    engines.push_back(std::move(engine));
  }
  for (const RolloutDecision& decision :
       pool.rollout.Step(target, engines, services_.clock.now())) {
    std::visit([&](const auto& known) { Apply(pool, known); }, decision);
  }
}

void DomainController::SendNotices(Pool& pool) {
  for (const auto& [name, vm] : pool.observer->vms()) {
    v1::UpstreamNotice notice;
    notice.set_target(pool.id.target.value());
    notice.set_failure_domain(domain_.value());
    notice.set_upstream(name);
    notice.set_leaving(vm.state() == v1::VM_LEAVING ||
                       pool.draining.contains(name) ||
                       pool.stopped.contains(name));
    notice.set_swapping(pool.rollout.swapping(UpstreamId(name)));
    if (const v1::EngineLoad* load = pool.observer->engine(name)) {
      notice.set_version(load->version());
    }
    pool.observer->Notify(notice);
  }
}

}  // namespace mulberryroad::control
