// Appends to a partition under an epoch: once a writer with a higher epoch has
// begun, nothing of this one is taken any more.

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

/// One append is under way at a time; what comes meanwhile goes with the next.
/// An append without an answer is repeated under its sequence number, so that
/// it is taken once.
class FencedWriter : public std::enable_shared_from_this<FencedWriter> {
 public:
  /// @param writer name under which epochs are compared
  /// @param on_ready called once no writer with a lower epoch can append
  /// @param on_fenced called once when a higher epoch took over
  FencedWriter(base::EventLoop& loop, base::StructuredLog& log,
               platform::PartitionStore& store, platform::PartitionId partition,
               std::string writer, std::uint64_t epoch,
               std::function<void()> on_ready, std::function<void()> on_fenced);

  void Start();
  void Stop();
  /// Queues records, appended in this order.
  /// @param on_appended called once they are in the store; never after Stop
  void Append(std::vector<platform::KeyedRecord> records,
              std::function<void()> on_appended);

  /// True once no writer with a lower epoch can append.
  bool ready() const { return ready_; }

  /// An answer usually takes 4 ms; a store that is sixty times slower is
  /// waited for. A longer wait would go on after a silent store's return.
  static constexpr std::chrono::milliseconds kTimeout{450};
  static constexpr std::chrono::milliseconds kRetry{50};
  /// Bytes and records of one append, under the store's limit of 2 MB a call.
  static constexpr std::size_t kMaxBytes = 1'000'000;

 private:
  struct Entry {
    std::vector<platform::KeyedRecord> records;
    std::function<void()> on_appended;
  };

  void SendNext();
  void Send();
  void OnOutcome(const platform::AppendOutcome& outcome);
  void Taken();

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
  bool busy_ = false;
  bool stopped_ = false;
  std::deque<Entry> queued_;
  std::vector<Entry> in_flight_;
  base::Timer retry_;
};

}  // namespace mulberryroad::store

#endif  // MULBERRYROAD_SRC_STORE_FENCED_WRITER_H_
