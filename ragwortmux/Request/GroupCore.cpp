#include "ragwortmux/Request/GroupCore.h"

#include "ragwortmux/Request/GroupContext.h"

#include <algorithm>
#include <cassert>
#include <utility>
#include <vector>

namespace ragwortmux {

GroupCore::GroupCore(GroupId Group, const GroupSettings &Settings)
    : m_Context(std::make_unique<GroupContext>(std::move(Group), Settings)) {}

GroupCore::~GroupCore() = default;

void GroupCore::submit(Instant Now, GroupRequest Request,
                       GroupActions &Actions) {
  assert(Request.m_Entry && Request.m_Entry->m_Group == m_Context->m_Group);
  assert(!m_Context->m_Requests.contains(Request.m_Id));
  m_Context->beginEvent(Now, Actions);
  m_Context->submit(std::move(Request));
  m_Context->endEvent();
}

void GroupCore::callerDisconnected(Instant Now, CallerConnectionId Caller,
                                   GroupActions &Actions) {
  m_Context->beginEvent(Now, Actions);
  m_Context->abandonCaller(Caller);
  m_Context->endEvent();
}

void GroupCore::connectionOpened(Instant Now, ConnectionId Connection,
                                 GroupActions &Actions) {
  m_Context->beginEvent(Now, Actions);
  PoolActions FromPool;
  m_Context->m_Pool.opened(Now, Connection, FromPool);
  m_Context->apply(FromPool);
  m_Context->endEvent();
}

void GroupCore::connectionFailed(Instant Now, ConnectionId Connection,
                                 std::string_view SqlState,
                                 GroupActions &Actions) {
  m_Context->beginEvent(Now, Actions);
  PoolActions FromPool;
  m_Context->m_Pool.openFailed(Now, Connection, !SqlState.empty(), FromPool);
  m_Context->apply(FromPool);
  m_Context->endEvent();
}

void GroupCore::connectionLost(Instant Now, ConnectionId Connection,
                               GroupActions &Actions) {
  m_Context->beginEvent(Now, Actions);
  m_Context->handleConnectionLoss(Connection);
  m_Context->endEvent();
}

void GroupCore::connectionClosed(Instant Now, ConnectionId Connection,
                                 GroupActions &Actions) {
  m_Context->beginEvent(Now, Actions);
  m_Context->handleConnectionLoss(Connection);
  m_Context->endEvent();
}

void GroupCore::statementAnswered(Instant Now, ConnectionId Connection,
                                  BackendAnswer Result, GroupActions &Actions) {
  m_Context->beginEvent(Now, Actions);
  m_Context->dispatchAnswer(Connection, std::move(Result));
  m_Context->endEvent();
}

void GroupCore::positionSampled(Instant Now, const ServerId &Server,
                                const LogPoint &Point, bool IsPrimary,
                                Instant QuerySentAt, GroupActions &Actions) {
  m_Context->beginEvent(Now, Actions);
  if (m_Context->server(Server)) {
    m_Context->m_Gate.setApplied(Server, Point, QuerySentAt, Now);
    // A position from a replaced primary would make old data look recent.
    if (IsPrimary && m_Context->m_View.m_Primary == Server &&
        m_Context->leaseCovers(Point.m_Term))
      m_Context->m_Ages.addSample(Point, QuerySentAt);
    if (IsPrimary)
      m_Context->confirmPrimary(Server, Point.m_Term);
    m_Context->m_Writes.checkReplicating();
  }
  m_Context->endEvent();
}

void GroupCore::monitorFailed(Instant Now, const ServerId &Server,
                              GroupActions &Actions) {
  m_Context->beginEvent(Now, Actions);
  if (m_Context->server(Server))
    m_Context->emit(ReportSuspicion{Server, m_Context->m_View.m_Term,
                                    SuspicionCause::MonitorFailed});
  m_Context->endEvent();
}

void GroupCore::viewChanged(Instant Now, const GroupView &View,
                            GroupActions &Actions) {
  assert(View.m_Group == m_Context->m_Group);
  m_Context->beginEvent(Now, Actions);
  if (!m_Context->m_HasView || View.m_Revision > m_Context->m_View.m_Revision)
    m_Context->applyView(View);
  m_Context->endEvent();
}

void GroupCore::leaseExtended(Instant Now, Instant ValidUntil,
                              GroupActions &Actions) {
  m_Context->beginEvent(Now, Actions);
  m_Context->m_LeaseExpiry = ValidUntil;
  m_Context->m_Writes.checkReplicating();
  m_Context->retryEndAttempts();
  m_Context->endEvent();
}

void GroupCore::keyReserved(Instant Now, RequestId Request,
                            const ReserveResult &Result,
                            GroupActions &Actions) {
  m_Context->beginEvent(Now, Actions);
  if (RequestState *State = m_Context->find(Request))
    m_Context->m_Keyed.reserved(*State, Result);
  m_Context->endEvent();
}

void GroupCore::outcomeRecorded(Instant Now, RequestId Request, bool Recorded,
                                GroupActions &Actions) {
  m_Context->beginEvent(Now, Actions);
  if (RequestState *State = m_Context->find(Request))
    m_Context->m_Writes.outcomeRecorded(*State, Recorded);
  m_Context->endEvent();
}

void GroupCore::attemptEnded(Instant Now, RequestId Request,
                             AttemptOutcome Outcome,
                             std::optional<LogPoint> Point,
                             GroupActions &Actions) {
  m_Context->beginEvent(Now, Actions);
  if (RequestState *State = m_Context->find(Request))
    m_Context->m_Keyed.attemptEnded(*State, Outcome, Point);
  m_Context->endEvent();
}

void GroupCore::sessionPointFound(Instant Now, RequestId Request,
                                  std::optional<LogPoint> Point, bool IsKnown,
                                  GroupActions &Actions) {
  m_Context->beginEvent(Now, Actions);
  if (RequestState *State = m_Context->find(Request))
    m_Context->m_Reads.pointFound(*State, Point, IsKnown);
  m_Context->endEvent();
}

void GroupCore::sessionPointStored(Instant Now, RequestId Request, bool Stored,
                                   GroupActions &Actions) {
  m_Context->beginEvent(Now, Actions);
  if (RequestState *State = m_Context->find(Request))
    m_Context->m_Writes.pointStored(*State, Stored);
  m_Context->endEvent();
}

void GroupCore::drain(Instant Now, GroupActions &Actions) {
  m_Context->beginEvent(Now, Actions);
  m_Context->m_Draining = true;
  m_Context->endEvent();
}

void GroupCore::tick(Instant Now, GroupActions &Actions) {
  m_Context->beginEvent(Now, Actions);
  m_Context->handleTimers();
  m_Context->m_OpenTransactions.tick();
  PoolActions FromPool;
  m_Context->m_Pool.tick(Now, FromPool);
  m_Context->apply(FromPool);
  m_Context->endEvent();
}

std::optional<Instant> GroupCore::nextDeadline() const {
  std::optional<Instant> Next = m_Context->m_Pool.nextDeadline();
  const auto Consider = [&Next](Instant At) {
    Next = Next ? std::min(*Next, At) : At;
  };
  if (!m_Context->m_Timers.empty())
    Consider(m_Context->m_Timers.begin()->first);
  if (const auto At = m_Context->m_OpenTransactions.nextDeadline())
    Consider(*At);
  return Next;
}

bool GroupCore::isDrained() const {
  return m_Context->m_Draining && m_Context->m_Transactions.empty() &&
         pendingRequests() == 0;
}

std::uint32_t GroupCore::connectionCount(const ServerId &Server) const {
  const std::uint32_t Monitors =
      m_Context->m_Monitored.contains(Server) ? 1 : 0;
  return m_Context->m_Pool.connectionCount(Server) + Monitors;
}

std::uint32_t GroupCore::connectionDemand(const ServerId &Server) const {
  const std::uint32_t Monitors =
      m_Context->m_Monitored.contains(Server) ? 1 : 0;
  return m_Context->m_Pool.desiredCount(Server) + Monitors;
}

std::size_t GroupCore::pendingRequests() const {
  std::size_t Count = 0;
  for (const auto &[Request, State] : m_Context->m_Requests)
    Count += State.m_Answered ? 0 : 1;
  return Count;
}

const GroupCounts &GroupCore::counts() const { return m_Context->m_Counts; }

} // namespace ragwortmux
