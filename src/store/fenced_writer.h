// Appends to a partition under an epoch. Once a writer with a higher epoch has
// started, the store refuses all appends of this one.

#ifndef MULBERRYROAD_SRC_STORE_FENCED_WRITER_H_
#define MULBERRYROAD_SRC_STORE_FENCED_WRITER_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "base/structured_log.h"
#include "platform/partition_store.h"

namespace mulberryroad::store {

/// Has one append in flight at a time; records that are queued meanwhile are
/// sent together in the next one. An append without an answer is retried under
/// the same sequence number, so that the store applies it once. Records that
/// the store refuses for their size are dropped, as all later ones would wait
/// for them. Must be owned by a `std::shared_ptr` and used on the thread of the
/// event loop.
class FencedWriter : public std::enable_shared_from_this<FencedWriter> {
 public:
  /// @param writer name under which the store compares epochs
  /// @param on_ready called once, when no writer with a lower epoch can append
  ///     any more
  /// @param on_fenced called at most once, when the store has refused an append
  ///     because of a higher epoch or an unexpected sequence number; the writer
  ///     is then stopped
  FencedWriter(base::EventLoop& loop, base::StructuredLog& log,
               platform::PartitionStore& store, platform::PartitionId partition,
               std::string writer, std::uint64_t epoch,
               std::function<void()> on_ready, std::function<void()> on_fenced);

  /// Sends an append without records, which fences lower epochs. Call once.
  void Start();
  /// Drops all queued records and stops retrying; an append in flight may still
  /// be stored.
  void Stop();
  /// Queues records; appends are stored in the order of these calls. Does
  /// nothing once the writer is stopped.
  /// @param on_appended called once the records are in the store, but not after
  ///     `Stop`, nor if they are too large for the store; may be null
  void Append(std::vector<platform::KeyedRecord> records,
              std::function<void()> on_appended);

  /// True once no writer with a lower epoch can append any more.
  bool ready() const { return ready_; }

  /// Timeout of an append. An answer usually takes 4 ms; the timeout allows for
  /// a store that is sixty times slower. A longer timeout would delay the retry
  /// after an unresponsive store has recovered.
  static constexpr std::chrono::milliseconds kAppendTimeout{450};
  /// Delay before an append is retried.
  static constexpr std::chrono::milliseconds kRetryDelay{50};
  /// No more queued records are added to an append that has reached this size.
  /// The store's limit of 2 MB per call leaves room for the last ones added.
  static constexpr std::size_t kMaxAppendBytes = 1'000'000;

 private:
  /// The records of one call of `Append`.
  struct QueuedAppend {
    std::vector<platform::KeyedRecord> records;
    std::function<void()> on_appended;
  };

  /// Sends the queued records if no append is in flight.
  void SendNext();
  /// Sends the records in flight under the current sequence number.
  void Send();
  void OnOutcome(const platform::AppendOutcome& outcome);
  void OnAppended();
  /// Drops the records in flight if they come from one call of `Append`, else
  /// sends those of each call on their own.
  void OnTooLarge();

  base::EventLoop& loop_;
  base::StructuredLog& log_;
  platform::PartitionStore& store_;
  platform::PartitionId partition_;
  std::string writer_;
  std::uint64_t epoch_;
  std::function<void()> on_ready_;
  std::function<void()> on_fenced_;
  std::uint64_t sequence_ = 0;
  bool ready_ = false;
  /// An append is in flight or waits for its retry.
  bool append_in_flight_ = false;
  bool stopped_ = false;
  /// Number of queued appends that are sent without others: one of them is too
  /// large.
  std::size_t sent_alone_ = 0;
  std::deque<QueuedAppend> queued_;
  std::vector<QueuedAppend> in_flight_;
  base::Timer retry_timer_;
};

}  // namespace mulberryroad::store

#endif  // MULBERRYROAD_SRC_STORE_FENCED_WRITER_H_
