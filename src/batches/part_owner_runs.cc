// Runs of a partition owner: chooses upstreams, starts runs, moves them to
// faster upstreams, and lists the items whose runs or scorer calls have ended.

#include <algorithm>
#include <utility>
#include <variant>

#include "batches/part_owner.h"
#include "batches/resume_policy.h"
#include "batches/straggler_policy.h"

namespace mulberryroad::batches {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

}  // namespace

std::vector<const serving::Registration*> PartitionOwner::SuitableUpstreams(
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
  return serving::UsableUpstreams(usable, context_.loads, now);
}

std::vector<const serving::Registration*> PartitionOwner::UsableUpstreams(
    const BatchInfo& batch, const TargetId& service) const {
  const Instant now = context_.clock.now();
  std::vector<const serving::Registration*> usable =
      SuitableUpstreams(batch, service);
  std::erase_if(usable, [this, now](const serving::Registration* upstream) {
    return !context_.loads.HasCapacity(upstream->id, upstream->slots, now);
  });
  return usable;
}

std::vector<PlacementCandidate> PartitionOwner::CandidatesFor(
    const BatchInfo& batch, const TargetId& service) {
  const Instant now = context_.clock.now();
  const std::vector<const serving::Registration*> suitable =
      SuitableUpstreams(batch, service);
  std::vector<const serving::Registration*> free = suitable;
  std::erase_if(free, [this, now](const serving::Registration* upstream) {
    return !context_.loads.HasFreeSlot(upstream->id, upstream->slots, now);
  });
  const std::vector<UpstreamId> limited =
      serving::UpstreamsToAskFor(free, context_.loads, now);
  permits_.Request(limited,
                   serving::PendingPermitsFor(limited, context_.loads, now));
  serving::OtherNodesLoad* others = context_.loads.other_nodes();
  std::vector<const serving::Registration*> usable = free;
  std::erase_if(usable, [this, now](const serving::Registration* upstream) {
    return !context_.loads.MaySend(upstream->id, now);
  });
  if (others != nullptr && !usable.empty()) {
    others->OnNotHeld(service);
  } else if (others != nullptr) {
    usable = UpstreamsForHeldItem(suitable, service);
  }
  std::vector<PlacementCandidate> candidates;
  for (const serving::Registration* upstream : usable) {
    const serving::HealthState health =
        context_.loads.health().health_state(upstream->id, now);
    // An upstream on trial is not avoided: it gets one item at a time, which
    // shows whether it has recovered.
    candidates.push_back(
        {upstream->id, upstream->slots,
         context_.loads.in_use(upstream->id, now),
         context_.loads.latency(upstream->id, now),
         upstream->failure_domain == context_.own_domain,
         health == serving::HealthState::kSuspect ||
             health == serving::HealthState::kEjected,
         upstream->software,
         others == nullptr ? 0 : others->unreported(upstream->id, now)});
  }
  return candidates;
}

std::vector<const serving::Registration*> PartitionOwner::UpstreamsForHeldItem(
    const std::vector<const serving::Registration*>& suitable,
    const TargetId& service) const {
  const Instant now = context_.clock.now();
  serving::OtherNodesLoad& others = *context_.loads.other_nodes();
  const serving::Registration* least_used = nullptr;
  for (const serving::Registration* upstream : suitable) {
    if (context_.loads.HasCapacityForOwnLoad(upstream->id, upstream->slots,
                                             now) &&
        (least_used == nullptr || others.running(upstream->id, now) <
                                      others.running(least_used->id, now))) {
      least_used = upstream;
    }
  }
  if (least_used == nullptr) {
    others.OnNotHeld(service);
    return {};
  }
  if (!others.OnHeld(service, now)) {
    return {};
  }
  return {least_used};
}

std::optional<std::string> PartitionOwner::BoundSoftware(
    const ItemRef& item) const {
  const auto found = progress_.find(item);
  return found == progress_.end() || found->second.progress().last_event == 0
             ? std::nullopt
             : std::optional(found->second.progress().software);
}

bool PartitionOwner::PrepareResume(
    const BatchInfo& batch, const ItemRef& item, const TargetId& service,
    const std::vector<PlacementCandidate>& candidates) {
  const auto software = BoundSoftware(item);
  if (!software.has_value()) {
    return true;
  }
  const ItemProgress& progress = progress_.at(item).progress();
  const auto runs_it = [&software](const auto& upstream) {
    return upstream.software == *software;
  };
  const auto suitable = SuitableUpstreams(batch, service);
  const auto registered =
      std::find_if(suitable.begin(), suitable.end(),
                   [&runs_it](const auto* u) { return runs_it(*u); });
  if (suitable.empty() && context_.directory.evacuations().size() > 0) {
    // The upstreams of the item may be in the evacuated domains, and there is
    // no other one at which it could start again.
    return false;
  }
  const bool free = std::any_of(candidates.begin(), candidates.end(), runs_it);
  const Instant now = context_.clock.now();
  const auto interval = registered == suitable.end()
                            ? std::nullopt
                            : context_.loads.latency((*registered)->id, now);
  // Upstreams that name no version may run different ones.
  const bool resumable = registered != suitable.end() && !software->empty();
  const ResumeDecision decision = DecideResume(
      {progress.last_event, interval.value_or(kDefaultEventInterval),
       duration_cast<milliseconds>(now - progress.interrupted)},
      resumable, free && resumable);
  if (std::holds_alternative<AwaitVersion>(decision)) {
    return false;
  }
  if (std::holds_alternative<RestartItem>(decision)) {
    context_.metrics.Count("item_restarts_total", {});
    context_.log.Write(
        "item.restarted",
        {{"request", FindItem(item)->id()},
         {"batch", item.batch},
         {"software", *software},
         {"registered", registered != suitable.end()},
         {"events", static_cast<std::int64_t>(progress.last_event)},
         {"waited_ms",
          duration_cast<milliseconds>(now - progress.interrupted).count()}});
    progress_.erase(item);
    DeleteItemProgress(item);
  }
  return true;
}

const serving::Route* PartitionOwner::FindItemRoute(const BatchInfo& batch,
                                                    const ItemRef& item,
                                                    PlacementPass* pass) {
  const v1::BatchItem* stored = FindItem(item);
  if (stored == nullptr) {
    return nullptr;
  }
  const std::string& host = table_.find(batch.id)->accepted->host();
  if (pass->host != host || pass->path != stored->path()) {
    pass->host = host;
    pass->path = stored->path();
    pass->route = context_.catalog.FindRoute(host, stored->path());
  }
  return pass->route;
}

std::optional<UpstreamId> PartitionOwner::PlaceItem(const BatchInfo& batch,
                                                    const ItemRef& ref,
                                                    const UpstreamId& last,
                                                    PlacementPass* pass) {
  const serving::Route* route = FindItemRoute(batch, ref, pass);
  if (route == nullptr) {
    return std::nullopt;
  }
  std::uniform_real_distribution<double> draw(0.0, 1.0);
  const TargetId* service =
      serving::ChooseService(*route, draw(context_.random));
  if (service == nullptr) {
    return std::nullopt;
  }
  const auto [entry, added] =
      pass->candidates.try_emplace({batch.id, *service});
  std::vector<PlacementCandidate>& candidates = entry->second;
  if (added) {
    candidates = CandidatesFor(batch, *service);
  }
  if (candidates.empty() || !PrepareResume(batch, ref, *service, candidates)) {
    return std::nullopt;
  }
  const PlacementCandidate* chosen =
      ChooseItemUpstream(candidates, BoundSoftware(ref), last,
                         LengthShare(batch, ref), draw(context_.random));
  if (chosen == nullptr) {
    return std::nullopt;
  }
  const UpstreamId id = chosen->id;
  // Starts the run at once, so that its load counts in the next placement.
  StartRun({ref, id});
  PlacementCandidate& used =
      candidates[static_cast<std::size_t>(chosen - candidates.data())];
  ++used.running;
  if (const auto* others = context_.loads.other_nodes();
      others != nullptr && others->present(context_.clock.now())) {
    ++used.unreported;
  }
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
  const double events =
      progress == progress_.end()
          ? 0.0
          : static_cast<double>(progress->second.progress().last_event);
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
  // A run can move only among the upstreams of its service and software
  // version.
  struct Group {
    std::vector<RunningItem> running;
    std::vector<FreeUpstream> free;
  };
  std::map<TargetId, std::map<std::string, Group>> services;
  for (auto run = runs_.lower_bound({id, 0});
       run != runs_.end() && run->first.batch == id; ++run) {
    const UpstreamId& upstream = run->second.run->upstream();
    services[run->second.service][run->second.run->progress().software]
        .running.push_back(
            {run->first, upstream, context_.loads.latency(upstream, now),
             duration_cast<milliseconds>(now - run->second.run->started()),
             static_cast<double>(run->second.run->progress().last_event),
             ExpectedEvents(*batch, run->first)});
  }
  std::vector<ItemRef> moves;
  for (auto& [service, groups] : services) {
    for (const serving::Registration* upstream :
         UsableUpstreams(*batch, service)) {
      if (context_.loads.health().health_state(upstream->id, now) ==
          serving::HealthState::kHealthy) {
        groups[upstream->software].free.push_back(
            {upstream->id, context_.loads.latency(upstream->id, now),
             context_.loads.free_slots(upstream->id, upstream->slots, now)});
      }
    }
    for (auto& [software, group] : groups) {
      const std::vector<ItemRef> chosen =
          RunsToMove(std::move(group.running), group.free);
      moves.insert(moves.end(), chosen.begin(), chosen.end());
    }
  }
  for (const ItemRef& item : moves) {
    context_.metrics.Count("item_moves_total", {});
    runs_.at(item).run->InterruptForMove();
  }
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
  ItemProgress progress = progress_[start.item].Take();
  std::uint64_t expected_version = 0;
  if (IsSingleVersion(start.item)) {
    expected_version = upstream.versions.at(TargetId(record.model()));
    if (progress.last_event > 0 &&
        progress.versions != std::set<std::uint64_t>{expected_version}) {
      // A single-version sample cannot resume under another version: restarts
      // it from the beginning.
      progress = {};
    }
  }
  if (progress.last_event == 0) {
    // Events of an earlier output, which was evicted or did not fit, must not
    // be restored before those of this run.
    DeleteItemProgress(start.item);
  }
  const std::uint64_t number = ++last_run_number_;
  context_.log.Write(
      "item.start",
      {{"request", item.id()},
       {"batch", start.item.batch},
       {"run", static_cast<std::int64_t>(number)},
       {"upstream", start.upstream.value()},
       {"software", upstream.software},
       {"running",
        static_cast<std::int64_t>(context_.loads.running(start.upstream))},
       {"resume_after", static_cast<std::int64_t>(progress.last_event)},
       {"manifest", static_cast<std::int64_t>(context_.catalog.version())}});
  const auto shared_item = std::make_shared<ItemRef>(start.item);
  auto run = std::make_shared<ItemRun>(
      context_.loop, context_.clock, context_.caller, context_.loads,
      start.upstream, std::move(progress),
      scheduler_.find(start.item.batch)->limits.retention_end,
      RunLimits{.max_output_bytes = MaxOutputBytes(context_.max_record_bytes)},
      [weak = weak_from_this()] {
        if (const auto owner = weak.lock()) {
          owner->PostSchedule();
        }
      },
      [weak = weak_from_this(), number, shared_item, id = start.upstream](
          const RunEnd& end, ItemProgress final_progress) {
        if (const auto owner = weak.lock()) {
          owner->OnRunEnd(number, *shared_item, id, end,
                          std::move(final_progress));
        }
      });
  runs_[start.item] = {run, number, shared_item, upstream.service};
  run->Start(upstream, request, expected_version);
}

void PartitionOwner::OnRunEnd(std::uint64_t run, const ItemRef& item,
                              const UpstreamId& upstream, const RunEnd& end,
                              ItemProgress progress) {
  if (stopped_) {
    return;
  }
  if (auto orphan = orphans_.extract(run)) {
    OnOrphanEnd(std::move(orphan.mapped()), std::move(progress));
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
  const bool stale = completed && !Fits(item, progress);
  context_.log.Write(
      "item.end",
      {{"request", stored->id()},
       {"batch", item.batch},
       {"run", static_cast<std::int64_t>(run)},
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
    if (std::holds_alternative<RunFailed>(end)) {
      StoreFailure(item, progress);
    }
    progress.interrupted = context_.clock.now();
    progress_[item] = context_.output_memory.Hold(std::move(progress));
  }
  PostSchedule();
}

void PartitionOwner::OnOutputComplete(const ItemRef& item,
                                      ItemProgress progress,
                                      const ItemDecision& decision) {
  if (std::holds_alternative<ListCompleted>(decision)) {
    ListCompletedItem(item, std::move(progress), "");
  } else if (std::holds_alternative<AwaitScore>(decision)) {
    const BatchLimits& limits = scheduler_.find(item.batch)->limits;
    SaveCompleteOutput(item, progress);
    progress_[item] = context_.output_memory.Hold(
        std::move(progress), OutputMemory::Eviction::kForbidden);
    scorer_->Add({item, limits.deadline}, *FindItem(item),
                 limits.retention_end);
  }
}

void PartitionOwner::OnScoreEnd(const ItemRef& item,
                                const ItemScoreResult& result) {
  if (stopped_ || !scheduler_.OnScoreEnd(item)) {
    return;
  }
  const auto found = progress_.find(item);
  ItemProgress progress = found->second.Take();
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
  completed_[item] = context_.output_memory.Hold(std::move(progress));
  ReleaseCompletedGroup(item);
}

void PartitionOwner::ReleaseCompletedGroup(const ItemRef& item) {
  const std::vector<ItemInfo>& items = scheduler_.find(item.batch)->items;
  std::vector<HeldOutput*> outputs;
  for (std::size_t i = 0; i < items.size(); ++i) {
    if (items[i].group != items[item.index].group) {
      continue;
    }
    const auto completed = completed_.find({item.batch, i});
    if (completed == completed_.end()) {
      return;
    }
    outputs.push_back(&completed->second);
  }
  for (HeldOutput* output : outputs) {
    *output = {};
  }
}

}  // namespace mulberryroad::batches
