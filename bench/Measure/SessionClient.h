#ifndef BENCH_MEASURE_SESSIONCLIENT_H
#define BENCH_MEASURE_SESSIONCLIENT_H

#include "bench/Measure/ClientConnection.h"

#include <map>
#include <memory>

namespace ragwortmux {

class Cluster;

/// The connections of one worker to all entry hosts. Each request names its
/// session, so that sessions roam between hosts.
class SessionClient final {
public:
  /// A request.
  struct Request final {
    std::uint32_t m_Host = 0; ///< Entry host.
    std::string m_Entry;      ///< Catalogue entry.
    std::string m_Session;    ///< Session name; may be empty.
    std::string m_RequestKey; ///< Request key; may be empty.
    std::string m_Sql;        ///< Text of the message.
  };

  explicit SessionClient(const Cluster &Hosts) : m_Cluster(Hosts) {}

  /// Runs a request.
  ClientAnswer run(const Request &Given);

private:
  struct Link final {
    std::unique_ptr<ClientConnection> m_Connection; ///< To a host and entry.
    std::string m_Session;                          ///< Set on it.
    std::string m_RequestKey;                       ///< Set on it.
  };

  bool set(Link &To, const std::string &Name, const std::string &Value,
           ClientAnswer &Answer);

  const Cluster &m_Cluster;                                      ///< The hosts.
  std::map<std::pair<std::uint32_t, std::string>, Link> m_Links; ///< Open.
};

} // namespace ragwortmux

#endif // BENCH_MEASURE_SESSIONCLIENT_H
