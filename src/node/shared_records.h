// Records that the nodes share through one keyed topic of the store.

#ifndef MULBERRYROAD_SRC_NODE_SHARED_RECORDS_H_
#define MULBERRYROAD_SRC_NODE_SHARED_RECORDS_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/event_loop.h"
#include "base/structured_log.h"
#include "mulberryroad/clock.h"
#include "platform/partition_store.h"
#include "store/keyed_tail.h"

namespace mulberryroad::node {

/// Writes records and reads those of all nodes, also the ones written before
/// this node started. Runs on the event loop thread.
class SharedRecords {
 public:
  /// Receives the newest value of a key; nullopt if the key was deleted.
  /// @param key without the prefix of its kind
  using OnRecord = std::function<void(const std::string& key,
                                      const std::optional<std::string>& value)>;

  /// Receives the values of a kind by key; nullopt if the store did not answer.
  using KindReader =
      std::function<void(std::optional<std::map<std::string, std::string>>)>;

  SharedRecords(base::EventLoop& loop, const Clock& clock,
                base::StructuredLog& log, platform::PartitionStore& store);
  ~SharedRecords();
  SharedRecords(const SharedRecords&) = delete;
  SharedRecords& operator=(const SharedRecords&) = delete;

  /// Handles the records of a kind. Call before Start.
  /// @param kind begins the keys, before a slash; contains no slash
  void Subscribe(const std::string& kind, OnRecord on_record);
  /// Starts to read.
  void Start();
  /// Reads the records of a kind from the store, with all that were written
  /// before the call.
  /// @param timeout for each page
  /// @param on_read called once
  void ReadNow(const std::string& kind, std::chrono::milliseconds timeout,
               KindReader on_read);
  /// Writes a record, and repeats that until the store has it.
  /// @param value nullopt deletes the key
  void Put(const std::string& kind, const std::string& key,
           std::optional<std::string> value);

  /// How long the store holds a read while there is no record.
  static constexpr std::chrono::milliseconds kPollWait{2'000};
  static constexpr std::chrono::milliseconds kAppendTimeout{800};
  /// Delay before a failed append is retried.
  static constexpr std::chrono::milliseconds kRetryDelay{200};
  /// Maximum number of records that wait for an append; the oldest ones are
  /// discarded.
  static constexpr std::size_t kMaxQueued = 1'024;
  /// Maximum number of records of one append.
  static constexpr std::size_t kMaxBatch = 64;

 private:
  store::TailHandler MakeHandler();
  void ReadPage(const std::string& prefix, const std::string& after,
                std::chrono::milliseconds timeout,
                std::map<std::string, std::string> values, KindReader on_read);
  void Apply(const platform::KeyedRecord& record);
  /// Appends the queued records, unless an append is in flight.
  void Flush();

  base::EventLoop& loop_;
  base::StructuredLog& log_;
  platform::PartitionStore& store_;
  std::map<std::string, OnRecord> handlers_;
  std::shared_ptr<store::KeyedTail> tail_;
  std::deque<platform::KeyedRecord> queue_;
  bool appending_ = false;
  base::Timer retry_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mulberryroad::node

#endif  // MULBERRYROAD_SRC_NODE_SHARED_RECORDS_H_
