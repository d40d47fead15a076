#ifndef TESTS_PROCESS_CLUSTER_H
#define TESTS_PROCESS_CLUSTER_H

#include "CallerCalls.h"
#include "HttpCall.h"
#include "tests/StandIn/ChildProcess.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace ragwortmux {

/// Limits of a catalogue entry by their JSON names.
using EntryNumbers = std::map<std::string, unsigned>;

/// How large a Cluster is.
struct ClusterSettings final {
  unsigned m_Hosts = 3;   ///< Hosts with both roles, each in its own domain.
  unsigned m_Servers = 3; ///< Stand-in backend servers of one group; may be 0.
  std::vector<std::string> m_HostFlags;   ///< Added to each host's flags.
  std::vector<std::string> m_ServerFlags; ///< Added to each server's flags.
};

/// Real processes of the system and stand-in backend servers of the group
/// `ledger`, with the entries `bookings`, `writes`, `hires` (session reads) and
/// `stock` (aged reads, 2 s).
class Cluster final {
public:
  explicit Cluster(ClusterSettings Settings = {});
  ~Cluster();
  Cluster(const Cluster &) = delete;
  Cluster &operator=(const Cluster &) = delete;

  /// Starts everything and waits until bookings can be acknowledged; false if
  /// that takes too long.
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
  /// The value of control_peers.
  const std::string &peers() const { return m_Peers; }
  /// Deletes the host's control log; the host must not run.
  void wipeHost(unsigned Index);

  ///@name Backend servers
  void startServer(unsigned Index, bool AsPrimary);
  ChildProcess &server(unsigned Index) { return *m_Servers[Index].m_Process; }
  /// Runs a statement at the server itself, over a control connection.
  PgAnswer atServer(unsigned Index, const std::string &Sql);
  /// Sets a fault switch of a server; false if the server refused.
  bool setFault(unsigned Index, const std::string &Name, unsigned Value);
  /// A counter of `standin_stats()`; 0 if the server does not answer.
  std::uint64_t counter(unsigned Index, const std::string &Name);
  /// The lines that all servers recorded, one per commit.
  std::vector<std::string> commits() const;
  /// How many commits of any server have \p Text in them, in the history of
  /// the server that has most of them.
  std::size_t commitsOf(const std::string &Text) const;

  ///@name The cluster's state
  /// The status that host \p Index gives; empty if none.
  std::string status(unsigned Index) const;
  /// The primary as the leader states it; -1 while there is none.
  int primary() const;
  /// Waits until there is a primary and returns it.
  unsigned primaryNow() const;
  /// The host that leads; -1 if none does.
  int leader() const;
  /// True once \p Count servers are in sync and the group has a primary.
  bool isInSync(unsigned Count) const;
  /// Creates or changes an entry with the given limits.
  HttpAnswer putEntry(unsigned Host, const std::string &Name,
                      const std::string &Class, std::uint64_t Expected,
                      const std::string &Change,
                      const EntryNumbers &Limits = {}) const;
  /// Deletes an entry.
  HttpAnswer deleteEntry(unsigned Host, const std::string &Name,
                         std::uint64_t Expected,
                         const std::string &Change) const;
  /// Creates an entry of the name and waits until all hosts know it.
  bool createEntry(const std::string &Name, const std::string &Class,
                   const EntryNumbers &Limits) const;
  /// The catalogue revision that host \p Index acts on.
  std::uint64_t catalogueRevision(unsigned Index) const;

  ///@name Requests
  PgAnswer book(unsigned Host, const std::string &Key,
                const std::string &RequestKey,
                const std::string &Session = "") const;
  /// Books for the session `clerk` until it is acknowledged, with the same
  /// request key each time.
  bool bookUntilAcknowledged(unsigned Host, const std::string &Key) const;
  PgAnswer read(unsigned Host, const std::string &Key,
                const std::string &Session) const;

private:
  struct HostParts final {
    std::uint16_t m_CallerPort = 0;          ///< Port for callers.
    std::uint16_t m_HttpPort = 0;            ///< Port for HTTP.
    std::uint16_t m_RpcPort = 0;             ///< Port for RPC.
    std::string m_Folder;                    ///< Data folder.
    std::unique_ptr<ChildProcess> m_Process; ///< The process.
  };
  struct ServerParts final {
    std::uint16_t m_Port = 0;                ///< Its port.
    std::string m_Record;                    ///< Its record of commits.
    std::unique_ptr<ChildProcess> m_Process; ///< The process.
  };

  ClusterSettings m_Settings;         ///< As given.
  std::string m_Folder;               ///< Everything the processes write.
  std::string m_Peers;                ///< Value of control_peers.
  std::string m_AnnounceTo;           ///< HTTP addresses of the hosts.
  std::vector<HostParts> m_Hosts;     ///< Hosts.
  std::vector<ServerParts> m_Servers; ///< Backend servers.
};

} // namespace ragwortmux

#endif // TESTS_PROCESS_CLUSTER_H
