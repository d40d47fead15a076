#ifndef BENCH_CAPACITY_STATESLOPES_H
#define BENCH_CAPACITY_STATESLOPES_H

namespace ragwortmux {

/// Prints memory, snapshot bytes and snapshot time of the control state by
/// number of groups, sessions, catalogue entries and request keys.
void printStateSlopes();

/// Prints the time of each kind of command by the size of the state, and its
/// bytes in the log.
void printCommandSlopes();

/// Prints bytes and encoding time of the messages with group records and
/// catalogue changes.
void printMessageSlopes();

} // namespace ragwortmux

#endif // BENCH_CAPACITY_STATESLOPES_H
