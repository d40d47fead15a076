#ifndef BENCH_CAPACITY_GROUPSLOPES_H
#define BENCH_CAPACITY_GROUPSLOPES_H

namespace ragwortmux {

/// Time of GroupCore per request by connections, and memory per request that
/// waits.
void printGroupSlopes();

} // namespace ragwortmux

#endif // BENCH_CAPACITY_GROUPSLOPES_H
