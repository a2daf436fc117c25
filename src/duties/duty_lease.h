// State machine of the lease on the duties that one node performs at a time.
// Pure: no I/O and no clock.
//
// Every claim and renewal is appended on the condition that its writer has read
// the whole partition, so that only one of two concurrent claims succeeds. The
// holder's term starts when it sends a claim or renewal. Other nodes start it
// when they read the record, which is later, so that they never see the term
// end before the holder does.

#ifndef MULBERRYROAD_SRC_DUTIES_DUTY_LEASE_H_
#define MULBERRYROAD_SRC_DUTIES_DUTY_LEASE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>

#include "mulberryroad/clock.h"
#include "mulberryroad/store.pb.h"

namespace mulberryroad::duties {

/// Durations of the lease. All nodes must use the same term and margin.
struct LeaseTiming {
  /// Length of a term without renewal: several renewals fit even if the store
  /// is fifty times slower than usual.
  std::chrono::milliseconds term{1'500};
  /// Safety margin, longer than the delay of timers: the holder stops this long
  /// before its term ends, and other nodes claim the lease only this long after
  /// its end.
  std::chrono::milliseconds margin{200};
  /// Minimum time between two writes of a node.
  std::chrono::milliseconds renewal{300};
  /// Time after losing the lease or starting for which a VM that held the lease
  /// before the current holder does not claim it, so that the lease does not
  /// alternate between VMs.
  std::chrono::milliseconds reclaim_delay{3'500};
  /// Additional delay of a claim by a VM with little processor time, in which
  /// other VMs can claim the lease first.
  std::chrono::milliseconds claim_delay{0};
};

/// No record is due.
struct NoWrite {};
/// Append this record, on the condition that nothing was appended after the
/// last record read.
struct WriteLease {
  v1::DutyRecord record;
};
using LeaseStep = std::variant<NoWrite, WriteLease>;

/// One process's view of the lease.
class DutyLease {
 public:
  /// @param node name of this VM
  /// @param process unique name of this process, different from those of
  ///     earlier processes of the VM
  /// @param started start time of this process
  DutyLease(std::string node, std::string process, LeaseTiming timing,
            Instant started);

  /// Applies a record of the lease. Called in the order of the partition.
  void OnRecord(const v1::DutyRecord& record, Instant now);
  /// Returns the record that is due, if any. The caller must send it at `now`:
  /// the term is counted from then.
  LeaseStep Tick(Instant now);
  /// Ends the term and returns the record that releases the lease, or nullopt
  /// if this process does not hold it. After a release it does not claim the
  /// lease again.
  std::optional<v1::DutyRecord> Release(Instant now);

  /// Like Release, but this process may claim the lease again after
  /// LeaseTiming::reclaim_delay.
  std::optional<v1::DutyRecord> Yield(Instant now);

  /// Maximum number of earlier holders' VMs listed in a record.
  static constexpr int kMaxEarlierNodes = 4;

  /// Returns the epoch while this process holds the lease, else nullopt.
  std::optional<std::uint64_t> epoch(Instant now) const;
  /// Returns the latest record read.
  const v1::DutyRecord& state() const { return state_; }

 private:
  /// Returns whether the latest record names this process as holder and does
  /// not release the lease.
  bool is_holder() const {
    return state_.holder() == process_ && !state_.released();
  }
  /// Returns whether this VM held the lease before its current holder.
  bool held_before_current_holder() const;
  /// Returns whether an earlier process of this VM is named as holder.
  bool held_by_earlier_process() const;

  std::string node_;
  std::string process_;
  LeaseTiming timing_;
  v1::DutyRecord state_;
  /// When the latest record was read.
  std::optional<Instant> read_at_;
  Instant started_;
  /// Earliest time of the next claim.
  Instant earliest_claim_;
  /// Send times by attempt number, of the writes whose records have not been
  /// read. Any of several pending writes may have been appended, so each has
  /// its own time.
  std::map<std::uint64_t, Instant> send_times_;
  std::uint64_t attempts_ = 0;
  std::optional<Instant> last_write_;
  /// End of this process's term according to its own records read so far.
  Instant term_end_{};
};

}  // namespace mulberryroad::duties

#endif  // MULBERRYROAD_SRC_DUTIES_DUTY_LEASE_H_
