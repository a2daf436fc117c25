// Decides when the output of an item is scored, how often its scorer is called,
// and when the item is given up. Has no side effects outside its own state.
//
// Designed for scorers that lose or refuse some calls and fail a few of them at
// every upstream: a failing call must not delay its step longer than its
// attempts need, and must not make healthy upstreams look broken.

#ifndef MULBERRYROAD_SRC_BATCHES_SCORE_SCHEDULER_H_
#define MULBERRYROAD_SRC_BATCHES_SCORE_SCHEDULER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "batches/item_scheduler.h"
#include "mulberryroad/clock.h"
#include "mulberryroad/ids.h"

namespace mulberryroad::batches {

/// An item whose output is complete and must be scored.
struct PendingScore {
  ItemRef item;
  /// Items are scored in the order of their batches' deadlines.
  Instant deadline;
};

/// The scorer returned a score.
struct ScoreReceived {
  std::string score;
};
/// The scorer ran the call and answered with a server error.
struct ScoreFailed {};
/// The scorer did not run the call.
struct ScoreRefused {};
/// No usable response arrived: the call may have run.
struct ScoreLost {};
using ScoreOutcome =
    std::variant<ScoreReceived, ScoreFailed, ScoreRefused, ScoreLost>;

/// List the item as completed with this score.
struct AcceptScore {
  std::string score;
  /// Upstreams that answered the same call with a server error before: the
  /// fault was theirs.
  std::vector<UpstreamId> faulty;
};
/// List the item as terminated.
struct GiveUpScore {};
/// Call the scorer again after a delay.
struct RepeatScore {
  std::chrono::milliseconds delay{0};
};
/// The item is no longer pending: ignore the outcome.
struct IgnoreOutcome {};
using ScoreDecision =
    std::variant<AcceptScore, GiveUpScore, RepeatScore, IgnoreOutcome>;

/// A call to send now.
struct ScoreCall {
  ItemRef item;
  UpstreamId upstream;
};

/// Returns the upstream for a call, or nullopt if none may take it now.
/// @param tried upstreams to avoid: they did not return a score
/// @param earlier_calls number of earlier calls for the item
using ScorePlacer = std::function<std::optional<UpstreamId>(
    const ItemRef& item, const std::set<UpstreamId>& tried, int earlier_calls)>;

class ScoreScheduler {
 public:
  /// Adds an item; does nothing if it is pending already.
  void Add(const PendingScore& pending);
  /// Removes an item; does nothing if it is not pending.
  void Remove(const ItemRef& item) { items_.erase(item); }
  /// Removes all items of a batch.
  void RemoveBatch(const std::string& batch);

  /// Places the calls that are due: first calls before repeats, and each of
  /// them in the order of their deadlines. An item that the placer rejects
  /// stays due.
  /// @return the calls, which now count as in flight
  std::vector<ScoreCall> Place(Instant now, const ScorePlacer& placer);
  /// Updates an item after its call.
  /// @param max_failures number of calls answered with a server error after
  ///     which the item is given up; nullopt if they are repeated
  /// @param draw random number in [0, 1) for the jitter of a repeat
  ScoreDecision OnCallEnd(const ItemRef& item, const ScoreOutcome& outcome,
                          std::optional<int> max_failures, Instant now,
                          double draw);

  /// Returns the earliest time at which an item without a call in flight is
  /// due, or nullopt if there is none. It may be in the past.
  std::optional<Instant> next_due() const;
  /// Number of items that have no score yet.
  std::size_t pending() const { return items_.size(); }

  /// Delay before the first repeat of a call. Doubles with each repeat.
  static constexpr std::chrono::milliseconds kRepeatDelay{20};
  static constexpr std::chrono::milliseconds kMaxRepeatDelay{640};

 private:
  struct Item {
    PendingScore pending;
    bool in_flight = false;
    Instant not_before{};
    int calls = 0;
    int failures = 0;
    UpstreamId upstream;
    /// Upstreams that did not return a score. Cleared when none is left.
    std::set<UpstreamId> tried;
    /// Upstreams that answered with a server error.
    std::vector<UpstreamId> failed_at;
  };

  std::map<ItemRef, Item> items_;
};

/// Returns the time after which a call is abandoned and repeated elsewhere. It
/// doubles with each call, so that a scorer that is slower than its target
/// still answers one of them.
/// @param target target latency of the scorer's route
/// @param timeout longest time that the route allows for a request
/// @param earlier_calls number of earlier calls for the item
std::chrono::milliseconds ScoreCallTimeout(std::chrono::milliseconds target,
                                           std::chrono::milliseconds timeout,
                                           int earlier_calls);

}  // namespace mulberryroad::batches

#endif  // MULBERRYROAD_SRC_BATCHES_SCORE_SCHEDULER_H_
