#include "ragwortmux/Request/SessionCore.h"

#include <algorithm>
#include <cassert>
#include <utility>
#include <vector>

/// \file
/// Dispatch of SessionCore: assigns queued statements to connections.

namespace ragwortmux {

namespace {

/// Limits of queued statements that one event tries to dispatch and that it
/// counts for the connection demand. They bound the work of an event: if it
/// grew with the backlog, the throughput of an overloaded host would keep
/// falling.
constexpr std::size_t MaxDispatchTries = 64;
constexpr std::size_t MaxDemandStatements = 16;
/// Limit of statements for an unavailable primary, or without a permit of their
/// workspace, that one event skips, so that those queued behind them are sent.
constexpr std::size_t MaxSkips = 192;
/// Limit of reads that one event holds for a server of the failure domain while
/// others have free connections. It bounds the work of an event too.
constexpr std::uint32_t MaxHeldReads = 32;

std::uint64_t byteCount(const Statement &Submitted) {
  return Submitted.m_Text.size() + Submitted.m_Name.size() +
         Submitted.m_Rest.size();
}

CrossDomainRead placementInput(const SessionRequestState &State) {
  const SessionRequest &Submitted = State.m_Request;
  const EntryLimits &Limits = Submitted.m_Entry->m_Limits;
  CrossDomainRead Read;
  Read.m_Entry = Submitted.m_Entry->m_Name;
  Read.m_Workspace = Submitted.m_Workspace;
  Read.m_Priority = Limits.m_Priority;
  Read.m_TextBytes = byteCount(Submitted.m_Statement);
  Read.m_Arrived = Submitted.m_Arrived;
  Read.m_LateAt = State.lateAt();
  Read.m_Deadline = State.m_Deadline;
  return Read;
}

} // namespace

void SessionCore::enqueue(Request &State) {
  assert(!State.m_Connection);
  State.m_IsWaiting = true;
  const SessionRequest &Submitted = State.m_Request;
  m_Waiting.add({Submitted.m_Id, Submitted.m_Workspace,
                 Submitted.m_Entry->m_Limits.m_Priority, Submitted.m_Arrived,
                 State.lateAt(),
                 State.needsPrimary() ? QueueLane::Primary : QueueLane::Read,
                 byteCount(Submitted.m_Statement)});
  if (m_Settings.m_ShedLoad)
    m_ToReview.push_back(State.m_Request.m_Id);
}

void SessionCore::enqueueNew(Request &State) {
  // It is sent as soon as a connection has been opened, so the permit is
  // requested meanwhile. In a long queue the permit would expire.
  const bool IsFirst = m_Waiting.empty();
  enqueue(State);
  if (IsFirst && State.m_NeedsPermit &&
      m_Permits->check(m_Now, State.m_Request.m_Workspace) ==
          PermitDecision::Wait)
    awaitPermit(State);
}

void SessionCore::removeFromQueue(Request &State) {
  if (!State.m_IsWaiting)
    return;
  State.m_IsWaiting = false;
  m_Waiting.remove(State.m_Request.m_Id);
  if (State.m_ReviewAt)
    m_Reviews.erase({*State.m_ReviewAt, State.m_Request.m_Id});
  State.m_ReviewAt.reset();
}

void SessionCore::dispatch() {
  const std::vector<RequestId> Late = m_Waiting.advance(m_Now);
  if (m_Settings.m_ShedLoad)
    m_ToReview.insert(m_ToReview.end(), Late.begin(), Late.end());
  if (auto Change = m_CrossDomain.beginPass(m_Now))
    emit(*Change);
  std::size_t Tries = 0;
  std::size_t Skips = 0;
  FairQueue::Walk Walk = m_Waiting.walk();
  while (Tries < MaxDispatchTries && Skips < MaxSkips && hasIdleConnection()) {
    const auto Id = Walk.next();
    if (!Id)
      break;
    Request &State = m_Requests.at(*Id);
    if (!hasIdleConnectionFor(State)) {
      ++Skips;
      Walk.skipWorkspace();
      continue;
    }
    const bool IsSkipped = State.needsPrimary()
                               ? !hasIdlePrimaryConnection()
                               : m_CrossDomain.heldCount() >= MaxHeldReads;
    if (IsSkipped) {
      ++Skips;
      continue;
    }
    if (State.m_AwaitsPermit && !hasPermit(State)) {
      ++Skips;
      continue;
    }
    ++Tries;
    if (State.m_NotBefore && m_Now < *State.m_NotBefore)
      continue;
    tryDispatch(State);
  }
}

bool SessionCore::isOverLimit(Request &State) {
  const WorkspaceId &Workspace = State.m_Request.m_Workspace;
  if (m_Permits == nullptr || !m_Permits->isLimited(m_Now, Workspace))
    return false;
  State.m_NeedsPermit = true;
  return m_Permits->arrived(m_Now, Workspace) == PermitDecision::Refused;
}

bool SessionCore::hasPermit(Request &State) {
  if (!State.m_NeedsPermit)
    return true;
  const WorkspaceId &Workspace = State.m_Request.m_Workspace;
  switch (m_Permits->check(m_Now, Workspace)) {
  case PermitDecision::Granted:
    return true;
  case PermitDecision::Refused:
    refuseForLimit(State);
    return false;
  case PermitDecision::Wait:
    break;
  }
  awaitPermit(State);
  return false;
}

void SessionCore::awaitPermit(Request &State) {
  if (State.m_AwaitsPermit)
    return;
  State.m_AwaitsPermit = true;
  m_AwaitingPermit.insert(State.m_Request.m_Id);
  m_Permits->beginWait(m_Now, State.m_Request.m_Workspace);
}

void SessionCore::endPermitWait(Request &State) {
  if (!State.m_AwaitsPermit)
    return;
  State.m_AwaitsPermit = false;
  m_AwaitingPermit.erase(State.m_Request.m_Id);
  m_Permits->endWait(State.m_Request.m_Workspace);
}

void SessionCore::refuseForLimit(Request &State) {
  m_Permits->refused(m_Now, State.m_Request.m_Workspace);
  // A host that control does not reach knows nothing of the limit. Another one
  // may have permits, so the statement is tried there.
  const ResultCode Code = m_Permits->isControlSilent(m_Now)
                              ? ResultCode::NotRunNoLease
                              : ResultCode::NotRunRateLimited;
  finish(State, Code, TransactionStatus::Idle);
}

void SessionCore::refuseAwaitingPermit() {
  std::vector<RequestId> Refused;
  for (const RequestId Id : m_AwaitingPermit) {
    const WorkspaceId &Workspace = m_Requests.at(Id).m_Request.m_Workspace;
    if (m_Permits->check(m_Now, Workspace) == PermitDecision::Refused)
      Refused.push_back(Id);
  }
  for (const RequestId Id : Refused)
    refuseForLimit(m_Requests.at(Id));
}

bool SessionCore::hasIdlePrimaryConnection() const {
  return isPrimaryUsable() && m_Pool.idleCount(*m_View.m_Primary) > 0;
}

bool SessionCore::hasIdleConnection() const {
  return std::any_of(m_View.m_Servers.begin(), m_View.m_Servers.end(),
                     [this](const ServerView &Each) {
                       return m_Pool.idleCount(Each.m_Server) > 0;
                     });
}

bool SessionCore::hasIdleConnectionFor(const Request &State) const {
  const WorkspaceId &Workspace = State.m_Request.m_Workspace;
  // Without workspaces hasIdleConnection() has told it.
  if (!m_UsesWorkspaces)
    return true;
  return std::any_of(m_View.m_Servers.begin(), m_View.m_Servers.end(),
                     [&](const ServerView &Each) {
                       return m_Pool.idleCount(Each.m_Server, Workspace) > 0;
                     });
}

bool SessionCore::canOpenConnection() const {
  return std::any_of(
      m_View.m_Servers.begin(), m_View.m_Servers.end(),
      [this](const ServerView &Each) {
        return m_Pool.connectionCount(Each.m_Server) < Each.m_ConnectionShare ||
               (m_UsesWorkspaces && m_Pool.canOpen(Each.m_Server));
      });
}

bool SessionCore::isLeaseLost() const {
  return m_Now >= leaseExpiry() + m_Settings.m_NoLeaseTimeout;
}

bool SessionCore::isPrimaryUnreachable() const {
  if (!m_View.m_Primary)
    return false;
  const auto Since = m_UnreachableSince.find(*m_View.m_Primary);
  return Since != m_UnreachableSince.end() &&
         m_Now >= Since->second + m_Settings.m_UnreachableTimeout;
}

std::optional<ResultCode>
SessionCore::refusalReason(const Request &State) const {
  // Another host may have a lease or reach the primary; waiting here would only
  // consume the time for a retry there.
  if (isLeaseLost() && (State.needsPrimary() || !readFloor(State)))
    return ResultCode::NotRunNoLease;
  if (isPrimaryUnreachable() && State.needsPrimary())
    return ResultCode::NotRunNoConnection;
  return std::nullopt;
}

void SessionCore::refuseUnservable() {
  if (!isLeaseLost() && !isPrimaryUnreachable())
    return;
  std::vector<std::pair<RequestId, ResultCode>> Refusals;
  FairQueue::Walk Walk = m_Waiting.walk();
  while (const auto Id = Walk.next()) {
    if (const auto Code = refusalReason(m_Requests.at(*Id)))
      Refusals.emplace_back(*Id, *Code);
  }
  for (const auto &[Id, Code] : Refusals)
    finish(m_Requests.at(Id), Code, TransactionStatus::Idle);
}

bool SessionCore::tryDispatch(Request &State) {
  return State.needsPrimary() ? tryPrimary(State) : tryRead(State);
}

bool SessionCore::isPrimaryUsable() const {
  return m_View.m_Primary && m_AcknowledgedTerm == m_View.m_Term &&
         m_Now + m_Settings.m_LeaseMargin < leaseExpiry();
}

bool SessionCore::acceptsReads(const ServerView &Server) const {
  return Server.m_Announced && !Server.m_Leaving;
}

bool SessionCore::tryPrimary(Request &State) {
  if (!isPrimaryUsable())
    return false;
  const ServerId Primary = *m_View.m_Primary;
  const ServerView *Known = server(Primary);
  if (Known != nullptr && !hasFreeSlot(*Known))
    return false;
  if (m_Pool.idleCount(Primary, State.m_Request.m_Workspace) == 0 ||
      !hasPermit(State))
    return false;
  const auto Connection = acquireConnection(Primary, State);
  if (!Connection)
    return false;
  sendOn(State, Primary, *Connection, std::nullopt);
  return true;
}

std::optional<PositionHistory::Sample>
SessionCore::readFloor(const Request &State) const {
  const SessionRequest &Submitted = State.m_Request;
  const PositionHistory::Sample *Oldest = m_History.oldestSince(
      Submitted.m_Arrived - Submitted.m_Entry->m_Limits.m_MaxAge +
      m_Settings.m_AgeMargin);
  if (Oldest == nullptr)
    return std::nullopt;
  PositionHistory::Sample Floor = *Oldest;
  if (Submitted.m_Entry->m_Class != TrafficClass::OwnWritesSession)
    return Floor;
  // Only the primary is certain to have the session's own write.
  if (Submitted.m_LastWrite.m_IsUnplaced)
    return std::nullopt;
  const std::optional<LogPoint> &Written = Submitted.m_LastWrite.m_Point;
  // A write of an earlier term that survived precedes the first position
  // reported by the current primary.
  if (!Written || Written->m_Term < Floor.m_Point.m_Term ||
      isBefore(*Written, Floor.m_Point))
    return Floor;
  const PositionHistory::Sample *Covered = m_History.newestCovered(*Written);
  if (Covered != nullptr)
    Floor.m_QuerySentAt = Covered->m_QuerySentAt;
  Floor.m_Point = *Written;
  return Floor;
}

std::vector<ReadTarget> SessionCore::readTargets(
    const Request &State,
    const std::optional<PositionHistory::Sample> &Floor) const {
  std::vector<ReadTarget> Targets;
  for (const ServerView &Each : m_View.m_Servers) {
    if (!acceptsReads(Each))
      continue;
    ReadTarget Target;
    Target.m_Server = Each.m_Server;
    Target.m_IsNear = Each.m_Domain == m_Settings.m_Domain;
    Target.m_IsPrimary = m_View.m_Primary == Each.m_Server;
    Target.m_Free =
        m_Pool.idleCount(Each.m_Server, State.m_Request.m_Workspace);
    Target.m_Running = m_Pool.busyCount(Each.m_Server);
    Target.m_Slots = Each.m_Slots;
    const auto Refuses = m_RefusesUntil.find(Each.m_Server);
    const bool IsFull =
        Refuses != m_RefusesUntil.end() && m_Now < Refuses->second;
    const auto Age = m_ReplicaLags.find(Each.m_Server);
    const bool MayCover =
        Floor && (Age == m_ReplicaLags.end() ||
                  Age->second.isWorthTrying(m_Now, Floor->m_QuerySentAt));
    const bool MayRun = !State.avoids(Each.m_Server) &&
                        (Target.m_IsPrimary ? isPrimaryUsable() : MayCover);
    const bool HasRoom = !IsFull && hasFreeSlot(Each);
    Target.m_IsAllowed = HasRoom && MayRun;
    Target.m_IsFull = !HasRoom && MayRun;
    // If the whole share is being opened, one of these connections will do.
    Target.m_CanOpen =
        m_CrossDomain.isEnabled() && m_Pool.isReachable(Each.m_Server) &&
        (Target.m_Running == 0 || m_Pool.hasRoom(Each.m_Server) ||
         (m_UsesWorkspaces && m_Pool.canOpen(Each.m_Server)));
    Targets.push_back(std::move(Target));
  }
  return Targets;
}

bool SessionCore::tryRead(Request &State) {
  const auto Floor = readFloor(State);
  const std::vector<ReadTarget> Targets = readTargets(State, Floor);
  CrossDomainVerdict Placement;
  if (m_CrossDomain.isEnabled()) {
    Placement = decidePlacement(State, Targets);
    if (!Placement.m_IsReady) {
      m_CrossDomain.held();
      return false;
    }
  } else {
    Placement.m_Server = chooseReadTarget(Targets);
  }
  if (!Placement.m_Server || !hasPermit(State))
    return false;
  const ServerId Target = *Placement.m_Server;
  const auto Connection = acquireConnection(Target, State);
  if (!Connection)
    return false;
  const bool AtPrimary = m_View.m_Primary == Target;
  sendOn(State, Target, *Connection, AtPrimary ? std::nullopt : Floor);
  m_CrossDomain.countRead(isNear(Target));
  if (m_CrossDomain.isEnabled())
    m_CrossDomain.readSent(m_Now, placementInput(State), Placement);
  return true;
}

bool SessionCore::isNear(const ServerId &Server) const {
  const ServerView *Found = server(Server);
  return Found != nullptr && Found->m_Domain == m_Settings.m_Domain;
}

CrossDomainVerdict
SessionCore::decidePlacement(Request &State,
                             const std::vector<ReadTarget> &Targets) {
  const CrossDomainRead Read = placementInput(State);
  if (!std::exchange(State.m_IsPlacementDecided, true))
    m_CrossDomain.firstDecided(m_Now);
  CrossDomainVerdict Verdict = m_CrossDomain.choose(m_Now, Read, Targets);
  if (Verdict.m_HasReason && !std::exchange(State.m_HasLeaveReason, true))
    m_CrossDomain.reasonFound(m_Now, Read, Verdict);
  return Verdict;
}

void SessionCore::observeReply(const Request &State,
                               const StatementReply &Reply) {
  const Statement &Submitted = State.m_Request.m_Statement;
  const bool IsNear = isNear(State.m_Server);
  const bool IsRead =
      !Submitted.m_Writes && (Submitted.m_Kind == StatementKind::Read ||
                              Submitted.m_Kind == StatementKind::Execute);
  const bool WasPlaced = !State.m_InTransaction && !State.needsPrimary();
  m_CrossDomain.statementAnswered(
      m_Now, State.m_Server, IsNear, m_Now - State.m_SentAt,
      hasRun(Reply.m_Outcome) && IsRead,
      Reply.m_Outcome == StatementOutcome::Busy, WasPlaced);
  const auto Open = m_Transactions.find(State.m_Request.m_Caller);
  const bool IsMovable = State.m_InTransaction ? Open != m_Transactions.end() &&
                                                     Open->second.m_ReadOnly
                                               : !State.needsPrimary();
  if (IsMovable && Reply.m_Outcome == StatementOutcome::Done)
    m_CrossDomain.replyArrived(m_Now, State.m_Request.m_Entry->m_Name, IsNear,
                               byteCount(Submitted) +
                                   (Reply.m_Body ? Reply.m_Body->size() : 0));
}

std::optional<ConnectionId>
SessionCore::acquireConnection(const ServerId &Server, const Request &State) {
  const SessionRequest &Submitted = State.m_Request;
  return m_Pool.acquireCheapest(
      m_Now, Server, Submitted.m_Workspace, [&](ConnectionId Id) {
        return m_Sessions[Id].stepCount(*Submitted.m_State, State.prepared());
      });
}

void SessionCore::sendOn(Request &State, const ServerId &Server,
                         ConnectionId Connection,
                         const std::optional<PositionHistory::Sample> &Floor) {
  const SessionRequest &Submitted = State.m_Request;
  m_Waiting.charge(Submitted.m_Workspace,
                   Submitted.m_Entry->m_Limits.m_Priority);
  removeFromQueue(State);
  // Another try is the same operation and takes no further permit.
  if (State.m_NeedsPermit) {
    State.m_NeedsPermit = false;
    endPermitWait(State);
    m_Permits->take(m_Now, Submitted.m_Workspace);
  }
  State.m_Connection = Connection;
  State.m_Server = Server;
  State.m_Term = m_View.m_Term;
  State.m_UnderLease = m_View.m_Primary == Server && isPrimaryUsable();
  State.m_SentAt = m_Now;
  State.m_Floor = Floor;
  State.m_NotBefore.reset();
  State.m_IsSilenceHandled = false;
  ++State.m_Tries;
  if (!State.m_InTransaction) {
    m_Estimate.occupied(m_Now, Connection,
                        State.needsPrimary() ? QueueLane::Primary
                                             : QueueLane::Read);
    if (m_UsesWorkspaces && State.m_Tries == 1)
      m_Retries.addRequest(Submitted.m_Workspace, Server);
  }
  holdSlot(State);
  m_Running[Connection] = Submitted.m_Id;
  m_CrossDomain.statementSent(m_Now, Server);

  setUpOrSend(State);
}

void SessionCore::submitInTransaction(Request &State, Transaction &Open) {
  State.m_InTransaction = true;
  Open.m_Running = State.m_Request.m_Id;
  // A connection never runs a statement for another workspace than its own.
  if (Open.m_Workspace != State.m_Request.m_Workspace)
    abandonTransaction(Open);
  if (!Open.m_Connection) {
    // Closing the connection has rolled the transaction back.
    m_Transactions.erase(State.m_Request.m_Caller);
    const bool Rollback =
        State.m_Request.m_Statement.m_Kind == StatementKind::Rollback;
    finish(State, Rollback ? ResultCode::Ok : ResultCode::NotRunRolledBack,
           TransactionStatus::Idle);
    return;
  }
  State.m_CommitsWrites = Open.m_Wrote && State.m_Request.m_Statement.m_Kind ==
                                              StatementKind::Commit;
  // Do not send a commit that could no longer be acknowledged.
  if (State.m_CommitsWrites && !canSendCommit(Open.m_Term)) {
    abandonTransaction(Open);
    submitInTransaction(State, Open);
    return;
  }
  Open.m_Wrote = Open.m_Wrote || State.m_Request.m_Statement.m_Writes;
  sendOn(State, Open.m_Server, *Open.m_Connection, std::nullopt);
  State.m_Term = Open.m_Term;
}

void SessionCore::updateDemand() {
  if (!m_Waiting.empty() && !canOpenConnection())
    return;
  PoolActions Actions;
  std::map<ServerId, ConnectionDemand> Demand;
  FairQueue::Walk Walk = m_Waiting.walk();
  for (std::size_t Counted = 0; Counted < MaxDemandStatements; ++Counted) {
    const auto Id = Walk.next();
    if (!Id)
      break;
    Request &State = m_Requests.at(*Id);
    if (!State.needsPrimary())
      addReadDemand(State, Demand);
    else if (m_View.m_Primary)
      ++Demand[*m_View.m_Primary][State.m_Request.m_Workspace];
  }
  for (const ServerView &Each : m_View.m_Servers)
    m_Pool.setDemand(m_Now, Each.m_Server, std::move(Demand[Each.m_Server]),
                     Actions);
  apply(Actions);
}

void SessionCore::addReadDemand(Request &State,
                                std::map<ServerId, ConnectionDemand> &Demand) {
  const WorkspaceId &Workspace = State.m_Request.m_Workspace;
  std::vector<ReadTarget> Targets = readTargets(State, readFloor(State));
  if (m_CrossDomain.isEnabled()) {
    // A server without a free slot needs no further connection.
    const std::optional<ServerId> Best =
        decidePlacement(State, Targets).m_Server;
    const bool IsMissing =
        std::ranges::any_of(Targets, [&](const ReadTarget &Target) {
          return Target.m_Server == Best && Target.m_IsAllowed &&
                 Target.m_Free == 0;
        });
    if (IsMissing)
      ++Demand[*Best][Workspace];
    return;
  }
  if (!m_UsesWorkspaces) {
    for (const ReadTarget &Target : Targets) {
      if (Target.m_IsAllowed)
        ++Demand[Target.m_Server][Workspace];
    }
    return;
  }
  // Connections are scarce with workspaces, so only the server that suits best
  // gets a new one.
  for (ReadTarget &Target : Targets)
    Target.m_Free = m_Pool.canOpen(Target.m_Server) ? 1 : 0;
  if (const auto Best = chooseReadTarget(Targets))
    ++Demand[*Best][Workspace];
}

} // namespace ragwortmux
