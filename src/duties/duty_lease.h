// The lease on the duties that one node may do at a time. Pure.
//
// Every claim and renewal is appended on the condition that its author has read
// the whole partition, so that of two claims only one is taken. The holder
// counts its term from before it sent the renewal; a challenger counts from
// when it read it.

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

struct LeaseTiming {
  /// Length of a term without renewal: a store that is fifty times slower than
  /// usual still takes several renewals in it.
  std::chrono::milliseconds term{1'500};
  /// The holder stops this long before its term ends, and challengers wait as
  /// long beyond it: more than timers are late.
  std::chrono::milliseconds margin{200};
  std::chrono::milliseconds renewal{300};
  /// A VM that held the lease before its present holder claims it again only
  /// after this time, so that duties do not go back and forth.
  std::chrono::milliseconds quiet{3'500};
  /// A VM with little processor time waits this much longer for others to
  /// claim the lease.
  std::chrono::milliseconds deference{0};
};

/// Nothing is due.
struct Rest {};
/// Append this record where the partition was read to.
struct WriteLease {
  v1::DutyRecord record;
};
using LeaseStep = std::variant<Rest, WriteLease>;

class DutyLease {
 public:
  /// @param node name of this VM
  /// @param process name of this process; never that of an earlier one
  DutyLease(std::string node, std::string process, LeaseTiming timing,
            Instant started);

  /// Takes in a record of the lease in the order of the partition.
  void OnRecord(const v1::DutyRecord& record, Instant now);
  /// Decides what is due. A record that it returns was sent at `now`.
  LeaseStep Tick(Instant now);
  /// Makes the record that gives the lease up, if it is held.
  std::optional<v1::DutyRecord> Release(Instant now);

  /// VMs that a record remembers.
  static constexpr int kRemembered = 4;

  /// Returns the epoch while this process may act, else nullopt.
  std::optional<std::uint64_t> epoch(Instant now) const;
  const v1::DutyRecord& state() const { return state_; }

 private:
  bool mine() const {
    return state_.holder() == process_ && !state_.released();
  }
  bool held_before_present_holder() const;
  bool held_by_predecessor() const;

  std::string node_;
  std::string process_;
  LeaseTiming timing_;
  v1::DutyRecord state_;
  std::optional<Instant> read_at_;
  Instant started_;
  Instant claim_from_;
  /// Sending times of records that may still be read, by their numbers. Each
  /// attempt has its own, as any of several may be the one that was taken.
  std::map<std::uint64_t, Instant> sent_;
  std::uint64_t attempts_ = 0;
  std::optional<Instant> last_write_;
  /// End of the term, as far as it is known.
  Instant term_end_{};
};

}  // namespace mulberryroad::duties

#endif  // MULBERRYROAD_SRC_DUTIES_DUTY_LEASE_H_
