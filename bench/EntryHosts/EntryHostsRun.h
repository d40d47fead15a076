#ifndef BENCH_ENTRYHOSTS_ENTRYHOSTSRUN_H
#define BENCH_ENTRYHOSTS_ENTRYHOSTSRUN_H

#include "bench/EntryHosts/CallerStandIn.h"
#include "bench/EntryHosts/HostProcesses.h"
#include "bench/EntryHosts/RunSettings.h"
#include "bench/EntryHosts/ServerStandIn.h"
#include "ragwortmux/Process/Loop/IoLoop.h"

#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace ragwortmux {

class HeartbeatSender;

/// Starts many entry processes with a few control processes and stand-in
/// backend servers, runs callers against them, and reports the changes of the
/// control leader, the lost leases and the outcomes of all statements.
///
/// A replacement of the configuration is made in the middle of the load.
class EntryHostsRun final {
public:
  explicit EntryHostsRun(const RunSettings &Settings);
  ~EntryHostsRun();
  EntryHostsRun(const EntryHostsRun &) = delete;
  EntryHostsRun &operator=(const EntryHostsRun &) = delete;

  /// Runs everything; false with lastReason() if the processes did not start.
  bool run();
  /// The results as a Markdown table.
  std::string report() const;
  const std::string &lastReason() const { return m_LastReason; }

private:
  void startServers();
  bool putConfiguration(std::uint64_t Version);
  std::string configuration(std::uint64_t Version) const;
  void startCallers();
  void loseLeader();
  std::string controlMetrics(std::uint32_t Host) const;
  void waitFor(Duration Length);
  std::string metricRows() const;

  RunSettings m_Settings;           ///< Settings.
  IoLoop m_Loop;                    ///< Runs servers and callers.
  HostProcesses m_Hosts;            ///< Control and entry processes.
  std::list<GroupStandIn> m_Groups; ///< Groups.
  std::vector<std::unique_ptr<ServerStandIn>> m_Servers; ///< Backend servers.
  std::unique_ptr<HeartbeatSender> m_Heartbeats;         ///< Their heartbeats.
  std::vector<std::unique_ptr<CallerStandIn>> m_Callers; ///< Callers.
  OutcomeCounts m_Outcomes;   ///< Outcomes of all statements.
  std::int64_t m_StartMs = 0; ///< Time of day of the load's start.
  bool m_WasReplaced = false; ///< The second configuration was accepted.
  std::vector<double> m_ControlShares; ///< Processor share, by process.
  double m_EntryShare = 0;             ///< Mean of the entry processes.
  std::string m_Metrics;               ///< Rows of control metrics.
  std::string m_LastReason;            ///< See lastReason().
};

} // namespace ragwortmux

#endif // BENCH_ENTRYHOSTS_ENTRYHOSTSRUN_H
