#ifndef BENCH_CAPACITY_LEADERSLOPES_H
#define BENCH_CAPACITY_LEADERSLOPES_H

namespace ragwortmux {

/// Prints the run time of the control leader by groups and by sessions.
void printLeaderSlopes();

} // namespace ragwortmux

#endif // BENCH_CAPACITY_LEADERSLOPES_H
