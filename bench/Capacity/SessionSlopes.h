#ifndef BENCH_CAPACITY_SESSIONSLOPES_H
#define BENCH_CAPACITY_SESSIONSLOPES_H

namespace ragwortmux {

/// Prints the time of SessionCore per statement by the number of waiting
/// statements.
void printSessionSlopes();

} // namespace ragwortmux

#endif // BENCH_CAPACITY_SESSIONSLOPES_H
