#include "batches/score_scheduler.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace mulberryroad::batches {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Timeout of the first call as a multiple of the target latency: few calls of a
// healthy scorer take longer than that.
constexpr int kTimeoutFactor = 2;
constexpr milliseconds kMinCallTimeout{200};
constexpr int kMaxDoublings = 5;

}  // namespace

milliseconds ScoreCallTimeout(milliseconds target, milliseconds timeout,
                              int earlier_calls) {
  const milliseconds first = std::max(kTimeoutFactor * target, kMinCallTimeout);
  return std::min(first * (1 << std::min(earlier_calls, kMaxDoublings)),
                  std::max(timeout, kMinCallTimeout));
}

void ScoreScheduler::Add(const PendingScore& pending) {
  Item item;
  item.pending = pending;
  items_.try_emplace(pending.item, std::move(item));
}

void ScoreScheduler::RemoveBatch(const std::string& batch) {
  std::erase_if(items_, [&batch](const auto& entry) {
    return entry.first.batch == batch;
  });
}

std::vector<ScoreCall> ScoreScheduler::Place(Instant now,
                                             const ScorePlacer& placer) {
  std::vector<Item*> due;
  for (auto& [ref, item] : items_) {
    if (!item.in_flight && now >= item.not_before) {
      due.push_back(&item);
    }
  }
  std::stable_sort(due.begin(), due.end(), [](const Item* a, const Item* b) {
    return std::make_tuple(a->calls > 0, a->pending.deadline) <
           std::make_tuple(b->calls > 0, b->pending.deadline);
  });
  std::vector<ScoreCall> calls;
  for (Item* item : due) {
    const std::optional<UpstreamId> upstream =
        placer(item->pending.item, item->tried, item->calls);
    if (!upstream.has_value()) {
      continue;
    }
    if (item->tried.contains(*upstream)) {
      // All others were tried as well: starts a new round.
      item->tried.clear();
    }
    item->in_flight = true;
    item->upstream = *upstream;
    ++item->calls;
    calls.push_back({item->pending.item, *upstream});
  }
  return calls;
}

ScoreDecision ScoreScheduler::OnCallEnd(const ItemRef& ref,
                                        const ScoreOutcome& outcome,
                                        std::optional<int> max_failures,
                                        Instant now, double draw) {
  const auto found = items_.find(ref);
  if (found == items_.end() || !found->second.in_flight) {
    return IgnoreOutcome{};
  }
  Item& item = found->second;
  item.in_flight = false;
  if (const auto* received = std::get_if<ScoreReceived>(&outcome)) {
    AcceptScore accepted{received->score, std::move(item.failed_at)};
    items_.erase(found);
    return accepted;
  }
  item.tried.insert(item.upstream);
  if (std::holds_alternative<ScoreFailed>(outcome)) {
    item.failed_at.push_back(item.upstream);
    ++item.failures;
    if (max_failures.has_value() && item.failures >= *max_failures) {
      items_.erase(found);
      return GiveUpScore{};
    }
  }
  const int doublings = std::min(item.calls - 1, kMaxDoublings);
  const milliseconds full =
      std::min(kRepeatDelay * (1 << doublings), kMaxRepeatDelay);
  // Between half of the delay and all of it.
  const auto delay = duration_cast<milliseconds>(full * (0.5 + draw / 2));
  item.not_before = now + delay;
  return RepeatScore{delay};
}

std::optional<Instant> ScoreScheduler::next_due() const {
  std::optional<Instant> next;
  for (const auto& [ref, item] : items_) {
    if (!item.in_flight && (!next.has_value() || item.not_before < *next)) {
      next = item.not_before;
    }
  }
  return next;
}

}  // namespace mulberryroad::batches
