// Graceful shutdown: announces the departure, waits for load balancers to react
// and for open requests to complete, hands over state and stops.

#ifndef MULBERRYROAD_SRC_BASE_DRAIN_H_
#define MULBERRYROAD_SRC_BASE_DRAIN_H_

#include <chrono>
#include <cstddef>
#include <functional>

#include "base/event_loop.h"
#include "mulberryroad/clock.h"

namespace mulberryroad::base {

/// Callbacks for the steps of a drain. All run on the event loop's thread.
struct DrainSteps {
  /// Announces that the node is leaving. The node still accepts requests.
  std::function<void()> announce;
  /// Stops accepting connections.
  std::function<void()> stop_accepting;
  /// Returns the number of requests without a complete response, and of
  /// responses that were not sent to the last byte.
  std::function<std::size_t()> open_requests;
  /// Starts refusing requests, which callers can still send over open
  /// keep-alive connections. May be empty.
  std::function<void()> refuse;
  /// Ends the requests that are still open at the drain timeout with a failure.
  /// May be empty.
  std::function<void()> abandon = {};
  /// Hands over roles and state to other nodes, then calls `done`. The
  /// drain continues with `stop` on the first call of `done` or after a
  /// timeout; later calls have no effect.
  std::function<void(std::function<void()> done)> hand_over;
  /// Stops the event loop of the process.
  std::function<void()> stop;
};

struct DrainTiming {
  /// Time between `announce` and `stop_accepting`.
  std::chrono::milliseconds leave_delay{0};
  /// Time after Begin at which requests that are still open are abandoned.
  std::chrono::milliseconds drain_timeout{0};
  /// Minimum time between `refuse` and `hand_over`, in which the last responses
  /// reach their callers. Part of `drain_timeout`. After `abandon` the drain
  /// waits for this time once more, beyond `drain_timeout`.
  std::chrono::milliseconds min_refusal_time{0};
};

/// How long a request takes that has not started yet.
struct RequestDuration {
  /// Time after which the request ends, with a response or without one.
  std::chrono::milliseconds limit{0};
  /// Time within which most requests of its kind have ended.
  std::chrono::milliseconds usual{0};
};

/// Runs the steps of a drain in order. Belongs to the event loop's thread.
class Drain {
 public:
  Drain(EventLoop& loop, const Clock& clock, DrainTiming timing,
        DrainSteps steps);

  /// Starts the drain. Further calls have no effect.
  void Begin();
  bool begun() const { return begun_; }
  /// Returns whether a request that arrives now ends before the drain abandons
  /// it. While load balancers may still route callers to this node, it is
  /// enough that the request usually does; later its limit decides.
  bool Admits(const RequestDuration& duration) const;

 private:
  void WaitForOpenRequests();
  void RefuseRequests();
  void WaitForLastRequests();
  void HandOver();

  EventLoop& loop_;
  const Clock& clock_;
  DrainTiming timing_;
  DrainSteps steps_;
  bool begun_ = false;
  bool accepting_ = true;
  bool refusing_ = false;
  bool hand_over_ended_ = false;
  /// All requests are refused from this time on.
  Instant refuse_at_{};
  Instant deadline_{};
  Timer timer_;
};

}  // namespace mulberryroad::base

#endif  // MULBERRYROAD_SRC_BASE_DRAIN_H_
