#ifndef RAGWORTMUX_CORE_TIME_H
#define RAGWORTMUX_CORE_TIME_H

#include <chrono>

/// \file
/// Time as the decision logic sees it: handed in with each event, never read
/// from a clock.

namespace ragwortmux {

/// Tag of the process's monotonic clock; has no now() on purpose.
struct MonotonicClock final {
  using rep = std::chrono::microseconds::rep;
  using period = std::chrono::microseconds::period;
  using duration = std::chrono::microseconds;
  using time_point = std::chrono::time_point<MonotonicClock>;
  // The name is std::chrono's.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;
};

using Duration = std::chrono::microseconds;
/// A point on this process's monotonic clock. Points of two processes cannot be
/// compared.
using Instant = MonotonicClock::time_point;
/// Milliseconds of Unix time; only for retention windows and display, never for
/// safety between hosts.
using WallTime = std::chrono::time_point<std::chrono::system_clock,
                                         std::chrono::milliseconds>;

} // namespace ragwortmux

#endif // RAGWORTMUX_CORE_TIME_H
