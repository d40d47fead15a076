#ifndef BENCH_MEASURE_SESSIONCLIENT_H
#define BENCH_MEASURE_SESSIONCLIENT_H

#include "bench/Measure/ClientConnection.h"

#include <map>
#include <memory>

namespace ragwortmux {

class Cluster;

/// Holds the connections of one worker to all entry hosts. Each request names
/// its session, so that a session can move between hosts.
class SessionClient final {
public:
  /// One request.
  struct Request final {
    std::uint32_t m_Host = 0; ///< Number of the entry host.
    std::string m_Entry;      ///< Catalogue entry.
    std::string m_Session;    ///< Session name; may be empty.
    std::string m_RequestKey; ///< Request key; may be empty.
    std::string m_Sql;        ///< Statements, sent as one message.
  };

  explicit SessionClient(const Cluster &Hosts) : m_Cluster(Hosts) {}

  /// Sets session and request key where they differ, then runs the request.
  ClientAnswer run(const Request &Given);

private:
  struct Link final {
    std::unique_ptr<ClientConnection> m_Connection; ///< To one host and entry.
    std::string m_Session;                          ///< Current session.
    std::string m_RequestKey;                       ///< Current request key.
  };

  bool setParameter(Link &To, const std::string &Name, const std::string &Value,
                    ClientAnswer &Answer);

  const Cluster &m_Cluster; ///< Gives the ports.
  std::map<std::pair<std::uint32_t, std::string>, Link>
      m_Links; ///< By host, entry.
};

} // namespace ragwortmux

#endif // BENCH_MEASURE_SESSIONCLIENT_H
