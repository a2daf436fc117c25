#include "batches/part_owner.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "batches/straggler_policy.h"

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
      on_lost_(std::move(on_lost)) {}

void PartitionOwner::Start() {
  context_.log.Write("part.acquire",
                     {{"part", static_cast<std::int64_t>(partition_.number)},
                      {"epoch", static_cast<std::int64_t>(epoch_)}});
  scorer_ = std::make_shared<ItemScorer>(
      context_, [weak = weak_from_this()](const ItemRef& item,
                                          const ItemScoreResult& result) {
        if (const auto owner = weak.lock()) {
          owner->OnScoreEnd(item, result);
        }
      });
  FollowBatches();
}

void PartitionOwner::FollowBatches() {
  store::TailHandler handler;
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

void PartitionOwner::OnRecord(const platform::KeyedRecord& record) {
  if (const auto id = table_.Apply(record)) {
    UpdateBatch(*id);
  }
}

void PartitionOwner::UpdateBatch(const std::string& id) {
  const Batch* batch = table_.find(id);
  if (batch == nullptr || batch->ended) {
    CloseBatch(id);
    if (batch != nullptr && !batch->stored_chunks.empty()) {
      DeleteChunks(id, *batch);
    }
    return;
  }
  if (!batch->complete() || scheduler_.has_batch(id) ||
      loading_results_.contains(id)) {
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

void PartitionOwner::OpenBatch(const std::string& id, const Batch& batch) {
  const v1::BatchRecord& record = *batch.accepted;
  const WallTime accepted{milliseconds(record.accepted_ms())};
  const auto age = context_.clock.wall_now() - accepted;
  const Instant accepted_at =
      context_.clock.now() - duration_cast<std::chrono::nanoseconds>(age);
  const serving::Route* route =
      context_.catalog.FindRoute(record.host(), record.route());
  BatchInfo info;
  info.id = id;
  info.model = TargetId(record.model());
  info.min_version = record.min_version();
  info.desired_groups = record.desired_groups();
  info.retention_end = accepted_at + kDefaultRetention;
  info.deadline = info.retention_end;
  if (route != nullptr) {
    info.max_attempts = route->max_attempts;
    info.deadline = accepted_at + route->result_deadline;
    if (route->retention > milliseconds(0)) {
      info.retention_end = accepted_at + route->retention;
    }
  }
  std::vector<v1::BatchItem>& items = items_[id];
  for (const auto& [number, chunk] : batch.chunks) {
    items.insert(items.end(), chunk.items().begin(), chunk.items().end());
  }
  for (const v1::BatchItem& item : items) {
    info.items.push_back({item.id(), item.group(),
                          context_.read_headers(item).expected_tokens,
                          batch.listed.contains(item.id()),
                          leftovers_.contains(item.id()), item.has_scorer()});
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
       {"age_ms", duration_cast<milliseconds>(age).count()}});
  const TargetId model = info.model;
  scheduler_.Open(std::move(info));
  RestoreProgress(id, batch);
  ReuseLeftovers(id);
  for (std::size_t i = 0; i < items.size(); ++i) {
    AdoptRun({id, i}, items[i].id());
  }
  // The items of this batch need the slots of the remaining orphaned runs.
  CancelOrphans(model);
}

void PartitionOwner::HandOver() {
  SaveProgress(/*min_events=*/1);
  hand_over_timer_ = context_.loop.After(
      kHandOverDelay, [self = shared_from_this()] { self->Stop(); });
}

void PartitionOwner::CloseBatch(const std::string& id) {
  if (!scheduler_.has_batch(id)) {
    return;
  }
  ExpireLeftovers();
  KeepLeftovers(id);
  OrphanRuns(id);
  scorer_->CancelBatch(id);
  const auto of_batch = [&id](const auto& entry) {
    return entry.first.batch == id;
  };
  std::erase_if(progress_, of_batch);
  DeleteBatchProgress(id);
  std::erase_if(completed_, of_batch);
  items_.erase(id);
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
    const std::string item_id = batch.items[run->first.index].id;
    if (run->second.run->progress().meets_min_version(batch.min_version + 1)) {
      orphans_[item_id] = {std::move(run->second), batch.model};
    } else {
      run->second.run->Cancel();
    }
    run = runs_.erase(run);
  }
}

void PartitionOwner::AdoptRun(const ItemRef& item, const std::string& item_id) {
  const auto orphan = orphans_.find(item_id);
  if (orphan == orphans_.end()) {
    return;
  }
  const BatchInfo& batch = *scheduler_.find(item.batch);
  const ItemRun& run = *orphan->second.running.run;
  const serving::Registration* upstream =
      context_.directory.find(run.upstream());
  const bool usable = upstream != nullptr &&
                      upstream->versions.contains(batch.model) &&
                      upstream->versions.at(batch.model) >= batch.min_version &&
                      run.progress().meets_min_version(batch.min_version);
  if (!usable) {
    return;
  }
  *orphan->second.running.item = item;
  scheduler_.MarkRunning(item, orphan->second.running.run->upstream());
  runs_[item] = std::move(orphan->second.running);
  orphans_.erase(orphan);
  context_.log.Write("item.adopted",
                     {{"request", item_id}, {"batch", item.batch}});
}

void PartitionOwner::CancelOrphans(const TargetId& model) {
  std::erase_if(orphans_, [&model](const auto& entry) {
    const bool cancelled = entry.second.model == model;
    if (cancelled) {
      entry.second.running.run->Cancel();
    }
    return cancelled;
  });
}

void PartitionOwner::OnOrphanEnd(const std::string& item_id,
                                 ItemProgress progress) {
  orphans_.erase(item_id);
  leftovers_[item_id] = {std::move(progress), context_.clock.now()};
}

std::vector<const serving::Registration*> PartitionOwner::UsableUpstreams(
    const BatchInfo& batch, const TargetId& service) const {
  const Instant now = context_.clock.now();
  std::vector<const serving::Registration*> usable =
      context_.directory.Ready(service);
  std::erase_if(usable, [&batch](const serving::Registration* upstream) {
    const auto version = upstream->versions.find(batch.model);
    return version == upstream->versions.end() ||
           version->second < batch.min_version;
  });
  // Waiting for a slot is better than using an upstream whose runs fail.
  usable = serving::UsableUpstreams(usable, context_.loads, now);
  std::erase_if(usable, [this, now](const serving::Registration* upstream) {
    return !context_.loads.HasCapacity(upstream->id, upstream->slots, now);
  });
  return usable;
}

std::vector<PlacementCandidate> PartitionOwner::CandidatesFor(
    const BatchInfo& batch, const TargetId& service) const {
  const Instant now = context_.clock.now();
  std::vector<PlacementCandidate> candidates;
  for (const serving::Registration* upstream :
       UsableUpstreams(batch, service)) {
    const serving::HealthState health =
        context_.loads.health().health_state(upstream->id, now);
    // An upstream on trial is not avoided: it gets one item at a time, which
    // shows whether it has recovered.
    candidates.push_back({upstream->id, upstream->slots,
                          context_.loads.running(upstream->id),
                          context_.loads.latency(upstream->id, now),
                          upstream->failure_domain == context_.own_domain,
                          health == serving::HealthState::kSuspect ||
                              health == serving::HealthState::kEjected});
  }
  return candidates;
}

std::optional<UpstreamId> PartitionOwner::PlaceItem(const BatchInfo& batch,
                                                    const ItemRef& ref,
                                                    const UpstreamId& last,
                                                    PlacementPass* pass) {
  const v1::BatchItem* item = FindItem(ref);
  const serving::Route* route =
      item == nullptr
          ? nullptr
          : context_.catalog.FindRoute(table_.find(batch.id)->accepted->host(),
                                       item->path());
  if (route == nullptr || route->services.empty()) {
    return std::nullopt;
  }
  std::uniform_real_distribution<double> draw(0.0, 1.0);
  const TargetId* service =
      serving::ChooseService(*route, draw(context_.random));
  if (service == nullptr) {
    return std::nullopt;
  }
  const auto [entry, added] = pass->try_emplace({batch.id, *service});
  std::vector<PlacementCandidate>& candidates = entry->second;
  if (added) {
    candidates = CandidatesFor(batch, *service);
  }
  const PlacementCandidate* chosen = ChooseItemUpstream(
      candidates, last, LengthShare(batch, ref), draw(context_.random));
  if (chosen == nullptr) {
    return std::nullopt;
  }
  const UpstreamId id = chosen->id;
  // Starts the run at once, so that its load counts in the next placement.
  StartRun({ref, id});
  PlacementCandidate& used =
      candidates[static_cast<std::size_t>(chosen - candidates.data())];
  ++used.running;
  const Instant now = context_.clock.now();
  const bool trial_in_flight = context_.loads.health().health_state(id, now) ==
                               serving::HealthState::kEjected;
  if (trial_in_flight || !context_.loads.HasCapacity(id, used.slots, now)) {
    std::swap(used, candidates.back());
    candidates.pop_back();
  }
  return id;
}

double PartitionOwner::ExpectedEvents(const BatchInfo& batch,
                                      const ItemRef& item) const {
  return completed_hint_ > 0 ? batch.items[item.index].expected_tokens *
                                   completed_events_ / completed_hint_
                             : 0.0;
}

double PartitionOwner::LengthShare(const BatchInfo& batch,
                                   const ItemRef& item) const {
  double longest = 0;
  for (const ItemInfo& other : batch.items) {
    longest = std::max(longest, other.expected_tokens);
  }
  const auto progress = progress_.find(item);
  const double events = progress == progress_.end()
                            ? 0.0
                            : static_cast<double>(progress->second.last_event);
  if (longest <= 0 || (events > 0 && events >= ExpectedEvents(batch, item))) {
    // Nothing is known, or the output is longer than estimated.
    return 1.0;
  }
  return batch.items[item.index].expected_tokens / longest;
}

void PartitionOwner::MoveStragglers() {
  std::set<std::string> batches;
  for (const auto& [item, run] : runs_) {
    batches.insert(item.batch);
  }
  for (const std::string& id : batches) {
    MoveStragglersOf(id);
  }
}

void PartitionOwner::MoveStragglersOf(const std::string& id) {
  const BatchInfo* batch = scheduler_.find(id);
  const v1::BatchRecord& record = *table_.find(id)->accepted;
  const serving::Route* route =
      context_.catalog.FindRoute(record.host(), record.route());
  if (route != nullptr && route->single_version) {
    // A moved sample would start again if the other upstream has another
    // version.
    return;
  }
  const Instant now = context_.clock.now();
  std::vector<RunningItem> running;
  std::vector<FreeUpstream> free;
  for (auto run = runs_.lower_bound({id, 0});
       run != runs_.end() && run->first.batch == id; ++run) {
    running.push_back(
        {run->first, run->second.run->upstream(),
         context_.loads.latency(run->second.run->upstream(), now),
         duration_cast<milliseconds>(now - run->second.run->started()),
         static_cast<double>(run->second.run->progress().last_event),
         ExpectedEvents(*batch, run->first)});
  }
  const serving::Registration* current =
      context_.directory.find(running.front().upstream);
  if (current == nullptr) {
    return;
  }
  for (const serving::Registration* upstream :
       UsableUpstreams(*batch, current->service)) {
    if (context_.loads.health().health_state(upstream->id, now) ==
        serving::HealthState::kHealthy) {
      free.push_back({upstream->id, context_.loads.latency(upstream->id, now),
                      upstream->slots - context_.loads.running(upstream->id)});
    }
  }
  for (const ItemRef& item : RunsToMove(std::move(running), free)) {
    context_.metrics.Count("item_moves_total", {});
    runs_.at(item).run->InterruptForMove();
  }
}

const v1::BatchItem* PartitionOwner::FindItem(const ItemRef& item) const {
  const auto found = items_.find(item.batch);
  return found == items_.end() || item.index >= found->second.size()
             ? nullptr
             : &found->second[item.index];
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
  scheduler_.Place(now,
                   [this, &pass](const BatchInfo& batch, const ItemRef& item,
                                 const UpstreamId& last) {
                     return PlaceItem(batch, item, last, &pass);
                   });
  last_pass_ = context_.clock.now();
}

void PartitionOwner::StartRun(const PlacedItem& start) {
  const v1::BatchItem& item = *FindItem(start.item);
  const v1::BatchRecord& record = *table_.find(start.item.batch)->accepted;
  const serving::Registration& upstream =
      *context_.directory.find(start.upstream);
  serving::OutgoingRequest request;
  request.id = RequestId(item.id());
  request.method = http::Method::kPost;
  request.host = record.host();
  request.target = item.path();
  for (const v1::StoredHeader& header : item.headers()) {
    request.headers.push_back({header.name(), header.value()});
  }
  request.body = item.body();
  request.organisation = OrganisationId(record.organisation());
  const serving::Route* route =
      context_.catalog.FindRoute(record.host(), item.path());
  ItemProgress progress = std::move(progress_[start.item]);
  std::uint64_t expected_version = 0;
  if (route != nullptr && route->single_version) {
    expected_version = upstream.versions.at(TargetId(record.model()));
    if (progress.last_event > 0 && progress.version != expected_version) {
      // A single-version sample cannot resume under another version: restarts
      // it from the beginning.
      progress = {};
      DeleteItemProgress(start.item);
    }
  }
  context_.log.Write(
      "item.start",
      {{"request", item.id()},
       {"batch", start.item.batch},
       {"upstream", start.upstream.value()},
       {"running",
        static_cast<std::int64_t>(context_.loads.running(start.upstream))},
       {"resume_after", static_cast<std::int64_t>(progress.last_event)},
       {"manifest", static_cast<std::int64_t>(context_.catalog.version())}});
  const auto shared_item = std::make_shared<ItemRef>(start.item);
  auto run = std::make_shared<ItemRun>(
      context_.loop, context_.clock, context_.caller, context_.loads,
      start.upstream, std::move(progress),
      scheduler_.find(start.item.batch)->retention_end, RunTimeouts{},
      [weak = weak_from_this()] {
        if (const auto owner = weak.lock()) {
          owner->PostSchedule();
        }
      },
      [weak = weak_from_this(), shared_item, item_id = item.id(),
       id = start.upstream](const RunEnd& end, ItemProgress final_progress) {
        if (const auto owner = weak.lock()) {
          owner->OnRunEnd(*shared_item, item_id, id, end,
                          std::move(final_progress));
        }
      });
  runs_[start.item] = {run, shared_item};
  run->Start(upstream, request, expected_version);
}

void PartitionOwner::OnRunEnd(const ItemRef& item, const std::string& item_id,
                              const UpstreamId& upstream, const RunEnd& end,
                              ItemProgress progress) {
  if (stopped_) {
    return;
  }
  if (orphans_.contains(item_id)) {
    OnOrphanEnd(item_id, std::move(progress));
    return;
  }
  runs_.erase(item);
  static constexpr const char* kOutcomeNames[] = {
      "completed", "failed", "impossible", "refused", "interrupted", "moved"};
  const v1::BatchItem* stored = FindItem(item);
  const BatchInfo* batch = scheduler_.find(item.batch);
  if (stored == nullptr || batch == nullptr) {
    return;
  }
  const bool completed = std::holds_alternative<RunCompleted>(end);
  const bool stale =
      completed && !progress.meets_min_version(batch->min_version);
  context_.log.Write(
      "item.end",
      {{"request", stored->id()},
       {"batch", item.batch},
       {"upstream", upstream.value()},
       {"outcome", stale ? "stale" : kOutcomeNames[end.index()]},
       {"events", static_cast<std::int64_t>(progress.events.size())},
       {"version", static_cast<std::int64_t>(progress.version)}});
  context_.metrics.Count("item_runs_total",
                         {{"outcome", kOutcomeNames[end.index()]}});
  const ItemDecision step = scheduler_.OnRunEnd(
      item, stale ? RunEnd(RunInterrupted{}) : end, context_.clock.now());
  if (completed && !stale) {
    OnOutputComplete(item, std::move(progress), step);
  } else if (std::holds_alternative<ListTerminated>(step)) {
    ListResult(item, v1::ITEM_STATE_TERMINATED, {}, "");
  } else if (stale) {
    DeleteItemProgress(item);
  } else {
    progress_[item] = std::move(progress);
  }
  PostSchedule();
}

void PartitionOwner::OnOutputComplete(const ItemRef& item,
                                      ItemProgress progress,
                                      const ItemDecision& decision) {
  if (std::holds_alternative<ListCompleted>(decision)) {
    ListCompletedItem(item, std::move(progress), "");
  } else if (std::holds_alternative<AwaitScore>(decision)) {
    const v1::BatchItem& stored = *FindItem(item);
    const BatchInfo& batch = *scheduler_.find(item.batch);
    const serving::Route* route = context_.catalog.FindRoute(
        stored.scorer().host(), stored.scorer().path());
    SaveCompleteOutput(item, progress);
    progress_[item] = std::move(progress);
    scorer_->Add({item,
                  std::max(batch.max_attempts,
                           route == nullptr ? 1 : route->max_attempts),
                  batch.deadline},
                 stored, batch.retention_end);
  }
}

void PartitionOwner::OnScoreEnd(const ItemRef& item,
                                const ItemScoreResult& result) {
  if (stopped_ || !scheduler_.OnScoreEnd(item)) {
    return;
  }
  const auto found = progress_.find(item);
  ItemProgress progress = std::move(found->second);
  progress_.erase(found);
  if (const auto* scored = std::get_if<ItemScored>(&result)) {
    ListCompletedItem(item, std::move(progress), scored->score);
  } else {
    ListResult(item, v1::ITEM_STATE_TERMINATED, {}, "");
  }
}

void PartitionOwner::ListCompletedItem(const ItemRef& item,
                                       ItemProgress progress,
                                       const std::string& score) {
  const double hint =
      scheduler_.find(item.batch)->items[item.index].expected_tokens;
  if (hint > 0) {
    completed_hint_ += hint;
    completed_events_ += static_cast<double>(progress.last_event);
  }
  ListResult(item, v1::ITEM_STATE_COMPLETED, progress, score);
  completed_[item] = std::move(progress);
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
