#include "ragwortmux/Request/Dispatcher.h"

#include "ragwortmux/Request/GroupContext.h"

#include <algorithm>
#include <cassert>

namespace ragwortmux {

void Dispatcher::run() {
  m_Demand.clear();
  m_AreCandidatesCurrent = false;
  m_Context.m_Queue.run([this](RequestId Request) { return tryRun(Request); });
  setDemand();
}

ResultCode Dispatcher::writeNotRunReason() const {
  const GroupView &View = m_Context.m_View;
  if (!m_Context.m_HasView || !View.m_Primary)
    return ResultCode::NotRunNoPrimary;
  const ServerView *Primary = m_Context.server(*View.m_Primary);
  if (!Primary || !GroupContext::acceptsRequests(*Primary))
    return ResultCode::NotRunNoPrimary;
  // The answer to a write sent at the very end of the lease would arrive after
  // it.
  if (m_Context.m_Now + m_Context.m_Settings.m_LeaseMargin >=
      m_Context.m_LeaseExpiry)
    return ResultCode::NotRunNoLease;
  if (!m_Context.m_Pool.isReachable(*View.m_Primary))
    return ResultCode::NotRunNoConnection;
  return ResultCode::NotRunDeadline;
}

TryResult Dispatcher::tryRun(RequestId Request) {
  RequestState &State = m_Context.m_Requests.at(Request);
  assert(State.m_Phase == RequestPhase::Queued);
  const CatalogueEntry &Entry = *State.m_Request.m_Entry;
  if (m_Context.m_Running[Entry.m_Name] >= Entry.m_Limits.m_MaxConcurrent)
    return TryResult::EntryFull;
  if (State.m_RetryAt && m_Context.m_Now < *State.m_RetryAt)
    return TryResult::NotYet;
  return isWrite(Entry.m_Class) ? tryWrite(State) : tryRead(State);
}

TryResult Dispatcher::tryWrite(RequestState &State) {
  const ResultCode Reason = writeNotRunReason();
  if (Reason != ResultCode::NotRunDeadline &&
      Reason != ResultCode::NotRunNoConnection)
    return TryResult::ClassFull;
  const ServerView *Primary = m_Context.server(*m_Context.m_View.m_Primary);
  if (m_Context.freeSlots(*Primary) == 0) {
    m_Demand[Primary->m_Server] = Primary->m_Slots;
    return TryResult::ClassFull;
  }
  sendTo(State, Primary->m_Server);
  return TryResult::Dispatched;
}

TryResult Dispatcher::tryRead(RequestState &State) {
  if (!m_AreCandidatesCurrent) {
    m_Candidates = m_Context.m_Reads.candidates();
    m_AreCandidatesCurrent = true;
  }
  const bool AnyFree = std::any_of(
      m_Candidates.begin(), m_Candidates.end(),
      [](const ReadCandidate &Server) { return Server.m_Free > 0; });
  if (!AnyFree)
    return waitForAny();
  const ReadChoice Choice = m_Context.m_Reads.route(State, m_Candidates);
  if (Choice.m_RunAt) {
    sendTo(State, *Choice.m_RunAt);
    return TryResult::Dispatched;
  }
  if (Choice.m_WaitFor)
    ++m_Demand[*Choice.m_WaitFor];
  return TryResult::NotYet;
}

TryResult Dispatcher::waitForAny() {
  for (const ReadCandidate &Server : m_Candidates)
    m_Demand[Server.m_Server] = m_Context.server(Server.m_Server)->m_Slots;
  return TryResult::ClassFull;
}

void Dispatcher::sendTo(RequestState &State, const ServerId &Server) {
  const std::optional<ConnectionId> Connection =
      m_Context.m_Pool.acquire(m_Context.m_Now, Server);
  assert(Connection);
  m_Context.send(State, *Connection);
  m_AreCandidatesCurrent = false;
}

void Dispatcher::setDemand() {
  PoolActions Actions;
  for (const ServerView &Server : m_Context.m_View.m_Servers) {
    const auto Found = m_Demand.find(Server.m_Server);
    const std::uint32_t Waiting = Found == m_Demand.end() ? 0 : Found->second;
    m_Context.m_Pool.setDemand(m_Context.m_Now, Server.m_Server,
                               std::min(Waiting, Server.m_Slots), Actions);
  }
  m_Context.apply(Actions);
}

} // namespace ragwortmux
