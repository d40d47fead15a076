#include "ragwortmux/Process/Log/LogSegments.h"

#include "ragwortmux/Process/Log/LogFrame.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <optional>
#include <utility>

namespace ragwortmux {

namespace {

constexpr std::string_view Prefix = "segment-";
constexpr std::size_t NumberDigits = 16;

LogIndex next(LogIndex Index) { return LogIndex(Index.value() + 1); }

} // namespace

LogSegments::LogSegments(FileSystem &Files, std::size_t SegmentBytes,
                         std::function<void(const std::string &)> OnRepair)
    : m_Files(Files), m_SegmentBytes(SegmentBytes),
      m_OnRepair(std::move(OnRepair)) {}

bool LogSegments::isSegmentName(const std::string &Name) {
  return Name.starts_with(Prefix) &&
         Name.size() == Prefix.size() + NumberDigits;
}

std::string LogSegments::fileName(std::uint64_t Number) {
  const std::string Digits = std::to_string(Number);
  return std::string(Prefix) + std::string(NumberDigits - Digits.size(), '0') +
         Digits;
}

std::size_t LogSegments::emptySegmentBytes() {
  return encodeFrame(encodeRecord(LogSegmentHeader())).size();
}

bool LogSegments::reset(const EntryId &Previous) {
  const std::uint64_t Number =
      m_Segments.empty() ? 1 : m_Segments.back().m_Number + 1;
  if (!startSegment({Number, Previous, true}))
    return false;
  while (m_Segments.size() > 1)
    if (!deleteFirstSegment())
      return false;
  return true;
}

bool LogSegments::load(const std::vector<std::string> &Names) {
  std::vector<std::string> SegmentNames;
  std::copy_if(Names.begin(), Names.end(), std::back_inserter(SegmentNames),
               isSegmentName);
  if (SegmentNames.empty())
    return failCorrupt("the data folder contains no segment file");
  for (const std::string &Name : SegmentNames)
    if (!loadSegment(Name, Name == SegmentNames.back()))
      return false;
  if (m_Segments.empty())
    return failCorrupt(SegmentNames.front() +
                       ": the only segment has no valid header");

  // Data written by a process that was killed may not be durable yet.
  m_File = m_Files.openAppend(fileName(m_Segments.back().m_Number));
  if (!m_File)
    return failWrite(m_Files.lastReason());
  m_OpenFileName = fileName(m_Segments.back().m_Number);
  if (!m_File->sync())
    return failWrite(m_File->lastReason());
  return true;
}

bool LogSegments::truncateFrom(LogIndex From) {
  const LogIndex LastRemaining(From.value() - 1);
  const std::optional<LogTerm> Term = termAt(LastRemaining);
  assert(Term);
  return startSegment(
      {m_Segments.back().m_Number + 1, {LastRemaining, *Term}, false});
}

bool LogSegments::append(const LogBatch &Batch) {
  assert(!Batch.m_Entries.empty());
  assert(Batch.m_Entries.front().m_Id.m_Index == next(m_Last.m_Index));
  if (m_FileBytes > m_SegmentBytes &&
      !startSegment({m_Segments.back().m_Number + 1, m_Last, false}))
    return false;
  if (!write(encodeRecord(Batch)))
    return false;
  for (const LogEntry &Entry : Batch.m_Entries)
    recordAppended(Entry.m_Id);
  return true;
}

bool LogSegments::deleteUpTo(LogIndex Index) {
  while (m_Segments.size() > 1 && m_Segments[1].m_Previous <= Index)
    if (!deleteFirstSegment())
      return false;
  return true;
}

bool LogSegments::deleteFirstSegment() {
  // Sync after each deletion: a crash must not leave a gap between segments.
  if (!m_Files.remove(fileName(m_Segments.front().m_Number)) ||
      !m_Files.syncFolder())
    return failWrite(m_Files.lastReason());
  m_Segments.erase(m_Segments.begin());
  return true;
}

bool LogSegments::startSegment(const LogSegmentHeader &Header) {
  m_File = m_Files.openAppend(fileName(Header.m_Number));
  if (!m_File)
    return failWrite(m_Files.lastReason());
  m_OpenFileName = fileName(Header.m_Number);
  m_FileBytes = 0;
  if (!write(encodeRecord(Header)))
    return false;
  if (!m_Files.syncFolder())
    return failWrite(m_Files.lastReason());
  beginSegment(Header, Header.m_IsReset);
  return true;
}

bool LogSegments::discardUnsynced() {
  return m_OpenFileName.empty() ||
         m_Files.truncate(m_OpenFileName, m_FileBytes) ||
         failWrite(m_Files.lastReason());
}

bool LogSegments::write(std::string_view Body) {
  const std::string Frame = encodeFrame(Body);
  if (!m_File->append(Frame) || !m_File->sync())
    return failWrite(m_File->lastReason());
  m_FileBytes += Frame.size();
  return true;
}

bool LogSegments::loadSegment(const std::string &Name, bool IsLast) {
  const std::optional<std::string> Bytes = m_Files.read(Name);
  if (!Bytes)
    return failCorrupt(m_Files.lastReason());
  std::size_t Offset = 0;
  while (Offset < Bytes->size() || Offset == 0) {
    const std::string_view Rest = std::string_view(*Bytes).substr(Offset);
    const std::optional<std::string_view> Body = decodeFrame(Rest);
    if (!Body) {
      if (!IsLast ||
          containsFrame(Rest.substr(std::min<std::size_t>(1, Rest.size()))))
        return failCorrupt(
            Name + ": incomplete record or wrong checksum at byte " +
            std::to_string(Offset) + ", followed by valid records or segments");
      return truncateTail(Name, Offset);
    }
    if (Offset == 0) {
      const auto Header = decodeRecord<LogSegmentHeader>(*Body);
      if (!Header || !replayHeader(Name, *Header))
        return Header
                   ? false
                   : failCorrupt(Name + ": unknown header or format version");
    } else {
      auto Batch = decodeRecord<LogBatch>(*Body);
      if (!Batch || !replayBatch(Name, std::move(*Batch)))
        return Batch ? false
                     : failCorrupt(Name +
                                   ": unknown record type or format version");
    }
    Offset += LogFrameHeaderBytes + Body->size();
  }
  m_FileBytes = Offset;
  return true;
}

bool LogSegments::truncateTail(const std::string &Name, std::size_t Size) {
  if (m_OnRepair)
    m_OnRepair(Name + ": truncated an incomplete last record at byte " +
               std::to_string(Size));
  if (Size > 0) {
    m_FileBytes = Size;
    return m_Files.truncate(Name, Size) || failWrite(m_Files.lastReason());
  }
  // A segment without a header contains no entries. The one before it is
  // continued, and m_FileBytes is its size already.
  return (m_Files.remove(Name) && m_Files.syncFolder()) ||
         failWrite(m_Files.lastReason());
}

bool LogSegments::replayHeader(const std::string &Name,
                               const LogSegmentHeader &Header) {
  if (fileName(Header.m_Number) != Name)
    return failCorrupt(Name + ": contains the header of another segment");
  if (!m_Segments.empty() && m_Segments.back().m_Number + 1 != Header.m_Number)
    return failCorrupt(Name + ": the preceding segment is missing");
  // If the first segments are deleted, the log may have been truncated before
  // the first entry that remains.
  const bool StartsNewLog = m_Segments.empty() || Header.m_IsReset ||
                            Header.m_Previous.m_Index < m_Previous.m_Index;
  if (!StartsNewLog &&
      termAt(Header.m_Previous.m_Index) != Header.m_Previous.m_Term)
    return failCorrupt(Name + ": does not continue the preceding segment");
  beginSegment(Header, StartsNewLog);
  return true;
}

bool LogSegments::replayBatch(const std::string &Name, LogBatch &&Batch) {
  for (LogEntry &Entry : Batch.m_Entries) {
    if (Entry.m_Id.m_Index != next(m_Last.m_Index) ||
        Entry.m_Id.m_Term < m_Last.m_Term)
      return failCorrupt(Name + ": entry " +
                         std::to_string(Entry.m_Id.m_Index.value()) +
                         " does not follow the preceding entry");
    recordAppended(Entry.m_Id);
    m_Entries.push_back(std::move(Entry));
  }
  return true;
}

void LogSegments::beginSegment(const LogSegmentHeader &Header,
                               bool StartsNewLog) {
  const LogIndex LastRemaining = Header.m_Previous.m_Index;
  if (StartsNewLog) {
    m_Previous = Header.m_Previous;
    m_Entries.clear();
    m_TermStarts.clear();
  }
  while (!m_Entries.empty() && m_Entries.back().m_Id.m_Index > LastRemaining)
    m_Entries.pop_back();
  while (!m_TermStarts.empty() && m_TermStarts.back().m_Index > LastRemaining)
    m_TermStarts.pop_back();
  m_Last = Header.m_Previous;
  m_Segments.push_back({Header.m_Number, LastRemaining});
}

void LogSegments::recordAppended(const EntryId &Id) {
  if (Id.m_Term != m_Last.m_Term)
    m_TermStarts.push_back(Id);
  m_Last = Id;
}

std::optional<LogTerm> LogSegments::termAt(LogIndex Index) const {
  if (Index < m_Previous.m_Index || Index > m_Last.m_Index)
    return std::nullopt;
  LogTerm Term = m_Previous.m_Term;
  for (const EntryId &TermStart : m_TermStarts)
    if (TermStart.m_Index <= Index)
      Term = TermStart.m_Term;
  return Term;
}

bool LogSegments::failCorrupt(const std::string &Reason) {
  m_LastCode = ResultCode::LogCorrupt;
  m_LastReason = Reason;
  return false;
}

bool LogSegments::failWrite(const std::string &Reason) {
  m_LastCode = ResultCode::LogWriteFailed;
  m_LastReason = Reason;
  return false;
}

} // namespace ragwortmux
