#ifndef RAGWORTMUX_PROCESS_CONTROL_LOGCONTROLLOAD_H
#define RAGWORTMUX_PROCESS_CONTROL_LOGCONTROLLOAD_H

#include "ragwortmux/Core/Time.h"
#include "ragwortmux/Process/Control/ControlTaskKind.h"

/// \file
/// Log lines about the load of a control node.

namespace ragwortmux {

struct ControlLoadSummary;
struct LostLeadership;

/// Writes a log line about a lost leadership, with its reason and the load of
/// the node in the time before.
void logLostLeadership(const LostLeadership &Lost, Instant Now,
                       const ControlLoadSummary &Load);

/// Writes a log line about a task that started after \p Wait.
void logDelayedTask(ControlTaskKind Kind, Duration Wait,
                    const ControlLoadSummary &Load);

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_CONTROL_LOGCONTROLLOAD_H
