// Holds the ledger partitions whose leases this node has, and answers calls on
// them.

#ifndef MULBERRYROAD_SRC_LEDGER_LEDGER_HOST_H_
#define MULBERRYROAD_SRC_LEDGER_LEDGER_HOST_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "base/event_loop.h"
#include "lease/leases.h"
#include "log/compactor.h"
#include "log/journal.h"
#include "membership/members.h"
#include "mulberryroad/clock.h"
#include "mulberryroad/ledger.pb.h"
#include "peer/transport.h"

namespace mulberryroad::ledger {

using OnLedgerReply = std::function<void(v1::LedgerReply)>;

/// Returns the role, the stream and the placement key of a partition.
std::string PartitionName(std::uint32_t partition);

class LedgerHost {
 public:
  LedgerHost(base::EventLoop& loop, const Clock& clock,
             peer::Transport& transport, membership::Members& members,
             lease::Leases& leases, log::Journal& journal,
             std::uint32_t partitions);
  ~LedgerHost();
  LedgerHost(const LedgerHost&) = delete;
  LedgerHost& operator=(const LedgerHost&) = delete;

  /// Serves a call on a partition. Calls back exactly once.
  void Serve(const v1::LedgerCall& call, OnLedgerReply on_reply);

  /// Returns the streams of the partitions that this node serves.
  std::vector<log::LedStream> led_streams() const;

  /// True if this node holds the partition and has read it.
  bool serves(std::uint32_t partition) const;

 private:
  class Partition;

  void Rebalance();
  Partition* Find(const RoleId& role) const;

  const Clock& clock_;
  membership::Members& members_;
  lease::Leases& leases_;
  std::vector<std::shared_ptr<Partition>> partitions_;
  base::Timer upkeep_timer_;
  std::vector<sigc::connection> connections_;
};

}  // namespace mulberryroad::ledger

#endif  // MULBERRYROAD_SRC_LEDGER_LEDGER_HOST_H_
