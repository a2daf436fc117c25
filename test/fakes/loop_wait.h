// Runs the real event loop until a condition holds.

#ifndef MULBERRYROAD_TEST_FAKES_LOOP_WAIT_H_
#define MULBERRYROAD_TEST_FAKES_LOOP_WAIT_H_

#include <chrono>
#include <functional>

#include "base/event_loop.h"

namespace mulberryroad::fakes {

/// Returns false if the condition did not hold within the limit.
inline bool RunUntil(
    base::EventLoop& loop, const std::function<bool()>& condition,
    std::chrono::milliseconds limit = std::chrono::milliseconds(10'000)) {
  bool held = condition();
  if (held) {
    return true;
  }
  const base::Timer check =
      loop.Every(std::chrono::milliseconds(2), [&loop, &held, &condition] {
        held = held || condition();
        if (held) {
          loop.Stop();
        }
      });
  const base::Timer give_up = loop.After(limit, [&loop] { loop.Stop(); });
  loop.Run();
  return held;
}

/// Lets the loop run for a while.
inline void RunFor(base::EventLoop& loop, std::chrono::milliseconds time) {
  RunUntil(
      loop, [] { return false; }, time);
}

}  // namespace mulberryroad::fakes

#endif  // MULBERRYROAD_TEST_FAKES_LOOP_WAIT_H_
