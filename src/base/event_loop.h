// The one loop on which all state of a process lives.

#ifndef MULBERRYROAD_SRC_BASE_EVENT_LOOP_H_
#define MULBERRYROAD_SRC_BASE_EVENT_LOOP_H_

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>

struct event;
struct event_base;

namespace mulberryroad::base {

/// The type of libevent's event flags, as its callbacks have it.
using EventFlags = short;  // NOLINT(google-runtime-int)

namespace internal {
struct TimerState;
}

/// A pending or repeating callback. Destroying or resetting it cancels the
/// callback.
class Timer {
 public:
  Timer() = default;
  explicit Timer(std::shared_ptr<internal::TimerState> state);
  Timer(Timer&&) noexcept = default;
  Timer& operator=(Timer&& other) noexcept;
  ~Timer();

  /// Cancels the callback; a no-op if it already ran.
  void Cancel();

 private:
  std::shared_ptr<internal::TimerState> state_;
};

/// Wraps a libevent base. All methods but Post and Stop belong to the loop's
/// thread.
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  event_base* base() const { return base_; }

  /// Runs a callback once after a delay, for as long as the timer lives.
  [[nodiscard]] Timer After(std::chrono::nanoseconds delay,
                            std::function<void()> callback);
  /// Runs a callback at each interval, for as long as the timer lives.
  [[nodiscard]] Timer Every(std::chrono::nanoseconds interval,
                            std::function<void()> callback);
  /// Runs a callback on the loop's thread soon. Thread-safe.
  void Post(std::function<void()> callback);
  /// Runs a callback on the loop for each arrival of a signal.
  void OnSignal(int signal_number, std::function<void()> callback);

  /// Dispatches until Stop is called.
  void Run();
  /// Makes Run return. Thread-safe.
  void Stop();

 private:
  struct SignalHandler;

  static void RunPosted(int fd, EventFlags what, void* self);

  event_base* base_;
  event* posted_event_;
  std::mutex posted_mutex_;
  std::deque<std::function<void()>> posted_;
  std::deque<std::unique_ptr<SignalHandler>> signals_;
};

}  // namespace mulberryroad::base

#endif  // MULBERRYROAD_SRC_BASE_EVENT_LOOP_H_
