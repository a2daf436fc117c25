// Submits, reads and ends batches in the store. Any node can, whoever runs
// them.

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

/// The store holds it.
struct Stored {};
/// The store does not hold it and never will.
struct NotStored {
  std::string reason;
};
/// The store may hold it.
struct MaybeStored {
  std::string reason;
};
using StoreResult = std::variant<Stored, NotStored, MaybeStored>;

/// Part of a batch's results.
struct ResultPage {
  /// Items of the batch.
  std::uint32_t total = 0;
  std::vector<v1::ResultRecord> results;
};
struct NoSuchBatch {};
/// Whether the batch exists cannot be said at the moment.
struct Unsure {
  std::string reason;
};
using ReadResult = std::variant<ResultPage, NoSuchBatch, Unsure>;

/// Body of an item, or why there is none.
struct ItemBody {
  std::string bytes;
};
using BodyResult = std::variant<ItemBody, NoSuchBatch, Unsure>;

/// Names a batch; its organisation tells where it lies.
struct BatchName {
  OrganisationId organisation;
  std::string id;
};

/// How long a call that changes a batch is repeated while the store does not
/// take it.
struct Patience {
  std::chrono::milliseconds most;
  /// Ends it sooner once the caller is better off at another node; may be null.
  std::function<bool()> better_elsewhere;
};

class BatchClient : public std::enable_shared_from_this<BatchClient> {
 public:
  BatchClient(base::EventLoop& loop, const Clock& clock,
              platform::PartitionStore& store, int partitions);

  /// Stores a batch.
  void Submit(const BatchName& batch,
              std::vector<platform::KeyedRecord> records, Patience patience,
              std::function<void(StoreResult)> on_result);
  /// Stores the end of a batch.
  void End(const BatchName& batch, Patience patience,
           std::function<void(StoreResult)> on_result);
  /// Finds what was accepted as a batch.
  void Find(
      const BatchName& batch,
      std::function<void(std::variant<v1::BatchRecord, NoSuchBatch, Unsure>)>
          on_result);
  /// Reads results from a position on.
  /// @param wait how long to wait for the first of them
  void Read(const BatchName& batch, std::uint32_t position,
            std::chrono::milliseconds wait,
            std::function<void(ReadResult)> on_result);
  /// Reads the body of an item.
  void ReadBody(const BatchName& batch, const std::string& item,
                std::function<void(BodyResult)> on_result);

  /// A page of results stays under the platform's 1 MB.
  static constexpr std::size_t kMaxPageBytes = 900'000;
  /// A page of 1 MB takes 130 ms on the slowest link, and a store that is sixty
  /// times slower than usual 240 ms.
  static constexpr std::chrono::milliseconds kReadTimeout{500};
  /// A waiting reader looks again this often: the trainer's next step waits for
  /// the last result of this one.
  static constexpr std::chrono::milliseconds kPollInterval{100};
  /// As that of results: see store::FencedWriter.
  static constexpr std::chrono::milliseconds kAppendTimeout{450};
  static constexpr std::chrono::milliseconds kRetry{50};
  /// What was accepted of this many batches is remembered.
  static constexpr std::size_t kMaxKnown = 512;

 private:
  void Append(const platform::PartitionId& partition,
              std::vector<platform::KeyedRecord> records, Patience patience,
              Instant give_up, bool maybe_stored,
              std::function<void(StoreResult)> on_result);
  void ReadPage(const BatchName& batch, std::uint32_t position, Instant until,
                std::function<void(ReadResult)> on_result);
  void ReadChunks(const BatchName& batch, const std::string& item,
                  const std::string& after,
                  std::function<void(BodyResult)> on_result);
  platform::PartitionId Locate(const BatchName& batch) const;
  platform::PartitionId LocateResults(const BatchName& batch) const;
  void After(std::chrono::milliseconds delay, std::function<void()> step);
  void Remember(const std::string& id, v1::BatchRecord record);

  base::EventLoop& loop_;
  const Clock& clock_;
  platform::PartitionStore& store_;
  int partitions_;
  std::map<std::string, v1::BatchRecord> known_;
};

}  // namespace mulberryroad::batches

#endif  // MULBERRYROAD_SRC_BATCHES_BATCH_CLIENT_H_
