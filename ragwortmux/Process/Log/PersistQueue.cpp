#include "ragwortmux/Process/Log/PersistQueue.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace ragwortmux {

void PersistQueue::hardState(const LogHardState &State) {
  gather().m_HardState = State;
}

void PersistQueue::append(const LogEntry &Entry) {
  gather().m_Append.push_back(Entry);
  m_GatheredLast = Entry.m_Id.m_Index;
}

void PersistQueue::truncateFrom(LogIndex From) {
  assert(From > LogIndex(0));
  PersistLog &Next = gather();
  while (!Next.m_Append.empty() && Next.m_Append.back().m_Id.m_Index >= From)
    Next.m_Append.pop_back();

  // Unless entries collected here remain, the truncation affects entries that
  // earlier actions have persisted.
  const LogIndex Left(From.value() - 1);
  if (Next.m_Append.empty() && !Next.m_ReplaceLog)
    Next.m_TruncateFrom =
        Next.m_TruncateFrom ? std::min(*Next.m_TruncateFrom, From) : From;
  m_GatheredLast = std::min(m_GatheredLast, Left);
  m_OutLast = std::min(m_OutLast, Left);
  m_Durable = std::min(m_Durable, Left);
}

void PersistQueue::replaceBy(std::shared_ptr<const LogSnapshot> Snapshot) {
  PersistLog &Next = gather();
  Next.m_ReplaceLog = true;
  Next.m_TruncateFrom.reset();
  Next.m_Append.clear();
  Next.m_CompactTo.reset();
  m_GatheredLast = Snapshot->m_Last.m_Index;
  Next.m_Snapshot = std::move(Snapshot);

  // Entries of the old log no longer count as durable, and the new log is not
  // durable yet.
  m_OutLast = LogIndex();
  m_Durable = LogIndex();
}

void PersistQueue::compact(std::shared_ptr<const LogSnapshot> Snapshot,
                           const EntryId &CompactTo) {
  PersistLog &Next = gather();
  Next.m_Snapshot = std::move(Snapshot);
  Next.m_CompactTo = CompactTo;
}

void PersistQueue::send(LogEnvelope Envelope, LogIndex Needed) {
  const std::uint64_t Sequence = sequenceFor(Needed);
  if (Sequence <= m_DoneSequence)
    m_Free.push_back(std::move(Envelope));
  else
    m_Held.push_back({Sequence, std::move(Envelope)});
}

void PersistQueue::dropAppendReplies() {
  std::erase_if(m_Held, [](const Held &Each) {
    return std::holds_alternative<AppendReply>(Each.m_Envelope.m_Message);
  });
}

std::optional<PersistLog> PersistQueue::takePersist() {
  if (m_Out || !m_Gathering)
    return std::nullopt;
  m_Out = true;
  m_OutHasHardState = m_Gathering->m_HardState.has_value();
  m_OutLast = m_GatheredLast;
  ++m_NextSequence;
  return std::exchange(m_Gathering, std::nullopt);
}

std::vector<LogEnvelope> PersistQueue::takeMessages() {
  return std::exchange(m_Free, {});
}

bool PersistQueue::confirm(std::uint64_t Sequence) {
  if (!m_Out || Sequence != m_NextSequence - 1)
    return false;
  m_Out = false;
  m_DoneSequence = Sequence;
  m_Durable = m_OutLast;

  // Release the messages that waited for this action. The others wait for the
  // next one.
  std::deque<Held> Waiting;
  for (Held &Each : m_Held) {
    if (Each.m_Sequence <= Sequence)
      m_Free.push_back(std::move(Each.m_Envelope));
    else
      Waiting.push_back(std::move(Each));
  }
  m_Held.swap(Waiting);
  return true;
}

bool PersistQueue::hardStateDurable() const {
  return !(m_Out && m_OutHasHardState) &&
         !(m_Gathering && m_Gathering->m_HardState);
}

std::uint64_t PersistQueue::sequenceFor(LogIndex Needed) const {
  if (m_Gathering && m_Gathering->m_HardState)
    return m_NextSequence;
  if (Needed > m_Durable)
    return m_Out && Needed <= m_OutLast ? m_NextSequence - 1 : m_NextSequence;
  return m_Out && m_OutHasHardState ? m_NextSequence - 1 : m_DoneSequence;
}

PersistLog &PersistQueue::gather() {
  if (m_Gathering)
    return *m_Gathering;
  m_Gathering.emplace();
  m_Gathering->m_Sequence = m_NextSequence;
  m_GatheredLast = m_Out ? m_OutLast : m_Durable;
  return *m_Gathering;
}

} // namespace ragwortmux
