// Storage of a partition owner: writes results and the progress of unfinished
// items, restores them, and deletes them when they are no longer needed.

#include <algorithm>
#include <tuple>
#include <utility>
#include <variant>

#include "batches/part_owner.h"

namespace mulberryroad::batches {

namespace {

bool HasMoreOutput(const ItemProgress& left, const ItemProgress& right) {
  return std::tie(left.complete, left.last_event) >
         std::tie(right.complete, right.last_event);
}

}  // namespace

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
    WriterFor(id).writer->Append(
        std::move(results), [weak = weak_from_this(), id = id] {
          if (const auto owner = weak.lock()) {
            owner->context_.store.Append(
                owner->partition_,
                {{Encode(EndKey{id}), std::nullopt},
                 {Encode(AcceptedKey{id}), std::nullopt}},
                {}, kReadTimeout, [](const platform::AppendOutcome&) {});
          }
        });
  }
}

// Restores the progress that an earlier owner stored for unfinished items.
void PartitionOwner::RestoreProgress(const std::string& id,
                                     const Batch& batch) {
  const std::vector<v1::BatchItem>& items = items_->open_items(id);
  for (std::size_t i = 0; i < items.size(); ++i) {
    const auto stored = batch.progress.find(items[i].id());
    if (stored == batch.progress.end() ||
        batch.listed.contains(items[i].id())) {
      continue;
    }
    const ItemRef item{id, i};
    ItemProgress progress;
    StoredProgress& saved = stored_progress_[item];
    for (const auto& [number, record] : stored->second) {
      saved.records = number + 1;
      if (!progress.AppendRecord(record)) {
        break;
      }
    }
    saved.last_event = progress.last_event;
    saved.complete = progress.complete;
    context_.log.Write(
        "item.restored",
        {{"request", items[i].id()},
         {"batch", id},
         {"complete", progress.complete},
         {"fits", Fits(item, progress)},
         {"events", static_cast<std::int64_t>(progress.last_event)}});
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
      progress_[item] = std::move(progress);
    }
  }
}

void PartitionOwner::SaveCompleteOutput(const ItemRef& item,
                                        const ItemProgress& progress) {
  const v1::BatchItem& stored = *FindItem(item);
  StoredProgress& saved = stored_progress_[item];
  if (!IsValidKeyId(stored.id()) || saved.complete) {
    return;
  }
  WriterFor(item.batch)
      .writer->Append(
          {{Encode(ProgressKey{item.batch, stored.id(), saved.records}),
            progress.RecordSince(saved.last_event).SerializeAsString()}},
          nullptr);
  saved.last_event = progress.last_event;
  saved.complete = true;
  ++saved.records;
}

void PartitionOwner::SaveProgress(std::uint64_t min_events) {
  std::map<platform::PartitionId, std::vector<platform::KeyedRecord>> records;
  for (const auto& [item, running] : runs_) {
    const ItemProgress& progress = running.run->progress();
    StoredProgress& saved = stored_progress_[item];
    const v1::BatchItem* stored = FindItem(item);
    if (progress.last_event < saved.last_event + min_events ||
        !IsValidKeyId(stored->id())) {
      continue;
    }
    records[ResultPartitionOf(item.batch, context_.partitions)].push_back(
        {Encode(ProgressKey{item.batch, stored->id(), saved.records}),
         progress.RecordSince(saved.last_event).SerializeAsString()});
    saved.last_event = progress.last_event;
    ++saved.records;
  }
  for (auto& [partition, batch] : records) {
    writers_.at(partition).writer->Append(std::move(batch), nullptr);
  }
}

std::vector<platform::KeyedRecord> PartitionOwner::TakeProgressDeletions(
    const ItemRef& item) {
  std::vector<platform::KeyedRecord> deletions;
  const auto saved = stored_progress_.find(item);
  if (saved == stored_progress_.end()) {
    return deletions;
  }
  for (std::uint32_t i = 0; i < saved->second.records; ++i) {
    deletions.push_back(
        {Encode(ProgressKey{item.batch, FindItem(item)->id(), i}),
         std::nullopt});
  }
  stored_progress_.erase(saved);
  return deletions;
}

void PartitionOwner::DeleteItemProgress(const ItemRef& item) {
  std::vector<platform::KeyedRecord> deletions = TakeProgressDeletions(item);
  if (!deletions.empty()) {
    WriterFor(item.batch).writer->Append(std::move(deletions), nullptr);
  }
}

void PartitionOwner::DeleteBatchProgress(const std::string& id) {
  std::vector<platform::KeyedRecord> deletions;
  while (true) {
    const auto saved = stored_progress_.lower_bound({id, 0});
    if (saved == stored_progress_.end() || saved->first.batch != id) {
      break;
    }
    const ItemRef item = saved->first;
    for (platform::KeyedRecord& deletion : TakeProgressDeletions(item)) {
      deletions.push_back(std::move(deletion));
    }
  }
  if (!deletions.empty()) {
    WriterFor(id).writer->Append(std::move(deletions), nullptr);
  }
}

void PartitionOwner::ReuseLeftovers(const std::string& id) {
  const std::vector<v1::BatchItem>& items = items_->open_items(id);
  for (std::size_t i = 0; i < items.size(); ++i) {
    const ItemRef item{id, i};
    const auto [first, last] = leftovers_.equal_range(KeyOf(item));
    auto best = last;
    for (auto found = first; found != last; ++found) {
      const ItemProgress& progress = found->second.progress;
      if (Fits(item, progress) &&
          (best == last || HasMoreOutput(progress, best->second.progress))) {
        best = found;
      }
    }
    if (best == last) {
      leftovers_.erase(first, last);
      continue;
    }
    Leftover leftover = std::move(best->second);
    leftovers_.erase(first, last);
    context_.log.Write(
        "item.reused",
        {{"request", items[i].id()},
         {"batch", id},
         {"complete", leftover.progress.complete},
         {"events", static_cast<std::int64_t>(leftover.progress.last_event)}});
    if (leftover.progress.complete) {
      OnOutputComplete(
          item, std::move(leftover.progress),
          scheduler_.OnRunEnd(item, RunCompleted{}, context_.clock.now()));
    } else {
      leftover.progress.interrupted = context_.clock.now();
      progress_[item] = std::move(leftover.progress);
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
    if (leftovers_.size() >= kMaxLeftovers) {
      context_.log.Write(
          "batch.leftovers_dropped",
          {{"batch", id},
           {"items", static_cast<std::int64_t>(items.size() - i)},
           {"limit", static_cast<std::int64_t>(kMaxLeftovers)}});
      break;
    }
    Leftover leftover{{}, now};
    if (const auto done = completed_.find({id, i}); done != completed_.end()) {
      leftover.progress = std::move(done->second);
    } else if (const auto run = runs_.find({id, i}); run != runs_.end()) {
      leftover.progress = run->second.run->progress();
    } else if (const auto kept = progress_.find({id, i});
               kept != progress_.end()) {
      leftover.progress = std::move(kept->second);
    }
    leftovers_.emplace(KeyOf({id, i}), std::move(leftover));
  }
}

void PartitionOwner::ExpireLeftovers() {
  const Instant now = context_.clock.now();
  std::erase_if(leftovers_, [now](const auto& entry) {
    return now >= entry.second.since + kLeftoverRetention;
  });
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
  std::vector<platform::KeyedRecord> records = TakeProgressDeletions(item);
  records.insert(records.begin(), {Encode(ResultKey{item.batch, position}),
                                   result.SerializeAsString()});
  WriterFor(item.batch)
      .writer->Append(std::move(records), [this, weak = weak_from_this(),
                                           batch = item.batch, position,
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
