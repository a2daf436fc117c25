// One attempt to run an item at one upstream.

#ifndef MULBERRYROAD_SRC_BATCHES_ITEM_RUN_H_
#define MULBERRYROAD_SRC_BATCHES_ITEM_RUN_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>

#include "base/event_loop.h"
#include "batches/event_pace.h"
#include "batches/item_progress.h"
#include "batches/item_scheduler.h"
#include "mulberryroad/clock.h"
#include "serving/upstream_caller.h"
#include "serving/upstreams.h"

namespace mulberryroad::batches {

/// Limits at which a run is interrupted.
struct RunLimits {
  /// Timeout for the first event: covers a full upstream, a change of weights
  /// of one second and the prefill of a prompt.
  std::chrono::milliseconds first_event_timeout{2'500};
  /// Timeout between two events: over ten times the interval at a slow
  /// upstream.
  std::chrono::milliseconds next_event_timeout{1'500};
  /// Maximum size of the output. A longer one is not kept: the item starts
  /// again.
  std::size_t max_output_bytes = std::numeric_limits<std::size_t>::max();
};

/// Sends the request of an item, collects its events and reports the load and
/// health of the upstream. Must be owned by a `std::shared_ptr` and used on the
/// thread of the event loop.
class ItemRun : public std::enable_shared_from_this<ItemRun> {
 public:
  /// Receives the outcome of the run and the events of this and earlier runs.
  using OnEnd = std::function<void(RunEnd, ItemProgress)>;

  /// @param progress events of earlier runs, after which this one resumes
  /// @param deadline time by which the upstream must have finished
  /// @param on_accepted called when the response begins
  /// @param on_end called once when the run ends, unless it was cancelled
  ItemRun(base::EventLoop& loop, const Clock& clock,
          serving::UpstreamCaller& caller, serving::UpstreamLoads& loads,
          UpstreamId upstream, ItemProgress progress, Instant deadline,
          RunLimits limits, std::function<void()> on_accepted, OnEnd on_end);

  /// Sends the request. Call once.
  /// @param expected_version weight version that the upstream must have, or 0
  ///     for any
  void Start(const serving::Registration& upstream,
             const serving::OutgoingRequest& request,
             std::uint64_t expected_version);
  /// Aborts the run without calling `on_end`.
  void Cancel();
  /// Interrupts the run, so that it can resume at another upstream.
  void InterruptForMove();

  const UpstreamId& upstream() const { return upstream_; }
  /// Time at which the request was sent.
  Instant started() const { return started_; }
  /// Events of this run and the earlier runs of the item.
  const ItemProgress& progress() const { return progress_; }

 private:
  void OnStart(const serving::StreamStart& start);
  void OnEvent(const serving::StreamEvent& event);
  void OnDone(const serving::UpstreamOutcome& outcome);
  /// Interrupts the run and counts a failure of the upstream.
  void InterruptAsFailed();
  /// Sets the time at which the run is interrupted unless an event arrives.
  void RestartEventTimer(std::chrono::milliseconds timeout);
  /// Sets the timer for `event_deadline_`.
  void SetEventTimer();
  void Finish(const RunEnd& end);
  /// Drops the call, whose handlers refer to this run.
  void ReleaseCall();

  base::EventLoop& loop_;
  const Clock& clock_;
  serving::UpstreamCaller& caller_;
  serving::UpstreamLoads& loads_;
  UpstreamId upstream_;
  ItemProgress progress_;
  Instant deadline_;
  RunLimits limits_;
  std::function<void()> on_accepted_;
  OnEnd on_end_;
  std::shared_ptr<http::Call> call_;
  Instant started_{};
  bool has_event_ = false;
  EventPace pace_;
  /// The request requires a specific weight version.
  bool version_required_ = false;
  /// The upstream accepted or refused the request.
  bool answered_ = false;
  /// An event could not be used; the run will be interrupted.
  bool interrupt_posted_ = false;
  bool ended_ = false;
  base::Timer event_timer_;
  Instant event_deadline_{};
  /// When `event_timer_` fires; nullopt before it is first set.
  std::optional<Instant> timer_due_;
  std::optional<Instant> last_event_at_;
};

}  // namespace mulberryroad::batches

#endif  // MULBERRYROAD_SRC_BATCHES_ITEM_RUN_H_
