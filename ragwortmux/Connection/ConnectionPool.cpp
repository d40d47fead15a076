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
                               PoolOrders &Orders) {
  ServerPool &Pool = m_Servers[Server];
  Pool.m_Share = Share;
  if (Pool.m_Term != Current) {
    Pool.m_Term = Current;
    // Failures in earlier terms do not delay connections of the new term.
    Pool.m_Failures = 0;
    Pool.m_ReopenAt = Now;
  }
  shrink(Now, Server, Orders);
  fill(Now, Server, Orders);
}

void ConnectionPool::setDemand(Instant Now, const ServerId &Server,
                               std::uint32_t Waiting, PoolOrders &Orders) {
  ServerPool &Pool = m_Servers[Server];
  if (Pool.m_Waiting == Waiting)
    return;
  Pool.m_Waiting = Waiting;
  fill(Now, Server, Orders);
}

void ConnectionPool::opened(Instant Now, ConnectionId Id, PoolOrders &Orders) {
  PooledConnection *Connection = lookUp(Id);
  if (!Connection || Connection->m_State != ConnectionState::Opening)
    return;
  setState(*Connection, ConnectionState::Idle, Now);
  noteAlive(Now, Connection->m_Server, Orders);
  shrink(Now, Connection->m_Server, Orders);
}

void ConnectionPool::failed(Instant Now, ConnectionId Id, bool ServerAnswered,
                            PoolOrders &Orders) {
  PooledConnection *Connection = lookUp(Id);
  if (!Connection)
    return;
  const ServerId Server = Connection->m_Server;
  const bool WasOpening = Connection->m_State == ConnectionState::Opening;
  erase(*Connection);
  if (WasOpening) {
    if (ServerAnswered)
      noteAlive(Now, Server, Orders);
    noteFailure(Now, Server);
    if (!ServerAnswered)
      Orders.m_Unreachable.push_back(Server);
  }
  fill(Now, Server, Orders);
}

void ConnectionPool::gone(Instant Now, ConnectionId Id, PoolOrders &Orders) {
  PooledConnection *Connection = lookUp(Id);
  if (!Connection)
    return;
  const ServerId Server = Connection->m_Server;
  erase(*Connection);
  fill(Now, Server, Orders);
}

void ConnectionPool::probed(Instant Now, ConnectionId Id, PoolOrders &Orders) {
  PooledConnection *Connection = lookUp(Id);
  if (!Connection || Connection->m_State != ConnectionState::Probing)
    return;
  setState(*Connection, ConnectionState::Idle, Now);
  shrink(Now, Connection->m_Server, Orders);
}

std::optional<ConnectionId> ConnectionPool::take(Instant Now,
                                                 const ServerId &Server) {
  // Preferring the most recently used connection lets surplus ones reach the
  // idle timeout and be closed.
  return takeBest(Now, Server, [](ConnectionId) { return std::size_t{0}; });
}

std::optional<ConnectionId>
ConnectionPool::takeBest(Instant Now, const ServerId &Server,
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
    const std::size_t EachCost = Cost(Id);
    if (Best && (EachCost > BestCost ||
                 (EachCost == BestCost && Connection.m_Since < Best->m_Since)))
      continue;
    Best = &Connection;
    BestCost = EachCost;
  }
  if (!Best)
    return std::nullopt;
  setState(*Best, ConnectionState::Busy, Now);
  return Best->m_Id;
}

void ConnectionPool::release(Instant Now, ConnectionId Id, PoolOrders &Orders) {
  PooledConnection *Connection = lookUp(Id);
  assert(Connection && Connection->m_State == ConnectionState::Busy);
  setState(*Connection, ConnectionState::Idle, Now);
  const ServerId Server = Connection->m_Server;
  // The connection has just answered, so it needs no probe even while the
  // server's other free connections are suspect.
  shrink(Now, Server, Orders);
}

void ConnectionPool::drop(Instant Now, ConnectionId Id, PoolOrders &Orders) {
  PooledConnection *Connection = lookUp(Id);
  if (!Connection || Connection->m_State == ConnectionState::Closing)
    return;
  const ServerId Server = Connection->m_Server;
  close(*Connection, Now, Orders);
  fill(Now, Server, Orders);
}

void ConnectionPool::suspect(Instant Now, const ServerId &Server,
                             PoolOrders &Orders) {
  markSuspect(Now, Server, Now);
  wantProbe(Now, Server, Orders);
}

void ConnectionPool::suspectQuiet(Instant Now, const ServerId &Server,
                                  Instant Quiet, PoolOrders &Orders) {
  if (markSuspect(Now, Server, Quiet))
    wantProbe(Now, Server, Orders);
}

void ConnectionPool::wantProbe(Instant Now, const ServerId &Server,
                               PoolOrders &Orders) {
  m_Servers[Server].m_ProbeWanted = true;
  fill(Now, Server, Orders);
}

bool ConnectionPool::markSuspect(Instant Now, const ServerId &Server,
                                 Instant Quiet) {
  bool IsAny = false;
  for (auto &[Id, Connection] : m_Connections) {
    if (Connection.m_Server != Server || Connection.m_Since > Quiet ||
        Connection.m_State != ConnectionState::Idle)
      continue;
    setState(Connection, ConnectionState::Suspect, Now);
    IsAny = true;
  }
  return IsAny;
}

void ConnectionPool::tick(Instant Now, PoolOrders &Orders) {
  for (auto &[Id, Connection] : m_Connections) {
    if (Now < Connection.m_Since + lifetime(Connection))
      continue;
    const ServerId &Server = Connection.m_Server;
    if (Connection.m_State == ConnectionState::Opening) {
      close(Connection, Now, Orders);
      noteFailure(Now, Server);
      Orders.m_Silent.push_back(Server);
      continue;
    }
    if (Connection.m_State == ConnectionState::Probing) {
      close(Connection, Now, Orders);
      suspect(Now, Server, Orders);
      continue;
    }
    if (Connection.m_State == ConnectionState::Idle) {
      // Unused for longer than the idle timeout: surplus connections are
      // closed, the others are probed.
      if (idle(Server) > m_Settings.m_IdleTarget) {
        close(Connection, Now, Orders);
        continue;
      }
      probe(Connection, Now, Orders);
    }
  }
  for (const auto &[Server, Pool] : m_Servers)
    fill(Now, Server, Orders);
}

const PooledConnection *ConnectionPool::find(ConnectionId Id) const {
  const auto Found = m_Connections.find(Id);
  return Found == m_Connections.end() ? nullptr : &Found->second;
}

std::uint32_t ConnectionPool::held(const ServerId &Server) const {
  const auto Pool = m_Servers.find(Server);
  if (Pool == m_Servers.end())
    return 0;
  const auto &Counts = Pool->second.m_Counts;
  return std::accumulate(Counts.begin(), Counts.end(), std::uint32_t{0});
}

std::uint32_t ConnectionPool::idle(const ServerId &Server) const {
  return count(Server, ConnectionState::Idle);
}

std::uint32_t ConnectionPool::busy(const ServerId &Server) const {
  return count(Server, ConnectionState::Busy);
}

std::uint32_t ConnectionPool::wanted(const ServerId &Server) const {
  const auto Pool = m_Servers.find(Server);
  const std::uint32_t Waiting =
      Pool == m_Servers.end() ? 0 : Pool->second.m_Waiting;
  return busy(Server) + std::max(m_Settings.m_IdleTarget, Waiting);
}

bool ConnectionPool::reachable(const ServerId &Server) const {
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
    const Duration Lifetime = lifetime(Connection);
    if (Lifetime != Duration::max())
      Consider(Connection.m_Since + Lifetime);
  }
  for (const auto &[Server, Pool] : m_Servers) {
    if (Pool.m_Failures > 0 && missing(Server, Pool) > 0)
      Consider(Pool.m_ReopenAt);
  }
  return Next;
}

PooledConnection *ConnectionPool::lookUp(ConnectionId Id) {
  const auto Found = m_Connections.find(Id);
  return Found == m_Connections.end() ? nullptr : &Found->second;
}

Duration ConnectionPool::lifetime(const PooledConnection &Connection) const {
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
  --countOf(Connection);
  Connection.m_State = State;
  Connection.m_Since = Now;
  ++countOf(Connection);
}

void ConnectionPool::erase(const PooledConnection &Connection) {
  --countOf(Connection);
  m_Connections.erase(Connection.m_Id);
}

std::uint32_t &ConnectionPool::countOf(const PooledConnection &Connection) {
  return m_Servers[Connection.m_Server].m_Counts.at(
      static_cast<std::size_t>(Connection.m_State));
}

void ConnectionPool::close(PooledConnection &Connection, Instant Now,
                           PoolOrders &Orders) {
  setState(Connection, ConnectionState::Closing, Now);
  Orders.m_Close.push_back(Connection.m_Id);
}

void ConnectionPool::probe(PooledConnection &Connection, Instant Now,
                           PoolOrders &Orders) {
  setState(Connection, ConnectionState::Probing, Now);
  Orders.m_Probe.push_back(Connection.m_Id);
}

void ConnectionPool::shrink(Instant Now, const ServerId &Server,
                            PoolOrders &Orders) {
  const ServerPool &Pool = m_Servers[Server];
  for (auto &[Id, Connection] : m_Connections) {
    if (Connection.m_Server != Server || Connection.m_Term == Pool.m_Term)
      continue;
    if (isFree(Connection.m_State) ||
        Connection.m_State == ConnectionState::Opening)
      close(Connection, Now, Orders);
  }
  // Above the share, free connections are closed first and then opening ones.
  // Busy connections are closed when they are released.
  std::uint32_t Live = held(Server) - count(Server, ConnectionState::Closing);
  for (const bool OpeningToo : {false, true}) {
    for (auto &[Id, Connection] : m_Connections) {
      if (Live <= Pool.m_Share)
        return;
      if (Connection.m_Server != Server)
        continue;
      if (!isFree(Connection.m_State) &&
          !(OpeningToo && Connection.m_State == ConnectionState::Opening))
        continue;
      close(Connection, Now, Orders);
      --Live;
    }
  }
}

std::uint32_t ConnectionPool::missing(const ServerId &Server,
                                      const ServerPool &Pool) const {
  const std::uint32_t Held = held(Server);
  if (Held >= Pool.m_Share)
    return 0;
  const std::uint32_t Opening = count(Server, ConnectionState::Opening);
  const std::uint32_t Available = Opening +
                                  count(Server, ConnectionState::Idle) +
                                  count(Server, ConnectionState::Suspect) +
                                  count(Server, ConnectionState::Probing);
  const std::uint32_t Target =
      std::max(m_Settings.m_IdleTarget, Pool.m_Waiting);
  std::uint32_t Wanted = Target > Available ? Target - Available : 0;
  if (Pool.m_ProbeWanted && Opening == 0)
    Wanted = std::max(Wanted, 1U);
  // Only one connection at a time is opened to a server that refuses
  // connections or does not answer.
  if (Pool.m_Failures > 0 || Pool.m_ProbeWanted)
    Wanted = Opening > 0 ? 0 : std::min(Wanted, 1U);
  return std::min(Wanted, Pool.m_Share - Held);
}

void ConnectionPool::fill(Instant Now, const ServerId &Server,
                          PoolOrders &Orders) {
  const ServerPool &Pool = m_Servers[Server];
  if (Pool.m_ProbeWanted)
    makeRoomForProbe(Now, Server, Orders);
  if (Pool.m_Failures > 0 && Now < Pool.m_ReopenAt)
    return;
  for (std::uint32_t Left = missing(Server, Pool); Left > 0; --Left) {
    PooledConnection Connection;
    Connection.m_Id = ConnectionId(++m_LastId);
    Connection.m_Server = Server;
    Connection.m_Term = Pool.m_Term;
    Connection.m_Since = Now;
    m_Connections.emplace(Connection.m_Id, Connection);
    ++countOf(Connection);
    Orders.m_Open.push_back(Connection);
  }
}

void ConnectionPool::makeRoomForProbe(Instant Now, const ServerId &Server,
                                      PoolOrders &Orders) {
  // The probe needs a new connection. If the share is used up, a suspect
  // connection is closed for it, unless another one is closing already.
  if (held(Server) < m_Servers[Server].m_Share ||
      count(Server, ConnectionState::Opening) > 0 ||
      count(Server, ConnectionState::Closing) > 0)
    return;
  for (auto &[Id, Connection] : m_Connections) {
    if (Connection.m_Server != Server ||
        Connection.m_State != ConnectionState::Suspect)
      continue;
    close(Connection, Now, Orders);
    return;
  }
}

void ConnectionPool::noteAlive(Instant Now, const ServerId &Server,
                               PoolOrders &Orders) {
  ServerPool &Pool = m_Servers[Server];
  Pool.m_Failures = 0;
  if (!Pool.m_ProbeWanted)
    return;
  // The server works, so each suspect connection is probed individually.
  Pool.m_ProbeWanted = false;
  for (auto &[Id, Connection] : m_Connections) {
    if (Connection.m_Server == Server &&
        Connection.m_State == ConnectionState::Suspect)
      probe(Connection, Now, Orders);
  }
}

void ConnectionPool::noteFailure(Instant Now, const ServerId &Server) {
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
