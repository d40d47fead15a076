#include "ragwortmux/Request/Transactions.h"

#include "ragwortmux/Request/GroupContext.h"

#include <algorithm>
#include <cassert>
#include <vector>

namespace ragwortmux {

void Transactions::submit(RequestState &State) {
  TransactionState &Open =
      m_Context.m_Transactions.at(State.m_Request.m_Caller);
  assert(!Open.m_Running);
  const bool KeyChanged = State.m_Request.m_Key && isKeyed(State) &&
                          State.m_Request.m_Key != Open.m_FirstRequest.m_Key;
  if (KeyChanged) {
    // The key identifies the whole transaction, so it must be set from its
    // start.
    m_Context.refuse(State, ResultCode::NotRunBadRequest);
    return;
  }
  State.m_InTransaction = true;
  State.m_Request.m_Entry = Open.m_FirstRequest.m_Entry;
  State.m_Request.m_Key = Open.m_FirstRequest.m_Key;
  State.m_Attempt = Open.m_Attempt;
  State.m_Reserved = true;
  State.m_Term = Open.m_Term;
  State.m_Server = Open.m_Server;
  Open.m_Running = State.m_Request.m_Id;
  trySend(State);
}

void Transactions::trySend(RequestState &State) {
  const auto Found = m_Context.m_Transactions.find(State.m_Request.m_Caller);
  assert(Found != m_Context.m_Transactions.end());
  const TransactionState &Open = Found->second;
  if (isWrite(State.m_Request.m_Entry->m_Class)) {
    if (Open.m_Term != m_Context.m_View.m_Term) {
      m_Context.m_Writes.abandonTransaction(State,
                                            ResultCode::NotRunRolledBack);
      return;
    }
    if (m_Context.m_Now + m_Context.m_Settings.m_LeaseMargin >=
        m_Context.m_LeaseExpiry) {
      m_Context.enqueueAfterPause(State, ResultCode::NotRunNoLease);
      return;
    }
  }
  m_Context.send(State, Open.m_Connection);
}

void Transactions::completeStatement(RequestState &State,
                                     TransactionStatus Status) {
  const ConnectionId Connection = *State.m_Connection;
  m_Context.endStatement(State);
  const auto Found = m_Context.m_Transactions.find(State.m_Request.m_Caller);
  const bool WasOpen = State.m_InTransaction;
  assert(!WasOpen || Found != m_Context.m_Transactions.end());
  if (Status == TransactionStatus::Idle) {
    if (WasOpen)
      m_Context.m_Transactions.erase(Found);
    m_Context.releaseConnection(Connection);
    return;
  }
  if (WasOpen) {
    Found->second.m_Status = Status;
    return;
  }
  if (State.m_Answered) {
    // No caller is left to end the transaction.
    m_Context.dropConnection(Connection);
    return;
  }
  begin(State, Connection, Status);
}

void Transactions::abort(CallerConnectionId Caller,
                         std::optional<ResultCode> Code) {
  const auto Found = m_Context.m_Transactions.find(Caller);
  if (Found == m_Context.m_Transactions.end())
    return;
  const TransactionState Open = std::move(Found->second);
  m_Context.m_Transactions.erase(Found);
  RequestState *Running =
      Open.m_Running ? m_Context.find(*Open.m_Running) : nullptr;
  if (Running && Running->m_Connection) {
    m_Context.endStatement(*Running);
    m_Context.emit(CancelStatement{Open.m_Connection});
  }
  m_Context.dropConnection(Open.m_Connection);
  if (Running) {
    // The statement must be answered before its caller's connection is closed.
    Running->m_ClosesCaller = Code.has_value();
    return;
  }
  if (Code)
    m_Context.emit(CloseCaller{Caller, *Code});
  if (Open.m_FirstRequest.m_Key &&
      isWrite(Open.m_FirstRequest.m_Entry->m_Class))
    m_Context.m_Keyed.resolveTransaction(Open);
}

void Transactions::connectionLost(ConnectionId Connection) {
  for (const auto &[Caller, Open] : m_Context.m_Transactions) {
    if (Open.m_Connection != Connection)
      continue;
    abort(Caller, ResultCode::NotRunRolledBack);
    return;
  }
}

void Transactions::abortPreviousTerms() {
  std::vector<CallerConnectionId> Old;
  for (const auto &[Caller, Open] : m_Context.m_Transactions) {
    if (Open.m_Term != m_Context.m_View.m_Term && !Open.m_Running &&
        isWrite(Open.m_FirstRequest.m_Entry->m_Class))
      Old.push_back(Caller);
  }
  for (const CallerConnectionId Caller : Old)
    abort(Caller, ResultCode::NotRunRolledBack);
}

void Transactions::tick() {
  std::vector<CallerConnectionId> Idle;
  for (const auto &[Caller, Open] : m_Context.m_Transactions) {
    if (!Open.m_Running &&
        m_Context.m_Now >=
            Open.m_IdleSince + m_Context.m_Settings.m_TransactionIdle)
      Idle.push_back(Caller);
  }
  for (const CallerConnectionId Caller : Idle)
    abort(Caller, ResultCode::NotRunRolledBack);
}

std::optional<Instant> Transactions::nextDeadline() const {
  std::optional<Instant> Next;
  for (const auto &[Caller, Open] : m_Context.m_Transactions) {
    if (Open.m_Running)
      continue;
    const Instant At =
        Open.m_IdleSince + m_Context.m_Settings.m_TransactionIdle;
    Next = Next ? std::min(*Next, At) : At;
  }
  return Next;
}

void Transactions::begin(RequestState &State, ConnectionId Connection,
                         TransactionStatus Status) {
  State.m_InTransaction = true;
  TransactionState Open;
  Open.m_Connection = Connection;
  Open.m_Server = State.m_Server;
  Open.m_Term = State.m_Term;
  Open.m_Status = Status;
  Open.m_IdleSince = m_Context.m_Now;
  Open.m_Running = State.m_Request.m_Id;
  Open.m_FirstRequest = State.m_Request;
  Open.m_Attempt = State.m_Attempt;
  m_Context.m_Transactions[State.m_Request.m_Caller] = std::move(Open);
}

} // namespace ragwortmux
