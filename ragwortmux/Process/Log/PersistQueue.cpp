#include "ragwortmux/Process/Log/PersistQueue.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace ragwortmux {

void PersistQueue::updateHardState(const LogHardState &State) {
  pendingAction().m_HardState = State;
}

void PersistQueue::append(const LogEntry &Entry) {
  pendingAction().m_Append.push_back(Entry);
  m_PendingLast = Entry.m_Id.m_Index;
}

void PersistQueue::truncateFrom(LogIndex From) {
  assert(From > LogIndex(0));
  PersistLog &Pending = pendingAction();
  while (!Pending.m_Append.empty() &&
         Pending.m_Append.back().m_Id.m_Index >= From)
    Pending.m_Append.pop_back();

  // If no appended entries remain here, the truncation may also affect entries
  // of earlier actions.
  const LogIndex NewLast(From.value() - 1);
  if (Pending.m_Append.empty() && !Pending.m_ReplaceLog)
    Pending.m_TruncateFrom =
        Pending.m_TruncateFrom ? std::min(*Pending.m_TruncateFrom, From) : From;
  m_PendingLast = std::min(m_PendingLast, NewLast);
  m_InFlightLast = std::min(m_InFlightLast, NewLast);
  m_Durable = std::min(m_Durable, NewLast);
}

void PersistQueue::replaceWith(std::shared_ptr<const LogSnapshot> Snapshot) {
  PersistLog &Pending = pendingAction();
  Pending.m_ReplaceLog = true;
  Pending.m_TruncateFrom.reset();
  Pending.m_Append.clear();
  Pending.m_CompactTo.reset();
  m_PendingLast = Snapshot->m_Last.m_Index;
  Pending.m_Snapshot = std::move(Snapshot);

  // Entries of the old log no longer count as durable, and the new log is not
  // durable yet.
  m_InFlightLast = LogIndex();
  m_Durable = LogIndex();
}

void PersistQueue::compact(std::shared_ptr<const LogSnapshot> Snapshot,
                           const EntryId &CompactTo) {
  PersistLog &Pending = pendingAction();
  Pending.m_Snapshot = std::move(Snapshot);
  Pending.m_CompactTo = CompactTo;
}

void PersistQueue::send(LogEnvelope Envelope, LogIndex Needed) {
  const std::uint64_t Sequence = requiredSequence(Needed);
  if (Sequence <= m_DurableSequence)
    m_ReadyMessages.push_back(std::move(Envelope));
  else
    m_DelayedMessages.push_back({Sequence, std::move(Envelope)});
}

void PersistQueue::dropAppendReplies() {
  std::erase_if(m_DelayedMessages, [](const DelayedMessage &Delayed) {
    return std::holds_alternative<AppendReply>(Delayed.m_Envelope.m_Message);
  });
}

std::optional<PersistLog> PersistQueue::takePersist() {
  if (m_IsInFlight || !m_Pending)
    return std::nullopt;
  m_IsInFlight = true;
  m_InFlightHasHardState = m_Pending->m_HardState.has_value();
  m_InFlightLast = m_PendingLast;
  ++m_NextSequence;
  return std::exchange(m_Pending, std::nullopt);
}

std::vector<LogEnvelope> PersistQueue::takeMessages() {
  return std::exchange(m_ReadyMessages, {});
}

bool PersistQueue::confirm(std::uint64_t Sequence) {
  if (!m_IsInFlight || Sequence != m_NextSequence - 1)
    return false;
  m_IsInFlight = false;
  m_DurableSequence = Sequence;
  m_Durable = m_InFlightLast;

  // Release the messages that waited for this action. The others wait for the
  // next one.
  std::deque<DelayedMessage> StillDelayed;
  for (DelayedMessage &Delayed : m_DelayedMessages) {
    if (Delayed.m_Sequence <= Sequence)
      m_ReadyMessages.push_back(std::move(Delayed.m_Envelope));
    else
      StillDelayed.push_back(std::move(Delayed));
  }
  m_DelayedMessages.swap(StillDelayed);
  return true;
}

bool PersistQueue::isHardStateDurable() const {
  return !(m_IsInFlight && m_InFlightHasHardState) &&
         !(m_Pending && m_Pending->m_HardState);
}

std::uint64_t PersistQueue::requiredSequence(LogIndex Needed) const {
  if (m_Pending && m_Pending->m_HardState)
    return m_NextSequence;
  if (Needed > m_Durable)
    return m_IsInFlight && Needed <= m_InFlightLast ? m_NextSequence - 1
                                                    : m_NextSequence;
  return m_IsInFlight && m_InFlightHasHardState ? m_NextSequence - 1
                                                : m_DurableSequence;
}

PersistLog &PersistQueue::pendingAction() {
  if (m_Pending)
    return *m_Pending;
  m_Pending.emplace();
  m_Pending->m_Sequence = m_NextSequence;
  m_PendingLast = m_IsInFlight ? m_InFlightLast : m_Durable;
  return *m_Pending;
}

} // namespace ragwortmux
