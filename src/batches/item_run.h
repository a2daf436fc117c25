// One run of an item at one upstream.

#ifndef MULBERRYROAD_SRC_BATCHES_ITEM_RUN_H_
#define MULBERRYROAD_SRC_BATCHES_ITEM_RUN_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "batches/item_scheduler.h"
#include "mulberryroad/clock.h"
#include "mulberryroad/store.pb.h"
#include "serving/upstream_caller.h"
#include "serving/upstreams.h"

namespace mulberryroad::batches {

/// What the runs of an item have brought so far.
struct ItemProgress {
  std::vector<std::string> events;
  /// Id of the last event; 0 before the first.
  std::uint64_t last_event = 0;
  /// Weight version of the last event.
  std::uint64_t version = 0;
  /// Weight versions under which events were made.
  std::set<std::uint64_t> versions;

  /// Takes in the next event.
  /// @return false if an event is missing before it
  bool Take(const serving::StreamEvent& event);
  /// Makes the record of the events behind one.
  v1::ProgressRecord Since(std::uint64_t event) const;
  /// Takes in a record that goes on where this progress ends.
  /// @return false if it begins elsewhere
  bool Take(const v1::ProgressRecord& record);
  /// Returns the data of all events, separated by line feeds.
  std::string text() const;
  /// True if no event was made under a version older than this.
  bool fits(std::uint64_t min_version) const {
    return versions.empty() || *versions.begin() >= min_version;
  }
};

struct RunTiming {
  /// Silence before the first event: covers a full upstream, a change of
  /// weights of one second and the reading of a prompt.
  std::chrono::milliseconds first_event{2'500};
  /// Silence between events: over ten times the pace of a slow upstream.
  std::chrono::milliseconds next_event{1'500};
};

class ItemRun : public std::enable_shared_from_this<ItemRun> {
 public:
  using OnEnd = std::function<void(RunEnd, ItemProgress)>;

  /// @param deadline until when the upstream may work on it
  /// @param on_accepted called as the upstream begins to answer
  ItemRun(base::EventLoop& loop, const Clock& clock,
          serving::UpstreamCaller& caller, serving::UpstreamLoads& loads,
          UpstreamId upstream, ItemProgress progress, Instant deadline,
          RunTiming timing, std::function<void()> on_accepted, OnEnd on_end);

  void Start(const serving::Registration& upstream,
             const serving::OutgoingRequest& request,
             std::uint64_t expected_version);
  /// Ends the run without a call of on_end.
  void Cancel();
  /// Ends the run so that it can go on elsewhere.
  void Move();

  const UpstreamId& upstream() const { return upstream_; }
  /// When it was sent.
  Instant started() const { return started_; }
  /// What this run and those before it have brought so far.
  const ItemProgress& progress() const { return progress_; }

 private:
  void OnStart(const serving::StreamStart& start);
  void OnEvent(const serving::StreamEvent& event);
  void OnDone(const serving::UpstreamOutcome& outcome);
  void Interrupt();
  void Watch(std::chrono::milliseconds silence);
  void End(const RunEnd& end);

  base::EventLoop& loop_;
  const Clock& clock_;
  serving::UpstreamCaller& caller_;
  serving::UpstreamLoads& loads_;
  UpstreamId upstream_;
  ItemProgress progress_;
  Instant deadline_;
  RunTiming timing_;
  std::function<void()> on_accepted_;
  OnEnd on_end_;
  std::shared_ptr<http::Call> call_;
  Instant started_{};
  std::optional<Instant> last_event_at_;
  /// The upstream was to refuse under any other version.
  bool version_bound_ = false;
  /// It accepted or refused the item.
  bool answered_ = false;
  bool ended_ = false;
  base::Timer silence_timer_;
};

}  // namespace mulberryroad::batches

#endif  // MULBERRYROAD_SRC_BATCHES_ITEM_RUN_H_
