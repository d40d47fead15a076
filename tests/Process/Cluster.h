#ifndef TESTS_PROCESS_CLUSTER_H
#define TESTS_PROCESS_CLUSTER_H

#include "CallerCalls.h"
#include "HttpCall.h"
#include "PortReservation.h"
#include "tests/StandIn/ChildProcess.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace ragwortmux {

/// Limits of a catalogue entry, by JSON name.
using EntryLimits = std::map<std::string, unsigned>;

/// Size of a Cluster and additional flags of its processes.
struct ClusterSettings final {
  unsigned m_Hosts = 3;   ///< Number of hosts; each has both roles and
                          ///< its own failure domain.
  unsigned m_Servers = 3; ///< Number of stand-in backend servers; may be 0.
  std::vector<std::string> m_HostFlags;   ///< Additional flags of each host.
  std::vector<std::string> m_ServerFlags; ///< Additional flags of each server.
};

/// Runs real proxy processes and stand-in backend servers of the group `ledger`
/// for a test, with the catalogue entries `bookings`, `writes`, `hires`
/// (session reads) and `stock` (aged reads, at most 2 s old).
class Cluster final {
public:
  explicit Cluster(ClusterSettings Settings = {});
  ~Cluster();
  Cluster(const Cluster &) = delete;
  Cluster &operator=(const Cluster &) = delete;

  /// Starts all processes, creates the entries, and waits until every host has
  /// the catalogue and all servers are in sync. False on a timeout.
  bool start();

  ///@name Hosts
  void startHost(unsigned Index);
  ChildProcess &host(unsigned Index) { return *m_Hosts[Index].m_Process; }
  std::uint16_t callerPort(unsigned Index) const {
    return m_Hosts[Index].m_CallerPort;
  }
  std::uint16_t httpPort(unsigned Index) const {
    return m_Hosts[Index].m_HttpPort;
  }
  std::uint16_t rpcPort(unsigned Index) const {
    return m_Hosts[Index].m_RpcPort;
  }
  /// Value of the flag `--control_peers`.
  const std::string &peers() const { return m_Peers; }
  /// Deletes the host's data folder, which contains its control log. The host
  /// must not be running.
  void deleteHostData(unsigned Index);

  ///@name Backend servers
  void startServer(unsigned Index, bool AsPrimary);
  ChildProcess &server(unsigned Index) { return *m_Servers[Index].m_Process; }
  /// Runs a statement directly on the server, over a control connection.
  PgAnswer runOnServer(unsigned Index, const std::string &Sql);
  /// Sets an injected fault of a server; false if the server refuses.
  bool setFault(unsigned Index, const std::string &Name, unsigned Value);
  /// Value of a counter of `standin_stats()`; 0 if the server does not answer.
  std::uint64_t counter(unsigned Index, const std::string &Name);
  /// Lines of the commit records of all servers, one per commit.
  std::vector<std::string> commits() const;
  /// Number of lines with \p Text in the commit records of all servers.
  std::size_t countCommits(const std::string &Text) const;

  ///@name State of the cluster
  /// Status document of host \p Index; empty if the host does not answer.
  std::string status(unsigned Index) const;
  /// Index of the primary, from the first host whose status lists the group; -1
  /// if there is no primary.
  int primary() const;
  /// Waits until there is a primary and returns its index; no valid index on a
  /// timeout.
  unsigned waitForPrimary() const;
  /// Index of the host that is the control leader by its metrics; -1 if none
  /// is.
  int leader() const;
  /// True if the group has a primary and at least \p Count servers in sync.
  bool isInSync(unsigned Count) const;
  /// Sends one request to \p Host that creates or changes an entry.
  /// \p ExpectedRevision is its present revision, 0 for a new entry;
  /// \p ChangeId is the change id.
  HttpAnswer putEntry(unsigned Host, const std::string &Name,
                      const std::string &Class, std::uint64_t ExpectedRevision,
                      const std::string &ChangeId,
                      const EntryLimits &Limits = {}) const;
  /// Sends one request to \p Host that deletes an entry; see putEntry().
  HttpAnswer deleteEntry(unsigned Host, const std::string &Name,
                         std::uint64_t ExpectedRevision,
                         const std::string &ChangeId) const;
  /// Creates an entry and waits until all hosts accept its callers.
  bool createEntry(const std::string &Name, const std::string &Class,
                   const EntryLimits &Limits) const;
  /// Catalogue revision that host \p Index uses; 0 if it does not answer.
  std::uint64_t catalogueRevision(unsigned Index) const;

  ///@name Requests
  PgAnswer book(unsigned Host, const std::string &Key,
                const std::string &RequestKey,
                const std::string &Session = "") const;
  /// Sends a booking of the session `clerk` until it is acknowledged, each time
  /// with the same request key. False on a timeout.
  bool bookUntilAcknowledged(unsigned Host, const std::string &Key) const;
  PgAnswer read(unsigned Host, const std::string &Key,
                const std::string &Session) const;

private:
  /// Prints what start() was waiting for, and the end of each host's log.
  void printStartFailure(const std::string &Step) const;

  struct HostInstance final {
    std::uint16_t m_CallerPort = 0;          ///< Port for callers.
    std::uint16_t m_HttpPort = 0;            ///< Port for HTTP.
    std::uint16_t m_RpcPort = 0;             ///< Port for RPC.
    std::string m_Folder;                    ///< Data folder.
    std::unique_ptr<ChildProcess> m_Process; ///< The process.
  };
  struct ServerInstance final {
    std::uint16_t m_Port = 0;                ///< Port for queries.
    std::string m_RecordPath;                ///< File of its commit record.
    std::unique_ptr<ChildProcess> m_Process; ///< The process.
  };

  ClusterSettings m_Settings;            ///< Settings of the constructor.
  PortReservation m_Ports;               ///< Ports of all processes.
  std::string m_Folder;                  ///< Temporary folder of all files.
  std::string m_Peers;                   ///< Value of `--control_peers`.
  std::string m_AnnounceTo;              ///< Value of `--announce_to`.
  std::vector<HostInstance> m_Hosts;     ///< Hosts, by index.
  std::vector<ServerInstance> m_Servers; ///< Backend servers, by index.
};

} // namespace ragwortmux

#endif // TESTS_PROCESS_CLUSTER_H
