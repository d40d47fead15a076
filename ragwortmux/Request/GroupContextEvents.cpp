#include "ragwortmux/Request/GroupContext.h"

#include <algorithm>
#include <cassert>
#include <vector>

/// \file
/// Event handlers of GroupCore that concern more than one part.

namespace ragwortmux {

void GroupContext::submit(GroupRequest Request) {
  ++m_Counts.m_Requests;
  m_Retries.addRequest();
  const RequestId Id = Request.m_Id;
  const CatalogueEntry &Entry = *Request.m_Entry;
  const bool HasUnanswered = hasUnansweredRequest(Request.m_Caller);
  RequestState &State = m_Requests[Id];
  State.m_Request = std::move(Request);
  State.m_Deadline =
      State.m_Request.m_Arrived + Entry.m_Limits.m_RequestDeadline;
  m_ByCaller.insert({State.m_Request.m_Caller, Id});
  m_Touched.insert(Id);

  if (HasUnanswered) {
    // Two concurrent statements of one caller could open two transactions.
    refuse(State, ResultCode::NotRunBadRequest);
    return;
  }
  if (m_Transactions.contains(State.m_Request.m_Caller)) {
    m_OpenTransactions.submit(State);
    return;
  }
  if (m_Draining) {
    refuse(State, ResultCode::NotRunDraining);
    return;
  }
  if (m_Now >= State.m_Deadline) {
    refuse(State, ResultCode::NotRunDeadline);
    return;
  }
  // Overload is refused at once; queueing would only delay the missed deadline.
  if (m_Waiting[Entry.m_Name] + m_Running[Entry.m_Name] >=
      Entry.m_Limits.m_MaxConcurrent + Entry.m_Limits.m_MaxQueued) {
    refuse(State, ResultCode::NotRunQueueFull);
    return;
  }
  if (isWrite(Entry.m_Class))
    m_Writes.start(State);
  else
    m_Reads.start(State);
}

bool GroupContext::hasUnansweredRequest(CallerConnectionId Caller) const {
  for (auto At = m_ByCaller.lower_bound({Caller, RequestId()});
       At != m_ByCaller.end() && At->first == Caller; ++At) {
    if (!m_Requests.at(At->second).m_Answered)
      return true;
  }
  return false;
}

void GroupContext::abandonCaller(CallerConnectionId Caller) {
  std::vector<RequestId> Requests;
  for (auto At = m_ByCaller.lower_bound({Caller, RequestId()});
       At != m_ByCaller.end() && At->first == Caller; ++At)
    Requests.push_back(At->second);
  for (const RequestId Request : Requests) {
    RequestState *State = find(Request);
    markAnswered(*State);
    // Closing the connection rolls back an open transaction.
    if (State->m_InTransaction)
      m_OpenTransactions.abort(Caller, std::nullopt);
    if (isWrite(State->m_Request.m_Entry->m_Class)) {
      m_Writes.callerDisconnected(*State);
      continue;
    }
    if (State->m_Connection)
      abandonStatement(*State, false);
    erase(*State);
  }
  m_OpenTransactions.abort(Caller, std::nullopt);
}

void GroupContext::handleConnectionLoss(ConnectionId Connection) {
  m_Tagged.erase(Connection);
  std::optional<RequestId> Running;
  const auto Use = m_Uses.find(Connection);
  const bool WasUsed = Use != m_Uses.end();
  if (WasUsed)
    Running = Use->second.m_Running;
  PoolActions Actions;
  m_Pool.closed(m_Now, Connection, Actions);
  apply(Actions);
  if (!WasUsed)
    return;
  if (!Running) {
    m_OpenTransactions.connectionLost(Connection);
    return;
  }
  RequestState *State = find(*Running);
  assert(State);
  endStatement(*State);
  if (State->m_InTransaction)
    m_OpenTransactions.abort(State->m_Request.m_Caller,
                             ResultCode::OutcomeUnknown);
  else
    dropConnection(Connection);
  if (isWrite(State->m_Request.m_Entry->m_Class))
    m_Writes.handleLostAnswer(*State);
  else
    m_Reads.handleLostAnswer(*State);
}

void GroupContext::dispatchAnswer(ConnectionId Connection,
                                  BackendAnswer Result) {
  const PooledConnection *Pooled = m_Pool.find(Connection);
  if (!Pooled)
    return;
  if (Pooled->m_State == ConnectionState::Probing) {
    PoolActions Actions;
    if (Result.m_Ok)
      m_Pool.probed(m_Now, Connection, Actions);
    else
      m_Pool.drop(m_Now, Connection, Actions);
    apply(Actions);
    return;
  }
  // An answer on an abandoned connection belongs to no request.
  if (Pooled->m_State != ConnectionState::Busy)
    return;
  const auto Use = m_Uses.find(Connection);
  assert(Use != m_Uses.end());
  if (!Use->second.m_Running) {
    m_OpenTransactions.connectionLost(Connection);
    return;
  }
  RequestState *State = find(*Use->second.m_Running);
  assert(State);
  if (Result.m_ChangesSession)
    m_Uses.at(Connection).m_HasChangedSession = true;
  if (Result.m_IsTagFailure) {
    handleTagFailure(*State, Result);
    return;
  }
  // The position in a replica's answer counts like one reported by its position
  // monitor.
  if (Result.m_Point && m_View.m_Primary != State->m_Server)
    m_Gate.setApplied(State->m_Server, *Result.m_Point, State->m_SentAt, m_Now);
  if (isWrite(State->m_Request.m_Entry->m_Class))
    m_Writes.handleAnswer(*State, std::move(Result));
  else
    m_Reads.handleAnswer(*State, Result);
}

void GroupContext::handleTagFailure(RequestState &State,
                                    const BackendAnswer &Result) {
  // The connection may have the tag of this attempt, of an earlier one or none,
  // and a tag must not apply to the transaction of another request.
  const ConnectionId Connection = *State.m_Connection;
  if (Result.m_SqlState == TermRefusedState)
    reportTermRefused(State.m_Server);
  endStatement(State);
  dropConnection(Connection);
  if (isWrite(State.m_Request.m_Entry->m_Class))
    m_Writes.retryRefused(State, ResultCode::NotRunNoConnection);
  else
    enqueueAfterPause(State, ResultCode::NotRunNoConnection);
}

void GroupContext::applyView(const GroupView &View) {
  const bool TermEnded = m_HasView && View.m_Term != m_View.m_Term;
  if (!m_HasView || View.m_Term != m_View.m_Term ||
      View.m_Primary != m_View.m_Primary) {
    m_IsPrimaryConfirmed = false;
    m_TermRefusers.clear();
  }
  const std::vector<ServerView> PreviousServers = std::move(m_View.m_Servers);
  m_View = View;
  m_HasView = true;
  updateMonitors();
  PoolActions Actions;
  for (const ServerView &Server : PreviousServers) {
    if (!server(Server.m_Server))
      m_Pool.setServer(m_Now, Server.m_Server, View.m_Term, 0, Actions);
  }
  for (const ServerView &Server : View.m_Servers) {
    // The position monitor uses one connection of the share.
    const bool Usable = acceptsRequests(Server) && Server.m_ConnectionShare > 0;
    m_Pool.setServer(m_Now, Server.m_Server, View.m_Term,
                     Usable ? Server.m_ConnectionShare - 1 : 0, Actions);
  }
  apply(Actions);
  if (TermEnded)
    endPreviousTerms();
  m_Writes.checkReplicating();
  retryEndAttempts();
}

void GroupContext::updateMonitors() {
  std::set<ServerId> Required;
  for (const ServerView &Server : m_View.m_Servers) {
    if (Server.m_ConnectionShare > 0)
      Required.insert(Server.m_Server);
  }
  for (const ServerId &Server : m_Monitored) {
    if (!Required.contains(Server))
      emit(StopPositionMonitor{Server});
  }
  for (const ServerId &Server : Required) {
    if (!m_Monitored.contains(Server))
      emit(StartPositionMonitor{Server});
  }
  m_Monitored = std::move(Required);
}

void GroupContext::endPreviousTerms() {
  for (const RequestId Request : requestIds()) {
    RequestState *State = find(Request);
    if (!State || !isWrite(State->m_Request.m_Entry->m_Class) ||
        State->m_Term == m_View.m_Term || State->m_WasRecorded)
      continue;
    switch (State->m_Phase) {
    case RequestPhase::Sent:
      // Without a key, wait for the old primary, which may still answer that it
      // refused the statement. With a key, the next primary reports the
      // outcome.
      if (!isKeyed(*State))
        break;
      abandonStatement(*State, false);
      m_Keyed.endAttempt(*State);
      break;
    case RequestPhase::Replicating:
    case RequestPhase::StoringPoint:
    case RequestPhase::Recording:
      // A commit that was already acknowledged is replicated; only its ledger
      // record is outstanding.
      if (State->m_Phase == RequestPhase::Recording && State->m_Answered)
        break;
      if (State->m_Commit)
        m_Writes.handleTermEnd(*State);
      break;
    case RequestPhase::ReservingKey:
    case RequestPhase::FindingPoint:
    case RequestPhase::Queued:
    case RequestPhase::EndingAttempt:
      break;
    }
  }
  m_OpenTransactions.abortPreviousTerms();
}

void GroupContext::retryEndAttempts() {
  std::vector<RequestId> Waiting;
  for (const auto &[Request, State] : m_Requests) {
    if (State.m_Phase == RequestPhase::EndingAttempt && !State.m_AwaitsReply &&
        !State.m_RetryAt)
      Waiting.push_back(Request);
  }
  for (const RequestId Request : Waiting)
    m_Keyed.endAttempt(*find(Request));
}

void GroupContext::handleTimers() {
  std::vector<RequestId> Due;
  for (const auto &[At, Request] : m_Timers) {
    if (At > m_Now)
      break;
    Due.push_back(Request);
  }
  for (const RequestId Request : Due) {
    RequestState *State = find(Request);
    if (!State)
      continue;
    const bool IsWriteRequest = isWrite(State->m_Request.m_Entry->m_Class);
    const bool CanExpire =
        !State->m_Answered || State->m_Phase == RequestPhase::Sent;
    if (CanExpire && m_Now >= State->m_Deadline) {
      if (IsWriteRequest)
        m_Writes.handleDeadline(*State);
      else
        m_Reads.handleDeadline(*State);
      continue;
    }
    if (State->m_InTransaction && State->m_Phase == RequestPhase::Queued)
      m_OpenTransactions.trySend(*State);
    else if (IsWriteRequest)
      m_Writes.handleTimer(*State);
    else
      m_Reads.handleMissingAnswer(*State);
  }
}

std::vector<RequestId> GroupContext::requestIds() const {
  std::vector<RequestId> Ids;
  Ids.reserve(m_Requests.size());
  for (const auto &[Request, State] : m_Requests)
    Ids.push_back(Request);
  return Ids;
}

} // namespace ragwortmux
