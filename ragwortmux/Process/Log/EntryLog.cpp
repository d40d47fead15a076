#include "ragwortmux/Process/Log/EntryLog.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace ragwortmux {

namespace {

LogIndex next(LogIndex Index) { return LogIndex(Index.value() + 1); }

} // namespace

EntryLog::EntryLog(LogInitialState &&Initial) : m_Previous(Initial.m_Previous) {
  if (Initial.m_Snapshot.m_Last.m_Index > LogIndex(0))
    m_Snapshot =
        std::make_shared<const LogSnapshot>(std::move(Initial.m_Snapshot));
  const LogIndex SnapshotIndex =
      m_Snapshot ? m_Snapshot->m_Last.m_Index : LogIndex();
  m_Configurations.push_back(
      {SnapshotIndex, m_Snapshot ? m_Snapshot->m_Membership : LogMembership()});
  for (LogEntry &Entry : Initial.m_Entries) {
    assert(Entry.m_Id.m_Index == next(last().m_Index));
    if (Entry.m_Id.m_Index > SnapshotIndex)
      addConfiguration(Entry);
    addEntry(std::move(Entry));
  }
  assert(m_Previous.m_Index <= SnapshotIndex &&
         last().m_Index >= SnapshotIndex);
}

void EntryLog::append(LogEntry Entry) {
  assert(Entry.m_Id.m_Index == next(last().m_Index));
  assert(Entry.m_Id.m_Term >= last().m_Term);
  addConfiguration(Entry);
  addEntry(std::move(Entry));
}

void EntryLog::addEntry(LogEntry Entry) {
  m_BytesUpTo.push_back(bytesUpTo(last().m_Index) + Entry.m_Payload.size());
  m_Entries.push_back(std::move(Entry));
}

void EntryLog::truncateFrom(LogIndex From) {
  assert(From > m_Previous.m_Index);
  while (last().m_Index >= From) {
    m_Entries.pop_back();
    m_BytesUpTo.pop_back();
  }
  while (m_Configurations.size() > 1 && m_Configurations.back().m_Index >= From)
    m_Configurations.pop_back();
}

void EntryLog::replaceWith(std::shared_ptr<const LogSnapshot> Snapshot) {
  assert(Snapshot);
  m_Entries.clear();
  m_BytesUpTo.clear();
  m_BytesBefore = 0;
  m_Previous = Snapshot->m_Last;
  m_Configurations.assign(1,
                          {Snapshot->m_Last.m_Index, Snapshot->m_Membership});
  m_Snapshot = std::move(Snapshot);
}

void EntryLog::compact(std::shared_ptr<const LogSnapshot> Snapshot,
                       std::size_t Trailing, std::size_t TrailingBytes) {
  assert(Snapshot && contains(Snapshot->m_Last));
  const LogIndex Last = Snapshot->m_Last.m_Index;

  // The configuration of the snapshot replaces all earlier ones.
  while (m_Configurations.size() > 1 && m_Configurations[1].m_Index <= Last)
    m_Configurations.pop_front();
  m_Configurations.front() = {Last, Snapshot->m_Membership};

  while (m_Previous.m_Index < Last &&
         (m_Previous.m_Index.value() + Trailing < Last.value() ||
          payloadBytes(m_Previous.m_Index, Last) > TrailingBytes)) {
    m_Previous = m_Entries.front().m_Id;
    m_BytesBefore = m_BytesUpTo.front();
    m_Entries.pop_front();
    m_BytesUpTo.pop_front();
  }
  m_Snapshot = std::move(Snapshot);
}

EntryId EntryLog::last() const {
  return m_Entries.empty() ? m_Previous : m_Entries.back().m_Id;
}

std::optional<LogTerm> EntryLog::termAt(LogIndex Index) const {
  if (Index == m_Previous.m_Index)
    return m_Previous.m_Term;
  if (Index < m_Previous.m_Index || Index > last().m_Index)
    return std::nullopt;
  return at(Index).m_Id.m_Term;
}

bool EntryLog::contains(const EntryId &Id) const {
  return termAt(Id.m_Index) == Id.m_Term;
}

const LogEntry &EntryLog::at(LogIndex Index) const {
  assert(Index > m_Previous.m_Index && Index <= last().m_Index);
  return m_Entries[Index.value() - m_Previous.m_Index.value() - 1];
}

std::vector<LogEntry> EntryLog::slice(LogIndex From, LogIndex To,
                                      std::size_t MaxEntries,
                                      std::size_t MaxBytes) const {
  std::vector<LogEntry> Slice;
  std::size_t Bytes = 0;
  for (LogIndex Index = From; Index <= To && Slice.size() < MaxEntries;
       Index = next(Index)) {
    const LogEntry &Entry = at(Index);
    Bytes += Entry.m_Payload.size();
    if (Bytes > MaxBytes && !Slice.empty())
      break;
    Slice.push_back(Entry);
  }
  return Slice;
}

std::size_t EntryLog::payloadBytes(LogIndex After, LogIndex To) const {
  const LogIndex From = std::max(After, m_Previous.m_Index);
  return To <= From ? 0 : bytesUpTo(To) - bytesUpTo(From);
}

std::uint64_t EntryLog::bytesUpTo(LogIndex Index) const {
  assert(Index >= m_Previous.m_Index && Index <= last().m_Index);
  if (Index == m_Previous.m_Index)
    return m_BytesBefore;
  return m_BytesUpTo[Index.value() - m_Previous.m_Index.value() - 1];
}

LogIndex EntryLog::firstOfTerm(LogIndex Index) const {
  const std::optional<LogTerm> Term = termAt(Index);
  assert(Term);
  // Terms ascend along the log.
  const auto First = std::partition_point(
      m_Entries.begin(), m_Entries.end(),
      [&](const LogEntry &Entry) { return Entry.m_Id.m_Term < *Term; });
  if (First == m_Entries.end() || First->m_Id.m_Index > Index)
    return Index;
  return First->m_Id.m_Index;
}

const LogMembership &EntryLog::membership() const {
  return m_Configurations.back().m_Membership;
}

const LogMembership &EntryLog::previousMembership() const {
  const std::size_t Count = m_Configurations.size();
  return m_Configurations[Count > 1 ? Count - 2 : 0].m_Membership;
}

const LogMembership &EntryLog::membershipAt(LogIndex Index) const {
  const LogMembership *Found = &m_Configurations.front().m_Membership;
  for (const Configuration &Known : m_Configurations)
    if (Known.m_Index <= Index)
      Found = &Known.m_Membership;
  return *Found;
}

LogIndex EntryLog::membershipIndex() const {
  return m_Configurations.back().m_Index;
}

void EntryLog::addConfiguration(const LogEntry &Entry) {
  if (Entry.m_Kind != LogEntryKind::Membership)
    return;
  m_Configurations.push_back({Entry.m_Id.m_Index, Entry.m_Membership});
}

} // namespace ragwortmux
