#ifndef RAGWORTMUX_CONNECTION_CONNECTIONPOOL_H
#define RAGWORTMUX_CONNECTION_CONNECTIONPOOL_H

#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Core/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace ragwortmux {

/// Settings of a ConnectionPool.
struct ConnectionPoolSettings final {
  std::uint32_t m_IdleTarget =
      2; ///< Idle connections per server to keep open, within its share.
  Duration m_OpenTimeout = std::chrono::milliseconds(
      500); ///< Maximum time for opening a connection.
  Duration m_ProbeTimeout = std::chrono::milliseconds(
      250); ///< Maximum time until a probe is answered.
  Duration m_ProbeAfter = std::chrono::seconds(
      15); ///< Time without use after which an idle connection is probed.
  Duration m_ReopenPause = std::chrono::milliseconds(
      100); ///< Delay before the next attempt after opening has failed.
};

/// State of a pooled connection.
enum class ConnectionState : std::uint8_t {
  Opening, ///< Being opened.
  Idle,    ///< Open and free.
  Busy,    ///< In use by one request or transaction.
  Suspect, ///< Open and free; must be probed before use.
  Probing, ///< A probe has been sent and is not answered yet.
  Closing, ///< Being closed; counts against the share until
           ///< closing is confirmed.
};
/// Number of states of a connection.
inline constexpr std::size_t ConnectionStateCount = 6;

/// Number of requests of each workspace that wait for a connection. Requests
/// for entries that are open to all have an empty workspace.
using ConnectionDemand = std::map<WorkspaceId, std::uint32_t>;

/// One connection to a backend server.
struct PooledConnection final {
  ConnectionId m_Id;       ///< Id of the connection.
  ServerId m_Server;       ///< Backend server.
  WorkspaceId m_Workspace; ///< Workspace it speaks for, until it is closed;
                           ///< empty: none.
  Term m_Term;             ///< Term it was opened for.
  ConnectionState m_State = ConnectionState::Opening; ///< Current state.
  Instant m_Since; ///< Start of the current state.
};

/// Work that the pool requests from its owner, and servers that the owner must
/// be informed of.
struct PoolActions final {
  std::vector<PooledConnection> m_Open; ///< Connections to open.
  std::vector<ConnectionId> m_Close;    ///< Connections to close.
  std::vector<ConnectionId> m_Probe;    ///< Connections to probe.
  std::vector<ServerId> m_Unreachable;  ///< Servers that could not be
                                        ///< connected to.
  std::vector<ServerId> m_TimedOut;     ///< Servers on which opening a
                                        ///< connection timed out.
};

/// Pools the connections to the backend servers of one group, within the
/// connection shares that control has granted.
///
/// Load pattern with workspaces: there are more workspaces than connections,
/// and most of them send a request now and then. Connections are opened when a
/// workspace needs one, and a workspace that waits takes the place of the idle
/// connection that was unused for longest. A workspace that sends many times
/// its usual gets at most half of the connections to a server.
class ConnectionPool final {
public:
  explicit ConnectionPool(const ConnectionPoolSettings &Settings);

  /// Sets the maximum number of connections to \p Server and the term they are
  /// opened for. A share of 0 closes all free connections.
  void setServer(Instant Now, const ServerId &Server, Term Current,
                 std::uint32_t Share, PoolActions &Actions);
  /// Sets the requests that wait for a connection to \p Server, not counting
  /// running ones. The pool opens connections for them.
  void setDemand(Instant Now, const ServerId &Server, ConnectionDemand Waiting,
                 PoolActions &Actions);
  /// The same for requests without a workspace.
  void setDemand(Instant Now, const ServerId &Server, std::uint32_t Waiting,
                 PoolActions &Actions) {
    setDemand(Now, Server, ConnectionDemand{{WorkspaceId(), Waiting}}, Actions);
  }
  /// Sets whether callers belong to workspaces. Then no connection is opened
  /// ahead, because nobody knows which workspace will use it.
  void setUsesWorkspaces(bool UsesWorkspaces) {
    m_UsesWorkspaces = UsesWorkspaces;
  }

  /// Reports that a connection has been opened.
  void opened(Instant Now, ConnectionId Id, PoolActions &Actions);
  /// Reports that opening a connection failed. \p ServerAnswered is true if the
  /// server itself refused it.
  void openFailed(Instant Now, ConnectionId Id, bool ServerAnswered,
                  PoolActions &Actions);
  /// Reports that a connection has been closed, by the pool's request or
  /// otherwise.
  void closed(Instant Now, ConnectionId Id, PoolActions &Actions);
  /// Reports that a probed connection has answered.
  void probed(Instant Now, ConnectionId Id, PoolActions &Actions);

  /// Acquires an idle connection of the current term, if there is one. It
  /// belongs to the caller until release() or drop().
  std::optional<ConnectionId> acquire(Instant Now, const ServerId &Server);
  /// Like acquire(), but chooses among the connections of \p Workspace the one
  /// with the lowest \p Cost; among equal ones the most recently used.
  std::optional<ConnectionId>
  acquireCheapest(Instant Now, const ServerId &Server,
                  const WorkspaceId &Workspace,
                  const std::function<std::size_t(ConnectionId)> &Cost);
  /// Returns a clean connection to the pool: its last answer was read
  /// completely and no transaction is open.
  void release(Instant Now, ConnectionId Id, PoolActions &Actions);
  /// Closes a connection that may not be clean.
  void drop(Instant Now, ConnectionId Id, PoolActions &Actions);
  /// Reports that \p Server did not answer a statement. Its free connections
  /// are probed before their next use, and a new connection is opened.
  void suspect(Instant Now, const ServerId &Server, PoolActions &Actions);
  /// Like suspect(), but only for free connections to \p Server that have not
  /// been used since \p UnusedSince. For faults of network devices between this
  /// host and its servers, which may have dropped several connections.
  void suspectUnusedSince(Instant Now, const ServerId &Server,
                          Instant UnusedSince, PoolActions &Actions);
  /// Handles expired timeouts and opens missing connections.
  void tick(Instant Now, PoolActions &Actions);

  /// Returns the connection, or null if the id is unknown.
  const PooledConnection *find(ConnectionId Id) const;
  /// Number of connections to \p Server in any state.
  std::uint32_t connectionCount(const ServerId &Server) const;
  /// Number of idle connections to \p Server.
  std::uint32_t idleCount(const ServerId &Server) const;
  /// Number of idle connections to \p Server of \p Workspace.
  std::uint32_t idleCount(const ServerId &Server,
                          const WorkspaceId &Workspace) const;
  /// True if a connection to \p Server could be opened now, at most by closing
  /// an idle one of another workspace.
  bool canOpen(const ServerId &Server) const;
  /// True if the share allows another connection to \p Server.
  bool hasRoom(const ServerId &Server) const;
  /// Number of connections to \p Server in use.
  std::uint32_t busyCount(const ServerId &Server) const;
  /// Number of connections to \p Server that the current load calls for,
  /// regardless of the share.
  std::uint32_t desiredCount(const ServerId &Server) const;
  /// True if the share allows connections to \p Server and the last attempt to
  /// open one did not fail.
  bool isReachable(const ServerId &Server) const;
  /// Time at which tick() must be called next; none if nothing is due.
  std::optional<Instant> nextDeadline() const;

private:
  using StateCounts = std::array<std::uint32_t, ConnectionStateCount>;

  struct ServerPool final {
    Term m_Term;               ///< Current term; connections of other terms are
                               ///< closed.
    std::uint32_t m_Share = 0; ///< Maximum number of connections.
    ConnectionDemand m_Waiting; ///< Requests that wait for a connection.
    std::uint32_t m_Failures =
        0; ///< Consecutive failures to open a connection.
    bool m_NeedsProbeConnection =
        false;              ///< An additional connection must be opened to
                            ///< find out whether the server or only a
                            ///< connection has failed.
    Instant m_ReopenAt;     ///< No connection is opened before this time.
    StateCounts m_Counts{}; ///< Connections in each state; read several times
                            ///< per statement, so the counts are maintained
                            ///< rather than computed.
    std::map<WorkspaceId, StateCounts>
        m_CountsByWorkspace;     ///< The same for each workspace that has any.
    WorkspaceId m_LastWorkspace; ///< Workspace of the last connection that was
                                 ///< opened.
  };

  PooledConnection *lookUp(ConnectionId Id);
  Duration stateTimeout(const PooledConnection &Connection) const;
  void setState(PooledConnection &Connection, ConnectionState State,
                Instant Now);
  void erase(const PooledConnection &Connection);
  void addToCounts(const PooledConnection &Connection);
  void removeFromCounts(const PooledConnection &Connection);
  void close(PooledConnection &Connection, Instant Now, PoolActions &Actions);
  void probe(PooledConnection &Connection, Instant Now, PoolActions &Actions);
  bool markSuspect(Instant Now, const ServerId &Server, Instant UnusedSince);
  void requestProbeConnection(Instant Now, const ServerId &Server,
                              PoolActions &Actions);
  void closeExcess(Instant Now, const ServerId &Server, PoolActions &Actions);
  std::uint32_t idleTarget() const {
    return m_UsesWorkspaces ? 0 : m_Settings.m_IdleTarget;
  }
  std::uint32_t missingCount(const ServerId &Server,
                             const ServerPool &Pool) const;
  std::vector<WorkspaceId> missingForWorkspaces(const ServerPool &Pool) const;
  bool canMakeRoom(const ServerId &Server, const ServerPool &Pool) const;
  std::uint32_t limitOpening(const ServerPool &Pool, std::uint32_t Count) const;
  void evictIdle(Instant Now, const ServerId &Server, std::uint32_t Count,
                 PoolActions &Actions);
  void open(Instant Now, const ServerId &Server, const WorkspaceId &Workspace,
            PoolActions &Actions);
  void openMissing(Instant Now, const ServerId &Server, PoolActions &Actions);
  void makeRoomForProbeConnection(Instant Now, const ServerId &Server,
                                  PoolActions &Actions);
  void recordServerAlive(Instant Now, const ServerId &Server,
                         PoolActions &Actions);
  void recordOpenFailure(Instant Now, const ServerId &Server);
  std::uint32_t count(const ServerId &Server, ConnectionState State) const;
  static std::uint32_t countIn(const StateCounts &Counts,
                               ConnectionState State) {
    return Counts.at(static_cast<std::size_t>(State));
  }

  ConnectionPoolSettings m_Settings;        ///< Settings of the pool.
  std::map<ServerId, ServerPool> m_Servers; ///< State by server.
  std::map<ConnectionId, PooledConnection>
      m_Connections;             ///< All connections by id.
  std::uint64_t m_LastId = 0;    ///< Last connection id assigned.
  bool m_UsesWorkspaces = false; ///< See setUsesWorkspaces().
};

} // namespace ragwortmux

#endif // RAGWORTMUX_CONNECTION_CONNECTIONPOOL_H
