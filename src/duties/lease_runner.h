// Claims and renews the duty lease in the store.

#ifndef MULBERRYROAD_SRC_DUTIES_LEASE_RUNNER_H_
#define MULBERRYROAD_SRC_DUTIES_LEASE_RUNNER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/event_loop.h"
#include "base/structured_log.h"
#include "duties/duty_lease.h"
#include "mulberryroad/clock.h"
#include "platform/partition_store.h"
#include "store/keyed_tail.h"

namespace mulberryroad::duties {

/// Topic of the lease (partition 0) and of the closed usage windows (partition
/// 1).
inline constexpr char kDutyTopic[] = "keyed.duties";
inline constexpr int kLeasePartition = 0;
inline constexpr int kClosedWindowsPartition = 1;

/// Runs DutyLease on a partition of the store. Used on the event loop's thread.
class LeaseRunner {
 public:
  /// @param calls_in_flight returns the number of fenced calls without an
  ///     outcome
  /// @param able returns whether this node can carry out the duties; otherwise
  ///     it yields the lease and does not claim it
  LeaseRunner(base::EventLoop& loop, const Clock& clock,
              base::StructuredLog& log, platform::PartitionStore& store,
              DutyLease lease, std::function<int()> calls_in_flight,
              std::function<bool()> able);
  ~LeaseRunner();
  LeaseRunner(const LeaseRunner&) = delete;
  LeaseRunner& operator=(const LeaseRunner&) = delete;

  /// Starts reading the partition and claiming the lease. Called once.
  void Start();
  /// Stops claiming the lease, and releases it, if held, once no fenced call is
  /// in flight: the next holder acts at once, and an earlier call must not
  /// reach its service after one of the next holder.
  void Release();
  /// Returns the epoch while this process holds the lease, else nullopt.
  std::optional<std::uint64_t> epoch() const;

  static constexpr std::chrono::milliseconds kTickInterval{100};
  /// Interval at which a pending release checks for calls in flight.
  static constexpr std::chrono::milliseconds kReleaseCheckInterval{10};
  /// Timeout of an append.
  static constexpr std::chrono::milliseconds kAppendTimeout{500};

 private:
  /// Applies a record of the partition.
  void OnRecord(const platform::KeyedRecord& record);
  /// Logs a change of the lease and writes the record that is due.
  void Tick();
  /// Appends the release once no fenced call is in flight.
  void TryRelease();
  /// Appends a record, on the condition that nothing was appended meanwhile.
  void AppendRecord(const v1::DutyRecord& record);

  base::EventLoop& loop_;
  const Clock& clock_;
  base::StructuredLog& log_;
  platform::PartitionStore& store_;
  DutyLease lease_;
  std::function<int()> calls_in_flight_;
  std::function<bool()> able_;
  /// Release of the lease that waits for calls in flight.
  std::optional<v1::DutyRecord> pending_release_;
  base::Timer release_timer_;
  std::shared_ptr<store::KeyedTail> tail_;
  base::Timer timer_;
  /// Epoch that was logged last.
  std::optional<std::uint64_t> logged_epoch_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mulberryroad::duties

#endif  // MULBERRYROAD_SRC_DUTIES_LEASE_RUNNER_H_
