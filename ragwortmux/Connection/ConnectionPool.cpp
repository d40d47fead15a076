#include "ragwortmux/Connection/ConnectionPool.h"

#include <algorithm>
#include <cassert>
#include <numeric>

namespace ragwortmux {

namespace {

bool isFree(ConnectionState State) {
  return State == ConnectionState::Idle || State == ConnectionState::Suspect ||
         State == ConnectionState::Probing;
}

} // namespace

ConnectionPool::ConnectionPool(const ConnectionPoolSettings &Settings)
    : m_Settings(Settings) {}

void ConnectionPool::setServer(Instant Now, const ServerId &Server,
                               Term Current, std::uint32_t Share,
                               PoolActions &Actions) {
  ServerPool &Pool = m_Servers[Server];
  Pool.m_Share = Share;
  if (Pool.m_Term != Current) {
    Pool.m_Term = Current;
    // Failures in earlier terms do not delay connections of the new term.
    Pool.m_Failures = 0;
    Pool.m_ReopenAt = Now;
  }
  closeExcess(Now, Server, Actions);
  openMissing(Now, Server, Actions);
}

void ConnectionPool::setDemand(Instant Now, const ServerId &Server,
                               std::uint32_t Waiting, PoolActions &Actions) {
  ServerPool &Pool = m_Servers[Server];
  if (Pool.m_Waiting == Waiting)
    return;
  Pool.m_Waiting = Waiting;
  openMissing(Now, Server, Actions);
}

void ConnectionPool::opened(Instant Now, ConnectionId Id,
                            PoolActions &Actions) {
  PooledConnection *Connection = lookUp(Id);
  if (!Connection || Connection->m_State != ConnectionState::Opening)
    return;
  setState(*Connection, ConnectionState::Idle, Now);
  recordServerAlive(Now, Connection->m_Server, Actions);
  closeExcess(Now, Connection->m_Server, Actions);
}

void ConnectionPool::openFailed(Instant Now, ConnectionId Id,
                                bool ServerAnswered, PoolActions &Actions) {
  PooledConnection *Connection = lookUp(Id);
  if (!Connection)
    return;
  const ServerId Server = Connection->m_Server;
  const bool WasOpening = Connection->m_State == ConnectionState::Opening;
  erase(*Connection);
  if (WasOpening) {
    if (ServerAnswered)
      recordServerAlive(Now, Server, Actions);
    recordOpenFailure(Now, Server);
    if (!ServerAnswered)
      Actions.m_Unreachable.push_back(Server);
  }
  openMissing(Now, Server, Actions);
}

void ConnectionPool::closed(Instant Now, ConnectionId Id,
                            PoolActions &Actions) {
  PooledConnection *Connection = lookUp(Id);
  if (!Connection)
    return;
  const ServerId Server = Connection->m_Server;
  erase(*Connection);
  openMissing(Now, Server, Actions);
}

void ConnectionPool::probed(Instant Now, ConnectionId Id,
                            PoolActions &Actions) {
  PooledConnection *Connection = lookUp(Id);
  if (!Connection || Connection->m_State != ConnectionState::Probing)
    return;
  setState(*Connection, ConnectionState::Idle, Now);
  closeExcess(Now, Connection->m_Server, Actions);
}

std::optional<ConnectionId> ConnectionPool::acquire(Instant Now,
                                                    const ServerId &Server) {
  // Preferring the most recently used connection lets surplus ones reach the
  // idle timeout and be closed.
  return acquireCheapest(Now, Server,
                         [](ConnectionId) { return std::size_t{0}; });
}

std::optional<ConnectionId> ConnectionPool::acquireCheapest(
    Instant Now, const ServerId &Server,
    const std::function<std::size_t(ConnectionId)> &Cost) {
  const auto Pool = m_Servers.find(Server);
  if (Pool == m_Servers.end())
    return std::nullopt;
  PooledConnection *Best = nullptr;
  std::size_t BestCost = 0;
  for (auto &[Id, Connection] : m_Connections) {
    if (Connection.m_Server != Server ||
        Connection.m_State != ConnectionState::Idle ||
        Connection.m_Term != Pool->second.m_Term)
      continue;
    const std::size_t ConnectionCost = Cost(Id);
    if (Best &&
        (ConnectionCost > BestCost ||
         (ConnectionCost == BestCost && Connection.m_Since < Best->m_Since)))
      continue;
    Best = &Connection;
    BestCost = ConnectionCost;
  }
  if (!Best)
    return std::nullopt;
  setState(*Best, ConnectionState::Busy, Now);
  return Best->m_Id;
}

void ConnectionPool::release(Instant Now, ConnectionId Id,
                             PoolActions &Actions) {
  PooledConnection *Connection = lookUp(Id);
  assert(Connection && Connection->m_State == ConnectionState::Busy);
  setState(*Connection, ConnectionState::Idle, Now);
  const ServerId Server = Connection->m_Server;
  // The connection has just answered, so it needs no probe even while the
  // server's other free connections are suspect.
  closeExcess(Now, Server, Actions);
}

void ConnectionPool::drop(Instant Now, ConnectionId Id, PoolActions &Actions) {
  PooledConnection *Connection = lookUp(Id);
  if (!Connection || Connection->m_State == ConnectionState::Closing)
    return;
  const ServerId Server = Connection->m_Server;
  close(*Connection, Now, Actions);
  openMissing(Now, Server, Actions);
}

void ConnectionPool::suspect(Instant Now, const ServerId &Server,
                             PoolActions &Actions) {
  markSuspect(Now, Server, Now);
  requestProbeConnection(Now, Server, Actions);
}

void ConnectionPool::suspectUnusedSince(Instant Now, const ServerId &Server,
                                        Instant UnusedSince,
                                        PoolActions &Actions) {
  if (markSuspect(Now, Server, UnusedSince))
    requestProbeConnection(Now, Server, Actions);
}

void ConnectionPool::requestProbeConnection(Instant Now, const ServerId &Server,
                                            PoolActions &Actions) {
  m_Servers[Server].m_NeedsProbeConnection = true;
  openMissing(Now, Server, Actions);
}

bool ConnectionPool::markSuspect(Instant Now, const ServerId &Server,
                                 Instant UnusedSince) {
  bool HasMarked = false;
  for (auto &[Id, Connection] : m_Connections) {
    if (Connection.m_Server != Server || Connection.m_Since > UnusedSince ||
        Connection.m_State != ConnectionState::Idle)
      continue;
    setState(Connection, ConnectionState::Suspect, Now);
    HasMarked = true;
  }
  return HasMarked;
}

void ConnectionPool::tick(Instant Now, PoolActions &Actions) {
  for (auto &[Id, Connection] : m_Connections) {
    if (Now < Connection.m_Since + stateTimeout(Connection))
      continue;
    const ServerId &Server = Connection.m_Server;
    if (Connection.m_State == ConnectionState::Opening) {
      close(Connection, Now, Actions);
      recordOpenFailure(Now, Server);
      Actions.m_TimedOut.push_back(Server);
      continue;
    }
    if (Connection.m_State == ConnectionState::Probing) {
      close(Connection, Now, Actions);
      suspect(Now, Server, Actions);
      continue;
    }
    if (Connection.m_State == ConnectionState::Idle) {
      // Unused for longer than the idle timeout: surplus connections are
      // closed, the others are probed.
      if (idleCount(Server) > m_Settings.m_IdleTarget) {
        close(Connection, Now, Actions);
        continue;
      }
      probe(Connection, Now, Actions);
    }
  }
  for (const auto &[Server, Pool] : m_Servers)
    openMissing(Now, Server, Actions);
}

const PooledConnection *ConnectionPool::find(ConnectionId Id) const {
  const auto Found = m_Connections.find(Id);
  return Found == m_Connections.end() ? nullptr : &Found->second;
}

std::uint32_t ConnectionPool::connectionCount(const ServerId &Server) const {
  const auto Pool = m_Servers.find(Server);
  if (Pool == m_Servers.end())
    return 0;
  const auto &Counts = Pool->second.m_Counts;
  return std::accumulate(Counts.begin(), Counts.end(), std::uint32_t{0});
}

std::uint32_t ConnectionPool::idleCount(const ServerId &Server) const {
  return count(Server, ConnectionState::Idle);
}

std::uint32_t ConnectionPool::busyCount(const ServerId &Server) const {
  return count(Server, ConnectionState::Busy);
}

std::uint32_t ConnectionPool::desiredCount(const ServerId &Server) const {
  const auto Pool = m_Servers.find(Server);
  const std::uint32_t Waiting =
      Pool == m_Servers.end() ? 0 : Pool->second.m_Waiting;
  return busyCount(Server) + std::max(m_Settings.m_IdleTarget, Waiting);
}

bool ConnectionPool::isReachable(const ServerId &Server) const {
  const auto Pool = m_Servers.find(Server);
  return Pool != m_Servers.end() && Pool->second.m_Share > 0 &&
         Pool->second.m_Failures == 0;
}

std::optional<Instant> ConnectionPool::nextDeadline() const {
  std::optional<Instant> Next;
  const auto Consider = [&Next](Instant At) {
    Next = Next ? std::min(*Next, At) : At;
  };
  for (const auto &[Id, Connection] : m_Connections) {
    const Duration Timeout = stateTimeout(Connection);
    if (Timeout != Duration::max())
      Consider(Connection.m_Since + Timeout);
  }
  for (const auto &[Server, Pool] : m_Servers) {
    if (Pool.m_Failures > 0 && missingCount(Server, Pool) > 0)
      Consider(Pool.m_ReopenAt);
  }
  return Next;
}

PooledConnection *ConnectionPool::lookUp(ConnectionId Id) {
  const auto Found = m_Connections.find(Id);
  return Found == m_Connections.end() ? nullptr : &Found->second;
}

Duration
ConnectionPool::stateTimeout(const PooledConnection &Connection) const {
  switch (Connection.m_State) {
  case ConnectionState::Opening:
    return m_Settings.m_OpenTimeout;
  case ConnectionState::Probing:
    return m_Settings.m_ProbeTimeout;
  case ConnectionState::Idle:
    return m_Settings.m_ProbeAfter;
  case ConnectionState::Busy:
  case ConnectionState::Suspect:
  case ConnectionState::Closing:
    break;
  }
  return Duration::max();
}

void ConnectionPool::setState(PooledConnection &Connection,
                              ConnectionState State, Instant Now) {
  --stateCounter(Connection);
  Connection.m_State = State;
  Connection.m_Since = Now;
  ++stateCounter(Connection);
}

void ConnectionPool::erase(const PooledConnection &Connection) {
  --stateCounter(Connection);
  m_Connections.erase(Connection.m_Id);
}

std::uint32_t &
ConnectionPool::stateCounter(const PooledConnection &Connection) {
  return m_Servers[Connection.m_Server].m_Counts.at(
      static_cast<std::size_t>(Connection.m_State));
}

void ConnectionPool::close(PooledConnection &Connection, Instant Now,
                           PoolActions &Actions) {
  setState(Connection, ConnectionState::Closing, Now);
  Actions.m_Close.push_back(Connection.m_Id);
}

void ConnectionPool::probe(PooledConnection &Connection, Instant Now,
                           PoolActions &Actions) {
  setState(Connection, ConnectionState::Probing, Now);
  Actions.m_Probe.push_back(Connection.m_Id);
}

void ConnectionPool::closeExcess(Instant Now, const ServerId &Server,
                                 PoolActions &Actions) {
  const ServerPool &Pool = m_Servers[Server];
  for (auto &[Id, Connection] : m_Connections) {
    if (Connection.m_Server != Server || Connection.m_Term == Pool.m_Term)
      continue;
    if (isFree(Connection.m_State) ||
        Connection.m_State == ConnectionState::Opening)
      close(Connection, Now, Actions);
  }
  // Above the share, free connections are closed first and then opening ones.
  // Busy connections are closed when they are released.
  std::uint32_t OpenCount =
      connectionCount(Server) - count(Server, ConnectionState::Closing);
  for (const bool IncludeOpening : {false, true}) {
    for (auto &[Id, Connection] : m_Connections) {
      if (OpenCount <= Pool.m_Share)
        return;
      if (Connection.m_Server != Server)
        continue;
      if (!isFree(Connection.m_State) &&
          !(IncludeOpening && Connection.m_State == ConnectionState::Opening))
        continue;
      close(Connection, Now, Actions);
      --OpenCount;
    }
  }
}

std::uint32_t ConnectionPool::missingCount(const ServerId &Server,
                                           const ServerPool &Pool) const {
  const std::uint32_t Total = connectionCount(Server);
  if (Total >= Pool.m_Share)
    return 0;
  const std::uint32_t Opening = count(Server, ConnectionState::Opening);
  const std::uint32_t Available = Opening +
                                  count(Server, ConnectionState::Idle) +
                                  count(Server, ConnectionState::Suspect) +
                                  count(Server, ConnectionState::Probing);
  const std::uint32_t Target =
      std::max(m_Settings.m_IdleTarget, Pool.m_Waiting);
  std::uint32_t Count = Target > Available ? Target - Available : 0;
  if (Pool.m_NeedsProbeConnection && Opening == 0)
    Count = std::max(Count, 1U);
  // Only one connection at a time is opened to a server that refuses
  // connections or does not answer.
  if (Pool.m_Failures > 0 || Pool.m_NeedsProbeConnection)
    Count = Opening > 0 ? 0 : std::min(Count, 1U);
  return std::min(Count, Pool.m_Share - Total);
}

void ConnectionPool::openMissing(Instant Now, const ServerId &Server,
                                 PoolActions &Actions) {
  const ServerPool &Pool = m_Servers[Server];
  if (Pool.m_NeedsProbeConnection)
    makeRoomForProbeConnection(Now, Server, Actions);
  if (Pool.m_Failures > 0 && Now < Pool.m_ReopenAt)
    return;
  for (std::uint32_t Remaining = missingCount(Server, Pool); Remaining > 0;
       --Remaining) {
    PooledConnection Connection;
    Connection.m_Id = ConnectionId(++m_LastId);
    Connection.m_Server = Server;
    Connection.m_Term = Pool.m_Term;
    Connection.m_Since = Now;
    m_Connections.emplace(Connection.m_Id, Connection);
    ++stateCounter(Connection);
    Actions.m_Open.push_back(Connection);
  }
}

void ConnectionPool::makeRoomForProbeConnection(Instant Now,
                                                const ServerId &Server,
                                                PoolActions &Actions) {
  // The probe needs a new connection. If the share is used up, a suspect
  // connection is closed for it, unless another one is closing already.
  if (connectionCount(Server) < m_Servers[Server].m_Share ||
      count(Server, ConnectionState::Opening) > 0 ||
      count(Server, ConnectionState::Closing) > 0)
    return;
  for (auto &[Id, Connection] : m_Connections) {
    if (Connection.m_Server != Server ||
        Connection.m_State != ConnectionState::Suspect)
      continue;
    close(Connection, Now, Actions);
    return;
  }
}

void ConnectionPool::recordServerAlive(Instant Now, const ServerId &Server,
                                       PoolActions &Actions) {
  ServerPool &Pool = m_Servers[Server];
  Pool.m_Failures = 0;
  if (!Pool.m_NeedsProbeConnection)
    return;
  // The server works, so each suspect connection is probed individually.
  Pool.m_NeedsProbeConnection = false;
  for (auto &[Id, Connection] : m_Connections) {
    if (Connection.m_Server == Server &&
        Connection.m_State == ConnectionState::Suspect)
      probe(Connection, Now, Actions);
  }
}

void ConnectionPool::recordOpenFailure(Instant Now, const ServerId &Server) {
  ServerPool &Pool = m_Servers[Server];
  ++Pool.m_Failures;
  Pool.m_ReopenAt = Now + m_Settings.m_ReopenPause;
}

std::uint32_t ConnectionPool::count(const ServerId &Server,
                                    ConnectionState State) const {
  const auto Pool = m_Servers.find(Server);
  return Pool == m_Servers.end()
             ? 0
             : Pool->second.m_Counts.at(static_cast<std::size_t>(State));
}

} // namespace ragwortmux
