#include "ragwortmux/Request/SessionCore.h"

#include <algorithm>
#include <utility>

namespace ragwortmux {

namespace {

constexpr int PercentBase = 100;

/// Connections of a delegated group carry no term: its servers themselves
/// refuse writes when they are not the primary.
constexpr Term AnyTerm{0};

} // namespace

SessionCore::SessionCore(GroupId Group, const SessionCoreSettings &Settings)
    : m_Group(std::move(Group)), m_Settings(Settings), m_Pool(Settings.m_Pool),
      m_CrossDomain(Settings.m_CrossDomain),
      m_Retries(Settings.m_Retry, Settings.m_WorkspaceRetry),
      m_Estimate(Settings.m_Estimate) {}

void SessionCore::beginEvent(Instant Now, SessionActions &Actions) {
  m_Now = Now;
  m_Actions = &Actions;
}

void SessionCore::endEvent() {
  confirmView();
  dispatch();
  refuseUnservable();
  reviewQueue();
  updateDemand();
  m_Actions = nullptr;
}

void SessionCore::apply(const PoolActions &Actions) {
  for (const ConnectionId Connection : Actions.m_Close) {
    emit(CloseSessionConnection{Connection});
    m_Sessions.erase(Connection);
  }
  // Closing cannot fail, so a closed connection needs no confirmation.
  PoolActions FollowUps;
  for (const ConnectionId Connection : Actions.m_Close)
    m_Pool.closed(m_Now, Connection, FollowUps);
  for (const PooledConnection &Connection : Actions.m_Open)
    emit(OpenSessionConnection{Connection.m_Id, Connection.m_Server,
                               Connection.m_Workspace});
  for (const ConnectionId Connection : Actions.m_Probe)
    emit(ProbeConnection{Connection});
  for (const ServerId &Server : Actions.m_Unreachable) {
    m_UnreachableSince.try_emplace(Server, m_Now);
    emit(ReportServer{Server, SuspicionKind::ConnectRefused});
    retryReadsAt(Server);
  }
  for (const ServerId &Server : Actions.m_TimedOut) {
    m_UnreachableSince.try_emplace(Server, m_Now);
    emit(ReportServer{Server, SuspicionKind::Silent});
    retryReadsAt(Server);
  }
  const bool HasMore = !FollowUps.m_Close.empty() ||
                       !FollowUps.m_Open.empty() || !FollowUps.m_Probe.empty();
  if (HasMore)
    apply(FollowUps);
}

void SessionCore::submit(Instant Now, SessionRequest Submitted,
                         SessionActions &Actions) {
  beginEvent(Now, Actions);
  if (!m_UsesWorkspaces)
    m_Retries.addRequest(WorkspaceId(), ServerId());
  const RequestId Id = Submitted.m_Id;
  const CallerConnectionId Caller = Submitted.m_Caller;
  Request &State = m_Requests[Id];
  State.m_Request = std::move(Submitted);
  State.m_Deadline = State.m_Request.m_Arrived +
                     State.m_Request.m_Entry->m_Limits.m_RequestDeadline;
  const auto Open = m_Transactions.find(Caller);
  if (Open != m_Transactions.end())
    submitInTransaction(State, Open->second);
  else if (m_Draining)
    finish(State, ResultCode::NotRunDraining, TransactionStatus::Idle);
  else if (isOverLimit(State))
    refuseForLimit(State);
  else
    enqueueNew(State);
  endEvent();
}

void SessionCore::permitsChanged(Instant Now, SessionActions &Actions) {
  beginEvent(Now, Actions);
  dispatch();
  refuseAwaitingPermit();
  endEvent();
}

void SessionCore::callerDisconnected(Instant Now, CallerConnectionId Caller,
                                     SessionActions &Actions) {
  beginEvent(Now, Actions);
  std::vector<RequestId> Unsent;
  for (auto &[Id, State] : m_Requests) {
    if (State.m_Request.m_Caller != Caller)
      continue;
    State.m_IsCallerDisconnected = true;
    if (!State.m_Connection)
      Unsent.push_back(Id);
  }
  // Statements that are not under way will not run any more, so they must not
  // keep the transaction either: it is idle now.
  for (const RequestId Id : Unsent)
    erase(m_Requests.at(Id));
  rollBackFor(Caller);
  endEvent();
}

void SessionCore::connectionOpened(Instant Now, ConnectionId Connection,
                                   SessionActions &Actions) {
  beginEvent(Now, Actions);
  PoolActions FromPool;
  if (const PooledConnection *Known = m_Pool.find(Connection)) {
    m_LastReply[Known->m_Server] = Now;
    m_UnreachableSince.erase(Known->m_Server);
  }
  m_Pool.opened(Now, Connection, FromPool);
  apply(FromPool);
  endEvent();
}

void SessionCore::connectionFailed(Instant Now, ConnectionId Connection,
                                   bool ServerAnswered,
                                   SessionActions &Actions) {
  beginEvent(Now, Actions);
  PoolActions FromPool;
  m_Pool.openFailed(Now, Connection, ServerAnswered, FromPool);
  apply(FromPool);
  endEvent();
}

void SessionCore::connectionLost(Instant Now, ConnectionId Connection,
                                 SessionActions &Actions) {
  beginEvent(Now, Actions);
  m_Sessions.erase(Connection);
  m_RollingBack.erase(Connection);
  m_Estimate.dropped(Connection);
  PoolActions FromPool;
  m_Pool.closed(Now, Connection, FromPool);
  apply(FromPool);
  const auto Running = m_Running.find(Connection);
  if (Running != m_Running.end()) {
    const auto State = m_Requests.find(Running->second);
    m_Running.erase(Running);
    if (State != m_Requests.end()) {
      m_CrossDomain.statementEnded(State->second.m_Server);
      State->second.m_Connection.reset();
      releaseSlot(State->second);
      handleLostStatement(State->second);
    }
  } else {
    for (auto &[Caller, Open] : m_Transactions) {
      if (Open.m_Connection == Connection)
        Open.m_Connection.reset();
    }
  }
  endEvent();
}

void SessionCore::statementAnswered(Instant Now, ConnectionId Connection,
                                    const StatementReply &Reply,
                                    SessionActions &Actions) {
  beginEvent(Now, Actions);
  const PooledConnection *Known = m_Pool.find(Connection);
  if (Known != nullptr)
    m_LastReply[Known->m_Server] = Now;
  const auto Running = m_Running.find(Connection);
  const bool IsDoneAndIdle = Reply.m_Outcome == StatementOutcome::Done &&
                             Reply.m_Status == TransactionStatus::Idle;
  if (Known == nullptr) {
    // The connection was abandoned, so no request waits for this reply.
  } else if (Known->m_State == ConnectionState::Probing) {
    handleProbeReply(Connection, IsDoneAndIdle);
  } else if (m_RollingBack.erase(Connection) > 0) {
    if (IsDoneAndIdle)
      releaseConnection(Connection);
    else
      dropConnection(Connection);
  } else if (Running != m_Running.end()) {
    Request &State = m_Requests.at(Running->second);
    if (State.m_IsSettingUp) {
      handleSetUpReply(State, Reply);
      endEvent();
      return;
    }
    m_Running.erase(Running);
    releaseSlot(State);
    recordPosition(State, Reply);
    observeReply(State, Reply);
    if (State.m_InTransaction)
      handleTransactionReply(State, Reply);
    else
      handleReply(State, Reply);
  }
  endEvent();
}

void SessionCore::handleProbeReply(ConnectionId Connection, bool IsReset) {
  if (!IsReset) {
    // Whether the server has kept the session state is unknown.
    dropConnection(Connection);
    return;
  }
  m_Sessions.erase(Connection);
  PoolActions FromPool;
  m_Pool.probed(m_Now, Connection, FromPool);
  apply(FromPool);
}

void SessionCore::viewChanged(Instant Now, const GroupView &View,
                              SessionActions &Actions) {
  const bool WasOutdated = m_IsRecordOutdated;
  if (View.m_Revision < m_View.m_Revision ||
      (!WasOutdated && View.m_Revision == m_View.m_Revision))
    return;
  beginEvent(Now, Actions);
  m_IsRecordOutdated = false;
  if (!WasOutdated && View.m_Term != m_View.m_Term)
    m_TermEndedAt = Now;
  if (View.m_Primary && View.m_Primary != m_View.m_Primary)
    m_History.clear();
  const std::vector<ServerView> PreviousServers = std::move(m_View.m_Servers);
  m_View = View;
  PoolActions FromPool;
  for (const ServerView &Old : PreviousServers) {
    const ServerView *Current = server(Old.m_Server);
    const bool Moved =
        Current != nullptr &&
        (Current->m_Address != Old.m_Address || Current->m_Port != Old.m_Port);
    if (Current == nullptr || Moved)
      m_Pool.setServer(Now, Old.m_Server, AnyTerm, 0, FromPool);
  }
  apply(FromPool);
  applyShares();
  // The pause of statements that wait for a new primary may end with this
  // record.
  for (auto &[Id, State] : m_Requests) {
    if (State.m_IsWaiting && State.needsPrimary())
      State.m_NotBefore.reset();
  }
  endEvent();
}

void SessionCore::controlSessionChanged(Instant Now, SessionActions &Actions) {
  beginEvent(Now, Actions);
  m_IsRecordOutdated = m_View.m_Revision != Revision();
  m_RecordOutdatedSince = Now;
  m_TermEndedAt = Instant();
  applyShares();
  endEvent();
}

Instant SessionCore::leaseExpiry() const {
  return m_IsRecordOutdated ? std::min(m_LeaseExpiry, m_RecordOutdatedSince)
                            : m_LeaseExpiry;
}

void SessionCore::applyShares() {
  // After the lease has expired, control may have assigned the shares to other
  // hosts.
  m_HasFullShares = m_Now < leaseExpiry();
  PoolActions FromPool;
  for (const ServerView &Each : m_View.m_Servers) {
    const bool IsUsed = acceptsReads(Each) || m_View.m_Primary == Each.m_Server;
    const std::uint32_t Most =
        m_HasFullShares ? UINT32_MAX : m_Settings.m_ShareWithoutLease;
    m_Pool.setServer(m_Now, Each.m_Server, AnyTerm,
                     IsUsed ? std::min(Each.m_ConnectionShare, Most) : 0,
                     FromPool);
  }
  apply(FromPool);
}

void SessionCore::leaseExtended(Instant Now, Instant ValidUntil,
                                SessionActions &Actions) {
  beginEvent(Now, Actions);
  m_LeaseExpiry = ValidUntil;
  if (!m_HasFullShares)
    applyShares();
  endEvent();
}

void SessionCore::drain(Instant Now, SessionActions &Actions) {
  beginEvent(Now, Actions);
  m_Draining = true;
  endEvent();
}

void SessionCore::endTransactions(Instant Now, SessionActions &Actions) {
  beginEvent(Now, Actions);
  for (auto &[Caller, Open] : m_Transactions) {
    if (!Open.m_Running)
      abandonTransaction(Open);
  }
  endEvent();
}

void SessionCore::tick(Instant Now, SessionActions &Actions) {
  beginEvent(Now, Actions);
  std::vector<RequestId> Due;
  for (const auto &[Id, State] : m_Requests) {
    if (wakeTime(State) <= Now)
      Due.push_back(Id);
  }
  for (const RequestId Id : Due) {
    const auto Found = m_Requests.find(Id);
    if (Found == m_Requests.end())
      continue;
    Request &State = Found->second;
    if (Now >= State.m_Deadline)
      expire(State);
    else if (State.m_Connection)
      checkRunning(State);
    else if (State.m_InTransaction)
      submitInTransaction(State, m_Transactions.at(State.m_Request.m_Caller));
  }
  for (auto &[Caller, Open] : m_Transactions) {
    if (!Open.m_Running && Now >= Open.m_IdleSince + Open.m_IdleLimit)
      abandonTransaction(Open);
  }
  dropUnansweredRollbacks();
  PoolActions FromPool;
  m_Pool.tick(Now, FromPool);
  apply(FromPool);
  if (m_HasFullShares && m_Now >= leaseExpiry())
    applyShares();
  endEvent();
}

Instant SessionCore::wakeTime(const Request &State) const {
  Instant At = State.m_Deadline;
  if (State.m_NotBefore && !State.m_Connection)
    At = std::min(At, *State.m_NotBefore);
  if (State.m_Connection && !State.m_IsSilenceHandled)
    At = std::min(At, silentAt(State));
  if (State.m_Connection && State.m_HoldsSlot && m_UsesWorkspaces)
    At = std::min(At, State.m_SentAt + m_Settings.m_SlotTimeout);
  return At;
}

Instant SessionCore::silentAt(const Request &State) const {
  return State.m_SentAt + State.m_Request.m_Entry->m_Limits.m_RequestDeadline *
                              m_Settings.m_SilentPercent / PercentBase;
}

void SessionCore::checkRunning(Request &State) {
  // The server may have answered, so its slot may be free.
  if (m_Now >= State.m_SentAt + m_Settings.m_SlotTimeout)
    releaseSlot(State);
  if (m_Now >= silentAt(State))
    checkSilence(State);
}

std::optional<Instant> SessionCore::nextDeadline() const {
  std::optional<Instant> Next = m_Pool.nextDeadline();
  const auto Consider = [&Next](Instant At) {
    Next = Next ? std::min(*Next, At) : At;
  };
  for (const auto &[Id, State] : m_Requests)
    Consider(wakeTime(State));
  for (const auto &[Caller, Open] : m_Transactions) {
    if (!Open.m_Running && Open.m_Connection)
      Consider(Open.m_IdleSince + Open.m_IdleLimit);
  }
  for (const auto &[Connection, Until] : m_RollingBack)
    Consider(Until);
  if (!m_Reviews.empty())
    Consider(m_Reviews.begin()->first);
  const Instant RefusalStart = leaseExpiry() + m_Settings.m_NoLeaseTimeout;
  if (!m_Waiting.empty() && m_Now < RefusalStart)
    Consider(RefusalStart);
  if (m_HasFullShares)
    Consider(leaseExpiry());
  if (m_ConfirmedRevision != m_View.m_Revision)
    Consider(m_TermEndedAt + m_Settings.m_HandoverWait);
  if (const auto Pass = m_CrossDomain.nextDeadline(m_Now, !m_Waiting.empty()))
    Consider(*Pass);
  return Next;
}

void SessionCore::confirmView() {
  if (m_ConfirmedRevision == m_View.m_Revision)
    return;
  const bool IsNewTerm = m_AcknowledgedTerm != m_View.m_Term;
  if (IsNewTerm && hasCommitsOfEndedTerm() &&
      m_Now < m_TermEndedAt + m_Settings.m_HandoverWait)
    return;
  m_ConfirmedRevision = m_View.m_Revision;
  if (!IsNewTerm)
    return;
  m_AcknowledgedTerm = m_View.m_Term;
  endPreviousTerms();
}

bool SessionCore::hasCommitsOfEndedTerm() const {
  return std::any_of(
      m_Requests.begin(), m_Requests.end(),
      [this](const auto &Entry) { return isCommitOfEndedTerm(Entry.second); });
}

bool SessionCore::isCommitOfEndedTerm(const Request &State) const {
  return State.m_Connection && State.isCommit() && !State.m_IsSettingUp &&
         State.m_Term != m_View.m_Term;
}

void SessionCore::endPreviousTerms() {
  std::vector<RequestId> Old;
  for (const auto &[Id, State] : m_Requests) {
    if (isCommitOfEndedTerm(State))
      Old.push_back(Id);
  }
  for (const RequestId Id : Old) {
    Request &State = m_Requests.at(Id);
    dropStatement(State);
    m_Transactions.erase(State.m_Request.m_Caller);
    finish(State, ResultCode::OutcomeUnknownTermEnded, TransactionStatus::Idle);
  }
  for (auto &[Caller, Open] : m_Transactions) {
    if (!Open.m_Running && !Open.m_ReadOnly && Open.m_Term != m_View.m_Term)
      abandonTransaction(Open);
  }
}

const ServerView *SessionCore::server(const ServerId &Server) const {
  const auto Found = std::find_if(
      m_View.m_Servers.begin(), m_View.m_Servers.end(),
      [&](const ServerView &Each) { return Each.m_Server == Server; });
  return Found == m_View.m_Servers.end() ? nullptr : &*Found;
}

void SessionCore::recordDecision(const Request &State, SessionDecision Decision,
                                 ResultCode Code) {
  SessionDecisionRecord Record;
  Record.m_Decision = Decision;
  Record.m_Statement = State.m_Request.m_Statement.m_Id;
  Record.m_Entry = State.m_Request.m_Entry->m_Name;
  Record.m_Server = State.m_Server;
  Record.m_Code = Code;
  Record.m_View = m_View.m_Revision;
  Record.m_Term = m_View.m_Term;
  Record.m_LeaseLeft = std::max(Duration(0), leaseExpiry() - m_Now);
  if (State.m_Floor)
    Record.m_FloorAge = m_Now - State.m_Floor->m_QuerySentAt;
  Record.m_Waited = m_Now - State.m_Request.m_Arrived;
  if (State.m_Tries > 0)
    Record.m_Running = m_Now - State.m_SentAt;
  Record.m_IsRead = !State.m_Request.m_Statement.m_Writes;
  Record.m_AtPrimary = m_View.m_Primary == State.m_Server;
  Record.m_Tries = State.m_Tries;
  Record.m_Shed = State.m_Shed;
  Record.m_Workspace = State.m_Request.m_Workspace;
  emit(std::move(Record));
}

} // namespace ragwortmux
