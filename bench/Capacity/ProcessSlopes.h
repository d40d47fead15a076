#ifndef BENCH_CAPACITY_PROCESSSLOPES_H
#define BENCH_CAPACITY_PROCESSSLOPES_H

namespace ragwortmux {

/// Memory of a real entry process by idle callers.
void printCallerSlopes();

/// Processor time and bytes per second of real idle processes by groups and by
/// entry processes.
void printControlSlopes();

} // namespace ragwortmux

#endif // BENCH_CAPACITY_PROCESSSLOPES_H
