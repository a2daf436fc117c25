#include "base/drain.h"

#include <string>
#include <utility>

#include "base/decision_log.h"

namespace mulberryroad::base {

namespace {

constexpr std::chrono::milliseconds kPollInterval{20};
// The drain stops after this time even if the hand-over has not completed.
constexpr std::chrono::milliseconds kHandOverTimeout{5'000};

}  // namespace

Drain::Drain(EventLoop& loop, const Clock& clock, DrainTiming timing,
             DrainSteps steps)
    : loop_(loop), clock_(clock), timing_(timing), steps_(std::move(steps)) {}

void Drain::Begin() {
  if (begun_) {
    return;
  }
  begun_ = true;
  deadline_ = clock_.now() + timing_.drain_timeout;
  refuse_at_ = deadline_ - timing_.min_refusal_time;
  LogInfo("drain", "started; announcing departure");
  steps_.announce();
  timer_ = loop_.After(timing_.leave_delay, [this] {
    accepting_ = false;
    steps_.stop_accepting();
    WaitForOpenRequests();
  });
}

bool Drain::Admits(const RequestDuration& duration) const {
  if (!begun_) {
    return true;
  }
  const auto left = refuse_at_ - clock_.now();
  return !refusing_ &&
         (duration.limit <= left || (accepting_ && duration.usual <= left));
}

void Drain::WaitForOpenRequests() {
  if (steps_.open_requests() == 0 || clock_.now() >= refuse_at_) {
    RefuseRequests();
    return;
  }
  timer_ = loop_.After(kPollInterval, [this] { WaitForOpenRequests(); });
}

void Drain::RefuseRequests() {
  refusing_ = true;
  if (steps_.refuse) {
    steps_.refuse();
  }
  timer_ =
      loop_.After(timing_.min_refusal_time, [this] { WaitForLastRequests(); });
}

// Waits for requests that arrived just before the node began to refuse them.
void Drain::WaitForLastRequests() {
  const std::size_t open = steps_.open_requests();
  if (open > 0 && clock_.now() < deadline_) {
    timer_ = loop_.After(kPollInterval, [this] { WaitForLastRequests(); });
    return;
  }
  if (open > 0) {
    LogWarning(
        "drain",
        std::to_string(open) +
            " requests still open at the drain timeout; abandoning them");
    if (steps_.abandon) {
      steps_.abandon();
      timer_ = loop_.After(timing_.min_refusal_time, [this] { HandOver(); });
      return;
    }
  }
  HandOver();
}

void Drain::HandOver() {
  const auto finish = [this] {
    if (std::exchange(hand_over_ended_, true)) {
      return;
    }
    LogInfo("drain", "complete; stopping");
    steps_.stop();
  };
  timer_ = loop_.After(kHandOverTimeout, finish);
  steps_.hand_over(finish);
}

}  // namespace mulberryroad::base
