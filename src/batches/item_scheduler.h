// Decides which item of which batch runs next, and whether it is completed,
// retried or terminated after a run. Has no side effects outside its own state.
//
// Designed for the load of training steps: some tens to hundreds of items at
// once, of which a few generate five times as many tokens as the rest and
// determine when the step ends.

#ifndef MULBERRYROAD_SRC_BATCHES_ITEM_SCHEDULER_H_
#define MULBERRYROAD_SRC_BATCHES_ITEM_SCHEDULER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "mulberryroad/clock.h"
#include "mulberryroad/ids.h"

namespace mulberryroad::batches {

/// Properties of an item that affect its order.
struct ItemInfo {
  std::string id;
  std::string group;
  /// Estimated length of the output; 0 if unknown.
  double expected_tokens = 0;
  /// The item has a result and does not run.
  bool listed = false;
  /// The item was in an earlier batch: the trainer always needs its group.
  bool carried_over = false;
  /// The item is completed only once its output has a score.
  bool needs_score = false;
};

/// Limits of a batch, as its route sets them in the manifest in force.
struct BatchLimits {
  /// Number of failed runs after which an item is terminated; nullopt while no
  /// manifest has had the route, so that failed runs are retried.
  std::optional<int> max_attempts;
  /// Batches are placed in the order of their deadlines.
  Instant deadline;
  /// Unfinished items are terminated from this time on.
  Instant retention_end;
};

/// Properties of a batch and its items.
struct BatchInfo {
  std::string id;
  OrganisationId organisation;
  TargetId model;
  /// Oldest weight version under which its items may run.
  std::uint64_t min_version = 0;
  /// Number of groups that the trainer needs; 0 for all.
  std::size_t desired_groups = 0;
  BatchLimits limits;
  std::vector<ItemInfo> items;
};

/// Identifies an item by its batch and its index there.
struct ItemRef {
  std::string batch;
  std::size_t index = 0;

  friend auto operator<=>(const ItemRef&, const ItemRef&) = default;
};

/// An item and the upstream at which to start it.
struct PlacedItem {
  ItemRef item;
  UpstreamId upstream;
};

/// The upstream returned the whole output.
struct RunCompleted {};
/// The upstream reported an error; the item may be retried.
struct RunFailed {};
/// The upstream reported that the item cannot succeed on any attempt.
struct RunImpossible {};
/// The upstream did not start the run.
struct RunRefused {};
/// The run was interrupted; it can resume after the events received so far.
struct RunInterrupted {};
/// The run was interrupted to continue at a faster upstream.
struct RunMoved {};
using RunEnd = std::variant<RunCompleted, RunFailed, RunImpossible, RunRefused,
                            RunInterrupted, RunMoved>;

/// Store a result: the item is completed.
struct ListCompleted {};
/// Store a result: the item is terminated.
struct ListTerminated {};
/// Store no result; the item is retried if it is unfinished.
struct NoResult {};
/// The output is complete: get its score, then call `OnScoreEnd`.
struct AwaitScore {};
using ItemDecision =
    std::variant<ListCompleted, ListTerminated, NoResult, AwaitScore>;

/// Returns an upstream for an item of the batch; nullopt if none can take it
/// now. Another item may still have one, as it may go to another service.
/// @param last upstream of the item's last run, to be avoided; empty if none
using ItemPlacer = std::function<std::optional<UpstreamId>(
    const BatchInfo& batch, const ItemRef& item, const UpstreamId& last)>;

class ItemScheduler {
 public:
  /// Adds a batch, or replaces the one with the same id.
  void Open(BatchInfo batch);
  /// Replaces the limits of a batch; does nothing if there is none with this
  /// id. Items that have failed too often under the new limits get a last run.
  void SetLimits(const std::string& batch, const BatchLimits& limits);
  /// Removes a batch; does nothing if there is none with this id.
  void Close(const std::string& batch);
  /// True if the batch was opened and not closed.
  bool has_batch(const std::string& batch) const {
    return batches_.contains(batch);
  }

  /// Places waiting items: batches in the order of their deadlines, items in
  /// that of `OrderItems`. Calls the placer for each of them.
  /// @return the placed items, which now count as running
  std::vector<PlacedItem> Place(Instant now, const ItemPlacer& placer);
  /// Marks a waiting item as running: a run of it is already in progress.
  /// @return false if the item is not waiting; nothing is changed
  bool MarkRunning(const ItemRef& item, const UpstreamId& upstream);
  /// Updates the item after a run. An item whose run failed is not placed again
  /// before `OnFailureStored`: an owner that takes over must know of the
  /// failure.
  /// @return the result to store, if any; `NoResult` if the item is unknown
  ///     or already has a result
  ItemDecision OnRunEnd(const ItemRef& item, const RunEnd& end, Instant now);
  /// Lets an item be placed again after the number of its failed runs was
  /// stored. Does nothing if the item does not wait for that.
  void OnFailureStored(const ItemRef& item);
  /// Sets the number of failed runs that an earlier owner stored.
  /// @return ListTerminated if the item may not run again, else NoResult
  ItemDecision RestoreFailures(const ItemRef& item, int failures);
  /// Returns the number of failed runs of an item; 0 if it is unknown.
  int failures(const ItemRef& item) const;
  /// Marks an item as done whose score was received or given up.
  /// @return false if the item is unknown or does not await a score
  bool OnScoreEnd(const ItemRef& item);
  /// Marks the unfinished items of batches past their `retention_end` as done
  /// and returns them, to be listed as terminated.
  std::vector<ItemRef> TakeOverdue(Instant now);

  /// Number of items waiting for an upstream.
  std::size_t waiting() const;
  /// Returns a batch, or null if there is none with this id.
  const BatchInfo* find(const std::string& batch) const;

  /// Delay before an unfinished item is placed again: about the time in which
  /// an upstream frees a slot.
  static constexpr std::chrono::milliseconds kRetryDelay{60};

 private:
  enum class State {
    kWaiting,
    /// The number of failed runs is not stored yet.
    kStoringFailure,
    kRunning,
    kAwaitingScore,
    kDone
  };
  struct Item {
    State state = State::kWaiting;
    int failures = 0;
    /// Earliest time of the next placement.
    Instant not_before{};
    /// Upstream of the last run; empty if there was none.
    UpstreamId last;
  };
  struct Entry {
    BatchInfo info;
    std::vector<Item> items;
    /// Indices in the order in which they start.
    std::vector<std::size_t> order;
  };

  Item* FindItem(const ItemRef& ref);
  /// Returns whether an item has failed as often as the limits allow.
  bool HasFailedTooOften(const ItemRef& ref, const Item& item) const;
  /// Returns the batches in the order of their deadlines.
  std::vector<Entry*> EntriesByDeadline();

  std::map<std::string, Entry> batches_;
};

/// Returns the indices of a batch's items in the order in which they start:
/// first the groups that the trainer is likely to need, then the surplus
/// groups, and within each of these two the longest items first. The surplus
/// groups are those with the longest items, beyond `desired_groups`; a
/// carried-over group is never surplus.
std::vector<std::size_t> OrderItems(const BatchInfo& batch);

}  // namespace mulberryroad::batches

#endif  // MULBERRYROAD_SRC_BATCHES_ITEM_SCHEDULER_H_
