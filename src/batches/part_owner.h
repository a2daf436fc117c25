// Runs the batches of one partition while this node holds it.

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

/// Reads the platform's headers of an item.
struct ItemHeaders {
  /// Estimate of the output's tokens; 0 if there is none.
  double expected_tokens = 0;
};
using ReadItemHeaders = std::function<ItemHeaders(const v1::BatchItem&)>;

/// What the owners of a node share.
struct BatchContext {
  base::EventLoop& loop;
  const Clock& clock;
  base::StructuredLog& log;
  base::Metrics& metrics;
  platform::PartitionStore& store;
  const serving::Catalog& catalog;
  const serving::UpstreamDirectory& directory;
  /// Runs of items and the pace of their events.
  serving::UpstreamLoads& loads;
  serving::UpstreamCaller& caller;
  FailureDomainId own_domain;
  std::mt19937_64& random;
  ReadItemHeaders read_headers;
  /// Partitions of each topic.
  int partitions = 1;
  /// How long an ended batch's results can be read.
  std::chrono::milliseconds results_kept{180'000};
};

class PartOwner : public std::enable_shared_from_this<PartOwner> {
 public:
  /// @param epoch higher than that of all owners before
  /// @param on_lost called once if another node took the partition over
  PartOwner(BatchContext& context, platform::PartitionId partition,
            std::uint64_t epoch, std::function<void()> on_lost);

  void Start();
  /// Ends all runs; what they brought is lost.
  void Stop();
  /// Places waiting items and gives up overdue ones.
  void Pump();

  /// Steps follow each other within seconds; a group that did not come again in
  /// this time will not.
  static constexpr std::chrono::milliseconds kLeftoverTime{30'000};

  /// A read of the store that takes longer is tried again.
  static constexpr std::chrono::milliseconds kReadTimeout{500};
  /// Ten times what an append takes.
  static constexpr std::chrono::milliseconds kHandOverTime{100};
  /// Fewer new events of an item are not worth a record: they are made again in
  /// about a sixth of a second.
  static constexpr std::uint64_t kSaveEvents = 4;

  /// Stores the events of items that run for long, for a successor.
  /// @param min_events items with fewer new events are left out
  void SaveProgress(std::uint64_t min_events = kSaveEvents);
  /// Stores all events, then stops.
  void HandOver();
  /// Moves runs from slow upstreams to faster ones with places free.
  void MoveStragglers();

  std::size_t running() const { return runs_.size(); }
  std::size_t waiting() const { return scheduler_.waiting(); }

 private:
  /// Appends to one partition of results, and who waits until that is safe.
  struct ResultWriter {
    std::shared_ptr<store::FencedWriter> writer;
    std::vector<std::function<void()>> waiting;
    std::optional<Instant> ready_at;
    /// Batches accepted from here on have no results of earlier owners.
    std::optional<platform::Offset> clean_from;
  };

  void FollowBatches();
  ResultWriter& WriterFor(const std::string& batch);
  void NoteCleanPartitions();
  void LoadResults(const std::string& id, const std::string& after);
  void DropChunks(const std::string& id, const Batch& batch);
  void DropExpired();
  void OnRecord(const platform::KeyedRecord& record);
  void Refresh(const std::string& id);
  /// A run under way and the item that it is for.
  struct Running {
    std::shared_ptr<ItemRun> run;
    /// Shared with the run's callback; the item changes if a later batch
    /// takes the run over.
    std::shared_ptr<ItemRef> item;
  };
  /// A run that goes on after its batch ended.
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
  /// Ended batches whose items are being dropped from the store.
  std::set<std::string> dropping_;
  /// Batches whose results are being dropped as their time is over.
  std::set<std::string> expiring_;
  std::shared_ptr<store::KeyedTail> tail_;
  BatchTable table_;
  ItemScheduler scheduler_;
  std::map<ItemRef, Running> runs_;
  /// What the store holds of an unfinished item.
  struct Saved {
    std::uint64_t last_event = 0;
    std::uint32_t records = 0;
  };
  std::map<ItemRef, Saved> saved_;
  /// By item id.
  std::map<std::string, Orphan> orphans_;
  std::map<ItemRef, ItemProgress> progress_;
  /// Items of the open batches by index.
  std::map<std::string, std::vector<v1::BatchItem>> items_;
  std::map<std::string, std::uint32_t> next_position_;
  /// Outputs of the open batches' completed items.
  std::map<ItemRef, ItemProgress> completed_;
  /// What is left of the groups that ended batches did not complete, by item:
  /// trainers submit such groups again under the same ids.
  struct Leftover {
    ItemProgress progress;
    bool complete = false;
    Instant since;
  };
  std::map<std::string, Leftover> leftovers_;
  base::Timer hand_over_timer_;
  bool pump_posted_ = false;
  bool stopped_ = false;
};

}  // namespace mulberryroad::batches

#endif  // MULBERRYROAD_SRC_BATCHES_PART_OWNER_H_
