#ifndef BENCH_CAPACITY_WORKSPACESLOPES_H
#define BENCH_CAPACITY_WORKSPACESLOPES_H

namespace ragwortmux {

/// Prints the memory of an entry process's copy of the workspaces and the time
/// of a look-up by key and by name, by number of workspaces with one key each.
void printWorkspaceSlopes();

} // namespace ragwortmux

#endif // BENCH_CAPACITY_WORKSPACESLOPES_H
