#ifndef RAGWORTMUX_CORE_TIME_H
#define RAGWORTMUX_CORE_TIME_H

#include <chrono>

/// \file
/// Time types of the decision logic, which gets the time with each event and
/// never reads a clock.

namespace ragwortmux {

/// The process's monotonic clock; has no now(), so that logic cannot read it.
struct MonotonicClock final {
  using rep = std::chrono::microseconds::rep;
  using period = std::chrono::microseconds::period;
  using duration = std::chrono::microseconds;
  using time_point = std::chrono::time_point<MonotonicClock>;
  // Name required by std::chrono.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;
};

using Duration = std::chrono::microseconds;
/// A point in time on this process's monotonic clock; not comparable between
/// processes.
using Instant = MonotonicClock::time_point;
/// Unix time in milliseconds; only for retention windows and display. Safety
/// between hosts never depends on it.
using WallTime = std::chrono::time_point<std::chrono::system_clock,
                                         std::chrono::milliseconds>;

} // namespace ragwortmux

#endif // RAGWORTMUX_CORE_TIME_H
