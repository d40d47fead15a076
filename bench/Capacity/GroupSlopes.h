#ifndef BENCH_CAPACITY_GROUPSLOPES_H
#define BENCH_CAPACITY_GROUPSLOPES_H

namespace ragwortmux {

/// Prints the time of GroupCore per request by connections, and its memory by
/// waiting requests and by idle groups.
void printGroupSlopes();

} // namespace ragwortmux

#endif // BENCH_CAPACITY_GROUPSLOPES_H
