#include "ragwortmux/Process/Log/LogStorage.h"

#include "ragwortmux/Process/Log/LogFrame.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace ragwortmux {

namespace {

constexpr const char *IdentityName = "identity";
constexpr const char *HardStateName = "state";
constexpr std::string_view SnapshotPrefix = "snapshot-";
constexpr std::string_view TemporarySuffix = ".tmp";
constexpr std::size_t IndexDigits = 20;
constexpr std::uint64_t FirstSegment = 1;

bool isSnapshot(const std::string &Name) {
  return Name.starts_with(SnapshotPrefix) &&
         Name.size() == SnapshotPrefix.size() + IndexDigits;
}

std::string snapshotName(LogIndex Index) {
  const std::string Digits = std::to_string(Index.value());
  return std::string(SnapshotPrefix) +
         std::string(IndexDigits - Digits.size(), '0') + Digits;
}

bool containsName(const std::vector<std::string> &Names,
                  const std::string &Name) {
  return std::find(Names.begin(), Names.end(), Name) != Names.end();
}

/// Returns a random 128-bit identity, which is unique for all practical
/// purposes.
VoterId randomVoterId(const std::function<std::uint64_t()> &Random) {
  constexpr std::string_view Digits = "0123456789abcdef";
  constexpr int Words = 2;
  constexpr int DigitsPerWord = 16;
  constexpr int BitsPerDigit = 4;
  std::string Text;
  for (int Word = 0; Word < Words; ++Word) {
    std::uint64_t Bits = Random();
    for (int Digit = 0; Digit < DigitsPerWord; ++Digit) {
      Text.push_back(Digits[Bits % Digits.size()]);
      Bits >>= BitsPerDigit;
    }
  }
  return VoterId(Text);
}

} // namespace

LogStorage::LogStorage(LogStorageSettings Settings,
                       std::unique_ptr<FileSystem> Files)
    : m_Settings(std::move(Settings)), m_Files(std::move(Files)),
      m_Segments(*m_Files, m_Settings.m_SegmentBytes, m_Settings.m_OnRepair) {
  assert(m_Settings.m_Random);
}

LogStorage::~LogStorage() = default;

std::optional<LogInitialState> LogStorage::open() {
  assert(!m_Lock);
  m_Lock = m_Files->lock();
  std::optional<std::vector<std::string>> Names;
  if (m_Lock)
    Names = m_Files->list();
  if (!Names) {
    failWrite();
    return std::nullopt;
  }

  // Renames by a process that was killed may not be durable yet.
  if (!removeTemporaryFiles(*Names) || !m_Files->syncFolder()) {
    failWrite();
    return std::nullopt;
  }
  if (!containsName(*Names, IdentityName)) {
    if (!initializeFolder(*Names))
      return std::nullopt;
  } else if (!loadIdentity() || !loadHardState() || !loadSnapshot(*Names) ||
             !loadEntries(*Names))
    return std::nullopt;
  m_IsUsable = true;
  return std::move(m_Loaded);
}

bool LogStorage::initializeFolder(const std::vector<std::string> &Names) {
  if (m_Settings.m_ExpectedVoter)
    return fail(
        ResultCode::WrongIdentity,
        "the data folder has no identity file; expected the folder of voter " +
            m_Settings.m_ExpectedVoter->value());
  if (!isPartiallyInitialized(Names))
    return fail(
        ResultCode::WrongIdentity,
        "the data folder holds a log, but its identity file is missing");
  for (const std::string &Name : Names)
    if (!m_Files->remove(Name))
      return failWrite();

  // The identity is written last: if it exists, all other files are complete.
  if (!replaceFile(HardStateName, encodeRecord(LogHardState())))
    return false;
  if (!m_Segments.reset(EntryId()))
    return failSegments();
  m_Loaded.m_Self = randomVoterId(m_Settings.m_Random);
  return replaceFile(
      IdentityName,
      encodeRecord(LogIdentity{m_Loaded.m_Self, m_Settings.m_ClusterName}));
}

bool LogStorage::isPartiallyInitialized(const std::vector<std::string> &Names) {
  // If creation of the folder was interrupted, it contains only these files, in
  // their initial state.
  for (const std::string &Name : Names) {
    const std::optional<std::string> Bytes = m_Files->read(Name);
    const bool IsInitial =
        Bytes && ((Name == HardStateName &&
                   *Bytes == encodeFrame(encodeRecord(LogHardState()))) ||
                  (Name == LogSegments::fileName(FirstSegment) &&
                   Bytes->size() <= LogSegments::emptySegmentBytes()));
    if (!IsInitial)
      return false;
  }
  return true;
}

bool LogStorage::removeTemporaryFiles(std::vector<std::string> &Names) {
  for (const std::string &Name : Names)
    if (Name.ends_with(TemporarySuffix) && !m_Files->remove(Name))
      return false;
  std::erase_if(Names, [](const std::string &Name) {
    return Name.ends_with(TemporarySuffix);
  });
  return true;
}

bool LogStorage::loadIdentity() {
  const std::optional<std::string> Bytes = readFile(IdentityName);
  if (!Bytes)
    return false;
  const auto Identity = decodeRecord<LogIdentity>(*Bytes);
  if (!Identity)
    return fail(ResultCode::LogCorrupt,
                "identity: unknown record type or format version");
  if (Identity->m_ClusterName != m_Settings.m_ClusterName)
    return fail(ResultCode::WrongIdentity,
                "the data folder belongs to cluster " +
                    Identity->m_ClusterName);
  if (m_Settings.m_ExpectedVoter &&
      *m_Settings.m_ExpectedVoter != Identity->m_Voter)
    return fail(ResultCode::WrongIdentity, "the data folder belongs to voter " +
                                               Identity->m_Voter.value());
  m_Loaded.m_Self = Identity->m_Voter;
  return true;
}

bool LogStorage::loadHardState() {
  const std::optional<std::string> Bytes = readFile(HardStateName);
  if (!Bytes)
    return false;
  const auto State = decodeRecord<LogHardState>(*Bytes);
  if (!State)
    return fail(ResultCode::LogCorrupt,
                "state: unknown record type or format version");
  m_Loaded.m_HardState = *State;
  return true;
}

bool LogStorage::loadSnapshot(const std::vector<std::string> &Names) {
  // The names are sorted by index, so the last one is the newest.
  for (const std::string &Name : Names)
    if (isSnapshot(Name))
      m_SnapshotName = Name;
  if (m_SnapshotName.empty())
    return true;
  const std::optional<std::string> Bytes = readFile(m_SnapshotName);
  if (!Bytes)
    return false;
  auto Snapshot = decodeRecord<LogSnapshot>(*Bytes);
  if (!Snapshot || snapshotName(Snapshot->m_Last.m_Index) != m_SnapshotName)
    return fail(
        ResultCode::LogCorrupt,
        m_SnapshotName +
            ": unknown record type or format version, or snapshot of another "
            "entry");
  m_Loaded.m_Snapshot = std::move(*Snapshot);

  // Older snapshots remain after a crash before their deletion.
  for (const std::string &Name : Names)
    if (isSnapshot(Name) && Name != m_SnapshotName && !m_Files->remove(Name))
      return failWrite();
  return true;
}

bool LogStorage::loadEntries(const std::vector<std::string> &Names) {
  if (!m_Segments.load(Names))
    return failSegments();
  m_Loaded.m_Previous = m_Segments.previous();
  m_Loaded.m_Entries = m_Segments.takeEntries();
  const EntryId SnapshotLast = m_Loaded.m_Snapshot.m_Last;
  const LogIndex First(m_Loaded.m_Previous.m_Index.value() + 1);
  if (m_Loaded.m_Previous.m_Index > SnapshotLast.m_Index)
    return fail(ResultCode::LogCorrupt,
                "the log begins with entry " + std::to_string(First.value()) +
                    ", but no snapshot covers the entries before it");

  // A snapshot received from the leader replaces a log that does not contain
  // its last entry. If a crash came after the snapshot was written, complete
  // the replacement now.
  EntryId EntryAtSnapshot = m_Loaded.m_Previous;
  if (SnapshotLast.m_Index >= First) {
    const std::uint64_t Offset = SnapshotLast.m_Index.value() - First.value();
    EntryAtSnapshot = Offset < m_Loaded.m_Entries.size()
                          ? m_Loaded.m_Entries[Offset].m_Id
                          : EntryId();
  }
  if (EntryAtSnapshot != SnapshotLast) {
    m_Loaded.m_Entries.clear();
    m_Loaded.m_Previous = SnapshotLast;
    if (!m_Segments.reset(SnapshotLast))
      return failSegments();
  }

  const EntryId Last = m_Loaded.m_Entries.empty()
                           ? m_Loaded.m_Previous
                           : m_Loaded.m_Entries.back().m_Id;
  if (Last.m_Term > m_Loaded.m_HardState.m_Term)
    return fail(ResultCode::LogCorrupt,
                "state: its term is older than the term of the last entry");
  return true;
}

bool LogStorage::persist(const PersistLog &Change) {
  if (!m_IsUsable)
    return fail(ResultCode::LogWriteFailed,
                "the log storage is not open or has failed: " + m_LastReason);
  m_IsUsable = false;
  if (Change.m_HardState &&
      !replaceFile(HardStateName, encodeRecord(*Change.m_HardState)))
    return false;
  if (Change.m_Snapshot && !saveSnapshot(*Change.m_Snapshot))
    return false;
  if (Change.m_ReplaceLog && !m_Segments.reset(Change.m_Snapshot->m_Last))
    return failSegments();
  if (Change.m_TruncateFrom && !m_Segments.truncateFrom(*Change.m_TruncateFrom))
    return failSegments();
  if (!appendEntries(Change))
    return false;
  if (Change.m_CompactTo && !m_Segments.deleteUpTo(Change.m_CompactTo->m_Index))
    return failSegments();
  m_IsUsable = true;
  return true;
}

bool LogStorage::discardUnsynced() {
  assert(!m_IsUsable);
  return m_Segments.discardUnsynced() || failSegments();
}

bool LogStorage::appendEntries(const PersistLog &Change) {
  LogBatch Batch;
  std::size_t Bytes = 0;
  for (const LogEntry &Entry : Change.m_Append) {
    Batch.m_Entries.push_back(Entry);
    Bytes += Entry.m_Payload.size();
    if (Bytes < m_Settings.m_BatchBytes && &Entry != &Change.m_Append.back())
      continue;
    if (!m_Segments.append(Batch))
      return failSegments();
    Batch = LogBatch();
    Bytes = 0;
  }
  return true;
}

bool LogStorage::saveSnapshot(const LogSnapshot &Snapshot) {
  const std::string PreviousName = m_SnapshotName;
  m_SnapshotName = snapshotName(Snapshot.m_Last.m_Index);
  if (!replaceFile(m_SnapshotName, encodeRecord(Snapshot)))
    return false;
  return PreviousName.empty() || PreviousName == m_SnapshotName ||
         m_Files->remove(PreviousName) || failWrite();
}

bool LogStorage::replaceFile(const std::string &Name,
                             const std::string &Record) {
  // The new file must be durable before it replaces the old one.
  const std::string Temporary = Name + std::string(TemporarySuffix);
  const std::unique_ptr<AppendFile> File = m_Files->openAppend(Temporary);
  if (!File)
    return failWrite();
  if (!File->append(encodeFrame(Record)) || !File->sync())
    return fail(ResultCode::LogWriteFailed, File->lastReason());
  return (m_Files->rename(Temporary, Name) && m_Files->syncFolder()) ||
         failWrite();
}

std::optional<std::string> LogStorage::readFile(const std::string &Name) {
  const std::optional<std::string> Bytes = m_Files->read(Name);
  if (!Bytes) {
    fail(ResultCode::LogCorrupt, m_Files->lastReason());
    return std::nullopt;
  }
  const std::optional<std::string_view> Body = decodeFrame(*Bytes);
  if (Body && LogFrameHeaderBytes + Body->size() == Bytes->size())
    return std::string(*Body);
  fail(ResultCode::LogCorrupt, Name + ": incomplete record or wrong checksum");
  return std::nullopt;
}

bool LogStorage::fail(ResultCode Code, const std::string &Reason) {
  m_LastCode = Code;
  m_LastReason = Reason;
  return false;
}

} // namespace ragwortmux
