// The pure fold of lease records: who holds which role, as every reader of the
// stream agrees.

#ifndef MULBERRYROAD_SRC_LEASE_LEASE_TABLE_H_
#define MULBERRYROAD_SRC_LEASE_LEASE_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>

#include "mulberryroad/ids.h"
#include "mulberryroad/record.pb.h"
#include "platform/log_service.h"

namespace mulberryroad::lease {

/// The role has a new holder, in a new epoch.
struct Claimed {
  v1::LeaseState state;
  std::uint64_t attempt = 0;
};

/// The holder extended its term.
struct Renewed {
  v1::LeaseState state;
  std::uint64_t attempt = 0;
};

/// The holder gave the role up.
struct Released {
  v1::LeaseState state;
};

/// The record changes nothing.
struct Void {
  RoleId role;
  std::string holder;
  std::uint64_t attempt = 0;
  std::string reason;
};

/// The record is not about leases.
struct NotLease {};

using LeaseEvent = std::variant<Claimed, Renewed, Released, Void, NotLease>;

/// Rules that the exploration test switches off, to show that they are needed.
struct LeaseRules {
  /// A claim must name the last claim or renewal of its role.
  bool claim_names_last_record = true;
};

/// A claim is void if a valid claim or renewal of the role lies between the
/// record that it names and itself. A renewal or release counts only in its
/// epoch.
class LeaseTable {
 public:
  explicit LeaseTable(LeaseRules rules = {}) : rules_(rules) {}

  /// Applies one record; records must come in offset order.
  LeaseEvent Apply(platform::Offset offset, const v1::Record& record);

  /// Replaces all state by that of a snapshot.
  void Load(const v1::Snapshot& snapshot);
  /// Writes the state into a snapshot, in the order of the roles' names.
  void Save(v1::Snapshot* snapshot) const;

  /// Returns the state of a role, or null if it never had a holder.
  const v1::LeaseState* find(const RoleId& role) const;
  const std::map<RoleId, v1::LeaseState>& states() const { return states_; }

  /// What a claim of a role must name now.
  std::uint64_t previous_offset(const RoleId& role) const;

 private:
  LeaseEvent Apply(platform::Offset offset, const v1::LeaseClaim& claim);
  LeaseEvent Apply(platform::Offset offset, const v1::LeaseRenewal& renewal);
  LeaseEvent Apply(const v1::LeaseRelease& release);

  LeaseRules rules_;
  std::map<RoleId, v1::LeaseState> states_;
};

/// Returns the SHA-256 of the lease states in a snapshot.
std::string LeaseDigest(const v1::Snapshot& snapshot);

}  // namespace mulberryroad::lease

#endif  // MULBERRYROAD_SRC_LEASE_LEASE_TABLE_H_
