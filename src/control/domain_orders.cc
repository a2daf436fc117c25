// How a domain controller carries decisions out, and what it makes of the
// outcomes.

#include <algorithm>
#include <utility>

#include "control/domain_controller.h"

namespace mulberryroad::control {

namespace {

/// A started upstream must show in the VM list this long after its start-up.
constexpr std::chrono::seconds kListLag{60};

v1::OrderIntent OrderFor(const PoolId& pool, v1::OrderKind kind) {
  v1::OrderIntent order;
  order.set_kind(kind);
  order.set_target(pool.target.value());
  order.set_failure_domain(pool.failure_domain.value());
  return order;
}

}  // namespace

void DomainController::Apply(Pool& pool, const StartUpstream& decision) {
  v1::OrderIntent order = OrderFor(pool.id, v1::ORDER_START);
  order.set_upstream_class(decision.upstream_class);
  order.set_version(DesiredVersion(pool.id));
  if (orders_.Give(std::move(order))) {
    Log(pool, "start", decision.upstream_class, decision.reason,
        decision.candidates);
  }
}

void DomainController::Apply(Pool& pool, const DrainUpstream& decision) {
  const std::string& name = decision.upstream.value();
  if (pool.draining.try_emplace(name, decision.reason).second) {
    Log(pool, "drain", name, decision.reason);
  }
}

void DomainController::Apply(Pool& pool, const CancelDrain& decision) {
  const std::string& name = decision.upstream.value();
  if (pool.rollout.taken_out(decision.upstream)) {
    return;
  }
  pool.draining.erase(name);
  Log(pool, "cancel_drain", name, decision.reason);
}

void DomainController::Apply(Pool& pool, const StopUpstream& decision) {
  const std::string& name = decision.upstream.value();
  v1::OrderIntent order = OrderFor(pool.id, v1::ORDER_STOP);
  order.set_upstream(name);
  const auto listed = pool.observer->vms().find(name);
  if (listed != pool.observer->vms().end()) {
    order.set_upstream_class(listed->second.upstream_class());
  }
  if (orders_.Give(std::move(order))) {
    Log(pool, "stop", name, decision.reason);
  }
}

void DomainController::Apply(Pool& pool, const BeginSwap& decision) {
  const std::string& name = decision.upstream.value();
  v1::OrderIntent order = OrderFor(pool.id, v1::ORDER_LOAD_VERSION);
  order.set_upstream(name);
  order.set_version(decision.version);
  const auto listed = pool.observer->vms().find(name);
  if (listed != pool.observer->vms().end()) {
    const v1::UpstreamClass* known = FindClass(listed->second.upstream_class());
    order.set_checks_fencing(known != nullptr && known->checks_fencing());
  }
  if (orders_.Give(std::move(order))) {
    Log(pool, "swap", name, decision.reason);
  }
}

void DomainController::Apply(Pool& pool, const EndSwap& decision) {
  Log(pool, "swapped", decision.upstream.value(),
      "observed version " + std::to_string(decision.version));
}

void DomainController::Apply(Pool& pool, const TakeOut& decision) {
  pool.draining[decision.upstream.value()] = decision.reason;
  Log(pool, "take_out", decision.upstream.value(), decision.reason);
}

void DomainController::OnSettled(const SettledOrder& settled) {
  const v1::OrderIntent& intent = settled.intent;
  const PoolId pool{TargetId(intent.target()),
                    FailureDomainId(intent.failure_domain())};
  if (!settled.outcome.done()) {
    OnRefused(settled);
    return;
  }
  if (intent.kind() == v1::ORDER_START) {
    const v1::UpstreamClass* known = FindClass(intent.upstream_class());
    const std::chrono::seconds start_up(
        known == nullptr ? 0 : known->start_up_seconds());
    policy_.OrderDone(pool, intent.upstream_class());
    started_[settled.outcome.upstream()] = {
        pool, intent.upstream_class(), NotAfter(intent) + start_up + kListLag};
  } else if (intent.kind() == v1::ORDER_STOP) {
    const auto found = pools_.find(pool);
    if (found != pools_.end()) {
      found->second.stopped.insert(intent.upstream());
    }
  }
}

void DomainController::OnRefused(const SettledOrder& settled) {
  const v1::OrderIntent& intent = settled.intent;
  const PoolId pool{TargetId(intent.target()),
                    FailureDomainId(intent.failure_domain())};
  const auto found = pools_.find(pool);
  if (found == pools_.end()) {
    return;
  }
  if (intent.kind() == v1::ORDER_START) {
    policy_.OrderRefused(pool, intent.upstream_class(), services_.clock.now());
  } else if (intent.kind() == v1::ORDER_LOAD_VERSION) {
    found->second.rollout.LoadFailed(UpstreamId(intent.upstream()),
                                     services_.clock.now());
  }
  Log(found->second, "refused", intent.order_id(), settled.outcome.reason());
}

void DomainController::Log(const Pool& pool, const std::string& kind,
                           const std::string& chosen, const std::string& reason,
                           const std::vector<ClassCandidate>& candidates) {
  v1::Decision decision;
  decision.set_kind(kind);
  decision.set_target(pool.id.target.value());
  decision.set_failure_domain(domain_.value());
  decision.set_chosen(chosen);
  decision.set_reason(reason);
  decision.set_epoch(epoch_.value_or(0));
  for (const ClassCandidate& candidate : candidates) {
    v1::Candidate& entry = *decision.add_candidates();
    entry.set_name(candidate.name);
    entry.set_score(candidate.price_per_slot);
    entry.set_excluded(candidate.excluded);
  }
  services_.decisions.Write(std::move(decision));
}

const v1::UpstreamClass* DomainController::FindClass(
    const std::string& name) const {
  const v1::Declaration* declaration = services_.configuration.declaration();
  if (declaration == nullptr) {
    return nullptr;
  }
  const auto& classes = declaration->upstream_classes();
  const auto found = std::find_if(
      classes.begin(), classes.end(),
      [&name](const v1::UpstreamClass& known) { return known.name() == name; });
  return found == classes.end() ? nullptr : &*found;
}

std::uint32_t DomainController::DesiredVersion(const PoolId& pool) const {
  const v1::Declaration* declaration = services_.configuration.declaration();
  if (declaration == nullptr) {
    return 0;
  }
  for (const v1::Model& model : declaration->models()) {
    if (model.name() == pool.target.value()) {
      return model.version();
    }
  }
  return 0;
}

std::optional<Endpoint> DomainController::EndpointOf(
    const std::string& upstream) const {
  for (const auto& [id, pool] : pools_) {
    const auto& vms = pool.observer->vms();
    const auto found = vms.find(upstream);
    if (found != vms.end()) {
      return ParseEndpoint(found->second.endpoint());
    }
  }
  return std::nullopt;
}

}  // namespace mulberryroad::control
