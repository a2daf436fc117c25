#include "batches/item_run.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace mulberryroad::batches {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr int kUnprocessable = 422;
constexpr int kServerError = 500;

}  // namespace

ItemRun::ItemRun(base::EventLoop& loop, const Clock& clock,
                 serving::UpstreamCaller& caller, serving::UpstreamLoads& loads,
                 UpstreamId upstream, ItemProgress progress, Instant deadline,
                 RunLimits limits, std::function<void()> on_accepted,
                 OnEnd on_end)
    : loop_(loop),
      clock_(clock),
      caller_(caller),
      loads_(loads),
      upstream_(std::move(upstream)),
      progress_(std::move(progress)),
      deadline_(deadline),
      limits_(limits),
      on_accepted_(std::move(on_accepted)),
      on_end_(std::move(on_end)) {}

void ItemRun::Start(const serving::Registration& upstream,
                    const serving::OutgoingRequest& request,
                    std::uint64_t expected_version) {
  started_ = clock_.now();
  loads_.OnRequestSent(upstream_, started_);
  if (progress_.last_event == 0) {
    progress_.software = upstream.software;
  }
  serving::CallOptions options;
  options.deadline = duration_cast<milliseconds>(deadline_ - clock_.now());
  options.version = expected_version;
  version_required_ = expected_version != 0;
  if (progress_.last_event > 0) {
    options.resume_after = std::to_string(progress_.last_event);
  }
  options.stream = serving::StreamHandler{
      [self = shared_from_this()](const serving::StreamStart& start) {
        self->OnStart(start);
      },
      [self = shared_from_this()](const serving::StreamEvent& event) {
        self->OnEvent(event);
      },
      [self = shared_from_this()] { return self->progress_.held_bytes(); }};
  call_ = caller_.Send(
      upstream, request, std::move(options),
      [self = shared_from_this()](const serving::UpstreamOutcome& outcome) {
        self->OnDone(outcome);
      });
  RestartEventTimer(limits_.first_event_timeout);
}

void ItemRun::Cancel() {
  if (!std::exchange(ended_, true)) {
    event_timer_.Cancel();
    call_->Cancel();
    ReleaseCall();
    loads_.OnRequestEnded(upstream_, answered_);
  }
}

void ItemRun::InterruptForMove() {
  if (!ended_) {
    call_->Cancel();
    Finish(RunMoved{});
  }
}

// Setting a timer costs more than handling an event, so that a pending timer is
// left to find out about a later deadline when it fires.
void ItemRun::RestartEventTimer(milliseconds timeout) {
  event_deadline_ = clock_.now() + timeout;
  if (!timer_due_.has_value() || event_deadline_ < *timer_due_) {
    SetEventTimer();
  }
}

void ItemRun::SetEventTimer() {
  timer_due_ = event_deadline_;
  event_timer_ = loop_.After(
      std::max(Instant::duration(0), event_deadline_ - clock_.now()),
      [self = shared_from_this()] {
        if (self->clock_.now() < self->event_deadline_) {
          self->SetEventTimer();
        } else {
          self->InterruptAsFailed();
        }
      });
}

void ItemRun::OnStart(const serving::StreamStart& start) {
  if (ended_) {
    return;
  }
  answered_ = true;
  loads_.OnAccepted(upstream_, clock_.now());
  on_accepted_();
  if (start.version != 0) {
    progress_.version = start.version;
  }
}

void ItemRun::OnEvent(const serving::StreamEvent& event) {
  if (ended_ || (event.id.empty() && event.data.empty())) {
    // A comment keeps the connection alive; it is no progress.
    return;
  }
  const AppendEventResult appended =
      progress_.AppendEvent(event, limits_.max_output_bytes);
  if (appended != AppendEventResult::kAppended) {
    if (appended == AppendEventResult::kTooLong) {
      // It is not known which of its runs received wrong events.
      progress_ = {};
    }
    if (!std::exchange(interrupt_posted_, true)) {
      loop_.Post([self = shared_from_this()] { self->InterruptAsFailed(); });
    }
    return;
  }
  const Instant now = clock_.now();
  if (!std::exchange(has_event_, true)) {
    loads_.health().OnResponseStarted(upstream_, now);
  }
  if (last_event_at_.has_value()) {
    loads_.RecordInterval(
        upstream_,
        duration_cast<std::chrono::microseconds>(now - *last_event_at_), now);
  }
  last_event_at_ = now;
  if (const auto interval = pace_.OnEvent(now)) {
    loads_.RecordLatency(upstream_, *interval, now);
  }
  RestartEventTimer(limits_.next_event_timeout);
}

void ItemRun::InterruptAsFailed() {
  if (ended_) {
    return;
  }
  loads_.health().OnRequestFailed(upstream_, clock_.now());
  call_->Cancel();
  Finish(RunInterrupted{});
}

void ItemRun::OnDone(const serving::UpstreamOutcome& outcome) {
  if (ended_) {
    return;
  }
  if (const auto* refused = std::get_if<serving::NotRun>(&outcome)) {
    // With a required version, an upstream whose weights have changed refuses
    // with the same response as one that has taken over another's address. The
    // refusal is then not counted as a failure.
    if (refused->full || version_required_) {
      answered_ = true;
      loads_.OnRefused(upstream_, clock_.now());
    } else {
      loads_.health().OnRequestFailed(upstream_, clock_.now());
    }
    Finish(RunRefused{});
    return;
  }
  const auto* response = std::get_if<serving::CompleteResponse>(&outcome);
  const bool without_events = response != nullptr && response->status == kOk &&
                              progress_.last_event == 0;
  if (response == nullptr || without_events) {
    loads_.health().OnRequestFailed(upstream_, clock_.now());
    Finish(RunInterrupted{});
  } else if (response->status == kOk) {
    loads_.health().OnResponseCompleted(upstream_, clock_.now());
    progress_.complete = true;
    Finish(RunCompleted{});
  } else if (response->status == kUnprocessable) {
    Finish(RunImpossible{});
  } else if (response->status == kServerError) {
    loads_.health().OnRequestFailed(upstream_, clock_.now());
    Finish(RunFailed{});
  } else {
    Finish(RunInterrupted{});
  }
}

void ItemRun::Finish(const RunEnd& end) {
  ended_ = true;
  event_timer_.Cancel();
  ReleaseCall();
  loads_.OnRequestEnded(upstream_, answered_);
  const auto self = shared_from_this();
  std::exchange(on_end_, nullptr)(end, std::move(progress_));
}

// The call is destroyed from the event loop, as its callback may be running.
void ItemRun::ReleaseCall() {
  loop_.Post([call = std::move(call_)] {});
}

}  // namespace mulberryroad::batches
