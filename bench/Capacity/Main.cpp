#include "bench/Capacity/GroupSlopes.h"
#include "bench/Capacity/LeaderSlopes.h"
#include "bench/Capacity/ProcessSlopes.h"
#include "bench/Capacity/SessionSlopes.h"
#include "bench/Capacity/StateSlopes.h"
#include "bench/Capacity/WorkspaceSlopes.h"

#include <gflags/gflags.h>

#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <string>

namespace ragwortmux {

namespace {

constexpr int UsageError = 2;

int run(const std::string &What) {
  const std::map<std::string, std::function<void()>> Parts = {
      {"state", printStateSlopes},          {"commands", printCommandSlopes},
      {"messages", printMessageSlopes},     {"leader", printLeaderSlopes},
      {"group", printGroupSlopes},          {"callers", printCallerSlopes},
      {"control", printControlSlopes},      {"sessions", printSessionSlopes},
      {"workspaces", printWorkspaceSlopes},
  };
  if (What != "all" && !Parts.contains(What)) {
    std::cerr << gflags::ProgramUsage() << '\n';
    return UsageError;
  }
  for (const auto &[Name, Print] : Parts) {
    if (What == "all" || What == Name) {
      Print();
    }
  }
  return EXIT_SUCCESS;
}

} // namespace

} // namespace ragwortmux

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage("capacity [state|commands|messages|leader|group|"
                          "callers|control|sessions|workspaces|all]");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  return ragwortmux::run(ArgumentCount > 1 ? Arguments[1] : "all");
}
