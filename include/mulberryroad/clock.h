// Clock interfaces and time types. Decision logic takes time points as
// parameters; only the I/O layer holds a Clock.

#ifndef MULBERRYROAD_CLOCK_H_
#define MULBERRYROAD_CLOCK_H_

#include <chrono>

namespace mulberryroad {

/// Clock type of CLOCK_BOOTTIME, which keeps counting while the process is
/// stopped or the VM is suspended.
struct BootTime {
  using rep = std::chrono::nanoseconds::rep;
  using period = std::chrono::nanoseconds::period;
  using duration = std::chrono::nanoseconds;
  using time_point = std::chrono::time_point<BootTime>;
  // The name is required by the standard TrivialClock requirements.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;
};

/// Monotonic time point; comparable only within one process.
using Instant = BootTime::time_point;
/// Wall-clock time, used for usage windows and the expiry of orders.
using WallTime = std::chrono::system_clock::time_point;

/// Time source. Implementations need not be thread-safe.
class Clock {
 public:
  virtual ~Clock() = default;
  /// Returns the current monotonic time; never decreases.
  virtual Instant now() const = 0;
  /// Returns the current wall-clock time; may jump in either direction.
  virtual WallTime wall_now() const = 0;
};

/// Clock backed by the operating system.
class SystemClock final : public Clock {
 public:
  Instant now() const override;
  WallTime wall_now() const override;
};

/// Clock that advances only through Advance(), for replays and tests.
class ManualClock final : public Clock {
 public:
  Instant now() const override { return now_; }
  WallTime wall_now() const override {
    return WallTime{} + wall_offset_ + since_start();
  }
  /// Advances the monotonic and the wall clock by the same amount.
  void Advance(std::chrono::nanoseconds by) { now_ += by; }

 private:
  std::chrono::microseconds since_start() const {
    return std::chrono::duration_cast<std::chrono::microseconds>(
        now_.time_since_epoch());
  }

  Instant now_{};
  std::chrono::seconds wall_offset_{1'700'000'000};
};

/// Returns the time since the Unix epoch, in milliseconds.
inline std::chrono::milliseconds UnixTime(WallTime time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      time.time_since_epoch());
}

}  // namespace mulberryroad

#endif  // MULBERRYROAD_CLOCK_H_
