#include "ragwortmux/Request/ReadRequests.h"

#include "ragwortmux/Request/GroupContext.h"

#include <algorithm>

namespace ragwortmux {

void ReadRequests::start(RequestState &State) {
  const GroupRequest &Request = State.m_Request;
  State.m_Token = Request.m_Token;
  // The caller's token already identifies its last write, so no lookup is
  // needed.
  if (!State.m_Token && !Request.m_Session.value().empty()) {
    State.m_Phase = RequestPhase::FindingPoint;
    State.m_CountsWaiting = true;
    ++m_Context.m_Waiting[Request.m_Entry->m_Name];
    m_Context.emit(FindSessionPoint{Request.m_Id, Request.m_Session});
    return;
  }
  // Without token and session, the caller may have made any write before this
  // session read.
  State.m_OnlyPrimary =
      !State.m_Token && Request.m_Entry->m_Class == TrafficClass::SessionRead;
  m_Context.enqueue(State);
}

void ReadRequests::pointFound(RequestState &State,
                              const std::optional<LogPoint> &Point,
                              bool IsKnown) {
  if (State.m_Phase != RequestPhase::FindingPoint)
    return;
  // Without a lease, this proxy may have queried hosts that are no longer the
  // session's homes.
  if (IsKnown && m_Context.leaseCovers(m_Context.m_View.m_Term)) {
    State.m_Token = Point;
  } else {
    State.m_OnlyPrimary = true;
    State.m_StoresFirstPoint = !IsKnown;
  }
  m_Context.enqueue(State);
}

std::vector<ReadCandidate> ReadRequests::candidates() const {
  const GroupView &View = m_Context.m_View;
  std::vector<ReadCandidate> Candidates;
  for (const ServerView &Server : View.m_Servers) {
    if (!GroupContext::acceptsRequests(Server))
      continue;
    ReadCandidate Candidate;
    Candidate.m_Server = Server.m_Server;
    Candidate.m_IsPrimary = View.m_Primary == Server.m_Server;
    Candidate.m_IsNear = Server.m_Domain == m_Context.m_Settings.m_Domain;
    Candidate.m_Reachable = m_Context.m_Pool.isReachable(Server.m_Server);
    Candidate.m_Applied = m_Context.m_Gate.applied(Server.m_Server);
    if (Candidate.m_Applied)
      Candidate.m_Age =
          m_Context.m_Ages.age(*Candidate.m_Applied, m_Context.m_Now);
    Candidate.m_Free = m_Context.freeSlots(Server);
    Candidate.m_Running = m_Context.m_Pool.busyCount(Server.m_Server);
    Candidates.push_back(std::move(Candidate));
  }
  return Candidates;
}

ReadChoice
ReadRequests::route(const RequestState &State,
                    const std::vector<ReadCandidate> &Servers) const {
  return ReadRouter::choose(Servers, requirementsOf(State));
}

void ReadRequests::handleAnswer(RequestState &State,
                                const BackendAnswer &Result) {
  const bool WasInTransaction = State.m_InTransaction;
  if (!Result.m_Ok && Result.m_SqlState == TermRefusedState &&
      (WasInTransaction || Result.m_Status == TransactionStatus::Idle)) {
    m_Context.reportTermRefused(State.m_Server);
    if (WasInTransaction) {
      m_Context.abandonStatement(State, false);
      m_Context.finish(State, ResultCode::NotRunTermRefused);
      return;
    }
    m_Context.m_OpenTransactions.completeStatement(State, Result.m_Status);
    State.m_Avoid.push_back(State.m_Server);
    m_Context.enqueueAfterPause(State, ResultCode::NotRunTermRefused);
    return;
  }
  // A transaction that began on too old data can still be restarted on another
  // server.
  if (!WasInTransaction && Result.m_Status != TransactionStatus::Idle &&
      !isRecentEnough(State, Result)) {
    ++m_Context.m_Counts.m_NotCovered;
    m_Context.abandonStatement(State, false);
    retryOnOtherServer(State, ResultCode::NotRunNotCovered);
    return;
  }
  const bool WasNotRun =
      !Result.m_Ok && Result.m_SqlState == ServerFullState &&
      (WasInTransaction ==
       (Result.m_Status == TransactionStatus::InTransaction)) &&
      Result.m_Status != TransactionStatus::Failed;
  m_Context.m_OpenTransactions.completeStatement(State, Result.m_Status);
  if (WasNotRun) {
    ++m_Context.m_Counts.m_ServerFull;
    m_Context.enqueueAfterPause(State, ResultCode::NotRunNoConnection);
    return;
  }
  if (!isRecentEnough(State, Result)) {
    ++m_Context.m_Counts.m_NotCovered;
    const bool IsAged =
        State.m_Request.m_Entry->m_Class == TrafficClass::AgedRead;
    retryOnOtherServer(State, IsAged ? ResultCode::NotRunTooOld
                                     : ResultCode::NotRunNotCovered);
    return;
  }
  forwardAnswer(State, Result);
}

void ReadRequests::handleLostAnswer(RequestState &State) {
  retryOnOtherServer(State, ResultCode::OutcomeUnknown);
}

void ReadRequests::handleMissingAnswer(RequestState &State) {
  if (State.m_Phase != RequestPhase::Sent || State.m_IsSilenceHandled)
    return;
  State.m_IsSilenceHandled = true;
  // Without a retry left, keep waiting: the answer may still arrive in time.
  if (!m_Context.m_Retries.tryConsumeRetry())
    return;
  m_Context.abandonStatement(State, true);
  ++m_Context.m_Counts.m_Retries;
  State.m_Avoid.push_back(State.m_Server);
  State.m_LastReason = ResultCode::OutcomeUnknown;
  m_Context.enqueue(State);
}

void ReadRequests::handleDeadline(RequestState &State) {
  if (State.m_Phase == RequestPhase::Sent) {
    m_Context.abandonStatement(State, true);
    m_Context.finish(State, ResultCode::OutcomeUnknown);
    return;
  }
  if (State.m_InTransaction)
    m_Context.m_OpenTransactions.abort(State.m_Request.m_Caller,
                                       State.m_LastReason);
  m_Context.finish(State, notRunReason(State));
}

ReadRequirements ReadRequests::requirementsOf(const RequestState &State) const {
  const GroupView &View = m_Context.m_View;
  const CatalogueEntry &Entry = *State.m_Request.m_Entry;
  ReadRequirements Requirements;
  Requirements.m_Token = State.m_Token;
  Requirements.m_OnlyPrimary = State.m_OnlyPrimary;
  if (Entry.m_Class == TrafficClass::AgedRead)
    Requirements.m_MaxAge =
        std::min(Entry.m_Limits.m_MaxAge,
                 State.m_Request.m_MaxAge.value_or(Entry.m_Limits.m_MaxAge));
  // A token of a later term shows that this view is out of date.
  Requirements.m_PrimaryAllowed =
      m_Context.leaseCovers(View.m_Term) &&
      (!State.m_Token || State.m_Token->m_Term <= View.m_Term);
  Requirements.m_IsWaitOver =
      m_Context.m_Now >= State.m_QueuedAt + m_Context.m_Settings.m_CoverWait;
  Requirements.m_Avoid = State.m_Avoid;
  return Requirements;
}

bool ReadRequests::isRecentEnough(const RequestState &State,
                                  const BackendAnswer &Result) const {
  // Positions reported earlier prove nothing: the server may have been reset to
  // an older state since.
  ReadCandidate Candidate;
  Candidate.m_Server = State.m_Server;
  Candidate.m_Applied = Result.m_Point;
  if (Result.m_Point)
    Candidate.m_Age = m_Context.m_Ages.age(*Result.m_Point, m_Context.m_Now);
  // An error as the first answer on a connection has no position.
  const bool IsOfTerm =
      Result.m_Point ? Result.m_Point->m_Term == State.m_Term : !Result.m_Ok;
  Candidate.m_IsPrimary = IsOfTerm &&
                          m_Context.m_View.m_Primary == State.m_Server &&
                          State.m_Term == m_Context.m_View.m_Term;
  return ReadRouter::satisfies(Candidate, requirementsOf(State));
}

ResultCode ReadRequests::notRunReason(const RequestState &State) const {
  if (State.m_LastReason != ResultCode::NotRunDeadline)
    return State.m_LastReason;
  const GroupView &View = m_Context.m_View;
  if (State.m_OnlyPrimary) {
    if (!View.m_Primary)
      return ResultCode::NotRunNoPrimary;
    return m_Context.leaseCovers(View.m_Term) ? ResultCode::NotRunDeadline
                                              : ResultCode::NotRunNoLease;
  }
  const ReadChoice Choice = route(State, candidates());
  if (Choice.m_RunAt || Choice.m_WaitFor)
    return ResultCode::NotRunDeadline;
  return State.m_Request.m_Entry->m_Class == TrafficClass::AgedRead
             ? ResultCode::NotRunTooOld
             : ResultCode::NotRunNotCovered;
}

void ReadRequests::retryOnOtherServer(RequestState &State, ResultCode Reason) {
  State.m_Avoid.push_back(State.m_Server);
  if (State.m_InTransaction) {
    // The earlier statements of the transaction ran on this server, so it
    // cannot continue on another one.
    m_Context.m_OpenTransactions.abort(State.m_Request.m_Caller, Reason);
    m_Context.finish(State, Reason);
    return;
  }
  if (!m_Context.m_Retries.tryConsumeRetry()) {
    m_Context.finish(State, Reason);
    return;
  }
  ++m_Context.m_Counts.m_Retries;
  State.m_LastReason = Reason;
  m_Context.enqueue(State);
}

void ReadRequests::forwardAnswer(RequestState &State,
                                 const BackendAnswer &Result) {
  const bool AtPrimary = m_Context.m_View.m_Primary == State.m_Server;
  ++(AtPrimary ? m_Context.m_Counts.m_PrimaryReads
               : m_Context.m_Counts.m_ReplicaReads);
  if (Result.m_Truncated) {
    m_Context.finish(State, ResultCode::RanAnswerTooLarge);
    return;
  }
  if (State.m_StoresFirstPoint && AtPrimary && Result.m_Point) {
    // The primary had all writes of this session, so its position serves as the
    // session's point until the next write.
    StoreSessionPoint Store;
    Store.m_Session = State.m_Request.m_Session;
    Store.m_Point = *Result.m_Point;
    Store.m_LookedUpBy = State.m_Request.m_Id;
    m_Context.emit(std::move(Store));
  }
  Answer Message;
  Message.m_Request = State.m_Request.m_Id;
  Message.m_Body = Result.m_Body;
  Message.m_Status = Result.m_Status;
  m_Context.emit(std::move(Message));
  m_Context.erase(State);
}

} // namespace ragwortmux
