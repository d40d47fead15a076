#include "bench/Measure/MeasureRun.h"
#include "bench/Measure/OverheadRun.h"

#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>

DEFINE_bool(quick, false, "Three losses per user and a short load");
DEFINE_uint64(seed, 1, "Seed of the load");
DEFINE_string(output, "", "Folder for the results; empty: one in /tmp");
DEFINE_uint32(base_port, 27000, "First of the ports used");
DEFINE_uint32(losses, 12, "Losses of a primary, without --quick");
DEFINE_uint32(period_ms, 6000, "From one loss to the next, without --quick");
DEFINE_bool(freeze_hosts, true, "Also lose entry hosts, without --quick");
DEFINE_bool(reads_at_primary, false, "Baseline: no read at a replica");
DEFINE_bool(unkeyed_bookings, false, "Bookings without request keys");
DEFINE_double(rate, 0, "Requests per second; 0: that of the workload");
DEFINE_bool(keep, false, "Leaves data, logs and time lines in the folder");

namespace ragwortmux {

namespace {

constexpr const char *Overhead = "overhead";
constexpr int UsageError = 2;
constexpr std::uint16_t PortsPerRun = 100;
constexpr std::uint32_t LifetimeReserveSeconds = 60;

FaultSettings faultSettings() {
  FaultSettings Faults;
  if (FLAGS_quick) {
    Faults.m_First = std::chrono::milliseconds(2'000);
    Faults.m_Period = std::chrono::milliseconds(4'000);
    Faults.m_Outage = std::chrono::milliseconds(2'500);
    Faults.m_Losses = 3;
    Faults.m_FreezeHosts = false;
    return Faults;
  }
  Faults.m_Losses = FLAGS_losses;
  Faults.m_Period = std::chrono::milliseconds(FLAGS_period_ms);
  Faults.m_FreezeHosts = FLAGS_freeze_hosts;
  return Faults;
}

LoadSettings loadSettings() {
  LoadSettings Load;
  Load.m_Seed = FLAGS_seed;
  Load.m_ReadAtPrimary = FLAGS_reads_at_primary;
  Load.m_UnkeyedBookings = FLAGS_unkeyed_bookings;
  return Load;
}

/// Settings of a cluster whose files go to an empty folder below \p Folder.
ClusterSettings makeClusterSettings(const std::string &Name,
                                    std::uint16_t BasePort,
                                    const std::filesystem::path &Folder) {
  ClusterSettings Settings;
  Settings.m_Programs = RAGWORTMUX_BINARY_DIR;
  Settings.m_Folder = Folder / (Name + ".files");
  Settings.m_BasePort = BasePort;
  Settings.m_LifetimeSeconds = LifetimeReserveSeconds;
  std::filesystem::remove_all(Settings.m_Folder);
  std::filesystem::create_directories(Settings.m_Folder);
  return Settings;
}

bool measureOverhead(const std::filesystem::path &Folder) {
  OverheadRun Run(makeClusterSettings(
      "overhead", static_cast<std::uint16_t>(FLAGS_base_port), Folder));
  if (!Run.run()) {
    std::cerr << "overhead: " << Run.lastReason() << '\n';
    return false;
  }
  const std::string Table = Run.summary().toMarkdown();
  std::cout << Table << std::flush;
  std::ofstream(Folder / "overhead.md") << Table;
  return true;
}

bool measureUser(const std::string &User, std::uint16_t BasePort,
                 const std::filesystem::path &Folder) {
  auto UserWorkload = findWorkload(User);
  if (!UserWorkload) {
    std::cerr << "no such user: " << User << '\n';
    return false;
  }
  if (FLAGS_rate > 0) {
    UserWorkload->m_RequestsPerSecond = FLAGS_rate;
  }
  const FaultSettings Faults = faultSettings();
  ClusterSettings Settings = makeClusterSettings(User, BasePort, Folder);
  const auto Length = Faults.m_First + Faults.m_Period * Faults.m_Losses;
  Settings.m_LifetimeSeconds +=
      static_cast<std::uint32_t>(Length.count() / 1000);
  MeasureRun Run(*UserWorkload, Settings, loadSettings(), Faults);
  if (!Run.run()) {
    std::cerr << User << ": " << Run.lastReason() << '\n';
    return false;
  }
  const std::string Table = Run.summary().toMarkdown();
  std::cout << Table << std::flush;
  std::ofstream(Folder / (User + ".md")) << Table;
  std::ofstream(Folder / (User + ".json")) << Run.summary().toJson() << '\n';
  if (!FLAGS_keep) {
    std::filesystem::remove_all(Settings.m_Folder);
  }
  return Run.summary().hasNoViolations();
}

int run(const std::string &Mode) {
  std::filesystem::path Folder = FLAGS_output;
  if (Folder.empty()) {
    Folder = std::filesystem::temp_directory_path() / "ragwortmux-measure";
  }
  std::filesystem::create_directories(Folder);
  if (Mode == Overhead) {
    return measureOverhead(Folder) ? EXIT_SUCCESS : EXIT_FAILURE;
  }
  bool AllHold = true;
  auto BasePort = static_cast<std::uint16_t>(FLAGS_base_port);
  for (const std::string User : {"nilerack", "haddow"}) {
    if (Mode == User || Mode == "all") {
      AllHold = measureUser(User, BasePort, Folder) && AllHold;
    }
    BasePort += PortsPerRun;
  }
  std::cerr << "results in " << Folder.string() << '\n';
  return AllHold ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

} // namespace ragwortmux

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage("measure [nilerack|haddow|all|overhead] [--quick]");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  std::signal(SIGPIPE, SIG_IGN);
  const std::string Mode = ArgumentCount > 1 ? Arguments[1] : "all";
  if (ArgumentCount > 2 || (Mode != "all" && Mode != ragwortmux::Overhead &&
                            !ragwortmux::findWorkload(Mode))) {
    std::cerr << gflags::ProgramUsage() << '\n';
    return ragwortmux::UsageError;
  }
  return ragwortmux::run(Mode);
}
