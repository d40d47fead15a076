#ifndef RAGWORTMUX_PROCESS_LOOP_MAKEINCARNATION_H
#define RAGWORTMUX_PROCESS_LOOP_MAKEINCARNATION_H

#include "ragwortmux/Version/SessionRecord.h"

namespace ragwortmux {

/// Creates the incarnation of a process that starts now: the wall-clock time in
/// milliseconds, followed by random low bits. If the wall clock was set back
/// since the previous start on this host, the new process cannot open a session
/// until that of the previous process has expired.
Incarnation makeIncarnation();

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_LOOP_MAKEINCARNATION_H
