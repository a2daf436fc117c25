// Runs the batches of one partition while it is assigned to this node.

#ifndef MULBERRYROAD_SRC_BATCHES_PART_OWNER_H_
#define MULBERRYROAD_SRC_BATCHES_PART_OWNER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/event_loop.h"
#include "batches/batch_context.h"
#include "batches/batch_items.h"
#include "batches/batch_table.h"
#include "batches/item_placement.h"
#include "batches/item_run.h"
#include "batches/item_scheduler.h"
#include "batches/item_scorer.h"
#include "batches/leftover_outputs.h"
#include "batches/output_memory.h"
#include "batches/stored_progress.h"
#include "mulberryroad/clock.h"
#include "platform/partition_store.h"
#include "store/fenced_writer.h"
#include "store/keyed_tail.h"

namespace mulberryroad::batches {

/// Follows the partition, runs the items of its batches and stores their
/// results. Fenced by an epoch: once an owner with a higher epoch has appended,
/// the store refuses the results of this one. Must be owned by a
/// `std::shared_ptr` and used on the thread of the event loop.
class PartitionOwner : public std::enable_shared_from_this<PartitionOwner> {
 public:
  /// @param epoch higher than that of all earlier owners
  /// @param on_lost called once, after the owner has stopped itself because
  ///     another one took over the partition
  PartitionOwner(BatchContext& context, platform::PartitionId partition,
                 std::uint64_t epoch, std::function<void()> on_lost);

  /// Starts to read the partition. Call once.
  void Start();
  /// Cancels all runs and discards the events that are not stored.
  void Stop();
  /// Places waiting items, terminates overdue ones and deletes the results of
  /// expired batches.
  void ScheduleItems();
  /// Applies the limits of the manifest in force to the open batches, and opens
  /// those that waited for the first manifest. Call after each change.
  void OnManifestChanged();

  /// Minimum time between a pass of `ScheduleItems` and the next one that run
  /// events cause.
  static constexpr std::chrono::milliseconds kMinPassInterval{5};
  /// Timeout after which a read of the store is retried.
  static constexpr std::chrono::milliseconds kReadTimeout{500};
  /// Delay of the stop after the last save of progress, in which the save
  /// completes: ten times the duration of an append.
  static constexpr std::chrono::milliseconds kHandOverDelay{100};
  /// Minimum number of new events for which a progress record is stored:
  /// generating fewer again takes about a sixth of a second.
  static constexpr std::uint64_t kMinEventsToSave = 4;

  /// Stores the new events of running items, so that a later owner can resume
  /// them.
  /// @param min_events items with fewer new events are skipped
  void SaveProgress(std::uint64_t min_events = kMinEventsToSave);
  /// Stores all new events, then stops after `kHandOverDelay`.
  void HandOver();
  /// Interrupts runs on slow upstreams if faster ones have free slots.
  void MoveStragglers();

  /// Number of runs in progress.
  std::size_t running() const { return runs_.size(); }
  /// Number of items waiting for an upstream.
  std::size_t waiting() const { return scheduler_.waiting(); }
  /// Number of items whose output is complete and has no score yet.
  std::size_t scoring() const {
    return scorer_ == nullptr ? 0 : scorer_->pending();
  }

 private:
  /// Writer of one result partition, and the callbacks to run once earlier
  /// owners are fenced there.
  struct ResultWriter {
    std::shared_ptr<store::FencedWriter> writer;
    std::vector<std::function<void()>> waiting;
    /// Time at which earlier owners were fenced; nullopt before.
    std::optional<Instant> ready_at;
    /// Batches accepted at or after this offset have no results of earlier
    /// owners; nullopt while it is not known.
    std::optional<platform::Offset> clean_from_offset;
  };

  void FollowBatches();
  /// Returns the writer for the results of a batch, started if it is new.
  ResultWriter& WriterFor(const std::string& batch);
  /// Sets `clean_from_offset` of each writer for which it can be determined.
  void UpdateCleanOffsets();
  /// Reads the stored results and progress of a batch, then opens the batch.
  /// @param after key after which the read begins
  void LoadResults(const std::string& id, const std::string& after);
  void DeleteChunks(const std::string& id, const Batch& batch);
  void DeleteExpiredBatches();
  void OnRecord(const platform::KeyedRecord& record);
  /// Keeps the items of a chunk, if the record is one.
  /// @return whether it is
  bool AddItems(const platform::KeyedRecord& record);
  /// Reads the items of batches that had no memory, in the order in which they
  /// were accepted. A batch does not wait for larger ones before it.
  void LoadWaitingBatches();
  /// Opens, loads or closes a batch according to its state in the table.
  void UpdateBatch(const std::string& id);
  /// A run in progress and the item that it is for.
  struct Running {
    std::shared_ptr<ItemRun> run;
    /// Unique among the runs of this owner.
    std::uint64_t number = 0;
    /// Shared with the run's callback; changes if a later batch adopts the run.
    std::shared_ptr<ItemRef> item;
    /// Service of the upstream, which may no longer be listed.
    TargetId service;
  };
  /// A run that continues after its batch ended.
  struct Orphan {
    Running running;
    ItemKey key;
  };

  /// Calls `ScheduleItems` soon, at most once per `kMinPassInterval`.
  void PostSchedule();
  /// Keeps the runs of a closing batch for the next one, or cancels them.
  void OrphanRuns(const std::string& id);
  /// Assigns the orphaned run of an item to a new batch, if it may use it.
  void AdoptRun(const ItemRef& item);
  /// Cancels the orphaned runs of a model.
  void CancelOrphans(const TargetId& model);
  /// Queues records for the results of a batch; does nothing without records.
  /// @param on_appended see FencedWriter::Append
  void AppendRecords(const std::string& batch,
                     std::vector<platform::KeyedRecord> records,
                     std::function<void()> on_appended);
  /// Drops the output of completed items that no later batch needs: those of a
  /// group that is complete.
  void ReleaseCompletedGroup(const ItemRef& item);
  /// Keeps the output of an orphaned run that has ended.
  void OnOrphanEnd(Orphan orphan, ItemProgress progress);
  /// Returns the key of an item of an open batch.
  ItemKey KeyOf(const ItemRef& item) const;
  /// Deletes the stored events of one item; does nothing if there are none.
  void DeleteItemProgress(const ItemRef& item);
  /// Keeps the outputs of a closing batch's incomplete groups.
  void KeepLeftovers(const std::string& id);
  /// Uses kept outputs for the items of a new batch.
  void ReuseLeftovers(const std::string& id);
  void RestoreProgress(const std::string& id, const Batch& batch);
  /// Stores the number of failed runs of an item, before which it does not run
  /// again.
  void StoreFailure(const ItemRef& item, const ItemProgress& progress);
  /// Opens a batch, or defers that until the first manifest is known.
  void OpenBatch(const std::string& id, const Batch& batch);
  /// Returns whether all events of an item must come from one weight version,
  /// by the manifest in force.
  bool IsSingleVersion(const ItemRef& item) const;
  /// Returns whether an item may use the events.
  bool Fits(const ItemRef& item, const ItemProgress& progress) const;
  /// Lists the items of a batch as terminated whose requests cannot be sent.
  void TerminateUnsendable(const std::string& id);
  /// Returns the limits of a batch in the manifest in force. A batch whose
  /// route has been removed keeps the limits it had.
  /// @param before limits under an earlier manifest, or null
  BatchLimits LimitsOf(const v1::BatchRecord& record,
                       const BatchLimits* before) const;
  void CloseBatch(const std::string& id);
  /// Returns the upstreams that have a suitable weight version and no recent
  /// failures.
  std::vector<const serving::Registration*> SuitableUpstreams(
      const BatchInfo& batch, const TargetId& service) const;
  /// Returns the suitable upstreams that can take an item of the batch now.
  std::vector<const serving::Registration*> UsableUpstreams(
      const BatchInfo& batch, const TargetId& service) const;
  /// Returns the upstream for an item if all are full, some of them only by the
  /// counts of other nodes; empty if the item waits.
  /// @param suitable upstreams that may run the item
  std::vector<const serving::Registration*> UpstreamsForHeldItem(
      const std::vector<const serving::Registration*>& suitable,
      const TargetId& service) const;
  void MoveStragglersOf(const std::string& id);
  /// What one pass of `ScheduleItems` looks up once for many items.
  struct PlacementPass {
    /// By batch and service. A service has up to thousands of upstreams, too
    /// many to look at for each item.
    std::map<std::pair<std::string, TargetId>, std::vector<PlacementCandidate>>
        candidates;
    /// Route of the previous item. Most items of a batch have the same path.
    std::string_view host;
    std::string_view path;
    const serving::Route* route = nullptr;
  };
  /// Returns the route of an item, or null if there is none.
  const serving::Route* FindItemRoute(const BatchInfo& batch,
                                      const ItemRef& item, PlacementPass* pass);
  /// Also asks for a permit if rate limits keep upstreams from taking an item.
  std::vector<PlacementCandidate> CandidatesFor(const BatchInfo& batch,
                                                const TargetId& service);
  /// Starts a run of an item at the best upstream.
  /// @return the upstream, or nullopt if none can take the item now
  std::optional<UpstreamId> PlaceItem(const BatchInfo& batch,
                                      const ItemRef& item,
                                      const UpstreamId& last,
                                      PlacementPass* pass);
  /// Discards the events of an interrupted item if it must start again.
  /// @return false if it waits for an upstream of its software version
  bool PrepareResume(const BatchInfo& batch, const ItemRef& item,
                     const TargetId& service,
                     const std::vector<PlacementCandidate>& candidates);
  /// Returns the software version to which the events of an item bind it;
  /// nullopt if it has none.
  std::optional<std::string> BoundSoftware(const ItemRef& item) const;
  /// Returns the estimated number of events of an item; 0 if unknown.
  double ExpectedEvents(const BatchInfo& batch, const ItemRef& item) const;
  /// Returns the expected length of an item as a share of the longest item of
  /// its batch.
  double LengthShare(const BatchInfo& batch, const ItemRef& item) const;
  void StartRun(const PlacedItem& start);
  /// @param run number of the run that has ended
  void OnRunEnd(std::uint64_t run, const ItemRef& item,
                const UpstreamId& upstream, const RunEnd& end,
                ItemProgress progress);
  /// Lists an item whose output is complete, or calls its scorer first.
  /// @param decision of the scheduler on the completed run
  void OnOutputComplete(const ItemRef& item, ItemProgress progress,
                        const ItemDecision& decision);
  /// Lists an item with the result of its scorer.
  void OnScoreEnd(const ItemRef& item, const ItemScoreResult& result);
  /// Returns records of the events that are not stored yet, which count as
  /// stored from now on.
  std::vector<platform::KeyedRecord> TakeProgressRecords(
      const ItemRef& item, const ItemProgress& progress);
  /// Stores the end of an output, so that a later owner only has to score it.
  void SaveCompleteOutput(const ItemRef& item, const ItemProgress& progress);
  void ListCompletedItem(const ItemRef& item, ItemProgress progress,
                         const std::string& score);
  /// Stores the result of an item at the next position of its batch.
  void ListResult(const ItemRef& item, v1::ItemState state,
                  const ItemProgress& progress, const std::string& score);
  const v1::BatchItem* FindItem(const ItemRef& item) const;

  BatchContext& context_;
  platform::PartitionId partition_;
  std::uint64_t epoch_;
  std::function<void()> on_lost_;
  std::map<platform::PartitionId, ResultWriter> writers_;
  /// Batches whose results are being read.
  std::set<std::string> loading_results_;
  /// Batches that are opened once the first manifest is known.
  std::set<std::string> awaiting_manifest_;
  /// Ended batches for which the deletion of the chunks was sent and has not
  /// failed.
  std::set<std::string> deleting_chunks_;
  /// Expired batches for which the deletion of the results was queued.
  std::set<std::string> deleting_results_;
  std::shared_ptr<store::KeyedTail> tail_;
  BatchTable table_;
  ItemScheduler scheduler_;
  std::shared_ptr<ItemScorer> scorer_;
  serving::BackgroundPermits permits_;
  std::map<ItemRef, Running> runs_;
  std::uint64_t last_run_number_ = 0;
  StoredProgress stored_progress_;
  /// Orphaned runs by number. An item can have several, and a run in an open
  /// batch besides, as batches that are open at the same time share items.
  std::map<std::uint64_t, Orphan> orphans_;
  /// Events of unfinished items that are not running, also of those that await
  /// a score.
  std::map<ItemRef, HeldOutput> progress_;
  std::shared_ptr<BatchItems> items_;
  /// Position of the next result, by batch id.
  std::map<std::string, std::uint32_t> next_position_;
  /// Sums over the completed items: estimated tokens, and events. Their ratio
  /// turns further estimates into events, which hold several tokens each.
  double completed_hint_ = 0;
  double completed_events_ = 0;
  /// The completed items of open batches, with the outputs of those in
  /// incomplete groups.
  std::map<ItemRef, HeldOutput> completed_;
  LeftoverOutputs leftovers_;
  base::Timer hand_over_timer_;
  base::Timer schedule_timer_;
  /// When `ScheduleItems` last ran.
  Instant last_pass_{};
  bool schedule_posted_ = false;
  bool stopped_ = false;
};

}  // namespace mulberryroad::batches

#endif  // MULBERRYROAD_SRC_BATCHES_PART_OWNER_H_
