#include "ragwortmux/Request/SessionCore.h"

#include <algorithm>
#include <array>
#include <utility>

/// \file
/// Load shedding of SessionCore: refuses queued statements that cannot be
/// served in time, and limits retries.

namespace ragwortmux {

namespace {

/// Limit of scheduled reviews in one event.
constexpr std::size_t MaxReviews = 64;
/// A queued statement is reviewed after this part of its remaining time, so
/// that it is reviewed a few times only and refused while time is left for a
/// try elsewhere.
constexpr int ReviewsPerRemainingTime = 4;
constexpr Duration MinReviewPause = std::chrono::milliseconds(20);

constexpr std::array Lanes = {QueueLane::Read, QueueLane::Primary};

} // namespace

std::uint32_t SessionCore::laneSlots(QueueLane Lane) const {
  std::uint32_t Slots = 0;
  for (const ServerView &Each : m_View.m_Servers) {
    const bool CanRun = Lane == QueueLane::Primary
                            ? m_View.m_Primary == Each.m_Server
                            : acceptsReads(Each);
    Slots += CanRun ? std::min(Each.m_Slots, Each.m_ConnectionShare) : 0;
  }
  return Slots;
}

bool SessionCore::canServe(const Request &State) const {
  const QueueLane Lane =
      State.needsPrimary() ? QueueLane::Primary : QueueLane::Read;
  return m_Estimate.canServe(m_Now,
                             {Lane, m_Waiting.ahead(State.m_Request.m_Id),
                              laneSlots(Lane), State.m_Deadline});
}

ShedReason SessionCore::exceededLimit() const {
  if (m_Waiting.size() > m_Settings.m_MaxQueued)
    return ShedReason::Count;
  return m_Waiting.bytes() > m_Settings.m_MaxQueuedBytes ? ShedReason::Bytes
                                                         : ShedReason::None;
}

ShedReason SessionCore::exceededShare(const WorkspaceId &Workspace) const {
  if (Workspace == WorkspaceId())
    return ShedReason::None;
  // A workspace may use as much as is left free, so that there is room for the
  // others while one has a backlog.
  const FairQueue::Usage Own = m_Waiting.usage(Workspace);
  if (Own.m_Count + m_Waiting.size() > m_Settings.m_MaxQueued)
    return ShedReason::Count;
  return Own.m_Bytes + m_Waiting.bytes() > m_Settings.m_MaxQueuedBytes
             ? ShedReason::Bytes
             : ShedReason::None;
}

void SessionCore::enforceLimits(RequestId Added) {
  while (true) {
    const auto Found = m_Requests.find(Added);
    if (Found == m_Requests.end() || !Found->second.m_IsWaiting)
      return;
    Request &State = Found->second;
    const ShedReason Share = exceededShare(State.m_Request.m_Workspace);
    const ShedReason Exceeded =
        Share == ShedReason::None ? exceededLimit() : Share;
    if (Exceeded == ShedReason::None)
      return;
    // Statements of a lower priority make room.
    const QueuedStatement *Last = m_Waiting.last();
    const bool IsLower =
        Last->m_Priority > State.m_Request.m_Entry->m_Limits.m_Priority;
    Request &LastState = m_Requests.at(Last->m_Request);
    const bool YieldsRoom =
        Share == ShedReason::None && IsLower && !LastState.m_MayHaveRun;
    if (!YieldsRoom && State.m_MayHaveRun)
      return;
    shed(YieldsRoom ? LastState : State, Exceeded);
  }
}

void SessionCore::shed(Request &State, ShedReason Reason) {
  State.m_Shed = Reason;
  finish(State, ResultCode::NotRunQueueFull, TransactionStatus::Idle);
}

void SessionCore::reviewStatement(RequestId Id) {
  const auto Found = m_Requests.find(Id);
  if (Found == m_Requests.end() || !Found->second.m_IsWaiting ||
      Found->second.m_MayHaveRun)
    return;
  Request &State = Found->second;
  if (!canServe(State)) {
    shed(State, ShedReason::Deadline);
    return;
  }
  if (State.m_ReviewAt)
    m_Reviews.erase({*State.m_ReviewAt, Id});
  State.m_ReviewAt =
      m_Now + std::max((State.m_Deadline - m_Now) / ReviewsPerRemainingTime,
                       MinReviewPause);
  m_Reviews.insert({*State.m_ReviewAt, Id});
}

void SessionCore::reviewQueue() {
  if (!m_Settings.m_ShedLoad)
    return;
  for (const QueueLane Lane : Lanes) {
    // A queue that no statement is refused from says nothing about the rate,
    // and neither does the queue for a primary that is missing.
    const std::size_t ShortQueue =
        std::size_t{laneSlots(Lane)} * m_Settings.m_Estimate.m_ShortQueue;
    const bool IsRunning = Lane == QueueLane::Read || isPrimaryUsable();
    m_Estimate.setBacklog(m_Now, Lane,
                          IsRunning && m_Waiting.size(Lane) > ShortQueue);
  }
  for (const RequestId Id : std::exchange(m_ToReview, {})) {
    const auto Found = m_Requests.find(Id);
    const bool IsNew = Found != m_Requests.end() && !Found->second.m_ReviewAt;
    reviewStatement(Id);
    if (IsNew)
      enforceLimits(Id);
  }
  for (std::size_t Count = 0; Count < MaxReviews; ++Count) {
    if (m_Reviews.empty() || m_Reviews.begin()->first > m_Now)
      break;
    reviewStatement(m_Reviews.begin()->second);
  }
}

void SessionCore::holdSlot(Request &State) {
  m_SlotsHeld[State.m_Server] += State.m_HoldsSlot ? 0 : 1;
  State.m_HoldsSlot = true;
}

void SessionCore::releaseSlot(Request &State) {
  if (std::exchange(State.m_HoldsSlot, false))
    --m_SlotsHeld.at(State.m_Server);
}

bool SessionCore::hasFreeSlot(const ServerView &Server) const {
  // A server refuses statements beyond its slots. With workspaces there are
  // more connections than slots; without this limit the next free slot would go
  // to whichever statement is retried first and not to the first of the queue.
  if (!m_UsesWorkspaces)
    return true;
  const auto Held = m_SlotsHeld.find(Server.m_Server);
  return Held == m_SlotsHeld.end() || Held->second < Server.m_Slots;
}

bool SessionCore::tryConsumeRetry(const Request &State) {
  // Without workspaces one budget limits all retries of the group.
  if (!m_UsesWorkspaces)
    return m_Retries.tryConsumeRetry(WorkspaceId(), ServerId());
  return m_Retries.tryConsumeRetry(State.m_Request.m_Workspace, State.m_Server);
}

} // namespace ragwortmux
