// Graceful shutdown: leave, let the balancer notice, finish what is open, stop.

#ifndef MULBERRYROAD_SRC_BASE_DRAIN_H_
#define MULBERRYROAD_SRC_BASE_DRAIN_H_

#include <chrono>
#include <cstddef>
#include <functional>

#include "base/event_loop.h"
#include "mulberryroad/clock.h"

namespace mulberryroad::base {

/// What a drain does at each step.
struct DrainSteps {
  /// Announces the departure; the node still accepts requests.
  std::function<void()> announce;
  /// Takes no more connections.
  std::function<void()> stop_accepting;
  /// Number of requests without a complete answer.
  std::function<std::size_t()> open_requests;
  /// From here on requests are refused: the last ones come over connections
  /// that their callers keep open. May be empty.
  std::function<void()> refuse;
  /// Hands over roles and state; calls back when that is done.
  std::function<void(std::function<void()> done)> hand_over;
  /// Ends the process's loop.
  std::function<void()> stop;
};

struct DrainTiming {
  /// Time between the announcement and the end of accepting.
  std::chrono::milliseconds leave_delay{0};
  /// Open requests are cut after this time.
  std::chrono::milliseconds limit{0};
  /// Time between the first refusal and the hand-over, in which answers reach
  /// their callers.
  std::chrono::milliseconds quiet{0};
};

class Drain {
 public:
  Drain(EventLoop& loop, const Clock& clock, DrainTiming timing,
        DrainSteps steps);

  /// Begins the drain; further calls change nothing.
  void Begin();
  bool begun() const { return begun_; }

 private:
  void AwaitOpenRequests();
  void Refuse();
  void AwaitQuiet();
  void HandOver();

  EventLoop& loop_;
  const Clock& clock_;
  DrainTiming timing_;
  DrainSteps steps_;
  bool begun_ = false;
  bool handed_over_ = false;
  Instant limit_{};
  Timer timer_;
};

}  // namespace mulberryroad::base

#endif  // MULBERRYROAD_SRC_BASE_DRAIN_H_
