#include "batches/item_scheduler.h"

#include <algorithm>
#include <utility>

namespace mulberryroad::batches {

std::vector<std::size_t> OrderItems(const BatchInfo& batch) {
  std::map<std::string, double> longest;
  for (const ItemInfo& item : batch.items) {
    double& group = longest[item.group];
    group = std::max(group, item.expected_tokens);
  }
  std::set<std::string> carried_over;
  for (const ItemInfo& item : batch.items) {
    if (item.carried_over) {
      carried_over.insert(item.group);
    }
  }
  std::vector<std::pair<double, std::string>> groups;
  groups.reserve(longest.size());
  for (const auto& [group, tokens] : longest) {
    if (!carried_over.contains(group)) {
      groups.emplace_back(tokens, group);
    }
  }
  std::sort(groups.begin(), groups.end());
  std::set<std::string> surplus;
  const std::size_t desired =
      batch.desired_groups == 0
          ? groups.size()
          : batch.desired_groups -
                std::min(batch.desired_groups, carried_over.size());
  for (std::size_t i = desired; i < groups.size(); ++i) {
    surplus.insert(groups[i].second);
  }
  std::vector<std::size_t> order(batch.items.size());
  for (std::size_t i = 0; i < order.size(); ++i) {
    order[i] = i;
  }
  std::stable_sort(order.begin(), order.end(),
                   [&](std::size_t a, std::size_t b) {
                     const ItemInfo& left = batch.items[a];
                     const ItemInfo& right = batch.items[b];
                     const bool left_surplus = surplus.contains(left.group);
                     const bool right_surplus = surplus.contains(right.group);
                     if (left_surplus != right_surplus) {
                       return right_surplus;
                     }
                     return left.expected_tokens > right.expected_tokens;
                   });
  return order;
}

void ItemScheduler::Open(BatchInfo batch) {
  Entry entry;
  entry.items.resize(batch.items.size());
  for (std::size_t i = 0; i < batch.items.size(); ++i) {
    if (batch.items[i].listed) {
      entry.items[i].state = State::kDone;
    }
  }
  entry.order = OrderItems(batch);
  const std::string id = batch.id;
  entry.info = std::move(batch);
  batches_[id] = std::move(entry);
}

void ItemScheduler::SetLimits(const std::string& batch,
                              const BatchLimits& limits) {
  if (const auto found = batches_.find(batch); found != batches_.end()) {
    found->second.info.limits = limits;
  }
}

void ItemScheduler::Close(const std::string& batch) { batches_.erase(batch); }

std::vector<ItemScheduler::Entry*> ItemScheduler::EntriesByDeadline() {
  std::vector<Entry*> entries;
  for (auto& [id, entry] : batches_) {
    entries.push_back(&entry);
  }
  std::stable_sort(entries.begin(), entries.end(), [](Entry* a, Entry* b) {
    return a->info.limits.deadline < b->info.limits.deadline;
  });
  return entries;
}

std::vector<PlacedItem> ItemScheduler::Place(Instant now,
                                             const ItemPlacer& placer) {
  std::vector<PlacedItem> starts;
  for (Entry* entry : EntriesByDeadline()) {
    for (const std::size_t index : entry->order) {
      Item& item = entry->items[index];
      if (item.state != State::kWaiting || now < item.not_before) {
        continue;
      }
      const ItemRef ref{entry->info.id, index};
      const std::optional<UpstreamId> upstream =
          placer(entry->info, ref, item.last);
      if (!upstream.has_value()) {
        continue;
      }
      item.state = State::kRunning;
      item.last = *upstream;
      starts.push_back({ref, *upstream});
    }
  }
  return starts;
}

ItemScheduler::Item* ItemScheduler::FindItem(const ItemRef& ref) {
  const auto found = batches_.find(ref.batch);
  if (found == batches_.end() || ref.index >= found->second.items.size()) {
    return nullptr;
  }
  return &found->second.items[ref.index];
}

bool ItemScheduler::HasFailedTooOften(const ItemRef& ref,
                                      const Item& item) const {
  const auto& max_attempts = batches_.at(ref.batch).info.limits.max_attempts;
  return max_attempts.has_value() && item.failures >= *max_attempts;
}

bool ItemScheduler::MarkRunning(const ItemRef& ref,
                                const UpstreamId& upstream) {
  Item* item = FindItem(ref);
  if (item == nullptr || item->state != State::kWaiting) {
    return false;
  }
  item->state = State::kRunning;
  item->last = upstream;
  return true;
}

ItemDecision ItemScheduler::OnRunEnd(const ItemRef& ref, const RunEnd& end,
                                     Instant now) {
  Item* item = FindItem(ref);
  if (item == nullptr || item->state == State::kDone ||
      item->state == State::kAwaitingScore) {
    return NoResult{};
  }
  if (std::holds_alternative<RunCompleted>(end)) {
    if (batches_.at(ref.batch).info.items[ref.index].needs_score) {
      item->state = State::kAwaitingScore;
      return AwaitScore{};
    }
    item->state = State::kDone;
    return ListCompleted{};
  }
  const bool failed = std::holds_alternative<RunFailed>(end);
  item->failures += failed ? 1 : 0;
  if (std::holds_alternative<RunImpossible>(end) ||
      HasFailedTooOften(ref, *item)) {
    item->state = State::kDone;
    return ListTerminated{};
  }
  item->state = failed ? State::kStoringFailure : State::kWaiting;
  item->not_before =
      std::holds_alternative<RunMoved>(end) ? now : now + kRetryDelay;
  return NoResult{};
}

void ItemScheduler::OnFailureStored(const ItemRef& ref) {
  Item* item = FindItem(ref);
  if (item != nullptr && item->state == State::kStoringFailure) {
    item->state = State::kWaiting;
  }
}

ItemDecision ItemScheduler::RestoreFailures(const ItemRef& ref, int failures) {
  Item* item = FindItem(ref);
  if (item == nullptr || item->state != State::kWaiting) {
    return NoResult{};
  }
  item->failures = failures;
  if (!HasFailedTooOften(ref, *item)) {
    return NoResult{};
  }
  item->state = State::kDone;
  return ListTerminated{};
}

int ItemScheduler::failures(const ItemRef& ref) const {
  const auto found = batches_.find(ref.batch);
  return found == batches_.end() || ref.index >= found->second.items.size()
             ? 0
             : found->second.items[ref.index].failures;
}

bool ItemScheduler::OnScoreEnd(const ItemRef& ref) {
  Item* item = FindItem(ref);
  if (item == nullptr || item->state != State::kAwaitingScore) {
    return false;
  }
  item->state = State::kDone;
  return true;
}

std::vector<ItemRef> ItemScheduler::TakeOverdue(Instant now) {
  std::vector<ItemRef> overdue;
  for (auto& [id, entry] : batches_) {
    if (now < entry.info.limits.retention_end) {
      continue;
    }
    for (std::size_t i = 0; i < entry.items.size(); ++i) {
      if (entry.items[i].state != State::kDone) {
        entry.items[i].state = State::kDone;
        overdue.push_back({id, i});
      }
    }
  }
  return overdue;
}

std::size_t ItemScheduler::waiting() const {
  std::size_t count = 0;
  for (const auto& [id, entry] : batches_) {
    count += static_cast<std::size_t>(std::count_if(
        entry.items.begin(), entry.items.end(),
        [](const Item& i) { return i.state == State::kWaiting; }));
  }
  return count;
}

const BatchInfo* ItemScheduler::find(const std::string& batch) const {
  const auto found = batches_.find(batch);
  return found == batches_.end() ? nullptr : &found->second.info;
}

}  // namespace mulberryroad::batches
