// Follows one keyed partition of the store: reads a snapshot of the newest
// record of each key, then each later record.

#ifndef MULBERRYROAD_SRC_STORE_KEYED_TAIL_H_
#define MULBERRYROAD_SRC_STORE_KEYED_TAIL_H_

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "base/structured_log.h"
#include "mulberryroad/clock.h"
#include "platform/partition_store.h"

namespace mulberryroad::store {

/// Intervals and timeouts of the reads of a tail.
struct TailTiming {
  /// How long the store holds a read while there is no new record. It is short
  /// enough to detect an unresponsive connection within two seconds.
  std::chrono::milliseconds poll_wait{1'000};
  /// Time allowed for an answer in addition to `poll_wait`: twenty times the
  /// usual response time, so that reads from a slow store succeed.
  std::chrono::milliseconds response_margin{800};
  /// Delay after a read that returned records, so that the next one returns
  /// several at once.
  std::chrono::milliseconds min_read_interval{0};
  /// Delay before a failed read is retried.
  std::chrono::milliseconds retry{100};
  /// Timeout of reads after a failure. They do not wait for records, so that
  /// the recovery of the store is detected soon. A store that is sixty times
  /// slower than usual answers in 240 ms.
  std::chrono::milliseconds probe_timeout{400};
};

/// Callbacks of a tail, called on the thread of the event loop.
struct TailHandler {
  /// Receives the newest record of each key: at the start, and again if the
  /// store has dropped records that were not read yet. Replaces all earlier
  /// state.
  std::function<void(std::vector<platform::KeyedRecord>)> on_snapshot;
  /// Called for each record of a snapshot as it is read, perhaps again if a
  /// read fails. May take the value away, so that the values of a large
  /// snapshot are not in memory together. May be null.
  std::function<void(platform::KeyedRecord*)> on_snapshot_read;
  /// Receives each record after the snapshot, in order. A record without a
  /// value deletes its key.
  std::function<void(const platform::KeyedRecord&)> on_record;
  /// Called after the last record of each page that follows the snapshot, also
  /// if the page is empty. May be null.
  std::function<void()> on_page_end;
  /// Called for each successful read with the time at which it was sent. May be
  /// null.
  std::function<void(Instant)> on_read_succeeded;
};

/// Reads until it is stopped. Pending reads and timers keep it alive, so that
/// `Stop` is required. Must be owned by a `std::shared_ptr` and used on the
/// thread of the event loop.
class KeyedTail : public std::enable_shared_from_this<KeyedTail> {
 public:
  KeyedTail(base::EventLoop& loop, const Clock& clock, base::StructuredLog& log,
            platform::PartitionStore& store, platform::PartitionId partition,
            TailTiming timing, TailHandler handler);

  /// Begins to read the snapshot. Call once.
  void Start();
  /// Stops reading; no callback of the handler follows.
  void Stop();

  /// True once the first snapshot was read.
  bool caught_up() const { return caught_up_; }
  /// Time at which the last successful read was sent; nullopt before the first.
  std::optional<Instant> last_success_sent_at() const {
    return last_success_sent_at_;
  }
  /// Time of the last failed read; nullopt if none failed.
  std::optional<Instant> last_failure() const { return last_failure_; }
  /// True from a failed read until the next successful one.
  bool failing() const { return failing_since_.has_value(); }
  /// Time of the first failed read since the last successful one; nullopt if
  /// none failed.
  std::optional<Instant> failing_since() const { return failing_since_; }
  /// Offset after the last record read.
  platform::Offset position() const { return position_; }

 private:
  /// Reads the page of the snapshot after a key; an empty key restarts the
  /// snapshot.
  void ReadSnapshotPage(const std::string& after);
  void OnSnapshotPage(Instant sent, platform::NewestOutcome outcome);
  std::chrono::milliseconds ReadTimeout(std::chrono::milliseconds wait) const;
  /// Reads the records after the current position.
  void ReadNext();
  void OnRead(Instant sent, const platform::ReadOutcome& outcome);
  void OnReadSucceeded(Instant sent);
  void OnReadFailed(const std::string& reason, std::function<void()> retry);
  /// Runs a step after a delay; at once if it is zero.
  void RunAfter(std::chrono::milliseconds delay, std::function<void()> step);

  base::EventLoop& loop_;
  const Clock& clock_;
  base::StructuredLog& log_;
  platform::PartitionStore& store_;
  platform::PartitionId partition_;
  TailTiming timing_;
  TailHandler handler_;
  bool stopped_ = false;
  bool caught_up_ = false;
  /// Offset from which records are read after the snapshot; nullopt before its
  /// first page.
  std::optional<platform::Offset> snapshot_end_;
  /// Records of the snapshot that is being read.
  std::vector<platform::KeyedRecord> snapshot_;
  platform::Offset position_ = 0;
  std::optional<Instant> last_success_sent_at_;
  std::optional<Instant> last_failure_;
  std::optional<Instant> failing_since_;
  base::Timer timer_;
};

}  // namespace mulberryroad::store

#endif  // MULBERRYROAD_SRC_STORE_KEYED_TAIL_H_
