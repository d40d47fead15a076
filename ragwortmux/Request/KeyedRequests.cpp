#include "ragwortmux/Request/KeyedRequests.h"

#include "ragwortmux/Connection/StableHash.h"
#include "ragwortmux/Connection/WorkspaceScope.h"
#include "ragwortmux/Request/GroupContext.h"

#include <cassert>
#include <string>
#include <utility>

namespace ragwortmux {

void KeyedRequests::reserve(RequestState &State,
                            const std::optional<AttemptId> &Aborted) {
  // An id must never be used for two attempts, not even by a later run of this
  // process or by another host; the prefix ensures this.
  State.m_Attempt =
      AttemptId(attemptPrefix() + std::to_string(++m_Context.m_LastAttempt));
  State.m_Reserved = false;
  State.m_OfEndedSession = false;
  State.m_Phase = RequestPhase::ReservingKey;
  sendReservation(State, Aborted);
}

void KeyedRequests::reserved(RequestState &State, const ReserveResult &Result) {
  if (State.m_Phase != RequestPhase::ReservingKey || !State.m_AwaitsReply)
    return;
  State.m_AwaitsReply = false;
  if (State.m_Answered) {
    // The caller was already answered, so the reservation must be released.
    if (Result.m_Status == ReserveStatus::Reserved ||
        Result.m_Status == ReserveStatus::Unavailable)
      releaseKey(State, ResultCode::NotRunDeadline);
    else
      m_Context.erase(State);
    return;
  }
  switch (Result.m_Status) {
  case ReserveStatus::Reserved:
    State.m_Reserved = true;
    State.m_RetryAt.reset();
    State.m_LastReason = ResultCode::NotRunDeadline;
    m_Context.enqueue(State);
    return;
  case ReserveStatus::Recorded:
    useRecordedOutcome(State, Result);
    return;
  case ReserveStatus::InUse:
    if (isOrphaned(Result.m_Attempt)) {
      State.m_Attempt = Result.m_Attempt;
      endAttempt(State);
      return;
    }
    pause(State, ResultCode::NotRunKeyInUse);
    return;
  case ReserveStatus::Unavailable:
    pause(State, ResultCode::NotRunLedgerUnavailable);
    return;
  case ReserveStatus::HeldByEndedSession:
    State.m_Attempt = Result.m_Attempt;
    State.m_OfEndedSession = true;
    endAttempt(State);
    return;
  case ReserveStatus::Refused:
    handleRefusal(State, Result.m_Code);
    return;
  }
}

void KeyedRequests::handleRefusal(RequestState &State, ResultCode Code) {
  switch (Code) {
  case ResultCode::NotRunKeyExpired:
  case ResultCode::NotRunBadRequest:
    // A key that is too old or malformed is refused permanently.
    m_Context.finish(State, Code);
    return;
  case ResultCode::NotRunNoPrimary:
  case ResultCode::NotRunTermRefused:
    // The primary is being replaced: wait for the next one, as without a key.
    pause(State, Code);
    return;
  default:
    m_Context.refuse(State, Code);
    return;
  }
}

void KeyedRequests::abandonReservation(RequestState &State) {
  // The reservation may still succeed; reserved() then releases it.
  if (State.m_AwaitsReply)
    return;
  if (State.m_LastReason == ResultCode::NotRunLedgerUnavailable)
    releaseKey(State, State.m_LastReason);
  else
    m_Context.erase(State);
}

void KeyedRequests::endAttempt(RequestState &State) {
  m_Context.m_Replicating.erase(State.m_Request.m_Id);
  State.m_Phase = RequestPhase::EndingAttempt;
  State.m_RetryAt.reset();
  // The answer of a statement inside a transaction does not show how the
  // transaction ended.
  if (State.m_Answer && State.m_Answer->m_Status != TransactionStatus::Idle)
    State.m_Answer.reset();
  const GroupView &View = m_Context.m_View;
  // Only the primary of the term under the lease can determine the outcome;
  // another server's history may lack the commit or lose it.
  if (State.m_AwaitsReply || !View.m_Primary ||
      !m_Context.leaseCovers(View.m_Term))
    return;
  State.m_AwaitsReply = true;
  State.m_EndAttemptTerm = View.m_Term;
  m_Context.emit(EndAttempt{State.m_Request.m_Id, *View.m_Primary, View.m_Term,
                            State.m_Attempt});
}

void KeyedRequests::attemptEnded(RequestState &State, AttemptOutcome Outcome,
                                 const std::optional<LogPoint> &Point) {
  if (State.m_Phase != RequestPhase::EndingAttempt || !State.m_AwaitsReply)
    return;
  State.m_AwaitsReply = false;
  if (State.m_EndAttemptTerm != m_Context.m_View.m_Term) {
    endAttempt(State);
    return;
  }
  const bool Committed = Outcome == AttemptOutcome::Committed;
  if (Outcome == AttemptOutcome::Failed ||
      !m_Context.leaseCovers(State.m_EndAttemptTerm) ||
      (Committed && (!Point || Point->m_Term != State.m_EndAttemptTerm))) {
    State.m_RetryAt = m_Context.m_Now + m_Context.m_Settings.m_EndAttemptRetry;
    return;
  }
  if (!Committed) {
    handleAbort(State);
    return;
  }
  // The primary has the commit; replication to the other servers is still
  // outstanding.
  State.m_Term = State.m_EndAttemptTerm;
  State.m_Commit = Point;
  if (!State.m_Answer)
    State.m_Code = ResultCode::RanAnswerLost;
  m_Context.m_Writes.advance(State);
}

void KeyedRequests::releaseKey(RequestState &State, ResultCode Code) {
  assert(isNotRun(Code) && State.m_Answered && !State.m_Connection);
  m_Context.m_Queue.remove(*State.m_Request.m_Entry, State.m_Request.m_Id);
  State.m_Code = Code;
  State.m_Answer.reset();
  State.m_Commit.reset();
  m_Context.m_Writes.record(State);
}

void KeyedRequests::resolveTransaction(const TransactionState &Transaction) {
  const RequestId Request = Transaction.m_FirstRequest.m_Id;
  assert(!m_Context.m_Requests.contains(Request));
  RequestState &State = m_Context.m_Requests[Request];
  State.m_Request = Transaction.m_FirstRequest;
  State.m_Attempt = Transaction.m_Attempt;
  State.m_Reserved = true;
  State.m_InTransaction = true;
  State.m_Answered = true;
  m_Context.m_Touched.insert(Request);
  endAttempt(State);
}

void KeyedRequests::handleTimer(RequestState &State) {
  State.m_RetryAt.reset();
  if (State.m_AwaitsReply)
    return;
  if (State.m_Phase == RequestPhase::ReservingKey)
    sendReservation(State, std::nullopt);
  else if (State.m_Phase == RequestPhase::EndingAttempt)
    endAttempt(State);
}

void KeyedRequests::sendReservation(RequestState &State,
                                    const std::optional<AttemptId> &Aborted) {
  State.m_AwaitsReply = true;
  ReserveRequestKey Reserve;
  Reserve.m_Request = State.m_Request.m_Id;
  Reserve.m_Key = *State.m_Request.m_Key;
  Reserve.m_Owner = scopeToWorkspace(State.m_Request.m_Workspace,
                                     State.m_Request.m_Entry->m_Owner);
  Reserve.m_Attempt = State.m_Attempt;
  Reserve.m_Term = m_Context.m_View.m_Term;
  Reserve.m_Aborted = Aborted;
  m_Context.emit(std::move(Reserve));
}

void KeyedRequests::pause(RequestState &State, ResultCode Reason) {
  State.m_LastReason = Reason;
  State.m_RetryAt = m_Context.m_Now + m_Context.m_Settings.m_BackoffMax;
}

bool KeyedRequests::isOrphaned(const AttemptId &Attempt) const {
  // An attempt of this process whose outcome could not be recorded and that no
  // request or transaction uses any more.
  if (!Attempt.value().starts_with(attemptPrefix()))
    return false;
  for (const auto &[Request, State] : m_Context.m_Requests) {
    if (State.m_Attempt == Attempt)
      return false;
  }
  for (const auto &[Caller, Open] : m_Context.m_Transactions) {
    if (Open.m_Attempt == Attempt)
      return false;
  }
  return true;
}

std::string KeyedRequests::attemptPrefix() const {
  return m_Context.m_Settings.m_AttemptPrefix + "/" +
         std::to_string(stableHash(m_Context.m_Group.value(), "")) + "/";
}

void KeyedRequests::useRecordedOutcome(RequestState &State,
                                       const ReserveResult &Result) {
  State.m_Code = Result.m_Code;
  State.m_Commit = Result.m_Point;
  State.m_OutcomeRecorded = true;
  State.m_WasRecorded = true;
  BackendAnswer Earlier;
  Earlier.m_Body = Result.m_Body;
  State.m_Answer = std::move(Earlier);
  if (State.m_Code == ResultCode::Ok && !Result.m_Body)
    State.m_Code = ResultCode::RanEarlier;
  m_Context.m_Writes.advance(State);
}

void KeyedRequests::handleAbort(RequestState &State) {
  State.m_Answer.reset();
  State.m_Commit.reset();
  State.m_PointStored = false;
  State.m_OutcomeRecorded = false;
  if (State.m_OfEndedSession) {
    const AttemptId Ended = State.m_Attempt;
    reserve(State, Ended);
    return;
  }
  // A statement inside a transaction cannot be retried: the earlier statements
  // were rolled back with it.
  const bool RunsAgain = !State.m_Answered && !State.m_InTransaction &&
                         m_Context.m_Now < State.m_Deadline &&
                         m_Context.m_Retries.tryConsumeRetry();
  if (!RunsAgain) {
    m_Context.answer(State, ResultCode::NotRunRolledBack,
                     resultCodeInfo(ResultCode::NotRunRolledBack).m_Meaning);
    releaseKey(State, ResultCode::NotRunRolledBack);
    return;
  }
  ++m_Context.m_Counts.m_Retries;
  State.m_Code = ResultCode::NotRunRolledBack;
  m_Context.m_Writes.sendRecord(State);
  reserve(State, std::nullopt);
}

} // namespace ragwortmux
