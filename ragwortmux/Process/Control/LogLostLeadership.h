#ifndef RAGWORTMUX_PROCESS_CONTROL_LOGLOSTLEADERSHIP_H
#define RAGWORTMUX_PROCESS_CONTROL_LOGLOSTLEADERSHIP_H

#include "ragwortmux/Core/Time.h"

namespace ragwortmux {

struct ControlLoadSummary;
struct LostLeadership;

/// Writes a log line about a lost leadership, with its reason and the load of
/// the node in the time before.
void logLostLeadership(const LostLeadership &Lost, Instant Now,
                       const ControlLoadSummary &Load);

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_CONTROL_LOGLOSTLEADERSHIP_H
