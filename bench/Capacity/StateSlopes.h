#ifndef BENCH_CAPACITY_STATESLOPES_H
#define BENCH_CAPACITY_STATESLOPES_H

namespace ragwortmux {

/// Memory and snapshot bytes of the control state by each of its sizes.
void printStateSlopes();

/// Time and bytes of each kind of command by the size of the state.
void printCommandSlopes();

/// Bytes of the messages that carry group records and catalogue changes.
void printMessageSlopes();

} // namespace ragwortmux

#endif // BENCH_CAPACITY_STATESLOPES_H
