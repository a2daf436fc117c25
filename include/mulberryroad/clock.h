// Time sources. Decision code takes instants as parameters; only shells hold a
// Clock.

#ifndef MULBERRYROAD_CLOCK_H_
#define MULBERRYROAD_CLOCK_H_

#include <chrono>

namespace mulberryroad {

/// Tag of the clock that runs through pauses of the process and of the VM
/// (CLOCK_BOOTTIME).
struct BootTime {
  using rep = std::chrono::nanoseconds::rep;
  using period = std::chrono::nanoseconds::period;
  using duration = std::chrono::nanoseconds;
  using time_point = std::chrono::time_point<BootTime>;
  // Named by the standard's requirements on clocks.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;
};

/// An instant of the monotonic clock; comparable within one process only.
using Instant = BootTime::time_point;
/// Calendar time, for usage windows and orders' limits.
using WallTime = std::chrono::system_clock::time_point;

/// Source of time. Implementations need not be thread-safe.
class Clock {
 public:
  virtual ~Clock() = default;
  /// Returns the current instant; never decreases.
  virtual Instant now() const = 0;
  /// Returns the current calendar time; may step.
  virtual WallTime wall_now() const = 0;
};

/// The machine's clocks.
class SystemClock final : public Clock {
 public:
  Instant now() const override;
  WallTime wall_now() const override;
};

/// A clock that moves only when told to, for replays and tests.
class ManualClock final : public Clock {
 public:
  Instant now() const override { return now_; }
  WallTime wall_now() const override {
    return WallTime{} + wall_offset_ + since_start();
  }
  /// Moves both clocks forward.
  void Advance(std::chrono::nanoseconds by) { now_ += by; }

 private:
  std::chrono::microseconds since_start() const {
    return std::chrono::duration_cast<std::chrono::microseconds>(
        now_.time_since_epoch());
  }

  Instant now_{};
  std::chrono::seconds wall_offset_{1'700'000'000};
};

/// Returns milliseconds since the Unix epoch.
inline std::chrono::milliseconds UnixTime(WallTime time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      time.time_since_epoch());
}

}  // namespace mulberryroad

#endif  // MULBERRYROAD_CLOCK_H_
