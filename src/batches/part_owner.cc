#include "batches/part_owner.h"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "http/text.h"

namespace mulberryroad::batches {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Retention of batches whose route sets none: the duration of a long step.
constexpr milliseconds kDefaultRetention{120'000};

}  // namespace

PartitionOwner::PartitionOwner(BatchContext& context,
                               platform::PartitionId partition,
                               std::uint64_t epoch,
                               std::function<void()> on_lost)
    : context_(context),
      partition_(std::move(partition)),
      epoch_(epoch),
      on_lost_(std::move(on_lost)),
      permits_(context.permits, [this] { PostSchedule(); }),
      stored_progress_(context.max_record_bytes),
      items_(std::make_shared<BatchItems>(context.log, context.store,
                                          partition_, context.item_memory)) {}

void PartitionOwner::Start() {
  context_.log.Write("part.acquire",
                     {{"part", static_cast<std::int64_t>(partition_.number)},
                      {"epoch", static_cast<std::int64_t>(epoch_)}});
  scorer_ = std::make_shared<ItemScorer>(
      context_,
      [weak =
           weak_from_this()](const std::string& batch) -> std::optional<int> {
        const auto owner = weak.lock();
        const BatchInfo* info =
            owner == nullptr ? nullptr : owner->scheduler_.find(batch);
        return info == nullptr ? std::nullopt : info->limits.max_attempts;
      },
      [weak = weak_from_this()](const ItemRef& item,
                                const ItemScoreResult& result) {
        if (const auto owner = weak.lock()) {
          owner->OnScoreEnd(item, result);
        }
      });
  FollowBatches();
}

void PartitionOwner::FollowBatches() {
  store::TailHandler handler;
  handler.on_snapshot_read =
      [weak = weak_from_this()](platform::KeyedRecord* record) {
        const auto owner = weak.lock();
        if (owner != nullptr && owner->AddItems(*record)) {
          // Clearing the string would keep its memory.
          record->value.emplace();
        }
      };
  handler.on_snapshot = [weak = weak_from_this()](
                            const std::vector<platform::KeyedRecord>& records) {
    if (const auto owner = weak.lock()) {
      for (const platform::KeyedRecord& record : records) {
        owner->table_.Apply(record);
      }
      for (const auto& [id, batch] : owner->table_.all()) {
        owner->UpdateBatch(id);
      }
      owner->ScheduleItems();
    }
  };
  handler.on_record = [weak =
                           weak_from_this()](const platform::KeyedRecord& r) {
    if (const auto owner = weak.lock()) {
      owner->OnRecord(r);
    }
  };
  handler.on_page_end = [weak = weak_from_this()] {
    if (const auto owner = weak.lock()) {
      owner->UpdateCleanOffsets();
      owner->LoadWaitingBatches();
      owner->ScheduleItems();
    }
  };
  tail_ = std::make_shared<store::KeyedTail>(
      context_.loop, context_.clock, context_.log, context_.store, partition_,
      store::TailTiming{}, std::move(handler));
  tail_->Start();
}

void PartitionOwner::Stop() {
  if (std::exchange(stopped_, true)) {
    return;
  }
  context_.log.Write("part.release",
                     {{"part", static_cast<std::int64_t>(partition_.number)},
                      {"epoch", static_cast<std::int64_t>(epoch_)},
                      {"runs", static_cast<std::int64_t>(runs_.size())}});
  for (const auto& [partition, entry] : writers_) {
    entry.writer->Stop();
  }
  if (tail_ != nullptr) {
    tail_->Stop();
  }
  if (scorer_ != nullptr) {
    scorer_->Stop();
  }
  for (const auto& [item, running] : runs_) {
    running.run->Cancel();
  }
  runs_.clear();
  for (const auto& [id, orphan] : orphans_) {
    orphan.running.run->Cancel();
  }
  orphans_.clear();
}

bool PartitionOwner::AddItems(const platform::KeyedRecord& record) {
  const BatchKey key = Decode(record.key);
  const auto* chunk = std::get_if<ChunkKey>(&key);
  if (chunk == nullptr || !record.value.has_value()) {
    return false;
  }
  const Batch* batch = table_.find(chunk->batch);
  if (batch == nullptr || !batch->ended) {
    items_->Add(*chunk, *record.value);
  }
  return true;
}

void PartitionOwner::OnRecord(const platform::KeyedRecord& record) {
  AddItems(record);
  if (const auto id = table_.Apply(record)) {
    UpdateBatch(*id);
  }
}

void PartitionOwner::UpdateBatch(const std::string& id) {
  const Batch* batch = table_.find(id);
  if (batch == nullptr || batch->ended) {
    CloseBatch(id);
    items_->Remove(id);
    if (batch != nullptr && !batch->stored_chunks.empty()) {
      DeleteChunks(id, *batch);
    }
    return;
  }
  if (!batch->complete() || scheduler_.has_batch(id) ||
      loading_results_.contains(id) || awaiting_manifest_.contains(id)) {
    return;
  }
  if (!items_->IsLoaded(id, batch->accepted->chunks())) {
    items_->Load(id, [weak = weak_from_this(), id] {
      if (const auto owner = weak.lock(); owner && !owner->stopped_) {
        owner->UpdateBatch(id);
        owner->ScheduleItems();
      }
    });
    return;
  }
  ResultWriter& entry = WriterFor(id);
  if (entry.clean_from_offset.has_value() &&
      batch->offset >= *entry.clean_from_offset) {
    OpenBatch(id, *batch);
    return;
  }
  loading_results_.insert(id);
  const auto load = [weak = weak_from_this(), id] {
    if (const auto owner = weak.lock()) {
      owner->LoadResults(id, Encode(AcceptedKey{id}));
    }
  };
  if (entry.writer->ready()) {
    load();
  } else {
    entry.waiting.push_back(load);
  }
}

void PartitionOwner::LoadWaitingBatches() {
  std::vector<std::pair<platform::Offset, std::string>> waiting;
  for (const auto& [id, batch] : table_.all()) {
    if (!batch.ended && batch.complete() &&
        !items_->IsLoaded(id, batch.accepted->chunks())) {
      waiting.emplace_back(batch.offset, id);
    }
  }
  std::sort(waiting.begin(), waiting.end());
  for (const auto& [offset, id] : waiting) {
    UpdateBatch(id);
  }
}

BatchLimits PartitionOwner::LimitsOf(const v1::BatchRecord& record,
                                     const BatchLimits* before) const {
  const WallTime accepted{milliseconds(record.accepted_ms())};
  const Instant accepted_at =
      context_.clock.now() - duration_cast<std::chrono::nanoseconds>(
                                 context_.clock.wall_now() - accepted);
  const serving::Route* route =
      context_.catalog.FindRoute(record.host(), record.route());
  if (route == nullptr) {
    const Instant end = accepted_at + kDefaultRetention;
    return before != nullptr ? *before : BatchLimits{std::nullopt, end, end};
  }
  const bool has_retention = route->retention > milliseconds(0);
  return {route->max_attempts, accepted_at + route->result_deadline,
          accepted_at + (has_retention ? route->retention : kDefaultRetention)};
}

void PartitionOwner::OnManifestChanged() {
  if (stopped_) {
    return;
  }
  for (const auto& [id, batch] : table_.all()) {
    if (const BatchInfo* open = scheduler_.find(id)) {
      scheduler_.SetLimits(id, LimitsOf(*batch.accepted, &open->limits));
    }
  }
  for (const std::string& id : std::exchange(awaiting_manifest_, {})) {
    if (const Batch* batch = table_.find(id)) {
      OpenBatch(id, *batch);
    }
  }
  ScheduleItems();
}

void PartitionOwner::OpenBatch(const std::string& id, const Batch& batch) {
  if (context_.catalog.manifest() == nullptr) {
    // Until then no item has a service, and the limits are unknown.
    awaiting_manifest_.insert(id);
    return;
  }
  const v1::BatchRecord& record = *batch.accepted;
  if (!items_->IsLoaded(id, record.chunks())) {
    // Dropped meanwhile; LoadWaitingBatches reads them again.
    return;
  }
  BatchInfo info;
  info.id = id;
  info.organisation = OrganisationId(record.organisation());
  info.model = TargetId(record.model());
  info.min_version = record.min_version();
  info.desired_groups = record.desired_groups();
  info.limits = LimitsOf(record, nullptr);
  items_->Open(id);
  const std::vector<v1::BatchItem>& items = items_->open_items(id);
  for (const v1::BatchItem& item : items) {
    info.items.push_back(
        {item.id(), item.group(), context_.read_headers(item).expected_tokens,
         batch.listed.contains(item.id()),
         leftovers_.contains({info.organisation, info.model, item.id()}),
         item.has_scorer()});
  }
  next_position_[id] = std::max(next_position_[id], batch.next_position);
  context_.log.Write(
      "batch.open",
      {{"batch", id},
       {"part", static_cast<std::int64_t>(partition_.number)},
       {"epoch", static_cast<std::int64_t>(epoch_)},
       {"organisation", record.organisation()},
       {"model", record.model()},
       {"min_version", static_cast<std::int64_t>(record.min_version())},
       {"items", static_cast<std::int64_t>(items.size())},
       {"listed", static_cast<std::int64_t>(batch.listed.size())},
       {"manifest", static_cast<std::int64_t>(context_.catalog.version())},
       {"max_attempts",
        static_cast<std::int64_t>(info.limits.max_attempts.value_or(0))},
       {"age_ms",
        UnixTime(context_.clock.wall_now()).count() - record.accepted_ms()}});
  const TargetId model = info.model;
  scheduler_.Open(std::move(info));
  TerminateUnsendable(id);
  RestoreProgress(id, batch);
  table_.DropProgress(id);
  ReuseLeftovers(id);
  for (std::size_t i = 0; i < items.size(); ++i) {
    AdoptRun({id, i});
  }
  // The items of this batch need the slots of the remaining orphaned runs.
  CancelOrphans(model);
}

// Items are checked when they are submitted; earlier releases did not.
void PartitionOwner::TerminateUnsendable(const std::string& id) {
  const std::vector<v1::BatchItem>& items = items_->open_items(id);
  for (std::size_t i = 0; i < items.size(); ++i) {
    const bool sendable = http::IsRequestTarget(items[i].path()) &&
                          (!items[i].has_scorer() ||
                           http::IsRequestTarget(items[i].scorer().path()));
    const ItemRef item{id, i};
    if (sendable || !std::holds_alternative<ListTerminated>(scheduler_.OnRunEnd(
                        item, RunImpossible{}, context_.clock.now()))) {
      continue;
    }
    context_.log.Write("item.unsendable",
                       {{"request", items[i].id()}, {"batch", id}});
    ListResult(item, v1::ITEM_STATE_TERMINATED, {}, "");
  }
}

void PartitionOwner::HandOver() {
  SaveProgress(/*min_events=*/1);
  hand_over_timer_ = context_.loop.After(
      kHandOverDelay, [self = shared_from_this()] { self->Stop(); });
}

void PartitionOwner::CloseBatch(const std::string& id) {
  awaiting_manifest_.erase(id);
  if (!scheduler_.has_batch(id)) {
    return;
  }
  leftovers_.Expire(context_.clock.now());
  KeepLeftovers(id);
  OrphanRuns(id);
  scorer_->CancelBatch(id);
  const auto of_batch = [&id](const auto& entry) {
    return entry.first.batch == id;
  };
  std::erase_if(progress_, of_batch);
  AppendRecords(id, stored_progress_.TakeBatchDeletions(id), nullptr);
  std::erase_if(completed_, of_batch);
  scheduler_.Close(id);
  context_.log.Write(
      "batch.close",
      {{"batch", id},
       {"runs_left", static_cast<std::int64_t>(orphans_.size())}});
}

// Groups that an ended batch did not complete are mostly resubmitted with the
// next one. Their runs continue meanwhile, unless they have events of a version
// that the next batch, with a higher minimum version, would not accept.
void PartitionOwner::OrphanRuns(const std::string& id) {
  const BatchInfo& batch = *scheduler_.find(id);
  for (auto run = runs_.lower_bound({id, 0});
       run != runs_.end() && run->first.batch == id;) {
    if (run->second.run->progress().meets_min_version(batch.min_version + 1)) {
      const std::uint64_t number = run->second.number;
      orphans_[number] = {std::move(run->second), KeyOf(run->first)};
    } else {
      run->second.run->Cancel();
    }
    run = runs_.erase(run);
  }
}

ItemKey PartitionOwner::KeyOf(const ItemRef& item) const {
  const BatchInfo& batch = *scheduler_.find(item.batch);
  return {batch.organisation, batch.model, batch.items[item.index].id};
}

bool PartitionOwner::IsSingleVersion(const ItemRef& item) const {
  const serving::Route* route = context_.catalog.FindRoute(
      table_.find(item.batch)->accepted->host(), FindItem(item)->path());
  return route != nullptr && route->single_version;
}

bool PartitionOwner::Fits(const ItemRef& item,
                          const ItemProgress& progress) const {
  return progress.fits(scheduler_.find(item.batch)->min_version,
                       IsSingleVersion(item));
}

void PartitionOwner::AdoptRun(const ItemRef& item) {
  const BatchInfo& batch = *scheduler_.find(item.batch);
  const ItemKey key = KeyOf(item);
  auto adopted = orphans_.end();
  for (auto orphan = orphans_.begin(); orphan != orphans_.end(); ++orphan) {
    const ItemRun& run = *orphan->second.running.run;
    const serving::Registration* upstream =
        context_.directory.find(run.upstream());
    const bool usable =
        orphan->second.key == key && upstream != nullptr &&
        upstream->versions.contains(batch.model) &&
        upstream->versions.at(batch.model) >= batch.min_version &&
        Fits(item, run.progress());
    if (usable && (adopted == orphans_.end() ||
                   run.progress().last_event >
                       adopted->second.running.run->progress().last_event)) {
      adopted = orphan;
    }
  }
  if (adopted == orphans_.end() ||
      !scheduler_.MarkRunning(item, adopted->second.running.run->upstream())) {
    return;
  }
  *adopted->second.running.item = item;
  context_.log.Write(
      "item.adopted",
      {{"request", key.id},
       {"batch", item.batch},
       {"run", static_cast<std::int64_t>(adopted->second.running.number)}});
  runs_[item] = std::move(adopted->second.running);
  orphans_.erase(adopted);
}

void PartitionOwner::CancelOrphans(const TargetId& model) {
  std::erase_if(orphans_, [&model](const auto& entry) {
    const bool cancelled = entry.second.key.model == model;
    if (cancelled) {
      entry.second.running.run->Cancel();
    }
    return cancelled;
  });
}

void PartitionOwner::OnOrphanEnd(Orphan orphan, ItemProgress progress) {
  context_.log.Write(
      "item.orphan_ended",
      {{"request", orphan.key.id},
       {"run", static_cast<std::int64_t>(orphan.running.number)},
       {"complete", progress.complete},
       {"events", static_cast<std::int64_t>(progress.last_event)}});
  leftovers_.Add(std::move(orphan.key),
                 context_.output_memory.Hold(std::move(progress)),
                 context_.clock.now());
}

const v1::BatchItem* PartitionOwner::FindItem(const ItemRef& item) const {
  return items_->Find(item);
}

void PartitionOwner::ScheduleItems() {
  if (stopped_) {
    return;
  }
  const Instant now = context_.clock.now();
  DeleteExpiredBatches();
  for (const ItemRef& item : scheduler_.TakeOverdue(now)) {
    if (const auto run = runs_.find(item); run != runs_.end()) {
      run->second.run->Cancel();
      runs_.erase(run);
    }
    scorer_->Cancel(item);
    ListResult(item, v1::ITEM_STATE_TERMINATED, {}, "");
  }
  PlacementPass pass;
  // A new run would add an output.
  if (!context_.output_memory.HasRoom()) {
    last_pass_ = context_.clock.now();
    return;
  }
  scheduler_.Place(now,
                   [this, &pass](const BatchInfo& batch, const ItemRef& item,
                                 const UpstreamId& last) {
                     return PlaceItem(batch, item, last, &pass);
                   });
  last_pass_ = context_.clock.now();
}

// Posted to the loop because the caller may be a method of a run. One pass
// covers all run events of an interval, as it looks at all upstreams of the
// service.
void PartitionOwner::PostSchedule() {
  if (std::exchange(schedule_posted_, true)) {
    return;
  }
  schedule_timer_ = context_.loop.After(
      std::max(Instant::duration(0),
               last_pass_ + kMinPassInterval - context_.clock.now()),
      [weak = weak_from_this()] {
        if (const auto owner = weak.lock()) {
          owner->schedule_posted_ = false;
          owner->ScheduleItems();
        }
      });
}

}  // namespace mulberryroad::batches
