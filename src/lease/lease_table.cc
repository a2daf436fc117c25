#include "lease/lease_table.h"

#include "base/digest.h"

namespace mulberryroad::lease {

LeaseEvent LeaseTable::Apply(platform::Offset offset,
                             const v1::Record& record) {
  switch (record.body_case()) {
    case v1::Record::kLeaseClaim:
      return Apply(offset, record.lease_claim());
    case v1::Record::kLeaseRenewal:
      return Apply(offset, record.lease_renewal());
    case v1::Record::kLeaseRelease:
      return Apply(record.lease_release());
    default:
      return NotLease{};
  }
}

LeaseEvent LeaseTable::Apply(platform::Offset offset,
                             const v1::LeaseClaim& claim) {
  const RoleId role(claim.role());
  if (rules_.claim_names_last_record &&
      claim.previous_offset() != previous_offset(role)) {
    return Void{role, claim.holder(), claim.attempt(),
                "another claim or a renewal came before the claim"};
  }
  v1::LeaseState& state = states_[role];
  state.set_role(claim.role());
  state.set_holder(claim.holder());
  state.set_incarnation(claim.incarnation());
  state.set_epoch(offset);
  state.set_last_offset(offset);
  state.set_ttl_ms(claim.ttl_ms());
  state.set_released(false);
  return Claimed{state, claim.attempt()};
}

LeaseEvent LeaseTable::Apply(platform::Offset offset,
                             const v1::LeaseRenewal& renewal) {
  const RoleId role(renewal.role());
  const auto found = states_.find(role);
  if (found == states_.end() || found->second.epoch() != renewal.epoch() ||
      found->second.holder() != renewal.holder() || found->second.released()) {
    return Void{role, renewal.holder(), renewal.attempt(),
                "the epoch of the renewal has ended"};
  }
  found->second.set_last_offset(offset);
  return Renewed{found->second, renewal.attempt()};
}

LeaseEvent LeaseTable::Apply(const v1::LeaseRelease& release) {
  const RoleId role(release.role());
  const auto found = states_.find(role);
  if (found == states_.end() || found->second.epoch() != release.epoch() ||
      found->second.holder() != release.holder()) {
    return Void{role, release.holder(), 0,
                "the epoch of the release has ended"};
  }
  found->second.set_released(true);
  return Released{found->second};
}

void LeaseTable::Load(const v1::Snapshot& snapshot) {
  states_.clear();
  for (const v1::LeaseState& state : snapshot.leases()) {
    states_[RoleId(state.role())] = state;
  }
}

void LeaseTable::Save(v1::Snapshot* snapshot) const {
  for (const auto& [role, state] : states_) {
    *snapshot->add_leases() = state;
  }
}

const v1::LeaseState* LeaseTable::find(const RoleId& role) const {
  const auto found = states_.find(role);
  return found == states_.end() ? nullptr : &found->second;
}

std::uint64_t LeaseTable::previous_offset(const RoleId& role) const {
  const v1::LeaseState* state = find(role);
  return state == nullptr ? 0 : state->last_offset() + 1;
}

std::string LeaseDigest(const v1::Snapshot& snapshot) {
  v1::Snapshot leases;
  *leases.mutable_leases() = snapshot.leases();
  return base::Sha256Hex(leases.SerializeAsString());
}

}  // namespace mulberryroad::lease
