// The single-threaded event loop that owns the mutable state of a process.

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

/// The type of the event flags in libevent's callbacks.
using EventFlags = short;  // NOLINT(google-runtime-int)

namespace internal {
struct TimerState;
}

/// Owns a pending or repeating callback, which it cancels on destruction and on
/// assignment of another timer.
class Timer {
 public:
  Timer() = default;
  explicit Timer(std::shared_ptr<internal::TimerState> state);
  Timer(Timer&&) noexcept = default;
  Timer& operator=(Timer&& other) noexcept;
  ~Timer();

  /// Cancels the callback. No effect if there is none or a one-shot callback
  /// already ran.
  void Cancel();

 private:
  std::shared_ptr<internal::TimerState> state_;
};

/// Wraps a libevent event base. Only Post and Stop may be called from other
/// threads.
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  event_base* base() const { return base_; }

  /// Runs a callback once after a delay, unless the returned timer is cancelled
  /// first.
  [[nodiscard]] Timer After(std::chrono::nanoseconds delay,
                            std::function<void()> callback);
  /// Runs a callback once per interval until the returned timer is cancelled.
  [[nodiscard]] Timer Every(std::chrono::nanoseconds interval,
                            std::function<void()> callback);
  /// Queues a callback to run on the loop's thread. Thread-safe.
  void Post(std::function<void()> callback);
  /// Runs a callback on the loop's thread each time a signal is received.
  void OnSignal(int signal_number, std::function<void()> callback);

  /// Dispatches events until Stop is called.
  void Run();
  /// Makes Run return. Thread-safe.
  void Stop();

 private:
  struct SignalHandler;

  static void RunPosted(int fd, EventFlags events, void* self);

  event_base* base_;
  event* posted_event_;
  std::mutex posted_mutex_;
  std::deque<std::function<void()>> posted_callbacks_;
  std::deque<std::unique_ptr<SignalHandler>> signal_handlers_;
};

}  // namespace mulberryroad::base

#endif  // MULBERRYROAD_SRC_BASE_EVENT_LOOP_H_
