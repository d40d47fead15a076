#ifndef RAGWORTMUX_PROCESS_LOOP_SYSTEMCLOCK_H
#define RAGWORTMUX_PROCESS_LOOP_SYSTEMCLOCK_H

#include "ragwortmux/Core/Time.h"

namespace ragwortmux {

/// The current time of the monotonic clock. The clock continues while the host
/// is suspended, so that a lease also expires during a suspension.
Instant monotonicNow();

/// The processor time that the calling thread has used so far.
Duration threadTime();

/// The current wall-clock time in milliseconds.
WallTime wallNow();

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_LOOP_SYSTEMCLOCK_H
