// Calls the scorers of items whose output is complete.

#ifndef MULBERRYROAD_SRC_BATCHES_ITEM_SCORER_H_
#define MULBERRYROAD_SRC_BATCHES_ITEM_SCORER_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>

#include "base/event_loop.h"
#include "batches/batch_context.h"
#include "batches/score_scheduler.h"

namespace mulberryroad::batches {

/// The item was scored.
struct ItemScored {
  std::string score;
};
/// The scorer failed as often as it may.
struct ItemUnscorable {};
using ItemScoreResult = std::variant<ItemScored, ItemUnscorable>;

/// Sends the calls that a ScoreScheduler places, through the routes of the
/// manifest in force, and reports the result of each item. Must be owned by a
/// `std::shared_ptr` and used on the thread of the event loop.
class ItemScorer : public std::enable_shared_from_this<ItemScorer> {
 public:
  /// @param max_attempts returns how often an item of the batch may fail;
  ///     nullopt if that is not known
  /// @param on_result called once for each item, unless it was cancelled; never
  ///     from inside another method
  ItemScorer(
      BatchContext& context,
      std::function<std::optional<int>(const std::string& batch)> max_attempts,
      std::function<void(const ItemRef&, ItemScoreResult)> on_result);

  /// Adds an item, whose output must be complete, and calls its scorer as soon
  /// as the limits allow.
  /// @param stored the item with its scorer
  /// @param give_up time from which the item is not scored any more
  void Add(const PendingScore& pending, const v1::BatchItem& stored,
           Instant give_up);
  /// Drops an item and cancels its call.
  void Cancel(const ItemRef& item);
  /// Drops all items of a batch and cancels their calls.
  void CancelBatch(const std::string& batch);
  /// Drops all items.
  void Stop();

  /// Number of items without a score.
  std::size_t pending() const { return scheduler_.pending(); }

  /// Delay after which items are placed again that no upstream could take.
  static constexpr std::chrono::milliseconds kRecheckInterval{50};

 private:
  struct Request {
    std::string item_id;
    v1::ScorerRequest scorer;
    Instant give_up;
  };
  struct Call {
    std::shared_ptr<http::Call> call;
    UpstreamId upstream;
    TargetId service;
    std::chrono::milliseconds target_latency{0};
    Instant sent;
    bool repeat = false;
  };

  /// Posts one call of `Schedule` to the event loop.
  void PostSchedule();
  /// Places the items that are due and sets the timer for the next ones.
  void Schedule();
  /// Sends a call if its route exists and the limits allow it, so that its
  /// load counts in the placement of the next one.
  /// @param full services that cannot take a call now; extended if this call
  ///     finds another one
  std::optional<UpstreamId> TrySend(const ItemRef& item,
                                    const std::set<UpstreamId>& tried,
                                    int earlier_calls,
                                    std::set<TargetId>* full);
  /// Returns the upstream with the lowest load that can take a call, or null.
  const serving::Registration* ChooseScorer(const TargetId& service,
                                            const std::set<UpstreamId>& tried);
  void Send(const ItemRef& item, const serving::Registration& upstream,
            const serving::Route& route, int earlier_calls);
  void OnDone(const ItemRef& item, const serving::UpstreamOutcome& outcome);
  /// Updates load, health and limit with the outcome of a call.
  ScoreOutcome RecordOutcome(const Call& ended,
                             const serving::UpstreamOutcome& outcome);
  void CancelCall(const ItemRef& item);
  /// Returns the number of failed calls after which an item is given up, by the
  /// manifest in force; nullopt if that is not known.
  std::optional<int> MaxFailures(const ItemRef& item) const;

  BatchContext& context_;
  std::function<std::optional<int>(const std::string& batch)> max_attempts_;
  std::function<void(const ItemRef&, ItemScoreResult)> on_result_;
  ScoreScheduler scheduler_;
  std::map<ItemRef, Request> requests_;
  std::map<ItemRef, Call> calls_;
  base::Timer timer_;
  bool schedule_posted_ = false;
  serving::BackgroundPermits permits_;
};

}  // namespace mulberryroad::batches

#endif  // MULBERRYROAD_SRC_BATCHES_ITEM_SCORER_H_
