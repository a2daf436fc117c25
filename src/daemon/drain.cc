#include "daemon/drain.h"

#include <string>
#include <utility>

#include "base/decision_log.h"

namespace mulberryroad::daemon {

namespace {

constexpr std::chrono::milliseconds kPollInterval{20};
constexpr std::chrono::milliseconds kHandOverLimit{5'000};

}  // namespace

Drain::Drain(base::EventLoop& loop, const Clock& clock, DrainTiming timing,
             DrainSteps steps)
    : loop_(loop), clock_(clock), timing_(timing), steps_(std::move(steps)) {}

void Drain::Begin() {
  if (begun_) {
    return;
  }
  begun_ = true;
  limit_ = clock_.now() + timing_.limit;
  base::LogInfo("drain", "leaving");
  steps_.announce();
  timer_ = loop_.After(timing_.leave_delay, [this] {
    steps_.stop_accepting();
    AwaitOpenRequests();
  });
}

void Drain::AwaitOpenRequests() {
  const std::size_t open = steps_.open_requests();
  if (open == 0) {
    HandOver();
    return;
  }
  if (clock_.now() >= limit_) {
    base::LogWarning("drain", std::to_string(open) +
                                  " requests are cut at the drain timeout");
    HandOver();
    return;
  }
  timer_ = loop_.After(kPollInterval, [this] { AwaitOpenRequests(); });
}

void Drain::HandOver() {
  const auto finish = [this] {
    if (std::exchange(handed_over_, true)) {
      return;
    }
    base::LogInfo("drain", "complete");
    steps_.stop();
  };
  timer_ = loop_.After(kHandOverLimit, finish);
  steps_.hand_over(finish);
}

}  // namespace mulberryroad::daemon
