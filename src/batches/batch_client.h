// Submits, reads and ends batches in the store. Works on every node, not only
// on the one that runs the batch.

#ifndef MULBERRYROAD_SRC_BATCHES_BATCH_CLIENT_H_
#define MULBERRYROAD_SRC_BATCHES_BATCH_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/event_loop.h"
#include "batches/batch_table.h"
#include "mulberryroad/clock.h"
#include "mulberryroad/ids.h"
#include "platform/partition_store.h"

namespace mulberryroad::batches {

/// The records are in the store.
struct Stored {};
/// The records are not in the store, and no pending call can still add them.
struct NotStored {
  std::string reason;
  /// The store refuses records of their size.
  bool too_large = false;
};
/// The outcome of an append is unknown: the records may be in the store.
struct MaybeStored {
  std::string reason;
};
using StoreResult = std::variant<Stored, NotStored, MaybeStored>;

/// One page of a batch's results, in the order of their positions.
struct ResultPage {
  /// Number of items in the batch. `BatchClient` leaves it at 0.
  std::uint32_t total = 0;
  std::vector<v1::ResultRecord> results;
};
/// The batch or item does not exist.
struct NoSuchBatch {};
/// The store did not answer or returned a malformed record; the batch may
/// exist.
struct ReadFailed {
  std::string reason;
};
using ReadResult = std::variant<ResultPage, NoSuchBatch, ReadFailed>;

/// Request body of an item.
struct ItemBody {
  std::string bytes;
};
using BodyResult = std::variant<ItemBody, NoSuchBatch, ReadFailed>;

/// Identifies a batch. The organisation determines its partition.
struct BatchRef {
  OrganisationId organisation;
  std::string id;
};

/// Limits on retrying an append that the store does not accept.
struct RetryLimits {
  /// Time after which the append is not retried any more.
  std::chrono::milliseconds max_duration;
  /// Checked after each failed attempt; stops the retries when it returns true,
  /// so that the caller can use another node. May be null.
  std::function<bool()> stop_retrying;
};

/// Asynchronous client for the batches in the store. Must be owned by a
/// `std::shared_ptr`, used on the thread of the event loop, and calls its
/// callbacks there. `Find` may call back before it returns; no other method
/// does.
class BatchClient : public std::enable_shared_from_this<BatchClient> {
 public:
  BatchClient(base::EventLoop& loop, const Clock& clock,
              platform::PartitionStore& store, int partitions);

  /// Stores the records of a batch, made by `MakeRecords`.
  void Submit(const BatchRef& batch, std::vector<platform::KeyedRecord> records,
              RetryLimits limits, std::function<void(StoreResult)> on_result);
  /// Marks a batch as ended in the store.
  void End(const BatchRef& batch, RetryLimits limits,
           std::function<void(StoreResult)> on_result);
  /// Looks up the record under which a batch was accepted, in the cache first.
  void Find(const BatchRef& batch,
            std::function<
                void(std::variant<v1::BatchRecord, NoSuchBatch, ReadFailed>)>
                on_result);
  /// Reads one page of results, beginning at a position. The page is empty if
  /// no result was stored in time.
  /// @param position position of the first result to return
  /// @param wait how long to wait for the first result
  void Read(const BatchRef& batch, std::uint32_t position,
            std::chrono::milliseconds wait,
            std::function<void(ReadResult)> on_result);
  /// Reads the request body of an item.
  void ReadBody(const BatchRef& batch, const std::string& item,
                std::function<void(BodyResult)> on_result);

  /// Maximum size of a page of results in bytes, exceeded only by a single
  /// larger result. Below the platform's limit of 1 MB.
  static constexpr std::size_t kMaxPageBytes = 900'000;
  /// Timeout of a read. Allows for a page of 1 MB, which takes 130 ms on the
  /// slowest link, and for a store that is sixty times slower than usual and
  /// answers in 240 ms.
  static constexpr std::chrono::milliseconds kReadTimeout{500};
  /// Interval between reads while `Read` waits for a result. It is short
  /// because the trainer's next step starts only after the last result of this
  /// one.
  static constexpr std::chrono::milliseconds kPollInterval{100};
  /// Timeout of one attempt to append. Equal to
  /// `store::FencedWriter::kAppendTimeout`, for the reason given there.
  static constexpr std::chrono::milliseconds kAppendTimeout{450};
  /// Delay before an append is retried.
  static constexpr std::chrono::milliseconds kRetryInterval{50};
  /// Maximum number of batch records in the cache.
  static constexpr std::size_t kMaxCachedRecords = 512;

 private:
  using SharedRecords =
      std::shared_ptr<const std::vector<platform::KeyedRecord>>;

  /// @param records shared by all attempts, as a batch may be large
  void Append(const platform::PartitionId& partition, SharedRecords records,
              RetryLimits limits, Instant give_up, bool maybe_stored,
              std::function<void(StoreResult)> on_result);
  void ReadPage(const BatchRef& batch, std::uint32_t position, Instant until,
                std::function<void(ReadResult)> on_result);
  void ReadChunks(const BatchRef& batch, const std::string& item,
                  const std::string& after,
                  std::function<void(BodyResult)> on_result);
  platform::PartitionId BatchPartition(const BatchRef& batch) const;
  platform::PartitionId ResultPartition(const BatchRef& batch) const;
  void RunAfter(std::chrono::milliseconds delay, std::function<void()> step);
  void CacheRecord(const std::string& id, v1::BatchRecord record);

  base::EventLoop& loop_;
  const Clock& clock_;
  platform::PartitionStore& store_;
  int partitions_;
  /// Cache of accepted batch records by batch id.
  std::map<std::string, v1::BatchRecord> record_cache_;
};

}  // namespace mulberryroad::batches

#endif  // MULBERRYROAD_SRC_BATCHES_BATCH_CLIENT_H_
