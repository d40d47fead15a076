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
    m_Context.act(FindSessionPoint{Request.m_Id, Request.m_Session});
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
                              bool Known) {
  if (State.m_Phase != RequestPhase::FindingPoint)
    return;
  // Without a lease, this proxy may have queried hosts that are no longer the
  // session's homes.
  if (Known && m_Context.leaseCovers(m_Context.m_View.m_Term)) {
    State.m_Token = Point;
  } else {
    State.m_OnlyPrimary = true;
    State.m_Establish = !Known;
  }
  m_Context.enqueue(State);
}

std::vector<ReadCandidate> ReadRequests::candidates() const {
  const GroupView &View = m_Context.m_View;
  std::vector<ReadCandidate> Candidates;
  for (const ServerView &Server : View.m_Servers) {
    if (!GroupContext::takesRequests(Server))
      continue;
    ReadCandidate Candidate;
    Candidate.m_Server = Server.m_Server;
    Candidate.m_IsPrimary = View.m_Primary == Server.m_Server;
    Candidate.m_IsNear = Server.m_Domain == m_Context.m_Settings.m_Domain;
    Candidate.m_Reachable = m_Context.m_Pool.reachable(Server.m_Server);
    Candidate.m_Applied = m_Context.m_Gate.applied(Server.m_Server);
    if (Candidate.m_Applied)
      Candidate.m_Age =
          m_Context.m_Ages.age(*Candidate.m_Applied, m_Context.m_Now);
    Candidate.m_Free = m_Context.freeAt(Server);
    Candidate.m_Running = m_Context.m_Pool.busy(Server.m_Server);
    Candidates.push_back(std::move(Candidate));
  }
  return Candidates;
}

ReadChoice
ReadRequests::route(const RequestState &State,
                    const std::vector<ReadCandidate> &Servers) const {
  return ReadRouter::choose(Servers, needOf(State));
}

void ReadRequests::answered(RequestState &State, const BackendAnswer &Result) {
  const bool WasInTransaction = State.m_InTransaction;
  if (!Result.m_Ok && Result.m_SqlState == TermRefusedState &&
      (WasInTransaction || Result.m_Status == TransactionStatus::Idle)) {
    m_Context.noteTermRefused(State.m_Server);
    if (WasInTransaction) {
      m_Context.abandonStatement(State, false);
      m_Context.finish(State, ResultCode::NotRunTermRefused);
      return;
    }
    m_Context.m_OpenTransactions.settleConnection(State, Result.m_Status);
    State.m_Avoid.push_back(State.m_Server);
    m_Context.enqueueAfterPause(State, ResultCode::NotRunTermRefused);
    return;
  }
  // A transaction that began on too old data can still be restarted on another
  // server.
  if (!WasInTransaction && Result.m_Status != TransactionStatus::Idle &&
      !isNewEnough(State, Result)) {
    ++m_Context.m_Counts.m_NotCovered;
    m_Context.abandonStatement(State, false);
    retryElsewhere(State, ResultCode::NotRunNotCovered);
    return;
  }
  const bool Unrun = !Result.m_Ok && Result.m_SqlState == ServerFullState &&
                     (WasInTransaction ==
                      (Result.m_Status == TransactionStatus::InTransaction)) &&
                     Result.m_Status != TransactionStatus::Failed;
  m_Context.m_OpenTransactions.settleConnection(State, Result.m_Status);
  if (Unrun) {
    ++m_Context.m_Counts.m_ServerFull;
    m_Context.enqueueAfterPause(State, ResultCode::NotRunNoConnection);
    return;
  }
  if (!isNewEnough(State, Result)) {
    ++m_Context.m_Counts.m_NotCovered;
    const bool IsAged =
        State.m_Request.m_Entry->m_Class == TrafficClass::AgedRead;
    retryElsewhere(State, IsAged ? ResultCode::NotRunTooOld
                                 : ResultCode::NotRunNotCovered);
    return;
  }
  passOn(State, Result);
}

void ReadRequests::lost(RequestState &State) {
  retryElsewhere(State, ResultCode::OutcomeUnknown);
}

void ReadRequests::silent(RequestState &State) {
  if (State.m_Phase != RequestPhase::Sent || State.m_WasSilent)
    return;
  State.m_WasSilent = true;
  // Without a retry left, keep waiting: the answer may still arrive in time.
  if (!m_Context.m_Retries.takeRetry())
    return;
  m_Context.abandonStatement(State, true);
  ++m_Context.m_Counts.m_Retries;
  State.m_Avoid.push_back(State.m_Server);
  State.m_LastReason = ResultCode::OutcomeUnknown;
  m_Context.enqueue(State);
}

void ReadRequests::expired(RequestState &State) {
  if (State.m_Phase == RequestPhase::Sent) {
    m_Context.abandonStatement(State, true);
    m_Context.finish(State, ResultCode::OutcomeUnknown);
    return;
  }
  if (State.m_InTransaction)
    m_Context.m_OpenTransactions.kill(State.m_Request.m_Caller,
                                      State.m_LastReason);
  m_Context.finish(State, obstacle(State));
}

ReadNeed ReadRequests::needOf(const RequestState &State) const {
  const GroupView &View = m_Context.m_View;
  const CatalogueEntry &Entry = *State.m_Request.m_Entry;
  ReadNeed Need;
  Need.m_Token = State.m_Token;
  Need.m_OnlyPrimary = State.m_OnlyPrimary;
  if (Entry.m_Class == TrafficClass::AgedRead)
    Need.m_MaxAge =
        std::min(Entry.m_Limits.m_MaxAge,
                 State.m_Request.m_MaxAge.value_or(Entry.m_Limits.m_MaxAge));
  // A token of a later term shows that this view is out of date.
  Need.m_PrimaryAllowed =
      m_Context.leaseCovers(View.m_Term) &&
      (!State.m_Token || State.m_Token->m_Term <= View.m_Term);
  Need.m_WaitedLong =
      m_Context.m_Now >= State.m_QueuedAt + m_Context.m_Settings.m_CoverWait;
  Need.m_Avoid = State.m_Avoid;
  return Need;
}

bool ReadRequests::isNewEnough(const RequestState &State,
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
  return ReadRouter::satisfies(Candidate, needOf(State));
}

ResultCode ReadRequests::obstacle(const RequestState &State) const {
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

void ReadRequests::retryElsewhere(RequestState &State, ResultCode Reason) {
  State.m_Avoid.push_back(State.m_Server);
  if (State.m_InTransaction) {
    // The earlier statements of the transaction ran on this server, so it
    // cannot continue on another one.
    m_Context.m_OpenTransactions.kill(State.m_Request.m_Caller, Reason);
    m_Context.finish(State, Reason);
    return;
  }
  if (!m_Context.m_Retries.takeRetry()) {
    m_Context.finish(State, Reason);
    return;
  }
  ++m_Context.m_Counts.m_Retries;
  State.m_LastReason = Reason;
  m_Context.enqueue(State);
}

void ReadRequests::passOn(RequestState &State, const BackendAnswer &Result) {
  const bool AtPrimary = m_Context.m_View.m_Primary == State.m_Server;
  ++(AtPrimary ? m_Context.m_Counts.m_PrimaryReads
               : m_Context.m_Counts.m_ReplicaReads);
  if (Result.m_Truncated) {
    m_Context.finish(State, ResultCode::RanAnswerTooLarge);
    return;
  }
  if (State.m_Establish && AtPrimary && Result.m_Point) {
    // The primary had all writes of this session, so its position serves as the
    // session's point until the next write.
    StoreSessionPoint Store;
    Store.m_Session = State.m_Request.m_Session;
    Store.m_Point = *Result.m_Point;
    Store.m_LookedUpBy = State.m_Request.m_Id;
    m_Context.act(std::move(Store));
  }
  Answer Message;
  Message.m_Request = State.m_Request.m_Id;
  Message.m_Body = Result.m_Body;
  Message.m_Status = Result.m_Status;
  m_Context.act(std::move(Message));
  m_Context.erase(State);
}

} // namespace ragwortmux
