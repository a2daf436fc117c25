// Steps that a stand-in takes later; those left are dropped with it.

#ifndef MULBERRYROAD_TEST_FAKES_PLATFORM_DELAYED_STEPS_H_
#define MULBERRYROAD_TEST_FAKES_PLATFORM_DELAYED_STEPS_H_

#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <utility>

#include "base/event_loop.h"

namespace mulberryroad::fakes {

class DelayedSteps {
 public:
  explicit DelayedSteps(base::EventLoop& loop) : loop_(loop) {}

  void After(std::chrono::milliseconds delay, std::function<void()> step) {
    const auto timer = std::make_shared<base::Timer>();
    timers_.push_back(timer);
    *timer = loop_.After(delay, [this, timer, step = std::move(step)] {
      timers_.remove(timer);
      // The timer holds this callback, and with it itself.
      const base::Timer fired = std::move(*timer);
      step();
    });
  }

 private:
  base::EventLoop& loop_;
  std::list<std::shared_ptr<base::Timer>> timers_;
};

}  // namespace mulberryroad::fakes

#endif  // MULBERRYROAD_TEST_FAKES_PLATFORM_DELAYED_STEPS_H_
