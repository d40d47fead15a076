#include "ragwortmux/Request/SessionCore.h"

#include <algorithm>
#include <cassert>
#include <utility>

/// \file
/// Reply handling of SessionCore: what a reply, or a missing one, means for the
/// caller.

namespace ragwortmux {

namespace {

constexpr std::uint32_t MaxPauseDoublings = 4;

/// Result code of a statement that ran, or that is not retried on another
/// server.
ResultCode finalCode(StatementOutcome Outcome) {
  switch (Outcome) {
  case StatementOutcome::Done:
    return ResultCode::Ok;
  case StatementOutcome::Failed:
    return ResultCode::RanFailed;
  case StatementOutcome::TimedOut:
    return ResultCode::RanTimedOut;
  case StatementOutcome::Busy:
  case StatementOutcome::TooManyConnections:
  case StatementOutcome::WrongServer:
  case StatementOutcome::SetUpFailed:
    return ResultCode::NotRunNoConnection;
  case StatementOutcome::Behind:
    return ResultCode::NotRunTooOld;
  case StatementOutcome::NotPrimary:
    return ResultCode::NotRunTermRefused;
  case StatementOutcome::UnknownStatement:
  case StatementOutcome::Malformed:
    return ResultCode::NotRunBadRequest;
  }
  return ResultCode::OutcomeUnknown;
}

/// True if \p Kind begins or ends a transaction.
bool controlsTransaction(StatementKind Kind) {
  return isBegin(Kind) || Kind == StatementKind::Commit ||
         Kind == StatementKind::Rollback;
}

/// True if the state of the connection's session is known after this reply to a
/// statement of \p Kind, and no transaction is open, so that the connection can
/// serve another caller.
bool leavesConnectionClean(StatementKind Kind, const StatementReply &Reply) {
  const bool HasFailed =
      hasRun(Reply.m_Outcome) && Reply.m_Outcome != StatementOutcome::Done;
  if (HasFailed && controlsTransaction(Kind))
    return false;
  switch (Reply.m_Outcome) {
  case StatementOutcome::SetUpFailed:
  case StatementOutcome::UnknownStatement:
  case StatementOutcome::Malformed:
  case StatementOutcome::WrongServer:
  case StatementOutcome::TooManyConnections:
    return false;
  default:
    return Reply.m_Status == TransactionStatus::Idle;
  }
}

} // namespace

bool SessionCore::wasSentToPrimary(const Request &State) const {
  return m_View.m_Primary == State.m_Server && State.m_Term == m_View.m_Term;
}

std::optional<LogPoint>
SessionCore::primaryPoint(const Request &State,
                          const StatementReply &Reply) const {
  return wasSentToPrimary(State) && State.m_UnderLease ? Reply.m_Point
                                                       : std::nullopt;
}

void SessionCore::recordPosition(const Request &State,
                                 const StatementReply &Reply) {
  if (const auto Point = primaryPoint(State, Reply))
    m_History.add(State.m_SentAt, *Point);
  if (wasSentToPrimary(State))
    return;
  ReplicaLag &Age = m_ReplicaLags[State.m_Server];
  if (Reply.m_Outcome == StatementOutcome::Behind && State.m_Floor) {
    Age.recordBehind(m_Now, State.m_Floor->m_QuerySentAt);
    return;
  }
  if (!Reply.m_Point)
    return;
  if (const auto *Covered = m_History.newestCovered(*Reply.m_Point))
    Age.recordCovered(m_Now, Covered->m_QuerySentAt);
}

void SessionCore::handleReply(Request &State, const StatementReply &Reply) {
  const ConnectionId Connection = *State.m_Connection;
  State.m_Connection.reset();
  if (!hasRun(Reply.m_Outcome))
    m_Estimate.dropped(Connection);
  const bool Begins = isBegin(State.m_Request.m_Statement.m_Kind) &&
                      Reply.m_Outcome == StatementOutcome::Done;
  if (Begins && Reply.m_Status == TransactionStatus::InTransaction) {
    State.m_Connection = Connection;
    beginTransaction(State, Reply);
    return;
  }
  if (leavesConnectionClean(State.m_Request.m_Statement.m_Kind, Reply))
    releaseConnection(Connection);
  else
    dropConnection(Connection);
  if (State.m_IsCallerDisconnected) {
    erase(State);
    return;
  }
  if (retryIfNotRun(State, Reply))
    return;
  forwardReply(State, Reply);
}

bool SessionCore::retryIfNotRun(Request &State, const StatementReply &Reply) {
  const bool CanRetry = State.m_Tries < m_Settings.m_MaxTries;
  switch (Reply.m_Outcome) {
  case StatementOutcome::Busy: {
    const Duration Pause = nextBusyPause(State);
    m_RefusesUntil[State.m_Server] = m_Now + m_Settings.m_BusyPause;
    State.m_NotBefore = m_Now + (State.needsPrimary() ? Pause : Duration(0));
    State.m_LastReason = ResultCode::NotRunQueueFull;
    break;
  }
  case StatementOutcome::Behind:
    State.m_Avoid.push_back(State.m_Server);
    State.m_LastReason = ResultCode::NotRunTooOld;
    break;
  case StatementOutcome::NotPrimary:
    emit(ReportServer{State.m_Server, SuspicionKind::NotPrimary});
    if (State.needsPrimary())
      State.m_NotBefore = m_Now + m_Settings.m_NotPrimaryPause;
    else
      State.m_Avoid.push_back(State.m_Server);
    State.m_LastReason = ResultCode::NotRunTermRefused;
    break;
  case StatementOutcome::WrongServer:
  case StatementOutcome::TooManyConnections:
  case StatementOutcome::UnknownStatement:
  case StatementOutcome::SetUpFailed:
    State.m_NotBefore = m_Now + m_Settings.m_NotPrimaryPause;
    State.m_LastReason = ResultCode::NotRunNoConnection;
    break;
  default:
    return false;
  }
  const bool MayWait = State.needsPrimary() &&
                       Reply.m_Outcome != StatementOutcome::UnknownStatement;
  if (!CanRetry && !MayWait)
    return false;
  recordDecision(State, SessionDecision::Retried, State.m_LastReason);
  enqueue(State);
  return true;
}

Duration SessionCore::nextBusyPause(Request &State) const {
  const std::uint32_t Doublings = std::min(State.m_Pauses, MaxPauseDoublings);
  ++State.m_Pauses;
  return std::min(m_Settings.m_BusyPauseMax,
                  m_Settings.m_BusyPause * (1U << Doublings));
}

void SessionCore::beginTransaction(Request &State,
                                   const StatementReply &Reply) {
  const ConnectionId Connection = *State.m_Connection;
  State.m_Connection.reset();
  const Duration EntryLimit =
      State.m_Request.m_Entry->m_Limits.m_TransactionIdle;
  Transaction Open;
  Open.m_Connection = Connection;
  Open.m_Server = State.m_Server;
  Open.m_Workspace = State.m_Request.m_Workspace;
  Open.m_Term = State.m_Term;
  Open.m_ReadOnly =
      State.m_Request.m_Statement.m_Kind == StatementKind::BeginRead;
  Open.m_IdleSince = m_Now;
  Open.m_IdleLimit =
      EntryLimit > Duration(0) ? EntryLimit : m_Settings.m_TransactionIdle;
  const CallerConnectionId Caller = State.m_Request.m_Caller;
  m_Transactions[Caller] = Open;
  if (State.m_IsCallerDisconnected) {
    erase(State);
    rollBackFor(Caller);
    return;
  }
  forwardReply(State, Reply);
}

void SessionCore::handleTransactionReply(Request &State,
                                         const StatementReply &Reply) {
  const CallerConnectionId Caller = State.m_Request.m_Caller;
  const auto Found = m_Transactions.find(Caller);
  const ConnectionId Connection = *State.m_Connection;
  State.m_Connection.reset();
  if (Found == m_Transactions.end()) {
    dropConnection(Connection);
    finish(State, ResultCode::OutcomeUnknown, TransactionStatus::Idle);
    return;
  }
  Transaction &Open = Found->second;
  Open.m_Running.reset();
  Open.m_IdleSince = m_Now;
  const bool IsStillOpen = Reply.m_Status != TransactionStatus::Idle;
  const bool IsUnknown = Reply.m_Outcome == StatementOutcome::SetUpFailed ||
                         Reply.m_Outcome == StatementOutcome::UnknownStatement;
  if (Reply.m_Outcome == StatementOutcome::NotPrimary)
    emit(ReportServer{State.m_Server, SuspicionKind::NotPrimary});
  if (Reply.m_Outcome == StatementOutcome::Busy &&
      Reply.m_Status == TransactionStatus::InTransaction &&
      State.m_Tries < m_Settings.m_MaxTries && !State.m_IsCallerDisconnected) {
    // The statement did not run and the transaction is still open: retry on the
    // same connection after a pause.
    Open.m_Running = State.m_Request.m_Id;
    holdSlot(State);
    State.m_LastReason = ResultCode::NotRunQueueFull;
    State.m_NotBefore = m_Now + nextBusyPause(State);
    recordDecision(State, SessionDecision::Retried, State.m_LastReason);
    return;
  }
  if (IsUnknown) {
    abandonTransaction(Open);
    m_Transactions.erase(Found);
    finish(State, ResultCode::NotRunRolledBack, TransactionStatus::Idle);
    return;
  }
  if (IsStillOpen) {
    Open.m_Status = Reply.m_Status;
    if (State.m_IsCallerDisconnected) {
      erase(State);
      rollBackFor(Caller);
      return;
    }
    forwardReply(State, Reply);
    return;
  }
  m_Transactions.erase(Found);
  if (leavesConnectionClean(State.m_Request.m_Statement.m_Kind, Reply))
    releaseConnection(Connection);
  else
    dropConnection(Connection);
  if (State.m_IsCallerDisconnected) {
    erase(State);
    return;
  }
  forwardReply(State, Reply);
}

bool SessionCore::canAcknowledge(const Request &State) const {
  return m_Now < leaseExpiry() && State.m_Term == m_AcknowledgedTerm;
}

SessionAnswer SessionCore::answerTo(const Request &State,
                                    ResultCode Code) const {
  SessionAnswer Answer;
  Answer.m_Request = State.m_Request.m_Id;
  Answer.m_Caller = State.m_Request.m_Caller;
  Answer.m_Group = m_Group;
  Answer.m_Code = Code;
  return Answer;
}

void SessionCore::forwardReply(Request &State, const StatementReply &Reply) {
  const ResultCode Code = finalCode(Reply.m_Outcome);
  if (State.m_MayHaveRun && isNotRun(Code)) {
    finish(State, Code, TransactionStatus::Idle);
    return;
  }
  if (State.makesDurable() && Code == ResultCode::Ok &&
      !canAcknowledge(State)) {
    finish(State, ResultCode::OutcomeUnknownTermEnded, TransactionStatus::Idle);
    return;
  }
  SessionAnswer Answer = answerTo(State, Code);
  Answer.m_Body = Reply.m_Body;
  Answer.m_Point = Reply.m_Point;
  const auto Open = m_Transactions.find(State.m_Request.m_Caller);
  if (Open != m_Transactions.end())
    Answer.m_Status = Open->second.m_Status;
  Answer.m_PrimaryPoint = primaryPoint(State, Reply);
  if (State.makesDurable() && Code == ResultCode::Ok) {
    Answer.m_Written = Reply.m_Point;
    Answer.m_IsWriteUnplaced = !Reply.m_Point;
  }
  emit(std::move(Answer));
  recordDecision(State, SessionDecision::Answered, Code);
  erase(State);
}

void SessionCore::handleLostStatement(Request &State, bool IsRetryPaid) {
  if (std::exchange(State.m_IsSettingUp, false)) {
    handleUnsentStatement(State);
    return;
  }
  const Statement &Submitted = State.m_Request.m_Statement;
  if (State.m_InTransaction) {
    const auto Open = m_Transactions.find(State.m_Request.m_Caller);
    if (Open != m_Transactions.end())
      m_Transactions.erase(Open);
    // An uncommitted transaction is rolled back when its connection closes.
    finish(State,
           State.m_CommitsWrites ? ResultCode::OutcomeUnknown
                                 : ResultCode::NotRunRolledBack,
           TransactionStatus::Idle);
    return;
  }
  if (State.m_IsCallerDisconnected) {
    erase(State);
    return;
  }
  const bool MayRetry =
      !Submitted.m_Writes && State.m_Tries < m_Settings.m_MaxTries &&
      (IsRetryPaid || !m_UsesWorkspaces || tryConsumeRetry(State));
  if (!MayRetry) {
    finish(State, ResultCode::OutcomeUnknown, TransactionStatus::Idle);
    return;
  }
  State.m_LastReason = ResultCode::OutcomeUnknown;
  State.m_MayHaveRun = true;
  recordDecision(State, SessionDecision::Retried, State.m_LastReason);
  enqueue(State);
}

void SessionCore::finish(Request &State, ResultCode Code,
                         TransactionStatus Status) {
  // A read without an answer was sent again, so a refusal would not be true.
  if (State.m_MayHaveRun && isNotRun(Code))
    Code = ResultCode::OutcomeUnknown;
  if (!State.m_IsCallerDisconnected) {
    SessionAnswer Answer = answerTo(State, Code);
    Answer.m_Status = Status;
    emit(std::move(Answer));
    const SessionDecision Decision = Code == ResultCode::Ok || isNotRun(Code)
                                         ? SessionDecision::Refused
                                         : SessionDecision::Unknown;
    recordDecision(State, Decision, Code);
  }
  erase(State);
}

void SessionCore::erase(Request &State) {
  assert(!State.m_Connection);
  releaseSlot(State);
  removeFromQueue(State);
  endPermitWait(State);
  const auto Open = m_Transactions.find(State.m_Request.m_Caller);
  if (Open != m_Transactions.end() &&
      Open->second.m_Running == State.m_Request.m_Id)
    Open->second.m_Running.reset();
  m_Requests.erase(State.m_Request.m_Id);
}

void SessionCore::releaseConnection(ConnectionId Connection) {
  m_Estimate.served(m_Now, Connection);
  PoolActions Actions;
  m_Pool.release(m_Now, Connection, Actions);
  apply(Actions);
}

void SessionCore::dropConnection(ConnectionId Connection) {
  m_Sessions.erase(Connection);
  m_RollingBack.erase(Connection);
  m_Estimate.dropped(Connection);
  PoolActions Actions;
  m_Pool.drop(m_Now, Connection, Actions);
  apply(Actions);
}

void SessionCore::dropStatement(Request &State) {
  const ConnectionId Connection = *State.m_Connection;
  State.m_IsSettingUp = false;
  m_Running.erase(Connection);
  releaseSlot(State);
  m_CrossDomain.statementEnded(State.m_Server);
  State.m_Connection.reset();
  const auto Open = m_Transactions.find(State.m_Request.m_Caller);
  if (Open != m_Transactions.end())
    Open->second.m_Connection.reset();
  dropConnection(Connection);
}

void SessionCore::rollBackFor(CallerConnectionId Caller) {
  const auto Found = m_Transactions.find(Caller);
  if (Found == m_Transactions.end())
    return;
  const Transaction Open = Found->second;
  if (Open.m_Running) {
    Request &State = m_Requests.at(*Open.m_Running);
    assert(State.m_Connection);
    // A commit that was sent must complete; any other statement is abandoned.
    if (State.m_Request.m_Statement.m_Kind == StatementKind::Commit &&
        !State.m_IsSettingUp)
      return;
    dropStatement(State);
    m_Transactions.erase(Caller);
    erase(State);
    return;
  }
  m_Transactions.erase(Found);
  if (Open.m_Connection)
    rollBack(*Open.m_Connection);
}

void SessionCore::rollBack(ConnectionId Connection) {
  m_RollingBack[Connection] = m_Now + m_Settings.m_RollbackTimeout;
  RunStatement Run;
  Run.m_Connection = Connection;
  Run.m_Statement.m_Kind = StatementKind::Rollback;
  Run.m_IsInternal = true;
  emit(std::move(Run));
}

void SessionCore::dropUnansweredRollbacks() {
  std::vector<ConnectionId> Due;
  for (const auto &[Connection, Until] : m_RollingBack) {
    if (m_Now >= Until)
      Due.push_back(Connection);
  }
  for (const ConnectionId Connection : Due)
    dropConnection(Connection);
}

void SessionCore::abandonTransaction(Transaction &Open) {
  if (!Open.m_Connection)
    return;
  const ConnectionId Connection = *Open.m_Connection;
  Open.m_Connection.reset();
  dropConnection(Connection);
}

void SessionCore::expire(Request &State) {
  if (State.m_IsSettingUp) {
    dropStatement(State);
    handleUnsentStatement(State);
    return;
  }
  if (State.m_Connection) {
    const bool MayHaveCommitted = State.isCommit();
    const bool InTransaction = State.m_InTransaction;
    dropStatement(State);
    m_Transactions.erase(State.m_Request.m_Caller);
    finish(State,
           InTransaction && !MayHaveCommitted ? ResultCode::NotRunRolledBack
                                              : ResultCode::OutcomeUnknown,
           TransactionStatus::Idle);
    return;
  }
  if (State.m_InTransaction) {
    const auto Open = m_Transactions.find(State.m_Request.m_Caller);
    abandonTransaction(Open->second);
    m_Transactions.erase(Open);
    finish(State, ResultCode::NotRunRolledBack, TransactionStatus::Idle);
    return;
  }
  finish(State, notRunReason(State), TransactionStatus::Idle);
}

void SessionCore::checkSilence(Request &State) {
  if (State.m_IsSilenceHandled)
    return;
  State.m_IsSilenceHandled = true;
  const auto Last = m_LastReply.find(State.m_Server);
  const bool IsAlive =
      Last != m_LastReply.end() && Last->second > State.m_SentAt;
  if (!IsAlive) {
    // The server has sent nothing since this statement was sent. A new
    // connection shows whether only this connection or the whole server is
    // unresponsive; control checks the server meanwhile.
    emit(ReportServer{State.m_Server, SuspicionKind::SlowAnswer});
    PoolActions Actions;
    m_Pool.suspect(m_Now, State.m_Server, Actions);
    apply(Actions);
  }
  // Suspecting the server may already have ended the statement.
  const bool IsSent = State.m_Connection.has_value();
  const bool CanRepeat =
      !State.m_InTransaction &&
      (State.m_IsSettingUp || !State.m_Request.m_Statement.m_Writes);
  if (!IsSent || !CanRepeat || !tryConsumeRetry(State))
    return;
  rerunOnOtherServer(State);
}

void SessionCore::rerunOnOtherServer(Request &State) {
  const bool WasSent = !State.m_IsSettingUp;
  dropStatement(State);
  State.m_Avoid.push_back(State.m_Server);
  if (WasSent)
    handleLostStatement(State, true);
  else
    handleUnsentStatement(State);
}

void SessionCore::retryReadsAt(const ServerId &Server) {
  std::vector<RequestId> Reads;
  for (const auto &[Id, State] : m_Requests) {
    if (State.m_Connection && State.m_Server == Server &&
        !State.m_InTransaction && !State.m_Request.m_Statement.m_Writes &&
        m_Now - State.m_SentAt >= m_Settings.m_BusyPauseMax)
      Reads.push_back(Id);
  }
  for (const RequestId Id : Reads) {
    const auto Found = m_Requests.find(Id);
    if (Found == m_Requests.end() || !Found->second.m_Connection)
      continue;
    Request &State = Found->second;
    if (!m_UsesWorkspaces || tryConsumeRetry(State))
      rerunOnOtherServer(State);
  }
}

ResultCode SessionCore::notRunReason(const Request &State) const {
  // With a lease the primary could have served a read that replicas refused as
  // too old.
  if (State.m_LastReason == ResultCode::NotRunTooOld && isPrimaryUsable())
    return ResultCode::NotRunNoConnection;
  if (State.m_LastReason != ResultCode::NotRunDeadline &&
      State.m_LastReason != ResultCode::OutcomeUnknown)
    return State.m_LastReason;
  if (State.needsPrimary()) {
    if (!m_View.m_Primary)
      return ResultCode::NotRunNoPrimary;
    return isPrimaryUsable() ? ResultCode::NotRunDeadline
                             : ResultCode::NotRunNoLease;
  }
  // With a lease the primary could have served the read at any age.
  if (readFloor(State) || isPrimaryUsable())
    return ResultCode::NotRunNoConnection;
  return m_Now < leaseExpiry() ? ResultCode::NotRunTooOld
                               : ResultCode::NotRunNoLease;
}

} // namespace ragwortmux
