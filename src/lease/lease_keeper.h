// The shell around LeaseAgent: reads and appends the stream "lease".

#ifndef MULBERRYROAD_SRC_LEASE_LEASE_KEEPER_H_
#define MULBERRYROAD_SRC_LEASE_LEASE_KEEPER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "base/decision_log.h"
#include "base/event_loop.h"
#include "lease/lease_agent.h"
#include "lease/leases.h"
#include "log/journal.h"
#include "log/state_digests.h"

namespace mulberryroad::lease {

/// Name of the stream of leases.
inline constexpr char kLeaseStream[] = "lease";

class LeaseKeeper final : public Leases {
 public:
  LeaseKeeper(base::EventLoop& loop, const Clock& clock, log::Journal& journal,
              base::DecisionLog& decisions, const NodeId& node,
              std::uint64_t incarnation, LeaseTiming timing);

  void Want(const RoleId& role, bool wanted) override;
  std::optional<Term> term(const RoleId& role) const override;
  std::vector<v1::LeaseState> states() const override;
  sigc::signal<void(const RoleId&, std::uint64_t)>& gained() override {
    return gained_;
  }
  sigc::signal<void(const RoleId&)>& lost() override { return lost_; }

  const LeaseTable& table() const { return agent_.table(); }
  /// Writes the leases into a snapshot, with their digest.
  void Save(v1::Snapshot* snapshot) const;
  /// Snapshots that differ from the state that this node had at their covered
  /// offset.
  std::uint64_t mismatches() const { return digests_.mismatches(); }

 private:
  void Run(const LeaseDecisions& decisions);
  void Run(const AppendLease& append);
  void Run(const Gained& gained);
  void Run(const Lost& lost);
  void OnRecord(platform::Offset offset, const v1::Record& record);

  const Clock& clock_;
  log::Journal& journal_;
  base::DecisionLog& decisions_;
  NodeId node_;
  LeaseTiming timing_;
  LeaseAgent agent_;
  log::StateDigests digests_{kLeaseStream};
  sigc::signal<void(const RoleId&, std::uint64_t)> gained_;
  sigc::signal<void(const RoleId&)> lost_;
  // Ends with this object, so that callbacks of the journal find it gone.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  base::Timer tick_;
};

}  // namespace mulberryroad::lease

#endif  // MULBERRYROAD_SRC_LEASE_LEASE_KEEPER_H_
