#include "base/event_loop.h"

#include <event2/event.h>
#include <event2/thread.h>

#include <stdexcept>
#include <utility>

namespace mulberryroad::base {

namespace internal {

struct TimerState {
  event* timer_event = nullptr;
  bool repeating = false;
  std::function<void()> callback;
  // Keeps the state valid while its callback runs, even if the callback
  // destroys the timer.
  std::shared_ptr<TimerState> self;

  ~TimerState() {
    if (timer_event != nullptr) {
      event_free(timer_event);
    }
  }
};

timeval ToTimeval(std::chrono::nanoseconds duration) {
  const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(
      std::max(duration, std::chrono::nanoseconds::zero()));
  timeval result{};
  result.tv_sec = static_cast<time_t>(micros.count() / 1'000'000);
  result.tv_usec = static_cast<suseconds_t>(micros.count() % 1'000'000);
  return result;
}

void RunTimer(evutil_socket_t /*fd*/, EventFlags /*events*/, void* argument) {
  const std::shared_ptr<TimerState> state =
      static_cast<TimerState*>(argument)->self;
  if (state == nullptr || state->callback == nullptr) {
    return;
  }
  if (state->repeating) {
    state->callback();
    return;
  }
  const std::function<void()> callback = std::move(state->callback);
  state->callback = nullptr;
  state->self.reset();
  callback();
}

std::shared_ptr<TimerState> StartTimer(event_base* base,
                                       std::chrono::nanoseconds delay,
                                       bool repeating,
                                       std::function<void()> callback) {
  auto state = std::make_shared<TimerState>();
  state->repeating = repeating;
  state->callback = std::move(callback);
  state->self = state;
  const EventFlags flags = repeating ? EV_PERSIST : 0;
  state->timer_event = event_new(base, -1, flags, RunTimer, state.get());
  const timeval timeout = ToTimeval(delay);
  event_add(state->timer_event, &timeout);
  return state;
}

}  // namespace internal

Timer::Timer(std::shared_ptr<internal::TimerState> state)
    : state_(std::move(state)) {}

Timer& Timer::operator=(Timer&& other) noexcept {
  if (this != &other) {
    Cancel();
    state_ = std::move(other.state_);
  }
  return *this;
}

Timer::~Timer() { Cancel(); }

void Timer::Cancel() {
  if (state_ == nullptr) {
    return;
  }
  event_del(state_->timer_event);
  state_->self.reset();
  state_.reset();
}

struct EventLoop::SignalHandler {
  event* signal_event = nullptr;
  std::function<void()> callback;

  ~SignalHandler() { event_free(signal_event); }
};

EventLoop::EventLoop() {
  evthread_use_pthreads();
  base_ = event_base_new();
  if (base_ == nullptr) {
    throw std::runtime_error("cannot create the event loop");
  }
  posted_event_ = event_new(base_, -1, EV_PERSIST, RunPosted, this);
}

EventLoop::~EventLoop() {
  signal_handlers_.clear();
  event_free(posted_event_);
  event_base_free(base_);
}

Timer EventLoop::After(std::chrono::nanoseconds delay,
                       std::function<void()> callback) {
  return Timer(internal::StartTimer(base_, delay, false, std::move(callback)));
}

Timer EventLoop::Every(std::chrono::nanoseconds interval,
                       std::function<void()> callback) {
  return Timer(
      internal::StartTimer(base_, interval, true, std::move(callback)));
}

void EventLoop::Post(std::function<void()> callback) {
  {
    const std::lock_guard lock(posted_mutex_);
    posted_callbacks_.push_back(std::move(callback));
  }
  event_active(posted_event_, EV_READ, 0);
}

void EventLoop::OnSignal(int signal_number, std::function<void()> callback) {
  auto handler = std::make_unique<SignalHandler>();
  handler->callback = std::move(callback);
  handler->signal_event = evsignal_new(
      base_, signal_number,
      [](evutil_socket_t, EventFlags, void* argument) {
        static_cast<SignalHandler*>(argument)->callback();
      },
      handler.get());
  event_add(handler->signal_event, nullptr);
  signal_handlers_.push_back(std::move(handler));
}

void EventLoop::Run() { event_base_loop(base_, EVLOOP_NO_EXIT_ON_EMPTY); }

void EventLoop::Stop() {
  Post([this] { event_base_loopbreak(base_); });
}

void EventLoop::RunPosted(int /*fd*/, EventFlags /*events*/, void* self) {
  auto* loop = static_cast<EventLoop*>(self);
  std::deque<std::function<void()>> ready;
  {
    const std::lock_guard lock(loop->posted_mutex_);
    ready.swap(loop->posted_callbacks_);
  }
  for (const std::function<void()>& callback : ready) {
    callback();
  }
}

}  // namespace mulberryroad::base
