#include "ragwortmux/Connection/ConnectionPool.h"

#include <algorithm>
#include <cassert>
#include <numeric>
#include <utility>

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
                               ConnectionDemand Waiting, PoolActions &Actions) {
  ServerPool &Pool = m_Servers[Server];
  if (Pool.m_Waiting == Waiting)
    return;
  Pool.m_Waiting = std::move(Waiting);
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
  return acquireCheapest(Now, Server, WorkspaceId(),
                         [](ConnectionId) { return std::size_t{0}; });
}

std::optional<ConnectionId> ConnectionPool::acquireCheapest(
    Instant Now, const ServerId &Server, const WorkspaceId &Workspace,
    const std::function<std::size_t(ConnectionId)> &Cost) {
  const auto Pool = m_Servers.find(Server);
  if (Pool == m_Servers.end())
    return std::nullopt;
  PooledConnection *Best = nullptr;
  std::size_t BestCost = 0;
  for (auto &[Id, Connection] : m_Connections) {
    if (Connection.m_Server != Server ||
        Connection.m_State != ConnectionState::Idle ||
        Connection.m_Term != Pool->second.m_Term ||
        Connection.m_Workspace != Workspace)
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
      if (idleCount(Server) > idleTarget()) {
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

std::uint32_t ConnectionPool::idleCount(const ServerId &Server,
                                        const WorkspaceId &Workspace) const {
  const auto Pool = m_Servers.find(Server);
  if (Pool == m_Servers.end())
    return 0;
  const auto Counts = Pool->second.m_CountsByWorkspace.find(Workspace);
  return Counts == Pool->second.m_CountsByWorkspace.end()
             ? 0
             : countIn(Counts->second, ConnectionState::Idle);
}

bool ConnectionPool::canOpen(const ServerId &Server) const {
  return hasRoom(Server) || idleCount(Server) > 0;
}

bool ConnectionPool::hasRoom(const ServerId &Server) const {
  const auto Pool = m_Servers.find(Server);
  return Pool != m_Servers.end() &&
         connectionCount(Server) < Pool->second.m_Share;
}

std::uint32_t ConnectionPool::busyCount(const ServerId &Server) const {
  return count(Server, ConnectionState::Busy);
}

std::uint32_t ConnectionPool::desiredCount(const ServerId &Server) const {
  const auto Pool = m_Servers.find(Server);
  if (Pool == m_Servers.end())
    return idleTarget();
  std::uint32_t Waiting = 0;
  for (const auto &[Workspace, Count] : Pool->second.m_Waiting)
    Waiting += Count;
  // Idle connections of other workspaces are no use to those that wait.
  if (m_UsesWorkspaces)
    return connectionCount(Server) + Waiting;
  return busyCount(Server) + std::max(idleTarget(), Waiting);
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
    if (Pool.m_Failures == 0)
      continue;
    const bool IsMissing =
        m_UsesWorkspaces
            ? !missingForWorkspaces(Pool).empty() && canMakeRoom(Server, Pool)
            : missingCount(Server, Pool) > 0;
    if (IsMissing)
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
  removeFromCounts(Connection);
  Connection.m_State = State;
  Connection.m_Since = Now;
  addToCounts(Connection);
}

void ConnectionPool::erase(const PooledConnection &Connection) {
  removeFromCounts(Connection);
  m_Connections.erase(Connection.m_Id);
}

void ConnectionPool::addToCounts(const PooledConnection &Connection) {
  ServerPool &Pool = m_Servers[Connection.m_Server];
  const auto State = static_cast<std::size_t>(Connection.m_State);
  ++Pool.m_Counts.at(State);
  ++Pool.m_CountsByWorkspace[Connection.m_Workspace].at(State);
}

void ConnectionPool::removeFromCounts(const PooledConnection &Connection) {
  ServerPool &Pool = m_Servers[Connection.m_Server];
  const auto State = static_cast<std::size_t>(Connection.m_State);
  --Pool.m_Counts.at(State);
  const auto Counts = Pool.m_CountsByWorkspace.find(Connection.m_Workspace);
  --Counts->second.at(State);
  if (Counts->second == StateCounts{})
    Pool.m_CountsByWorkspace.erase(Counts);
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
  const auto Waiting = Pool.m_Waiting.find(WorkspaceId());
  const std::uint32_t Target =
      std::max(m_Settings.m_IdleTarget,
               Waiting == Pool.m_Waiting.end() ? 0 : Waiting->second);
  std::uint32_t Count = Target > Available ? Target - Available : 0;
  if (Pool.m_NeedsProbeConnection && Opening == 0)
    Count = std::max(Count, 1U);
  return std::min(limitOpening(Pool, Count), Pool.m_Share - Total);
}

std::uint32_t ConnectionPool::limitOpening(const ServerPool &Pool,
                                           std::uint32_t Count) const {
  // Only one connection at a time is opened to a server that refuses
  // connections or does not answer.
  if (Pool.m_Failures == 0 && !Pool.m_NeedsProbeConnection)
    return Count;
  const bool IsOpening = countIn(Pool.m_Counts, ConnectionState::Opening) > 0;
  return IsOpening ? 0 : std::min(Count, 1U);
}

bool ConnectionPool::canMakeRoom(const ServerId &Server,
                                 const ServerPool &Pool) const {
  if (hasRoom(Server))
    return true;
  return std::any_of(Pool.m_CountsByWorkspace.begin(),
                     Pool.m_CountsByWorkspace.end(), [&](const auto &Each) {
                       return countIn(Each.second, ConnectionState::Idle) > 0 &&
                              !Pool.m_Waiting.contains(Each.first);
                     });
}

std::vector<WorkspaceId>
ConnectionPool::missingForWorkspaces(const ServerPool &Pool) const {
  std::vector<WorkspaceId> Missing;
  // Further connections of workspaces that miss several; each workspace gets
  // its first one before.
  std::vector<WorkspaceId> Further;
  if (Pool.m_Share == 0)
    return Missing;
  // One workspace must not displace all others.
  const std::uint32_t Most = std::max(1U, Pool.m_Share / 2);
  for (const auto &[Workspace, Waiting] : Pool.m_Waiting) {
    const auto Found = Pool.m_CountsByWorkspace.find(Workspace);
    const StateCounts Counts =
        Found == Pool.m_CountsByWorkspace.end() ? StateCounts{} : Found->second;
    const std::uint32_t Total =
        std::accumulate(Counts.begin(), Counts.end(), std::uint32_t{0});
    const std::uint32_t Available = countIn(Counts, ConnectionState::Opening) +
                                    countIn(Counts, ConnectionState::Idle);
    const std::uint32_t Needed = Waiting > Available ? Waiting - Available : 0;
    const std::uint32_t Allowed = Most > Total ? Most - Total : 0;
    const std::uint32_t Count = std::min(Needed, Allowed);
    if (Count == 0)
      continue;
    Missing.push_back(Workspace);
    Further.insert(Further.end(), Count - 1, Workspace);
  }
  Missing.insert(Missing.end(), Further.begin(), Further.end());
  if (Missing.empty() && Pool.m_NeedsProbeConnection)
    Missing.push_back(Pool.m_LastWorkspace);
  Missing.resize(
      limitOpening(Pool, static_cast<std::uint32_t>(Missing.size())));
  return Missing;
}

void ConnectionPool::evictIdle(Instant Now, const ServerId &Server,
                               std::uint32_t Count, PoolActions &Actions) {
  const ServerPool &Pool = m_Servers[Server];
  std::vector<PooledConnection *> Idle;
  for (auto &[Id, Connection] : m_Connections) {
    if (Connection.m_Server == Server &&
        Connection.m_State == ConnectionState::Idle &&
        !Pool.m_Waiting.contains(Connection.m_Workspace))
      Idle.push_back(&Connection);
  }
  std::sort(Idle.begin(), Idle.end(),
            [](const PooledConnection *Left, const PooledConnection *Right) {
              return Left->m_Since < Right->m_Since;
            });
  Idle.resize(std::min<std::size_t>(Idle.size(), Count));
  for (PooledConnection *Connection : Idle)
    close(*Connection, Now, Actions);
}

void ConnectionPool::openMissing(Instant Now, const ServerId &Server,
                                 PoolActions &Actions) {
  const ServerPool &Pool = m_Servers[Server];
  if (Pool.m_NeedsProbeConnection)
    makeRoomForProbeConnection(Now, Server, Actions);
  if (Pool.m_Failures > 0 && Now < Pool.m_ReopenAt)
    return;
  if (!m_UsesWorkspaces) {
    for (std::uint32_t Remaining = missingCount(Server, Pool); Remaining > 0;
         --Remaining)
      open(Now, Server, WorkspaceId(), Actions);
    return;
  }
  const std::vector<WorkspaceId> Missing = missingForWorkspaces(Pool);
  std::uint32_t Unplaced = 0;
  for (const WorkspaceId &Workspace : Missing) {
    if (hasRoom(Server))
      open(Now, Server, Workspace, Actions);
    else
      ++Unplaced;
  }
  // The next connections are opened once these are closed.
  const std::uint32_t Closing = count(Server, ConnectionState::Closing);
  if (Unplaced > Closing)
    evictIdle(Now, Server, Unplaced - Closing, Actions);
}

void ConnectionPool::open(Instant Now, const ServerId &Server,
                          const WorkspaceId &Workspace, PoolActions &Actions) {
  ServerPool &Pool = m_Servers[Server];
  PooledConnection Connection;
  Connection.m_Id = ConnectionId(++m_LastId);
  Connection.m_Server = Server;
  Connection.m_Workspace = Workspace;
  Connection.m_Term = Pool.m_Term;
  Connection.m_Since = Now;
  Pool.m_LastWorkspace = Workspace;
  m_Connections.emplace(Connection.m_Id, Connection);
  addToCounts(Connection);
  Actions.m_Open.push_back(Connection);
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
