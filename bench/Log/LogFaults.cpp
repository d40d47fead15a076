/// \file
/// Runs the replicated log with random faults, one run per seed, and prints the
/// seeds that fail.

#include "tests/Log/LogFaultRun.h"

#include <cstdint>
#include <gflags/gflags.h>
#include <iostream>
#include <optional>
#include <string>

DEFINE_uint64(seeds, 1000, "number of runs");
DEFINE_uint64(first, 1, "seed of the first run");
DEFINE_bool(stop, true, "stop at the first seed that fails");

int main(int Count, char **Arguments) {
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  std::uint64_t Failed = 0;
  std::uint64_t Entries = 0;
  std::uint64_t Terms = 0;
  std::uint64_t Confirmations = 0;
  std::uint64_t Runs = 0;
  for (std::uint64_t Seed = FLAGS_first; Seed < FLAGS_first + FLAGS_seeds;
       ++Seed) {
    ragwortmux::LogFaultRun Run(Seed);
    const std::optional<std::string> Failure = Run.run();
    const ragwortmux::LogChecks &Checks = Run.network().checks();
    ++Runs;
    Entries += Checks.newestCommitted().value();
    Terms += Checks.termsWithLeader();
    Confirmations += Checks.confirmations();
    if (!Failure)
      continue;
    ++Failed;
    std::cout << "seed " << Seed << ": " << *Failure << std::endl;
    if (FLAGS_stop)
      break;
  }
  std::cout << Runs << " runs, " << Failed << " failed; " << Entries
            << " entries committed, " << Terms << " terms led, "
            << Confirmations << " confirmations\n";
  return Failed == 0 ? 0 : 1;
}
