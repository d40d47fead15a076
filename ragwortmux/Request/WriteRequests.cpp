#include "ragwortmux/Request/WriteRequests.h"

#include "ragwortmux/Connection/WorkspaceScope.h"
#include "ragwortmux/Request/GroupContext.h"

#include <algorithm>
#include <cassert>
#include <utility>
#include <vector>

namespace ragwortmux {

namespace {

/// Limit of retries to record an outcome in the ledger.
constexpr std::uint32_t MaxRecordRetries = 10;
constexpr std::uint32_t MaxPauseDoublings = 4;

/// True if the request's transaction has ended, or its attempt was ended and
/// found committed.
bool isTransactionEnded(const RequestState &State) {
  return !State.m_Answer || State.m_Answer->m_Status == TransactionStatus::Idle;
}

} // namespace

void WriteRequests::start(RequestState &State) {
  if (!isKeyed(State)) {
    m_Context.enqueue(State);
    return;
  }
  State.m_CountsWaiting = true;
  ++m_Context.m_Waiting[State.m_Request.m_Entry->m_Name];
  m_Context.m_Keyed.reserve(State, std::nullopt);
}

void WriteRequests::handleAnswer(RequestState &State, BackendAnswer Result) {
  if (retryIfRefused(State, Result))
    return;
  m_Context.m_OpenTransactions.completeStatement(State, Result.m_Status);
  if (State.m_Answered && !isKeyed(State)) {
    m_Context.erase(State);
    return;
  }
  State.m_Answer = std::move(Result);
  const BackendAnswer &Received = *State.m_Answer;
  State.m_Code =
      Received.m_Truncated ? ResultCode::RanAnswerTooLarge : ResultCode::Ok;
  if (!Received.m_Ok) {
    // A database error: the statement was rolled back, so there is no commit to
    // wait for.
    advance(State);
    return;
  }
  if (State.m_Term != m_Context.m_View.m_Term) {
    handleTermEnd(State);
    return;
  }
  if (!Received.m_Point && Received.m_Status != TransactionStatus::Idle) {
    // First statement of a transaction on a connection that has not reported a
    // position yet, so nothing has been committed on it.
    advance(State);
    return;
  }
  if (!Received.m_Point || Received.m_Point->m_Term != State.m_Term) {
    // The position of the commit is unknown, so its replication cannot be
    // checked.
    handleLostAnswer(State);
    return;
  }
  State.m_Commit = Received.m_Point;
  advance(State);
}

void WriteRequests::handleLostAnswer(RequestState &State) {
  if (State.m_InTransaction)
    m_Context.m_OpenTransactions.abort(State.m_Request.m_Caller,
                                       ResultCode::OutcomeUnknown);
  if (isKeyed(State)) {
    m_Context.m_Keyed.endAttempt(State);
    return;
  }
  m_Context.finish(State, State.m_Term == m_Context.m_View.m_Term
                              ? ResultCode::OutcomeUnknown
                              : ResultCode::OutcomeUnknownTermEnded);
}

void WriteRequests::handleTermEnd(RequestState &State) {
  if (State.m_InTransaction)
    m_Context.m_OpenTransactions.abort(State.m_Request.m_Caller,
                                       ResultCode::OutcomeUnknownTermEnded);
  if (isKeyed(State)) {
    m_Context.m_Keyed.endAttempt(State);
    return;
  }
  m_Context.finish(State, ResultCode::OutcomeUnknownTermEnded);
}

void WriteRequests::advance(RequestState &State) {
  const RequestId Request = State.m_Request.m_Id;
  if (!canBeAcknowledged(State)) {
    State.m_Phase = RequestPhase::Replicating;
    m_Context.m_Replicating.insert(Request);
    return;
  }
  m_Context.m_Replicating.erase(Request);
  const bool Ends = isTransactionEnded(State);
  if (Ends && State.m_Commit && !State.m_PointStored && !State.m_Answered &&
      !State.m_Request.m_Session.value().empty()) {
    storePoint(State);
    return;
  }
  if (Ends && isKeyed(State) && !State.m_OutcomeRecorded) {
    record(State);
    return;
  }
  acknowledge(State);
}

void WriteRequests::abandonTransaction(RequestState &State, ResultCode Code) {
  m_Context.m_OpenTransactions.abort(State.m_Request.m_Caller, Code);
  m_Context.answer(State, Code, resultCodeInfo(Code).m_Meaning);
  if (isKeyed(State))
    m_Context.m_Keyed.endAttempt(State);
  else
    m_Context.erase(State);
}

void WriteRequests::checkReplicating() {
  const std::vector<RequestId> Waiting(m_Context.m_Replicating.begin(),
                                       m_Context.m_Replicating.end());
  for (const RequestId Request : Waiting) {
    RequestState *State = m_Context.find(Request);
    if (State && canBeAcknowledged(*State))
      advance(*State);
  }
}

void WriteRequests::pointStored(RequestState &State, bool Stored) {
  if (State.m_Phase != RequestPhase::StoringPoint)
    return;
  if (!Stored) {
    // The session homes may still hold an older point, so the write cannot be
    // acknowledged without them.
    State.m_RetryAt = m_Context.m_Now + m_Context.m_Settings.m_EndAttemptRetry;
    return;
  }
  State.m_PointStored = true;
  State.m_RetryAt.reset();
  advance(State);
}

void WriteRequests::outcomeRecorded(RequestState &State, bool Recorded) {
  if (State.m_Phase != RequestPhase::Recording)
    return;
  if (Recorded && State.m_Answered) {
    m_Context.erase(State);
    return;
  }
  if (Recorded) {
    State.m_OutcomeRecorded = true;
    State.m_RetryAt.reset();
    advance(State);
    return;
  }
  acknowledgeUnrecorded(State);
}

void WriteRequests::acknowledgeUnrecorded(RequestState &State) {
  if (!State.m_Answered) {
    if (!canBeAcknowledged(State)) {
      advance(State);
      return;
    }
    sendAcknowledgement(State);
  }
  // The first caller is answered; keep recording so that a resend gets the same
  // answer.
  scheduleRecordRetry(State);
}

void WriteRequests::callerDisconnected(RequestState &State) {
  const bool Keyed = isKeyed(State);
  switch (State.m_Phase) {
  case RequestPhase::ReservingKey:
    m_Context.m_Keyed.abandonReservation(State);
    return;
  case RequestPhase::Queued:
    if (Keyed && State.m_InTransaction) {
      m_Context.m_Keyed.endAttempt(State);
      return;
    }
    if (Keyed) {
      m_Context.m_Keyed.releaseKey(State, ResultCode::NotRunDeadline);
      return;
    }
    break;
  case RequestPhase::Sent:
    // Let the statement complete so that its connection can be reused.
    if (State.m_Connection)
      return;
    if (Keyed) {
      m_Context.m_Keyed.endAttempt(State);
      return;
    }
    break;
  case RequestPhase::FindingPoint:
  case RequestPhase::EndingAttempt:
  case RequestPhase::Replicating:
  case RequestPhase::StoringPoint:
  case RequestPhase::Recording:
    break;
  }
  const bool IsSettling = State.m_Phase == RequestPhase::EndingAttempt ||
                          State.m_Phase == RequestPhase::Replicating ||
                          State.m_Phase == RequestPhase::Recording;
  if (Keyed && IsSettling && !State.m_OfEndedSession)
    return;
  if (Keyed && State.m_Phase == RequestPhase::StoringPoint)
    advance(State);
  else
    m_Context.erase(State);
}

void WriteRequests::handleDeadline(RequestState &State) {
  switch (State.m_Phase) {
  case RequestPhase::ReservingKey:
  case RequestPhase::FindingPoint:
  case RequestPhase::Queued:
    handleDeadlineBeforeSend(State);
    return;
  case RequestPhase::Sent:
    m_Context.abandonStatement(State, true);
    break;
  case RequestPhase::Recording:
    handleDeadlineWhileRecording(State);
    return;
  case RequestPhase::EndingAttempt:
  case RequestPhase::Replicating:
  case RequestPhase::StoringPoint:
    break;
  }
  if (State.m_InTransaction)
    m_Context.m_OpenTransactions.abort(State.m_Request.m_Caller,
                                       ResultCode::OutcomeUnknown);
  m_Context.answer(State, ResultCode::OutcomeUnknown,
                   resultCodeInfo(ResultCode::OutcomeUnknown).m_Meaning);
  // Resolve a key even if no caller waits any more, so that a resend gets the
  // outcome. The attempt of an ended session is left to the resend.
  if (!isKeyed(State) || State.m_OfEndedSession)
    m_Context.erase(State);
  else if (State.m_Phase == RequestPhase::Sent)
    m_Context.m_Keyed.endAttempt(State);
  else if (State.m_Phase == RequestPhase::StoringPoint)
    advance(State);
}

void WriteRequests::handleTimer(RequestState &State) {
  switch (State.m_Phase) {
  case RequestPhase::ReservingKey:
  case RequestPhase::EndingAttempt:
    m_Context.m_Keyed.handleTimer(State);
    return;
  case RequestPhase::StoringPoint:
    storePoint(State);
    return;
  case RequestPhase::Recording:
    if (State.m_Answered)
      record(State);
    else
      acknowledgeUnrecorded(State);
    return;
  case RequestPhase::Sent:
    // Ending the attempt now leaves time to report its outcome to the caller.
    if (isKeyed(State) && !State.m_InTransaction) {
      m_Context.abandonStatement(State, true);
      m_Context.m_Keyed.endAttempt(State);
    }
    return;
  case RequestPhase::FindingPoint:
  case RequestPhase::Queued:
  case RequestPhase::Replicating:
    return;
  }
}

bool WriteRequests::retryIfRefused(RequestState &State,
                                   const BackendAnswer &Result) {
  if (Result.m_Ok)
    return false;
  const TransactionStatus PreviousStatus =
      State.m_InTransaction ? TransactionStatus::InTransaction
                            : TransactionStatus::Idle;
  if (Result.m_SqlState == TermRefusedState &&
      (State.m_InTransaction || Result.m_Status == PreviousStatus)) {
    m_Context.reportTermRefused(State.m_Server);
    if (State.m_InTransaction) {
      abandonTransaction(State, ResultCode::NotRunTermRefused);
      return true;
    }
    // A server that is not promoted yet accepts the same connection later.
    m_Context.m_OpenTransactions.completeStatement(State, Result.m_Status);
    retryRefused(State, ResultCode::NotRunTermRefused);
    return true;
  }
  if (Result.m_SqlState != ServerFullState || Result.m_Status != PreviousStatus)
    return false;
  ++m_Context.m_Counts.m_ServerFull;
  m_Context.m_OpenTransactions.completeStatement(State, Result.m_Status);
  retryRefused(State, ResultCode::NotRunDeadline);
  return true;
}

void WriteRequests::retryRefused(RequestState &State, ResultCode Reason) {
  if (!State.m_Answered) {
    m_Context.enqueueAfterPause(State, Reason);
    return;
  }
  if (isKeyed(State))
    m_Context.m_Keyed.releaseKey(State, Reason);
  else
    m_Context.erase(State);
}

bool WriteRequests::canBeAcknowledged(const RequestState &State) const {
  if (!State.m_Commit || State.m_WasRecorded)
    return true;
  return m_Context.leaseCovers(State.m_Term) &&
         m_Context.m_Gate.isReplicated(m_Context.m_View, *State.m_Commit);
}

void WriteRequests::storePoint(RequestState &State) {
  State.m_Phase = RequestPhase::StoringPoint;
  State.m_RetryAt.reset();
  StoreSessionPoint Store;
  Store.m_Request = State.m_Request.m_Id;
  Store.m_Session = State.m_Request.m_Session;
  Store.m_Point = *State.m_Commit;
  m_Context.emit(std::move(Store));
}

void WriteRequests::record(RequestState &State) {
  if (State.m_Phase != RequestPhase::Recording)
    State.m_Pauses = 0;
  if (State.m_Pauses > MaxRecordRetries) {
    m_Context.erase(State);
    return;
  }
  sendRecord(State);
  State.m_Phase = RequestPhase::Recording;
  scheduleRecordRetry(State);
}

void WriteRequests::sendRecord(const RequestState &State) {
  RecordKeyOutcome Record;
  Record.m_Request = State.m_Request.m_Id;
  Record.m_Key = *State.m_Request.m_Key;
  Record.m_Owner = scopeToWorkspace(State.m_Request.m_Workspace,
                                    State.m_Request.m_Entry->m_Owner);
  Record.m_Attempt = State.m_Attempt;
  Record.m_Code = State.m_Code;
  if (State.m_Answer && !State.m_Answer->m_Truncated)
    Record.m_Body = State.m_Answer->m_Body;
  Record.m_Point = State.m_Commit;
  Record.m_OfEndedSession = State.m_OfEndedSession;
  Record.m_Term = State.m_Term;
  m_Context.emit(std::move(Record));
}

void WriteRequests::scheduleRecordRetry(RequestState &State) {
  const std::uint32_t Doublings = std::min(State.m_Pauses, MaxPauseDoublings);
  State.m_RetryAt =
      m_Context.m_Now + m_Context.m_Settings.m_RecordWait * (1U << Doublings);
  ++State.m_Pauses;
}

void WriteRequests::acknowledge(RequestState &State) {
  if (!State.m_Answered)
    sendAcknowledgement(State);
  m_Context.erase(State);
}

void WriteRequests::sendAcknowledgement(RequestState &State) {
  Answer Message;
  Message.m_Request = State.m_Request.m_Id;
  Message.m_Code = State.m_Code;
  if (State.m_Code != ResultCode::Ok)
    Message.m_Reason = resultCodeInfo(State.m_Code).m_Meaning;
  if (State.m_Answer) {
    Message.m_Status = State.m_Answer->m_Status;
    if (!State.m_Answer->m_Truncated)
      Message.m_Body = State.m_Answer->m_Body;
  }
  Message.m_Token = State.m_Commit;
  if (State.m_Commit && !State.m_WasRecorded)
    Message.m_NeedsLease = State.m_Term;
  m_Context.emit(std::move(Message));
  if (State.m_ClosesCaller)
    m_Context.emit(CloseCaller{State.m_Request.m_Caller, State.m_Code});
  ++m_Context.m_Counts.m_Writes;
  m_Context.markAnswered(State);
}

void WriteRequests::handleDeadlineWhileRecording(RequestState &State) {
  if (canBeAcknowledged(State)) {
    acknowledgeUnrecorded(State);
    return;
  }
  m_Context.answer(State, ResultCode::OutcomeUnknown,
                   resultCodeInfo(ResultCode::OutcomeUnknown).m_Meaning);
}

void WriteRequests::handleDeadlineBeforeSend(RequestState &State) {
  if (State.m_InTransaction) {
    abandonTransaction(State, ResultCode::NotRunNoLease);
    return;
  }
  if (State.m_Phase == RequestPhase::ReservingKey) {
    m_Context.answerRefused(State, State.m_LastReason);
    m_Context.m_Keyed.abandonReservation(State);
    return;
  }
  ResultCode Reason = m_Context.m_Dispatcher.writeNotRunReason();
  if (Reason == ResultCode::NotRunDeadline)
    Reason = State.m_LastReason;
  m_Context.answerRefused(State, Reason);
  if (isKeyed(State))
    m_Context.m_Keyed.releaseKey(State, Reason);
  else
    m_Context.erase(State);
}

} // namespace ragwortmux
