#ifndef BENCH_CAPACITY_LEADERSLOPES_H
#define BENCH_CAPACITY_LEADERSLOPES_H

namespace ragwortmux {

/// Time that the control leader spends by groups and by sessions.
void printLeaderSlopes();

} // namespace ragwortmux

#endif // BENCH_CAPACITY_LEADERSLOPES_H
