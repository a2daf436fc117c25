#include "lease/lease_keeper.h"

#include <string>
#include <variant>

namespace mulberryroad::lease {

namespace {
constexpr std::chrono::milliseconds kTick{100};
}  // namespace

LeaseKeeper::LeaseKeeper(base::EventLoop& loop, const Clock& clock,
                         log::Journal& journal, base::DecisionLog& decisions,
                         const NodeId& node, std::uint64_t incarnation,
                         LeaseTiming timing)
    : clock_(clock),
      journal_(journal),
      decisions_(decisions),
      node_(node),
      timing_(timing),
      agent_(node, incarnation, timing) {
  journal_.Subscribe(kLeaseStream,
                     [this, alive = std::weak_ptr<bool>(alive_)](
                         platform::Offset offset, const v1::Record& record) {
                       if (!alive.expired()) {
                         OnRecord(offset, record);
                       }
                     });
  tick_ = loop.Every(kTick, [this] {
    Run(agent_.Tick(clock_.now(), journal_.caught_up(kLeaseStream)));
  });
}

void LeaseKeeper::Want(const RoleId& role, bool wanted) {
  Run(agent_.Want(role, wanted, clock_.now()));
}

std::optional<Term> LeaseKeeper::term(const RoleId& role) const {
  return agent_.term(role, clock_.now());
}

std::vector<v1::LeaseState> LeaseKeeper::states() const {
  std::vector<v1::LeaseState> states;
  for (const auto& [role, state] : agent_.table().states()) {
    states.push_back(state);
  }
  return states;
}

void LeaseKeeper::OnRecord(platform::Offset offset, const v1::Record& record) {
  Run(agent_.OnRecord(offset, record, clock_.now()));
  if (record.has_snapshot()) {
    digests_.Compare(offset, record.snapshot());
  }
  v1::Snapshot state;
  agent_.table().Save(&state);
  digests_.Note(offset, LeaseDigest(state));
}

void LeaseKeeper::Save(v1::Snapshot* snapshot) const {
  agent_.table().Save(snapshot);
  snapshot->set_state_sha256(LeaseDigest(*snapshot));
}

void LeaseKeeper::Run(const LeaseDecisions& decisions) {
  for (const LeaseDecision& decision : decisions) {
    std::visit([this](const auto& kind) { Run(kind); }, decision);
  }
}

void LeaseKeeper::Run(const AppendLease& append) {
  const auto settled = [this, alive = std::weak_ptr<bool>(alive_),
                        role = append.role, attempt = append.attempt](
                           const std::optional<platform::Offset>&,
                           const std::string&) {
    if (!alive.expired()) {
      agent_.OnSettled(role, attempt);
    }
  };
  journal_.Append(kLeaseStream, append.record, timing_.ttl / 2, settled);
}

void LeaseKeeper::Run(const Gained& gained) {
  v1::Decision decision;
  decision.set_kind("lease");
  decision.set_target(gained.role.value());
  decision.set_chosen(node_.value());
  decision.set_epoch(gained.epoch);
  decision.set_reason("the claim is the first valid one in the log");
  decision.add_candidates()->set_name(node_.value());
  decisions_.Write(decision);
  gained_.emit(gained.role, gained.epoch);
}

void LeaseKeeper::Run(const Lost& lost) {
  v1::Decision decision;
  decision.set_kind("lease");
  decision.set_target(lost.role.value());
  decision.set_reason(lost.reason);
  v1::Candidate* candidate = decision.add_candidates();
  candidate->set_name(node_.value());
  candidate->set_excluded(lost.reason);
  decisions_.Write(decision);
  lost_.emit(lost.role);
}

}  // namespace mulberryroad::lease
