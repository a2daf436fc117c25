// Storage of a partition owner: writes results and the progress of unfinished
// items, restores them, and deletes them when they are no longer needed.

#include <algorithm>
#include <utility>
#include <variant>

#include "batches/part_owner.h"

namespace mulberryroad::batches {

PartitionOwner::ResultWriter& PartitionOwner::WriterFor(
    const std::string& batch) {
  const platform::PartitionId partition =
      ResultPartitionOf(batch, context_.partitions);
  ResultWriter& entry = writers_[partition];
  if (entry.writer != nullptr) {
    return entry;
  }
  // All owners of a partition use the same writer name, under which the store
  // compares their epochs.
  entry.writer = std::make_shared<store::FencedWriter>(
      context_.loop, context_.log, context_.store, partition,
      "part-" + std::to_string(partition_.number), epoch_,
      [weak = weak_from_this(), partition] {
        const auto owner = weak.lock();
        if (owner == nullptr) {
          return;
        }
        ResultWriter& ready = owner->writers_[partition];
        ready.ready_at = owner->context_.clock.now();
        for (const auto& step : std::exchange(ready.waiting, {})) {
          step();
        }
      },
      [weak = weak_from_this()] {
        const auto owner = weak.lock();
        if (owner != nullptr && !owner->stopped_) {
          owner->Stop();
          owner->on_lost_();
        }
      });
  entry.writer->Start();
  return entry;
}

void PartitionOwner::AppendRecords(const std::string& batch,
                                   std::vector<platform::KeyedRecord> records,
                                   std::function<void()> on_appended) {
  if (records.empty()) {
    return;
  }
  std::shared_ptr<void> held = context_.output_memory.HoldRecords(records);
  WriterFor(batch).writer->Append(
      std::move(records),
      [held = std::move(held), on_appended = std::move(on_appended)] {
        if (on_appended) {
          on_appended();
        }
      });
}

// Called once earlier owners are fenced, as they can add results until then.
void PartitionOwner::LoadResults(const std::string& id,
                                 const std::string& after) {
  context_.store.ReadLatest(
      ResultPartitionOf(id, context_.partitions), after, kReadTimeout,
      [weak = weak_from_this(), id,
       after](const platform::NewestOutcome& outcome) {
        const auto owner = weak.lock();
        if (owner == nullptr || owner->stopped_) {
          return;
        }
        const auto* page = std::get_if<platform::LatestPage>(&outcome);
        if (page == nullptr) {
          owner->LoadResults(id, after);
          return;
        }
        bool fully_read = !page->has_more || page->records.empty();
        for (const platform::KeyedRecord& record : page->records) {
          const BatchKey key = Decode(record.key);
          const auto* result = std::get_if<ResultKey>(&key);
          const auto* progress = std::get_if<ProgressKey>(&key);
          if ((result == nullptr || result->batch != id) &&
              (progress == nullptr || progress->batch != id)) {
            fully_read = true;
            break;
          }
          owner->table_.Apply(record);
        }
        if (!fully_read) {
          owner->LoadResults(id, page->records.back().key);
          return;
        }
        owner->loading_results_.erase(id);
        const Batch* batch = owner->table_.find(id);
        if (batch != nullptr && !batch->ended &&
            !owner->scheduler_.has_batch(id)) {
          owner->OpenBatch(id, *batch);
          owner->ScheduleItems();
        }
      });
}

// Earlier owners can have stored results only for batches before the end of a
// read that was sent after they were fenced.
void PartitionOwner::UpdateCleanOffsets() {
  for (auto& [partition, entry] : writers_) {
    if (!entry.clean_from_offset.has_value() && entry.ready_at.has_value() &&
        tail_->last_success_sent_at() > entry.ready_at) {
      entry.clean_from_offset = tail_->position();
    }
  }
}

// Deletes the items of an ended batch from the store.
void PartitionOwner::DeleteChunks(const std::string& id, const Batch& batch) {
  if (!deleting_chunks_.insert(id).second) {
    return;
  }
  std::vector<platform::KeyedRecord> deletions;
  for (const std::uint32_t number : batch.stored_chunks) {
    deletions.push_back({Encode(ChunkKey{id, number}), std::nullopt});
  }
  context_.store.Append(
      partition_, deletions, {}, kReadTimeout,
      [weak = weak_from_this(), id](const platform::AppendOutcome& outcome) {
        const auto owner = weak.lock();
        if (owner != nullptr &&
            !std::holds_alternative<platform::Appended>(outcome)) {
          owner->deleting_chunks_.erase(id);
        }
      });
}

void PartitionOwner::DeleteExpiredBatches() {
  const std::int64_t now_ms = UnixTime(context_.clock.wall_now()).count();
  for (const auto& [id, batch] : table_.all()) {
    const bool expired =
        batch.ended && batch.accepted.has_value() &&
        batch.accepted->accepted_ms() + context_.results_retention.count() <
            now_ms;
    if (!expired || !deleting_results_.insert(id).second) {
      continue;
    }
    std::vector<platform::KeyedRecord> results;
    for (std::uint32_t i = 0; i < batch.accepted->items(); ++i) {
      results.push_back({Encode(ResultKey{id, i}), std::nullopt});
    }
    AppendRecords(id, std::move(results), [weak = weak_from_this(), id = id] {
      if (const auto owner = weak.lock()) {
        owner->context_.store.Append(owner->partition_,
                                     {{Encode(EndKey{id}), std::nullopt},
                                      {Encode(AcceptedKey{id}), std::nullopt}},
                                     {}, kReadTimeout,
                                     [](const platform::AppendOutcome&) {});
      }
    });
  }
}

// Restores the progress that an earlier owner stored for unfinished items.
void PartitionOwner::RestoreProgress(const std::string& id,
                                     const Batch& batch) {
  const std::vector<v1::BatchItem>& items = items_->open_items(id);
  for (std::size_t i = 0; i < items.size(); ++i) {
    const auto stored = batch.progress.find(ProgressIdOf(items[i].id()));
    if (stored == batch.progress.end() ||
        batch.listed.contains(items[i].id())) {
      continue;
    }
    const ItemRef item{id, i};
    auto [progress, failures] =
        stored_progress_.Restore(item, items[i].id(), stored->second);
    const bool terminated =
        !progress.complete && std::holds_alternative<ListTerminated>(
                                  scheduler_.RestoreFailures(item, failures));
    context_.log.Write(
        "item.restored",
        {{"request", items[i].id()},
         {"batch", id},
         {"complete", progress.complete},
         {"failures", static_cast<std::int64_t>(failures)},
         {"fits", Fits(item, progress)},
         {"events", static_cast<std::int64_t>(progress.last_event)}});
    if (terminated) {
      ListResult(item, v1::ITEM_STATE_TERMINATED, {}, "");
      continue;
    }
    if (!Fits(item, progress)) {
      DeleteItemProgress(item);
      continue;
    }
    if (progress.complete) {
      OnOutputComplete(
          item, std::move(progress),
          scheduler_.OnRunEnd(item, RunCompleted{}, context_.clock.now()));
    } else {
      progress.interrupted = context_.clock.now();
      progress_[item] = context_.output_memory.Hold(std::move(progress));
    }
  }
}

std::vector<platform::KeyedRecord> PartitionOwner::TakeProgressRecords(
    const ItemRef& item, const ItemProgress& progress) {
  return stored_progress_.TakeRecords(item, FindItem(item)->id(), progress,
                                      scheduler_.failures(item));
}

void PartitionOwner::SaveCompleteOutput(const ItemRef& item,
                                        const ItemProgress& progress) {
  if (!stored_progress_.complete(item)) {
    AppendRecords(item.batch, TakeProgressRecords(item, progress), nullptr);
  }
}

void PartitionOwner::SaveProgress(std::uint64_t min_events) {
  if (!context_.output_memory.HasRoom()) {
    return;
  }
  std::map<std::string, std::vector<platform::KeyedRecord>> records;
  for (const auto& [item, running] : runs_) {
    const ItemProgress& progress = running.run->progress();
    if (progress.last_event < stored_progress_.last_event(item) + min_events) {
      continue;
    }
    std::vector<platform::KeyedRecord>& queued = records[item.batch];
    for (platform::KeyedRecord& record : TakeProgressRecords(item, progress)) {
      queued.push_back(std::move(record));
    }
  }
  for (auto& [batch, queued] : records) {
    AppendRecords(batch, std::move(queued), nullptr);
  }
}

void PartitionOwner::DeleteItemProgress(const ItemRef& item) {
  AppendRecords(
      item.batch,
      stored_progress_.TakeEventDeletions(item, scheduler_.failures(item)),
      nullptr);
}

void PartitionOwner::StoreFailure(const ItemRef& item,
                                  const ItemProgress& progress) {
  AppendRecords(item.batch, TakeProgressRecords(item, progress),
                [weak = weak_from_this(), item] {
                  if (const auto owner = weak.lock()) {
                    owner->scheduler_.OnFailureStored(item);
                    owner->PostSchedule();
                  }
                });
}

void PartitionOwner::ReuseLeftovers(const std::string& id) {
  const std::vector<v1::BatchItem>& items = items_->open_items(id);
  for (std::size_t i = 0; i < items.size(); ++i) {
    const ItemRef item{id, i};
    auto leftover =
        leftovers_.Take(KeyOf(item), [this, &item](const ItemProgress& output) {
          return Fits(item, output);
        });
    if (!leftover.has_value()) {
      continue;
    }
    context_.log.Write(
        "item.reused",
        {{"request", items[i].id()},
         {"batch", id},
         {"complete", leftover->complete},
         {"events", static_cast<std::int64_t>(leftover->last_event)}});
    if (leftover->complete) {
      OnOutputComplete(
          item, *std::move(leftover),
          scheduler_.OnRunEnd(item, RunCompleted{}, context_.clock.now()));
    } else {
      leftover->interrupted = context_.clock.now();
      progress_[item] = context_.output_memory.Hold(*std::move(leftover));
    }
  }
}

void PartitionOwner::KeepLeftovers(const std::string& id) {
  const std::vector<v1::BatchItem>& items = items_->open_items(id);
  std::map<std::string, bool> group_complete;
  for (std::size_t i = 0; i < items.size(); ++i) {
    const bool done = completed_.contains({id, i});
    const auto [group, added] =
        group_complete.try_emplace(items[i].group(), done);
    group->second = group->second && done;
  }
  const Instant now = context_.clock.now();
  for (std::size_t i = 0; i < items.size(); ++i) {
    if (group_complete[items[i].group()]) {
      continue;
    }
    if (leftovers_.full()) {
      context_.log.Write(
          "batch.leftovers_dropped",
          {{"batch", id},
           {"items", static_cast<std::int64_t>(items.size() - i)},
           {"limit", static_cast<std::int64_t>(LeftoverOutputs::kMaxOutputs)}});
      break;
    }
    HeldOutput leftover;
    if (const auto done = completed_.find({id, i}); done != completed_.end()) {
      leftover = std::move(done->second);
    } else if (const auto run = runs_.find({id, i}); run != runs_.end()) {
      leftover = context_.output_memory.Hold(run->second.run->progress());
    } else if (const auto kept = progress_.find({id, i});
               kept != progress_.end()) {
      leftover = context_.output_memory.Hold(kept->second.Take());
    }
    leftovers_.Add(KeyOf({id, i}), std::move(leftover), now);
  }
}

void PartitionOwner::ListResult(const ItemRef& item, v1::ItemState state,
                                const ItemProgress& progress,
                                const std::string& score) {
  const v1::BatchItem* stored = FindItem(item);
  v1::ResultRecord result;
  result.set_item(stored->id());
  result.set_state(state);
  result.set_text(progress.text());
  result.set_score(score);
  for (const std::uint64_t version : progress.versions) {
    result.add_versions(version);
  }
  const std::uint32_t position = next_position_[item.batch]++;
  std::vector<platform::KeyedRecord> records =
      stored_progress_.TakeDeletions(item);
  records.insert(records.begin(), {Encode(ResultKey{item.batch, position}),
                                   result.SerializeAsString()});
  AppendRecords(item.batch, std::move(records),
                [this, weak = weak_from_this(), batch = item.batch, position,
                 id = stored->id()] {
                  if (const auto owner = weak.lock()) {
                    context_.log.Write(
                        "item.listed",
                        {{"request", id},
                         {"batch", batch},
                         {"position", static_cast<std::int64_t>(position)}});
                  }
                });
}

}  // namespace mulberryroad::batches
