#ifndef BENCH_CAPACITY_PROCESSSLOPES_H
#define BENCH_CAPACITY_PROCESSSLOPES_H

namespace ragwortmux {

/// Prints the memory of a real entry process by the number of idle callers.
void printCallerSlopes();

/// Prints processor time and bytes per second of real idle processes by the
/// number of groups and of entry processes.
void printControlSlopes();

} // namespace ragwortmux

#endif // BENCH_CAPACITY_PROCESSSLOPES_H
