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

/// Where the programs and files of a cluster are.
struct ClusterSettings final {
  std::filesystem::path m_Programs;    ///< Build folder.
  std::filesystem::path m_Folder;      ///< Folder for data, logs and records.
  std::uint16_t m_BasePort = 0;        ///< First of the ports used.
  std::uint32_t m_LifetimeSeconds = 0; ///< Processes end by themselves then.
};

/// The real processes of one user's cluster and its stand-in backend servers,
/// all on the loopback interface. The destructor ends every process by its id.
class Cluster final {
public:
  Cluster(const Workload &Sizes, ClusterSettings Settings);
  Cluster(const Cluster &) = delete;
  Cluster &operator=(const Cluster &) = delete;
  ~Cluster();

  /// Starts everything and puts the catalogue entries. False with lastReason()
  /// if something is not ready in time.
  bool start();
  /// Ends everything.
  void stop();

  /// Kills a backend server.
  void killServer(std::uint32_t Group, std::uint32_t Server);
  /// Starts a killed backend server from its journal.
  void restartServer(std::uint32_t Group, std::uint32_t Server);
  /// Stops or resumes all work of a backend server.
  void freezeServer(std::uint32_t Group, std::uint32_t Server, bool Frozen);
  /// Cuts a backend server off: its open connections go silent, it accepts no
  /// new ones and sends no announcements, but goes on running.
  void cutOffServer(std::uint32_t Group, std::uint32_t Server);
  /// Ends cutOffServer().
  void reconnectServer(std::uint32_t Group, std::uint32_t Server);
  /// Stops or resumes all work of an entry host.
  void freezeHost(std::uint32_t Host, bool Frozen);

  /// The server that is primary of the highest term; none within a second.
  std::optional<std::uint32_t> findPrimary(std::uint32_t Group);
  /// Runs a statement at a backend server over a connection of its own and
  /// returns the rows; none if the server does not answer.
  std::vector<std::vector<std::string>>
  askServer(std::uint32_t Group, std::uint32_t Server, const std::string &Sql);
  /// The text that an entry host gives at an HTTP path; empty on failure.
  std::string httpGet(std::uint32_t Host, const std::string &Path) const;
  /// Processor time and memory of every running process.
  std::vector<ProcessUsage> usage() const;
  /// True if all entry hosts run.
  bool hostsRun();

  const Workload &workload() const { return m_Sizes; }
  std::uint16_t callerPort(std::uint32_t Host) const;
  std::uint16_t serverPort(std::uint32_t Group, std::uint32_t Server) const;
  std::string groupName(std::uint32_t Group) const;
  /// File with the commits of a backend server.
  std::filesystem::path recordFile(std::uint32_t Group,
                                   std::uint32_t Server) const;
  /// Name of the catalogue entry of a class and group.
  static std::string entryName(LoadClass Class, std::uint32_t Group);
  /// Name of the catalogue entry of the probe writers of a group.
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

  const Workload m_Sizes;                               ///< What to start.
  const ClusterSettings m_Settings;                     ///< Where.
  std::vector<std::unique_ptr<ChildProcess>> m_Hosts;   ///< Entry hosts.
  std::vector<std::unique_ptr<ChildProcess>> m_Servers; ///< Backend servers.
  std::map<std::uint32_t, std::unique_ptr<PgClient>>
      m_Switches;           ///< Connections to servers that are cut off.
  std::string m_LastReason; ///< Why start() failed.
};

} // namespace ragwortmux

#endif // BENCH_MEASURE_CLUSTER_H
