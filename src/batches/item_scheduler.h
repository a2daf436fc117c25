// Decides which item of which batch runs next, and what becomes of it after a
// run. Pure.
//
// It answers the load of training steps: some tens to hundreds of items at
// once, of which a few generate five times as many tokens as the rest and
// decide when the step ends.

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

/// What the scheduler knows of an item.
struct ItemInfo {
  std::string id;
  std::string group;
  /// Estimate of its output; 0 if unknown.
  double expected_tokens = 0;
  bool listed = false;
  /// An earlier batch had it: the trainer waits for its group in any case.
  bool carried = false;
};

/// What it knows of a batch.
struct BatchInfo {
  std::string id;
  TargetId model;
  /// Oldest weight version that its items may run under.
  std::uint64_t min_version = 0;
  /// Groups that the trainer waits for.
  std::size_t desired_groups = 0;
  /// Runs that answer with an error before an item is given up.
  int max_attempts = 1;
  Instant deadline;
  /// Items may be given up from here on.
  Instant retention_end;
  std::vector<ItemInfo> items;
};

/// Names an item.
struct ItemRef {
  std::string batch;
  std::size_t index = 0;

  friend auto operator<=>(const ItemRef&, const ItemRef&) = default;
};

/// Start this item at this upstream.
struct StartItem {
  ItemRef item;
  UpstreamId upstream;
};

/// The run brought the whole output.
struct RunCompleted {};
/// The upstream answered that the run failed.
struct RunFailed {};
/// The upstream answered that the item can never be done.
struct RunImpossible {};
/// The upstream did not start it.
struct RunRefused {};
/// The run was cut; what it brought can be gone on from.
struct RunInterrupted {};
using RunEnd = std::variant<RunCompleted, RunFailed, RunImpossible, RunRefused,
                            RunInterrupted>;

/// List the item as completed.
struct ListCompleted {};
/// List the item as given up.
struct ListTerminated {};
/// Nothing is to be listed; the item may run again.
struct KeepWaiting {};
using ItemStep = std::variant<ListCompleted, ListTerminated, KeepWaiting>;

/// Returns an upstream with room for an item of the batch, or nullopt.
/// @param last where the item ran last, to be avoided; empty if nowhere
using ItemPlacer = std::function<std::optional<UpstreamId>(
    const BatchInfo& batch, const ItemRef& item, const UpstreamId& last)>;

class ItemScheduler {
 public:
  /// Takes in a batch; its listed items do not run.
  void Open(BatchInfo batch);
  /// Forgets a batch.
  void Close(const std::string& batch);
  bool knows(const std::string& batch) const {
    return batches_.contains(batch);
  }

  /// Places waiting items: batches by their deadlines, items in the order that
  /// OrderItems gives them.
  std::vector<StartItem> Place(Instant now, const ItemPlacer& placer);
  /// A run of this item is already under way.
  void Adopt(const ItemRef& item, const UpstreamId& upstream);
  /// Takes in the end of a run.
  ItemStep OnRunEnd(const ItemRef& item, const RunEnd& end, Instant now);
  /// Returns the items that may be given up as their time is over.
  std::vector<ItemRef> Overdue(Instant now);

  /// Items that wait for a place.
  std::size_t waiting() const;
  const BatchInfo* find(const std::string& batch) const;

  /// An item that was refused or cut waits this long: about the time in which
  /// an upstream frees a place.
  static constexpr std::chrono::milliseconds kRetryDelay{60};

 private:
  enum class State { kWaiting, kRunning, kDone };
  struct Item {
    State state = State::kWaiting;
    int failures = 0;
    Instant not_before{};
    UpstreamId last;
  };
  struct Entry {
    BatchInfo info;
    std::vector<Item> items;
    /// Indices in the order in which they start.
    std::vector<std::size_t> order;
  };

  Item* FindItem(const ItemRef& ref);
  std::vector<Entry*> ByDeadline();

  std::map<std::string, Entry> batches_;
};

/// Orders the items of a batch: the groups that the trainer is likely to wait
/// for first, the longest items before the others, and last the groups that it
/// can do without, which are those with the longest items.
std::vector<std::size_t> OrderItems(const BatchInfo& batch);

}  // namespace mulberryroad::batches

#endif  // MULBERRYROAD_SRC_BATCHES_ITEM_SCHEDULER_H_
