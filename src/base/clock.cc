#include "mulberryroad/clock.h"

#include <ctime>

namespace mulberryroad {

Instant SystemClock::now() const {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return Instant(std::chrono::seconds(time.tv_sec) +
                 std::chrono::nanoseconds(time.tv_nsec));
}

WallTime SystemClock::wall_now() const {
  return std::chrono::system_clock::now();
}

}  // namespace mulberryroad
