// Tests of the order of a batch's items and of their states after a run.

#include "batches/item_scheduler.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <queue>

namespace mulberryroad::batches {
namespace {

using std::chrono::milliseconds;

BatchInfo MakeBatch(const std::vector<std::pair<std::string, double>>& items,
                    std::size_t desired_groups) {
  BatchInfo batch;
  batch.id = "batch";
  batch.limits.max_attempts = 3;
  batch.desired_groups = desired_groups;
  batch.limits.retention_end = Instant{} + std::chrono::seconds(40);
  for (std::size_t i = 0; i < items.size(); ++i) {
    batch.items.push_back({"item-" + std::to_string(i), items[i].first,
                           items[i].second, false, false});
  }
  return batch;
}

Test(item_scheduler, longest_items_of_the_desired_groups_start_first) {
  const BatchInfo batch =
      MakeBatch({{"a", 10}, {"a", 20}, {"b", 90}, {"b", 5}, {"c", 30}}, 2);
  const std::vector<std::size_t> order = OrderItems(batch);
  const std::vector<std::size_t> expected = {4, 1, 0, 2, 3};
  cr_assert(order == expected, "the surplus group b must come last");
}

Test(item_scheduler, carried_over_groups_are_never_surplus) {
  BatchInfo batch =
      MakeBatch({{"a", 10}, {"a", 20}, {"b", 90}, {"b", 5}, {"c", 30}}, 2);
  batch.items[2].carried_over = true;
  const std::vector<std::size_t> order = OrderItems(batch);
  cr_assert_eq(order.front(), 2);
  cr_assert_eq(order.back(), 4);
}

// Simulates a step of 20 groups of four items, a twelfth of them five times as
// long, on 24 slots. Returns the time at which the desired groups are complete.
double SimulateStepTime(const BatchInfo& batch,
                        const std::vector<std::size_t>& order,
                        const std::vector<double>& lengths) {
  constexpr int kSlots = 24;
  std::priority_queue<double, std::vector<double>, std::greater<>> free_at;
  for (int i = 0; i < kSlots; ++i) {
    free_at.push(0);
  }
  std::map<std::string, double> complete_at;
  for (const std::size_t index : order) {
    const double end = free_at.top() + lengths[index];
    free_at.pop();
    free_at.push(end);
    double& complete = complete_at[batch.items[index].group];
    complete = std::max(complete, end);
  }
  std::vector<double> ends;
  ends.reserve(complete_at.size());
  for (const auto& [group, end] : complete_at) {
    ends.push_back(end);
  }
  std::sort(ends.begin(), ends.end());
  return ends[batch.desired_groups - 1];
}

Test(item_scheduler,
     step_with_stragglers_completes_sooner_than_in_submission_order) {
  double submission_order = 0;
  double scheduled_order = 0;
  for (int seed = 0; seed < 50; ++seed) {
    std::vector<std::pair<std::string, double>> items;
    std::vector<double> lengths;
    unsigned state = static_cast<unsigned>(seed) * 7919 + 1;
    for (int i = 0; i < 80; ++i) {
      state = state * 1103515245 + 12345;
      const unsigned draw = state >> 16;
      const double length = draw % 12 == 0 ? 5.0 : 0.5 + (draw % 10) * 0.1;
      lengths.push_back(length);
      // The estimate deviates from the length by up to a third.
      items.emplace_back("g" + std::to_string(i / 4),
                         length * (0.7 + (draw % 7) * 0.1));
    }
    const BatchInfo batch = MakeBatch(items, 18);
    std::vector<std::size_t> as_submitted(items.size());
    for (std::size_t i = 0; i < as_submitted.size(); ++i) {
      as_submitted[i] = i;
    }
    submission_order += SimulateStepTime(batch, as_submitted, lengths);
    scheduled_order += SimulateStepTime(batch, OrderItems(batch), lengths);
  }
  cr_assert_lt(scheduled_order, submission_order, "expected under %f, found %f",
               submission_order, scheduled_order);
}

std::vector<PlacedItem> PlaceAllItems(ItemScheduler& scheduler, Instant now) {
  return scheduler.Place(
      now, [](const BatchInfo&, const ItemRef&, const UpstreamId&) {
        return std::optional(UpstreamId("u"));
      });
}

// Guards against items that wait beside idle upstreams, as an item before them
// goes to a service without any.
Test(item_scheduler, item_without_an_upstream_blocks_the_items_after_it) {
  ItemScheduler scheduler;
  scheduler.Open(MakeBatch({{"a", 30}, {"a", 20}, {"b", 10}}, 2));
  const auto placed = scheduler.Place(
      Instant{}, [](const BatchInfo&, const ItemRef& item, const UpstreamId&) {
        return item.index == 0 ? std::nullopt : std::optional(UpstreamId("u"));
      });
  cr_assert_eq(placed.size(), 2);
}

Test(item_scheduler, failing_item_is_terminated_after_max_attempts) {
  ItemScheduler scheduler;
  scheduler.Open(MakeBatch({{"a", 1}}, 1));
  Instant now{};
  for (int attempt = 1; attempt <= 3; ++attempt) {
    cr_assert_eq(PlaceAllItems(scheduler, now).size(), 1);
    const ItemDecision step =
        scheduler.OnRunEnd({"batch", 0}, RunFailed{}, now);
    cr_assert_eq(std::holds_alternative<ListTerminated>(step), attempt == 3);
    now += ItemScheduler::kRetryDelay;
    cr_assert(PlaceAllItems(scheduler, now).empty(),
              "the failure is not stored yet");
    scheduler.OnFailureStored({"batch", 0});
  }
  cr_assert(PlaceAllItems(scheduler, now).empty());
}

Test(item_scheduler, impossible_item_is_terminated_immediately) {
  ItemScheduler scheduler;
  scheduler.Open(MakeBatch({{"a", 1}}, 1));
  PlaceAllItems(scheduler, Instant{});
  const ItemDecision step =
      scheduler.OnRunEnd({"batch", 0}, RunImpossible{}, Instant{});
  cr_assert(std::holds_alternative<ListTerminated>(step));
}

Test(item_scheduler, refusals_and_interruptions_do_not_count_as_attempts) {
  ItemScheduler scheduler;
  scheduler.Open(MakeBatch({{"a", 1}}, 1));
  Instant now{};
  for (int i = 0; i < 10; ++i) {
    PlaceAllItems(scheduler, now);
    const RunEnd end = i % 2 == 0 ? RunEnd(RunRefused{}) : RunInterrupted{};
    cr_assert(std::holds_alternative<NoResult>(
        scheduler.OnRunEnd({"batch", 0}, end, now)));
    now += ItemScheduler::kRetryDelay;
  }
  PlaceAllItems(scheduler, now);
  cr_assert(std::holds_alternative<ListCompleted>(
      scheduler.OnRunEnd({"batch", 0}, RunCompleted{}, now)));
}

Test(item_scheduler, items_are_terminated_only_after_their_retention) {
  ItemScheduler scheduler;
  scheduler.Open(MakeBatch({{"a", 1}, {"a", 2}}, 1));
  cr_assert(scheduler.TakeOverdue(Instant{} + milliseconds(39'999)).empty());
  cr_assert_eq(scheduler.TakeOverdue(Instant{} + milliseconds(40'000)).size(),
               2);
  cr_assert(scheduler.TakeOverdue(Instant{} + milliseconds(40'001)).empty());
}

Test(item_scheduler, item_without_a_score_is_overdue_at_the_end_of_retention) {
  ItemScheduler scheduler;
  BatchInfo batch = MakeBatch({{"a", 10}}, 0);
  batch.items[0].needs_score = true;
  scheduler.Open(batch);
  scheduler.MarkRunning({"batch", 0}, UpstreamId("u1"));
  cr_assert(std::holds_alternative<AwaitScore>(
      scheduler.OnRunEnd({"batch", 0}, RunCompleted{}, Instant{})));
  cr_assert(scheduler.TakeOverdue(Instant{}).empty());
  cr_assert_eq(scheduler.TakeOverdue(batch.limits.retention_end).size(), 1);
  cr_assert(!scheduler.OnScoreEnd({"batch", 0}),
            "a score after the end of retention must be ignored");
}

}  // namespace
}  // namespace mulberryroad::batches
