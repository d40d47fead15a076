#include "bench/EntryHosts/EntryHostsRun.h"
#include "tests/Platform/Socket.h"

#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

DEFINE_uint32(entry_hosts, 60, "Entry processes");
DEFINE_uint32(control_hosts, 3, "Control processes");
DEFINE_uint32(groups, 8, "Database groups of three backend servers");
DEFINE_uint32(connections, 60, "Connections that a backend server takes");
DEFINE_uint32(callers, 600, "Callers with one statement at a time");
DEFINE_uint32(seconds, 20, "Length of the load");
DEFINE_double(control_share, 0.3,
              "Processor share of a control process; 0: unlimited");
DEFINE_double(entry_share, 0.12,
              "Processor share of an entry process; 0: unlimited");
DEFINE_bool(lose_leader, false,
            "Kills the control leader after a quarter of the load");
DEFINE_string(output, "", "Folder for logs and data; empty: one in /tmp");

namespace ragwortmux {

namespace {

constexpr std::uint32_t MaxEntryHosts = 200;
constexpr std::uint32_t MaxControlHosts = 9;
constexpr int UsageError = 2;
constexpr const char *Local = "127.0.0.1";

int run() {
  RunSettings Settings;
  Settings.m_EntryHosts = FLAGS_entry_hosts;
  Settings.m_ControlHosts = FLAGS_control_hosts;
  Settings.m_Groups = FLAGS_groups;
  Settings.m_Connections = FLAGS_connections;
  Settings.m_Callers = FLAGS_callers;
  Settings.m_Length = std::chrono::seconds(FLAGS_seconds);
  Settings.m_ControlShare = FLAGS_control_share;
  Settings.m_EntryShare = FLAGS_entry_share;
  Settings.m_LosesLeader = FLAGS_lose_leader;
  Settings.m_RpcPort = platform::findFreePort(Local);
  Settings.m_HttpPort = platform::findFreePort(Local);
  Settings.m_CallerPort = platform::findFreePort(Local);
  Settings.m_MetricsPort = platform::findFreePort(Local);
  const std::filesystem::path Output =
      FLAGS_output.empty()
          ? std::filesystem::temp_directory_path() / "ragwortmux-measure"
          : std::filesystem::path(FLAGS_output);
  Settings.m_Folder = Output / "entry-hosts.files";
  std::filesystem::remove_all(Settings.m_Folder);
  std::filesystem::create_directories(Settings.m_Folder);
  EntryHostsRun Run(Settings);
  if (!Run.run()) {
    std::cerr << Run.lastReason() << '\n';
    return EXIT_FAILURE;
  }
  std::cout << Run.report() << std::flush;
  std::cerr << "logs in " << Settings.m_Folder.string() << '\n';
  return EXIT_SUCCESS;
}

} // namespace

} // namespace ragwortmux

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage("entry-hosts [--entry_hosts=N] [--seconds=N]");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  std::signal(SIGPIPE, SIG_IGN);
  if (FLAGS_entry_hosts == 0 || FLAGS_control_hosts == 0 ||
      FLAGS_entry_hosts > ragwortmux::MaxEntryHosts ||
      FLAGS_control_hosts > ragwortmux::MaxControlHosts) {
    std::cerr << gflags::ProgramUsage() << '\n';
    return ragwortmux::UsageError;
  }
  return ragwortmux::run();
}
