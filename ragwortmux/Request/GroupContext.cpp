#include "ragwortmux/Request/GroupContext.h"

#include <algorithm>
#include <cassert>
#include <string>

namespace ragwortmux {

namespace {

/// Any backend server answers this without using a slot.
constexpr std::string_view ProbeSql = "SELECT ragwortmux_position()";

constexpr std::uint32_t ProbeAnswerBytes = 4096;

constexpr int PercentBase = 100;
/// Number of different offsets added to the pauses of requests that were
/// refused at the same time.
constexpr std::uint64_t PauseSpread = 7;
constexpr std::uint32_t MaxPauseDoublings = 8;

} // namespace

GroupContext::GroupContext(GroupId Group, const GroupSettings &Settings)
    : m_Group(std::move(Group)), m_Settings(Settings), m_Pool(Settings.m_Pool),
      m_Gate(Settings.m_AllowSingleServer), m_Retries(Settings.m_Retry) {}

void GroupContext::beginEvent(Instant Now, GroupActions &Actions) {
  m_Now = Now;
  m_Actions = &Actions;
}

void GroupContext::endEvent() {
  m_Dispatcher.run();
  // Only requests that were accessed during the event can have a changed timer.
  for (const RequestId Request : m_Touched) {
    const auto Old = m_TimerOf.find(Request);
    if (Old != m_TimerOf.end()) {
      m_Timers.erase({Old->second, Request});
      m_TimerOf.erase(Old);
    }
    const auto Found = m_Requests.find(Request);
    if (Found == m_Requests.end())
      continue;
    const Instant At = wakeTime(Found->second);
    if (At == Instant::max())
      continue;
    m_Timers.insert({At, Request});
    m_TimerOf[Request] = At;
  }
  m_Touched.clear();
  m_Actions = nullptr;
}

void GroupContext::emit(GroupAction Action) {
  m_Actions->push_back(std::move(Action));
}

void GroupContext::apply(const PoolActions &Actions) {
  for (const ConnectionId Connection : Actions.m_Close)
    emit(CloseConnection{Connection});
  for (const PooledConnection &Connection : Actions.m_Open)
    emit(OpenConnection{Connection.m_Id, Connection.m_Server,
                        Connection.m_Term});
  for (const ConnectionId Connection : Actions.m_Probe) {
    SendStatement Probe;
    Probe.m_Connection = Connection;
    Probe.m_Sql = ProbeSql;
    Probe.m_MaxAnswerBytes = ProbeAnswerBytes;
    emit(std::move(Probe));
  }
  for (const ServerId &Server : Actions.m_Unreachable)
    emit(
        ReportSuspicion{Server, m_View.m_Term, SuspicionCause::ConnectRefused});
  for (const ServerId &Server : Actions.m_TimedOut)
    emit(ReportSuspicion{Server, m_View.m_Term, SuspicionCause::Silent});
}

bool GroupContext::leaseCovers(Term Required) const {
  return m_HasView && m_View.m_Term == Required && m_Now < m_LeaseExpiry;
}

const ServerView *GroupContext::server(const ServerId &Server) const {
  for (const ServerView &Candidate : m_View.m_Servers) {
    if (Candidate.m_Server == Server)
      return &Candidate;
  }
  return nullptr;
}

bool GroupContext::acceptsRequests(const ServerView &Server) {
  return !Server.m_Leaving && Server.m_Announced;
}

std::uint32_t GroupContext::freeSlots(const ServerView &Server) const {
  const auto Running = m_RunningAt.find(Server.m_Server);
  const std::uint32_t Used = Running == m_RunningAt.end() ? 0 : Running->second;
  if (Used >= Server.m_Slots)
    return 0;
  return std::min(Server.m_Slots - Used, m_Pool.idleCount(Server.m_Server));
}

RequestState *GroupContext::find(RequestId Request) {
  const auto Found = m_Requests.find(Request);
  if (Found == m_Requests.end())
    return nullptr;
  m_Touched.insert(Request);
  return &Found->second;
}

void GroupContext::reportTermRefused(const ServerId &Server) {
  if (m_TermRefusers.insert(Server).second)
    emit(ReportSuspicion{Server, m_View.m_Term, SuspicionCause::TermRefused});
}

void GroupContext::confirmPrimary(const ServerId &Server, Term ReportedTerm) {
  if (m_IsPrimaryConfirmed || m_View.m_Primary != Server ||
      m_View.m_Term != ReportedTerm)
    return;
  m_IsPrimaryConfirmed = true;
  for (auto &[Request, State] : m_Requests) {
    if (State.m_Phase != RequestPhase::Queued || State.m_InTransaction ||
        State.m_LastReason != ResultCode::NotRunTermRefused)
      continue;
    State.m_RetryAt.reset();
    m_Touched.insert(Request);
  }
}

void GroupContext::enqueue(RequestState &State) {
  State.m_Phase = RequestPhase::Queued;
  State.m_QueuedAt = m_Now;
  if (!State.m_CountsWaiting) {
    State.m_CountsWaiting = true;
    ++m_Waiting[State.m_Request.m_Entry->m_Name];
  }
  m_Queue.add(*State.m_Request.m_Entry, State.m_Request.m_Id);
}

void GroupContext::enqueueAfterPause(RequestState &State, ResultCode Reason) {
  const std::uint32_t Doublings = std::min(State.m_Pauses, MaxPauseDoublings);
  const Duration Pause = std::min(m_Settings.m_BackoffMax,
                                  m_Settings.m_BackoffMin * (1U << Doublings));
  // Spreads the retries of requests that were refused together, without a
  // random number.
  const Duration Spread =
      m_Settings.m_BackoffMin *
      static_cast<int>(State.m_Request.m_Id.value() % PauseSpread) /
      static_cast<int>(PauseSpread);
  ++State.m_Pauses;
  State.m_RetryAt = m_Now + Pause + Spread;
  State.m_LastReason = Reason;
  if (State.m_InTransaction)
    State.m_Phase = RequestPhase::Queued;
  else
    enqueue(State);
}

void GroupContext::send(RequestState &State, ConnectionId Connection) {
  const PooledConnection *Pooled = m_Pool.find(Connection);
  assert(Pooled && Pooled->m_State == ConnectionState::Busy);
  const CatalogueEntry &Entry = *State.m_Request.m_Entry;
  if (State.m_CountsWaiting) {
    State.m_CountsWaiting = false;
    --m_Waiting[Entry.m_Name];
  }
  const auto [Use, IsNew] = m_Uses.try_emplace(Connection);
  assert(!Use->second.m_Running);
  Use->second.m_Running = State.m_Request.m_Id;
  Use->second.m_Entry = Entry.m_Name;
  Use->second.m_Server = Pooled->m_Server;
  if (IsNew)
    ++m_Running[Entry.m_Name];
  ++m_RunningAt[Pooled->m_Server];

  m_Touched.insert(State.m_Request.m_Id);
  State.m_Phase = RequestPhase::Sent;
  State.m_Connection = Connection;
  State.m_Server = Pooled->m_Server;
  State.m_Term = Pooled->m_Term;
  State.m_SentAt = m_Now;
  State.m_RetryAt.reset();

  SendStatement Statement;
  Statement.m_Connection = Connection;
  Statement.m_Sql = State.m_Request.m_Sql;
  Statement.m_MaxAnswerBytes = Entry.m_Limits.m_MaxAnswerBytes;
  // A tag applies to the next transaction, so an open transaction already has
  // it. A refused statement leaves its tag on the connection, where it must not
  // apply to another caller's transaction.
  if (isKeyed(State) && !State.m_InTransaction) {
    Statement.m_Attempt = State.m_Attempt;
    m_Tagged.insert(Connection);
  } else if (!State.m_InTransaction && m_Tagged.erase(Connection) > 0) {
    Statement.m_Attempt = AttemptId();
  }
  emit(std::move(Statement));
}

void GroupContext::refuse(RequestState &State, ResultCode Code) {
  answerRefused(State, Code);
  erase(State);
}

void GroupContext::answerRefused(RequestState &State, ResultCode Code) {
  if (!isKeyed(State) || State.m_Reserved) {
    answer(State, Code, resultCodeInfo(Code).m_Meaning);
    return;
  }
  // This send was not run, but an earlier send of the same key may have run.
  const std::string Reason =
      std::string(resultCodeInfo(Code).m_Meaning) +
      " An earlier send of the same key may have run; send the request again.";
  answer(State, ResultCode::OutcomeUnknown, Reason);
}

void GroupContext::answer(RequestState &State, ResultCode Code,
                          std::string_view Reason) {
  if (State.m_Answered)
    return;
  markAnswered(State);
  Answer Message;
  Message.m_Request = State.m_Request.m_Id;
  Message.m_Code = Code;
  Message.m_Reason = Reason;
  const auto Open = m_Transactions.find(State.m_Request.m_Caller);
  if (Open != m_Transactions.end())
    Message.m_Status = Open->second.m_Status;
  emit(std::move(Message));
  if (State.m_ClosesCaller)
    emit(CloseCaller{State.m_Request.m_Caller, Code});
  if (isNotRun(Code))
    ++m_Counts.m_Refused;
  else if (Code == ResultCode::OutcomeUnknown ||
           Code == ResultCode::OutcomeUnknownTermEnded)
    ++m_Counts.m_Unknown;
}

void GroupContext::finish(RequestState &State, ResultCode Code) {
  answer(State, Code, resultCodeInfo(Code).m_Meaning);
  erase(State);
}

void GroupContext::markAnswered(RequestState &State) {
  State.m_Answered = true;
  if (!State.m_CountsWaiting)
    return;
  State.m_CountsWaiting = false;
  --m_Waiting[State.m_Request.m_Entry->m_Name];
}

void GroupContext::erase(RequestState &State) {
  const RequestId Request = State.m_Request.m_Id;
  const CatalogueEntry &Entry = *State.m_Request.m_Entry;
  assert(!State.m_Connection);
  if (State.m_CountsWaiting)
    --m_Waiting[Entry.m_Name];
  m_Queue.remove(Entry, Request);
  const auto Open = m_Transactions.find(State.m_Request.m_Caller);
  if (Open != m_Transactions.end() && Open->second.m_Running == Request) {
    Open->second.m_Running.reset();
    Open->second.m_IdleSince = m_Now;
  }
  m_Replicating.erase(Request);
  m_ByCaller.erase({State.m_Request.m_Caller, Request});
  m_Touched.insert(Request);
  m_Requests.erase(Request);
}

void GroupContext::endStatement(RequestState &State) {
  assert(State.m_Connection);
  const auto Use = m_Uses.find(*State.m_Connection);
  assert(Use != m_Uses.end() && Use->second.m_Running);
  Use->second.m_Running.reset();
  --m_RunningAt[Use->second.m_Server];
  State.m_Connection.reset();
}

void GroupContext::releaseConnection(ConnectionId Connection) {
  const auto Use = m_Uses.find(Connection);
  assert(Use != m_Uses.end() && !Use->second.m_Running);
  if (Use->second.m_HasChangedSession) {
    // Another caller must not run in the session state of this one.
    dropConnection(Connection);
    return;
  }
  --m_Running[Use->second.m_Entry];
  m_Uses.erase(Use);
  PoolActions Actions;
  m_Pool.release(m_Now, Connection, Actions);
  apply(Actions);
}

void GroupContext::dropConnection(ConnectionId Connection) {
  m_Tagged.erase(Connection);
  const auto Use = m_Uses.find(Connection);
  if (Use != m_Uses.end()) {
    assert(!Use->second.m_Running);
    --m_Running[Use->second.m_Entry];
    m_Uses.erase(Use);
  }
  PoolActions Actions;
  m_Pool.drop(m_Now, Connection, Actions);
  apply(Actions);
}

void GroupContext::abandonStatement(RequestState &State, bool Silent) {
  assert(State.m_Connection);
  const ConnectionId Connection = *State.m_Connection;
  endStatement(State);
  emit(CancelStatement{Connection});
  if (State.m_InTransaction)
    m_OpenTransactions.abort(State.m_Request.m_Caller,
                             ResultCode::OutcomeUnknown);
  else
    dropConnection(Connection);
  if (!Silent)
    return;
  // The fault that lost this answer may also have cut the other connections.
  PoolActions Actions;
  m_Pool.suspect(m_Now, State.m_Server, Actions);
  for (const ServerView &Other : m_View.m_Servers) {
    if (Other.m_Server != State.m_Server)
      m_Pool.suspectUnusedSince(m_Now, Other.m_Server, State.m_SentAt, Actions);
  }
  apply(Actions);
}

Instant GroupContext::wakeTime(const RequestState &State) const {
  Instant At = State.m_Answered && State.m_Phase != RequestPhase::Sent
                   ? Instant::max()
                   : State.m_Deadline;
  const auto Consider = [&At, this](Instant Other) {
    if (Other > m_Now)
      At = std::min(At, Other);
  };
  if (State.m_RetryAt)
    Consider(*State.m_RetryAt);
  const bool IsWrite = isWrite(State.m_Request.m_Entry->m_Class);
  if (State.m_Phase == RequestPhase::Queued && !IsWrite)
    Consider(State.m_QueuedAt + m_Settings.m_CoverWait);
  const Duration RequestDeadline =
      State.m_Request.m_Entry->m_Limits.m_RequestDeadline;
  if (State.m_Phase == RequestPhase::Sent && !State.m_InTransaction) {
    if (!IsWrite && !State.m_IsSilenceHandled)
      Consider(State.m_SentAt +
               RequestDeadline * m_Settings.m_SilentReadPercent / PercentBase);
    if (isKeyed(State))
      Consider(State.m_Request.m_Arrived +
               RequestDeadline * m_Settings.m_SilentKeyedPercent / PercentBase);
  }
  return At;
}

} // namespace ragwortmux
