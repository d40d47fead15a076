#ifndef BENCH_ENTRYHOSTS_RUNSETTINGS_H
#define BENCH_ENTRYHOSTS_RUNSETTINGS_H

#include "ragwortmux/Core/Time.h"

#include <cstdint>
#include <filesystem>

namespace ragwortmux {

/// Size and load of a run with many entry hosts.
struct RunSettings final {
  std::uint32_t m_EntryHosts = 60;   ///< Entry processes.
  std::uint32_t m_ControlHosts = 3;  ///< Control processes.
  std::uint32_t m_ControlVoters = 3; ///< Of these, voters at most.
  std::uint32_t m_Domains = 3;       ///< Failure domains.
  std::uint32_t m_Groups = 8;        ///< Database groups.
  std::uint32_t m_Servers = 3;       ///< Backend servers of a group.
  std::uint32_t m_Connections = 60;  ///< Connections that a server takes.
  std::uint32_t m_Callers = 600;     ///< Callers, one statement at a time.
  Duration m_Pause = std::chrono::seconds(1);   ///< Between two statements.
  Duration m_Length = std::chrono::seconds(20); ///< Length of the load.
  double m_ControlShare =
      0.3;                    ///< Processor share of a control process; 0: all.
  double m_EntryShare = 0.12; ///< Processor share of an entry process; 0: all.
  bool m_LosesLeader = false; ///< The control leader is killed after a
                              ///< quarter of the load.
  std::uint16_t m_RpcPort = 0;     ///< RPC port of all processes.
  std::uint16_t m_HttpPort = 0;    ///< HTTP port of all processes.
  std::uint16_t m_CallerPort = 0;  ///< Caller port of the entry processes.
  std::uint16_t m_MetricsPort = 0; ///< Metrics port of the control processes.
  std::filesystem::path m_Folder;  ///< Data folders, settings and logs.
};

} // namespace ragwortmux

#endif // BENCH_ENTRYHOSTS_RUNSETTINGS_H
