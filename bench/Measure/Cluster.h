#ifndef BENCH_MEASURE_CLUSTER_H
#define BENCH_MEASURE_CLUSTER_H

#include "bench/Measure/Workload.h"

#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ragwortmux {

class ChildProcess;
class PgClient;
struct ProcessUsage;

/// Programs, files and ports of a cluster.
struct ClusterSettings final {
  std::filesystem::path m_Programs;    ///< Build folder with the programs.
  std::filesystem::path m_Folder;      ///< Folder for data, logs and records.
  std::uint16_t m_BasePort = 0;        ///< First of the ports used.
  std::uint32_t m_LifetimeSeconds = 0; ///< Processes exit after this time.
};

/// The real processes of one user's cluster and its stand-in backend servers,
/// all on the loopback interface. The destructor ends each process by its id.
class Cluster final {
public:
  Cluster(const Workload &UserWorkload, ClusterSettings Settings);
  Cluster(const Cluster &) = delete;
  Cluster &operator=(const Cluster &) = delete;
  ~Cluster();

  /// Starts all processes and creates the catalogue entries. False with
  /// lastReason() if a process is not ready in time.
  bool start();
  /// Ends all processes.
  void stop();

  /// Kills a backend server.
  void killServer(std::uint32_t Group, std::uint32_t Server);
  /// Starts a killed backend server from its journal.
  void restartServer(std::uint32_t Group, std::uint32_t Server);
  /// Suspends or resumes the process of a backend server.
  void freezeServer(std::uint32_t Group, std::uint32_t Server, bool Frozen);
  /// Isolates a running backend server: its open connections stop answering, it
  /// accepts no new ones and sends no announcements.
  void isolateServer(std::uint32_t Group, std::uint32_t Server);
  /// Ends isolateServer().
  void reconnectServer(std::uint32_t Group, std::uint32_t Server);
  /// Suspends or resumes the process of an entry host.
  void freezeHost(std::uint32_t Host, bool Frozen);

  /// The server that reports itself as primary of the highest term; none if no
  /// server does.
  std::optional<std::uint32_t> findPrimary(std::uint32_t Group);
  /// Runs a statement at a backend server over a new connection and returns the
  /// rows; none if the server does not answer.
  std::vector<std::vector<std::string>> queryServer(std::uint32_t Group,
                                                    std::uint32_t Server,
                                                    const std::string &Sql);
  /// Body of an HTTP GET at an entry host; empty on failure.
  std::string httpGet(std::uint32_t Host, const std::string &Path) const;
  /// Processor time and memory of each process; entry hosts come first.
  std::vector<ProcessUsage> readUsage() const;
  /// True if all entry hosts are running; else lastReason() names the error.
  bool areHostsRunning();

  const Workload &workload() const { return m_Workload; }
  std::uint16_t callerPort(std::uint32_t Host) const;
  std::uint16_t serverPort(std::uint32_t Group, std::uint32_t Server) const;
  std::string groupName(std::uint32_t Group) const;
  /// File in which a backend server records its commits as primary.
  std::filesystem::path recordFile(std::uint32_t Group,
                                   std::uint32_t Server) const;
  /// Name of the catalogue entry for a class and group.
  static std::string entryName(LoadClass Class, std::uint32_t Group);
  /// Name of the catalogue entry for the probe writers of a group.
  static std::string probeEntry(std::uint32_t Group);
  const std::string &lastReason() const { return m_LastReason; }

private:
  bool startHosts();
  bool startServer(std::uint32_t Group, std::uint32_t Server);
  bool putEntries();
  bool putEntry(const std::string &Name, std::uint32_t Group,
                std::string_view Class, std::uint32_t MaxAgeMs);
  bool waitUntilReady();
  std::uint16_t httpPort(std::uint32_t Host) const;
  std::uint16_t rpcPort(std::uint32_t Host) const;
  std::uint32_t serverIndex(std::uint32_t Group, std::uint32_t Server) const;
  std::string seedSql() const;

  const Workload m_Workload;        ///< Sizes and load of the user.
  const ClusterSettings m_Settings; ///< Programs, files and ports.
  std::vector<std::unique_ptr<ChildProcess>> m_Hosts;   ///< Entry hosts.
  std::vector<std::unique_ptr<ChildProcess>> m_Servers; ///< Backend servers.
  std::map<std::uint32_t, std::unique_ptr<PgClient>>
      m_FaultConnections;   ///< Control connections to isolated servers, by
                            ///< server index.
  std::string m_LastReason; ///< Cause of the last failure.
};

} // namespace ragwortmux

#endif // BENCH_MEASURE_CLUSTER_H
