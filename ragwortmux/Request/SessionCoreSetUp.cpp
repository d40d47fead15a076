#include "ragwortmux/Request/SessionCore.h"

#include <utility>

/// \file
/// Set-up of SessionCore: gives a connection the session state of a caller
/// before the caller's statement is sent on it.
///
/// A statement is sent only once the server has confirmed the values that it
/// needs. A step that failed, or whose answer is missing, may have taken effect
/// or not, so its connection is closed and the statement, which has not run, is
/// placed anew. Only the preparation of a statement is sent together with its
/// execution: under a name that is new, so that nothing runs without it.

namespace ragwortmux {

void SessionCore::setUpOrSend(Request &State) {
  const SessionRequest &Submitted = State.m_Request;
  const ConnectionId Connection = *State.m_Connection;
  // The session state has no effect on a rollback.
  if (Submitted.m_Statement.m_Kind == StatementKind::Rollback) {
    sendStatement(State);
    return;
  }
  SessionPlan Plan =
      m_Sessions[Connection].plan(*Submitted.m_State, State.prepared());
  State.m_Prepare = std::move(Plan.m_Prepare);
  State.m_PreparedName = std::move(Plan.m_PreparedName);
  if (Plan.m_Steps.empty()) {
    sendStatement(State);
    return;
  }
  State.m_IsSettingUp = true;
  emit(SetUpSession{Connection, std::move(Plan.m_Steps)});
}

void SessionCore::sendStatement(Request &State) {
  State.m_IsSettingUp = false;
  State.m_SentAt = m_Now;
  RunStatement Run;
  Run.m_Connection = *State.m_Connection;
  Run.m_Prepare = std::exchange(State.m_Prepare, std::nullopt);
  Run.m_PreparedName = State.m_PreparedName;
  Run.m_Statement = State.m_Request.m_Statement;
  if (State.m_Floor)
    Run.m_Floor = State.m_Floor->m_Point;
  m_Running[*State.m_Connection] = State.m_Request.m_Id;
  emit(std::move(Run));
  recordDecision(State, SessionDecision::Sent, ResultCode::Ok);
}

void SessionCore::handleSetUpReply(Request &State,
                                   const StatementReply &Reply) {
  const TransactionStatus Expected = State.m_InTransaction
                                         ? TransactionStatus::InTransaction
                                         : TransactionStatus::Idle;
  const bool IsSetUp =
      Reply.m_Outcome == StatementOutcome::Done && Reply.m_Status == Expected;
  if (IsSetUp && maySendAfterSetUp(State)) {
    sendStatement(State);
    return;
  }
  // A transaction that cannot go on is rolled back by closing its connection.
  if (IsSetUp && !State.m_InTransaction)
    releaseUnused(State);
  else
    dropStatement(State);
  handleUnsentStatement(State);
}

bool SessionCore::maySendAfterSetUp(const Request &State) const {
  if (State.m_IsCallerDisconnected || m_Now >= State.m_Deadline)
    return false;
  if (State.m_InTransaction)
    return !State.m_CommitsWrites || canSendCommit(State.m_Term);
  if (State.needsPrimary())
    return isPrimaryUsable() && m_View.m_Primary == State.m_Server &&
           m_View.m_Term == State.m_Term;
  // The primary serves reads without a floor, and only under a lease.
  if (!State.m_Floor)
    return isPrimaryUsable() && m_View.m_Primary == State.m_Server;
  const ServerView *Known = server(State.m_Server);
  return Known != nullptr && acceptsReads(*Known);
}

bool SessionCore::canSendCommit(Term TransactionTerm) const {
  return m_AcknowledgedTerm == TransactionTerm &&
         m_Now + m_Settings.m_LeaseMargin < leaseExpiry();
}

void SessionCore::releaseUnused(Request &State) {
  const ConnectionId Connection = *State.m_Connection;
  m_Running.erase(Connection);
  releaseSlot(State);
  m_CrossDomain.statementEnded(State.m_Server);
  State.m_Connection.reset();
  State.m_IsSettingUp = false;
  m_Estimate.dropped(Connection);
  PoolActions Actions;
  m_Pool.release(m_Now, Connection, Actions);
  apply(Actions);
}

void SessionCore::handleUnsentStatement(Request &State) {
  if (State.m_InTransaction) {
    // Closing its connection has rolled the transaction back.
    m_Transactions.erase(State.m_Request.m_Caller);
    finish(State, ResultCode::NotRunRolledBack, TransactionStatus::Idle);
    return;
  }
  if (State.m_IsCallerDisconnected) {
    erase(State);
    return;
  }
  State.m_LastReason = ResultCode::NotRunNoConnection;
  if (m_Now >= State.m_Deadline ||
      (State.m_Tries >= m_Settings.m_MaxTries && !State.needsPrimary())) {
    finish(State, notRunReason(State), TransactionStatus::Idle);
    return;
  }
  State.m_NotBefore = m_Now + nextBusyPause(State);
  recordDecision(State, SessionDecision::Retried, State.m_LastReason);
  enqueue(State);
}

} // namespace ragwortmux
