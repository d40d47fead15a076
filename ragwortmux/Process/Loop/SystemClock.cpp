#include "ragwortmux/Process/Loop/SystemClock.h"

#include <ctime>

namespace ragwortmux {

/// The value of \p Clock.
static Duration readClock(clockid_t Clock) {
  timespec Time{};
  clock_gettime(Clock, &Time);
  const auto Value = std::chrono::seconds(Time.tv_sec) +
                     std::chrono::nanoseconds(Time.tv_nsec);
  return std::chrono::duration_cast<Duration>(Value);
}

Instant monotonicNow() { return Instant(readClock(CLOCK_BOOTTIME)); }

Duration threadTime() { return readClock(CLOCK_THREAD_CPUTIME_ID); }

WallTime wallNow() {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

} // namespace ragwortmux
