// Runs the batches of one partition while it is assigned to this node.

#ifndef MULBERRYROAD_SRC_BATCHES_PART_OWNER_H_
#define MULBERRYROAD_SRC_BATCHES_PART_OWNER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "base/event_loop.h"
#include "base/metrics.h"
#include "base/structured_log.h"
#include "batches/batch_table.h"
#include "batches/item_run.h"
#include "batches/item_scheduler.h"
#include "mulberryroad/clock.h"
#include "platform/partition_store.h"
#include "serving/catalog.h"
#include "serving/upstream_caller.h"
#include "serving/upstreams.h"
#include "store/fenced_writer.h"
#include "store/keyed_tail.h"

namespace mulberryroad::batches {

/// Values read from the platform's headers of an item.
struct ItemHeaders {
  /// Estimated number of output tokens; 0 if there is none.
  double expected_tokens = 0;
};
using ReadItemHeaders = std::function<ItemHeaders(const v1::BatchItem&)>;

/// Dependencies and settings that all partition owners of a node share.
struct BatchContext {
  base::EventLoop& loop;
  const Clock& clock;
  base::StructuredLog& log;
  base::Metrics& metrics;
  platform::PartitionStore& store;
  const serving::Catalog& catalog;
  const serving::UpstreamDirectory& directory;
  /// Load, latency and health of the upstreams.
  serving::UpstreamLoads& loads;
  serving::UpstreamCaller& caller;
  FailureDomainId own_domain;
  std::mt19937_64& random;
  ReadItemHeaders read_headers;
  /// Number of partitions of each topic.
  int partitions = 1;
  /// How long the results of an ended batch are kept, from its acceptance on.
  std::chrono::milliseconds results_kept{180'000};
};

/// Follows the partition, runs the items of its batches and stores their
/// results. Fenced by an epoch: once a higher one has written, the results of
/// this owner are refused. Must be owned by a `std::shared_ptr` and used on the
/// thread of the event loop.
class PartOwner : public std::enable_shared_from_this<PartOwner> {
 public:
  /// @param epoch higher than that of all earlier owners
  /// @param on_lost called once, after the owner has stopped itself because
  ///     another one took over the partition
  PartOwner(BatchContext& context, platform::PartitionId partition,
            std::uint64_t epoch, std::function<void()> on_lost);

  /// Starts to read the partition. Call once.
  void Start();
  /// Cancels all runs and discards the events that are not stored.
  void Stop();
  /// Places waiting items, terminates overdue ones and deletes the results of
  /// expired batches.
  void Pump();

  /// How long outputs of incomplete groups are kept for reuse. Steps follow
  /// each other within seconds; a group that was not resubmitted by then will
  /// not be.
  static constexpr std::chrono::milliseconds kLeftoverTime{30'000};

  /// Timeout after which a read of the store is retried.
  static constexpr std::chrono::milliseconds kReadTimeout{500};
  /// Time between the last save of progress and the stop: ten times the
  /// duration of an append.
  static constexpr std::chrono::milliseconds kHandOverTime{100};
  /// Minimum number of new events for which a progress record is stored: fewer
  /// are generated again in about a sixth of a second.
  static constexpr std::uint64_t kSaveEvents = 4;

  /// Stores the new events of running items, so that a later owner can resume
  /// them.
  /// @param min_events items with fewer new events are skipped
  void SaveProgress(std::uint64_t min_events = kSaveEvents);
  /// Stores all new events, then stops after `kHandOverTime`.
  void HandOver();
  /// Interrupts runs on slow upstreams if faster ones have free slots.
  void MoveStragglers();

  /// Number of runs in progress.
  std::size_t running() const { return runs_.size(); }
  /// Number of items waiting for an upstream.
  std::size_t waiting() const { return scheduler_.waiting(); }

 private:
  /// Writer of one result partition, and the callbacks that wait until earlier
  /// owners are fenced there.
  struct ResultWriter {
    std::shared_ptr<store::FencedWriter> writer;
    std::vector<std::function<void()>> waiting;
    /// Time at which earlier owners were fenced; nullopt before.
    std::optional<Instant> ready_at;
    /// Batches accepted at or after this offset have no results of earlier
    /// owners; nullopt while it is not known.
    std::optional<platform::Offset> clean_from;
  };

  void FollowBatches();
  ResultWriter& WriterFor(const std::string& batch);
  void NoteCleanPartitions();
  void LoadResults(const std::string& id, const std::string& after);
  void DropChunks(const std::string& id, const Batch& batch);
  void DropExpired();
  void OnRecord(const platform::KeyedRecord& record);
  /// Opens, loads or closes a batch according to its state in the table.
  void Refresh(const std::string& id);
  /// A run in progress and the item that it is for.
  struct Running {
    std::shared_ptr<ItemRun> run;
    /// Shared with the run's callback; changes if a later batch adopts the run.
    std::shared_ptr<ItemRef> item;
  };
  /// A run that continues after its batch ended.
  struct Orphan {
    Running running;
    TargetId model;
  };

  void PumpSoon();
  void OrphanRuns(const std::string& id);
  void AdoptRun(const ItemRef& item, const std::string& item_id);
  void CancelOrphans(const TargetId& model);
  void OnOrphanEnd(const std::string& item_id, const RunEnd& end,
                   ItemProgress progress);
  void ForgetSaved(const ItemRef& item);
  void DropSaved(const std::string& id);
  void KeepLeftovers(const std::string& id);
  void UseLeftovers(const std::string& id);
  void UseSaved(const std::string& id, const Batch& batch);
  std::vector<platform::KeyedRecord> TakeSavedDrops(const ItemRef& item);
  void ExpireLeftovers();
  void OpenBatch(const std::string& id, const Batch& batch);
  void CloseBatch(const std::string& id);
  std::vector<const serving::Registration*> UsableUpstreams(
      const BatchInfo& batch, const TargetId& service) const;
  void MoveStragglersOf(const std::string& id);
  std::optional<UpstreamId> Placement(const BatchInfo& batch,
                                      const ItemRef& item,
                                      const UpstreamId& last);
  void StartRun(const StartItem& start);
  void OnRunEnd(const ItemRef& item, const std::string& item_id,
                const UpstreamId& upstream, const RunEnd& end,
                ItemProgress progress);
  void List(const ItemRef& item, v1::ItemState state,
            const ItemProgress& progress);
  const v1::BatchItem* FindItem(const ItemRef& item) const;

  BatchContext& context_;
  platform::PartitionId partition_;
  std::uint64_t epoch_;
  std::function<void()> on_lost_;
  std::map<platform::PartitionId, ResultWriter> writers_;
  /// Batches whose results are being read.
  std::set<std::string> loading_;
  /// Ended batches whose chunks are being deleted from the store.
  std::set<std::string> dropping_;
  /// Expired batches whose results are being deleted from the store.
  std::set<std::string> expiring_;
  std::shared_ptr<store::KeyedTail> tail_;
  BatchTable table_;
  ItemScheduler scheduler_;
  std::map<ItemRef, Running> runs_;
  /// Extent of the stored progress of an unfinished item.
  struct Saved {
    /// Id of the last stored event; 0 if there is none.
    std::uint64_t last_event = 0;
    /// Number of progress records.
    std::uint32_t records = 0;
  };
  std::map<ItemRef, Saved> saved_;
  /// Orphaned runs by item id.
  std::map<std::string, Orphan> orphans_;
  /// Events of unfinished items that are not running.
  std::map<ItemRef, ItemProgress> progress_;
  /// Items of the open batches, by batch id.
  std::map<std::string, std::vector<v1::BatchItem>> items_;
  /// Position of the next result, by batch id.
  std::map<std::string, std::uint32_t> next_position_;
  /// Outputs of the completed items of open batches.
  std::map<ItemRef, ItemProgress> completed_;
  /// Output of an item in a group that its ended batch did not complete.
  /// Trainers submit such groups again under the same item ids.
  struct Leftover {
    ItemProgress progress;
    /// True if the output is whole.
    bool complete = false;
    /// Time at which the batch or its orphaned run ended.
    Instant since;
  };
  /// By item id.
  std::map<std::string, Leftover> leftovers_;
  base::Timer hand_over_timer_;
  bool pump_posted_ = false;
  bool stopped_ = false;
};

}  // namespace mulberryroad::batches

#endif  // MULBERRYROAD_SRC_BATCHES_PART_OWNER_H_
