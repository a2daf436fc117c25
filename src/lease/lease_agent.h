// The pure decisions of one node about leases: when to claim, renew and
// release, and until when it may act.

#ifndef MULBERRYROAD_SRC_LEASE_LEASE_AGENT_H_
#define MULBERRYROAD_SRC_LEASE_LEASE_AGENT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "lease/lease_table.h"
#include "lease/leases.h"
#include "mulberryroad/clock.h"

namespace mulberryroad::lease {

struct LeaseTiming {
  /// Length of a term without renewal.
  std::chrono::milliseconds ttl{10'000};
  /// The holder stops this long before its term ends, and challengers wait
  /// this much longer.
  std::chrono::milliseconds margin{1'000};
};

/// Append this record; report its end with OnSettled.
struct AppendLease {
  RoleId role;
  v1::Record record;
  std::uint64_t attempt = 0;
};

struct Gained {
  RoleId role;
  std::uint64_t epoch = 0;
};

struct Lost {
  RoleId role;
  std::string reason;
};

using LeaseDecision = std::variant<AppendLease, Gained, Lost>;
using LeaseDecisions = std::vector<LeaseDecision>;

/// Switched off by the exploration test, to show that they are needed.
struct AgentRules {
  LeaseRules table;
  /// The term counts from before its append, else from its reading back.
  bool term_from_append = true;
};

class LeaseAgent {
 public:
  LeaseAgent(NodeId node, std::uint64_t incarnation, LeaseTiming timing,
             AgentRules rules = {});

  /// Starts or stops to strive for a role.
  LeaseDecisions Want(const RoleId& role, bool wanted, Instant now);
  /// Takes in a record of the lease stream.
  LeaseDecisions OnRecord(platform::Offset offset, const v1::Record& record,
                          Instant now);
  /// Takes in the end of an append: read back, or given up.
  void OnSettled(const RoleId& role, std::uint64_t attempt);
  /// Decides what the time makes due.
  /// @param caught_up whether the stream was read to its end once
  LeaseDecisions Tick(Instant now, bool caught_up);

  /// The term held at an instant.
  std::optional<Term> term(const RoleId& role, Instant now) const;
  const LeaseTable& table() const { return table_; }

 private:
  struct Role {
    bool wanted = false;
    Instant wanted_since{};
    /// When the last claim or renewal was read.
    std::optional<Instant> last_read;
    /// The term of this node, even if it has ended.
    std::optional<Term> own;
    bool announced = false;
    bool release_sent = false;
    std::uint64_t next_attempt = 1;
    /// When each attempt that may still be read back was made.
    std::map<std::uint64_t, Instant> sent;
    std::optional<std::uint64_t> open_attempt;
  };

  LeaseDecisions Handle(const Claimed& event, Instant now);
  LeaseDecisions Handle(const Renewed& event, Instant now);
  LeaseDecisions Handle(const Released& event, Instant now);
  LeaseDecisions Handle(const Void& event, Instant now);
  LeaseDecisions Handle(const NotLease& event, Instant now);

  void Extend(Role* role, std::uint64_t epoch, std::uint64_t attempt,
              Instant now);
  LeaseDecision Claim(const RoleId& name, Role* role, Instant now);
  LeaseDecision Renew(const RoleId& name, Role* role, Instant now);
  LeaseDecision Release(const RoleId& name, Role* role);
  LeaseDecisions TickRole(const RoleId& name, Role* role, Instant now);
  bool MayClaim(const RoleId& name, const Role& role, Instant now) const;
  bool IsHolder(const v1::LeaseState& state) const;
  static void Drop(Role* role, const RoleId& name, const std::string& reason,
                   LeaseDecisions* decisions);

  NodeId node_;
  std::uint64_t incarnation_;
  LeaseTiming timing_;
  AgentRules rules_;
  LeaseTable table_;
  std::map<RoleId, Role> roles_;
};

}  // namespace mulberryroad::lease

#endif  // MULBERRYROAD_SRC_LEASE_LEASE_AGENT_H_
