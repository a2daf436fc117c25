// Shares the origins of streams through the store, so that any node can resume
// a stream at the software version that began it, also after all nodes were
// restarted.

#ifndef MULBERRYROAD_SRC_NODE_STREAM_ORIGIN_EXCHANGE_H_
#define MULBERRYROAD_SRC_NODE_STREAM_ORIGIN_EXCHANGE_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/event_loop.h"
#include "base/metrics.h"
#include "base/structured_log.h"
#include "mulberryroad/clock.h"
#include "node/shared_records.h"
#include "platform/partition_store.h"
#include "serving/origin_table.h"
#include "serving/stream_origins.h"
#include "serving/upstreams.h"

namespace mulberryroad::node {

/// Runs on the event loop thread.
class StreamOriginExchange final : public serving::StreamOrigins {
 public:
  /// @param shared holds the declared software versions
  /// @param partitions number of partitions of each topic
  /// @param cleans returns whether this node deletes expired records from the
  ///     store
  StreamOriginExchange(base::EventLoop& loop, const Clock& clock,
                       base::StructuredLog& log, base::Metrics& metrics,
                       platform::PartitionStore& store, SharedRecords& shared,
                       const serving::UpstreamDirectory& directory,
                       std::string node, int partitions,
                       std::function<bool()> cleans);
  ~StreamOriginExchange() override;
  StreamOriginExchange(const StreamOriginExchange&) = delete;
  StreamOriginExchange& operator=(const StreamOriginExchange&) = delete;

  /// Starts to discard old origins.
  void Start();
  /// Declares the software versions of the registered upstreams whose services
  /// have streams on this node. Called when the registrations have changed.
  void DeclareListedVersions();
  /// Records the streams of services to which their routes no longer lead, so
  /// that no node resumes them at the new service.
  void OnRoutesLeft(const std::set<TargetId>& services);

  bool IsDeclared(const serving::StreamOrigin& version) const override {
    return !table_.NeedsDeclaration(version);
  }
  void Begin(const serving::StreamId& stream,
             const serving::StreamOrigin& origin,
             const std::vector<TargetId>& services) override;
  void Complete(const serving::StreamId& stream) override;
  void Find(const serving::StreamId& stream,
            const std::vector<TargetId>& services,
            std::chrono::milliseconds max_wait,
            std::function<void(serving::OriginResult)> on_result) override;

  /// Maximum number of partitions for the records.
  static constexpr int kMaxPartitions = 4;
  /// Timeout of a call to the store.
  static constexpr std::chrono::milliseconds kStoreTimeout{500};
  /// Delay before an origin that was not found is looked up again: another node
  /// may be writing its record.
  static constexpr std::chrono::milliseconds kLookupInterval{60};
  /// Number of lookups before an origin counts as unknown.
  static constexpr int kMaxLookups = 4;
  /// How long the record of a complete stream is kept: the time in which a
  /// caller notices that the end of the response was lost.
  static constexpr std::chrono::milliseconds kCompletedRetention{3'000};
  /// Longest further delay of its deletion while no record is appended.
  static constexpr std::chrono::milliseconds kDeletionDelay{1'000};
  /// Maximum number of records of one append.
  static constexpr std::size_t kMaxBatch = 256;
  /// Maximum number of records that wait for an append; further ones are
  /// discarded.
  static constexpr std::size_t kMaxQueued = 8'192;
  static constexpr std::chrono::milliseconds kExpireInterval{30'000};

 private:
  struct Lookup {
    std::string key;
    serving::StreamId stream;
    std::vector<TargetId> services;
    Instant deadline;
    int lookups = 0;
    /// Partitions that have not answered the current lookup.
    int pages_left = 0;
    /// Whether a partition did not answer the current lookup.
    bool page_failed = false;
    /// Null once the lookup has ended.
    std::function<void(serving::OriginResult)> on_result;
  };
  struct Declared {
    serving::StreamOrigin version;
    /// When an upstream that runs it was last registered.
    Instant listed{};
  };

  void ReadRecord(const std::shared_ptr<Lookup>& lookup);
  void OnRecord(const std::shared_ptr<Lookup>& lookup,
                const std::string& value);
  /// Decides on a stream that has no record by the declared versions.
  void ReadVersions(const std::shared_ptr<Lookup>& lookup);
  void RetryLookup(const std::shared_ptr<Lookup>& lookup,
                   const std::string& reason);
  void OnPage(const std::shared_ptr<Lookup>& lookup,
              const platform::LatestPage* page);
  void Finish(const std::shared_ptr<Lookup>& lookup,
              serving::OriginResult result);
  serving::SoftwareVersions ListedVersions(
      const std::vector<TargetId>& services) const;

  void Declare(const serving::StreamOrigin& version);
  void ApplyDeclaration(const std::string& key,
                        const std::optional<std::string>& value);

  void QueueRecord(const std::string& key);
  void QueueDeletion(const std::string& key);
  void ScheduleFlush(std::chrono::milliseconds delay);
  void Flush();
  void Expire();
  /// Deletes old records from the store, page by page.
  void DeleteExpired(const platform::PartitionId& partition,
                     const std::string& after);

  base::EventLoop& loop_;
  const Clock& clock_;
  base::StructuredLog& log_;
  base::Metrics& metrics_;
  platform::PartitionStore& store_;
  SharedRecords& shared_;
  const serving::UpstreamDirectory& directory_;
  std::string node_;
  int partitions_;
  /// A node writes to one partition only, so that one append takes all of its
  /// waiting records; a lookup reads all partitions.
  platform::PartitionId own_partition_;
  std::function<bool()> cleans_;
  serving::OriginTable table_;
  /// Declarations in the store, by key.
  std::map<std::string, Declared> declared_;
  /// Keys of the declarations that this node has written.
  std::set<std::string> declaring_;
  serving::AppendPacer pacer_;
  /// Records to append by key, without a value to delete one.
  std::map<std::string, std::optional<std::string>> queue_;
  /// Complete streams whose records will be deleted, and when.
  std::deque<std::pair<Instant, std::string>> completed_;
  bool appending_ = false;
  Instant next_append_{};
  std::optional<Instant> flush_due_;
  base::Timer flush_timer_;
  base::Timer expire_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mulberryroad::node

#endif  // MULBERRYROAD_SRC_NODE_STREAM_ORIGIN_EXCHANGE_H_
