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
                         std::function<void(const std::string &)> Note)
    : m_Files(Files), m_SegmentBytes(SegmentBytes), m_Note(std::move(Note)) {}

bool LogSegments::isSegment(const std::string &Name) {
  return Name.starts_with(Prefix) &&
         Name.size() == Prefix.size() + NumberDigits;
}

std::string LogSegments::fileName(std::uint64_t Number) {
  const std::string Digits = std::to_string(Number);
  return std::string(Prefix) + std::string(NumberDigits - Digits.size(), '0') +
         Digits;
}

std::size_t LogSegments::blankSize() {
  return encodeFrame(encodeRecord(LogSegmentHead())).size();
}

bool LogSegments::reset(const EntryId &Previous) {
  const std::uint64_t Number =
      m_Segments.empty() ? 1 : m_Segments.back().m_Number + 1;
  if (!start({Number, Previous, true}))
    return false;
  while (m_Segments.size() > 1)
    if (!dropFirst())
      return false;
  return true;
}

bool LogSegments::load(const std::vector<std::string> &Names) {
  std::vector<std::string> Own;
  std::copy_if(Names.begin(), Names.end(), std::back_inserter(Own), isSegment);
  if (Own.empty())
    return corrupt("the data folder contains no segment file");
  for (const std::string &Name : Own)
    if (!loadSegment(Name, Name == Own.back()))
      return false;
  if (m_Segments.empty())
    return corrupt(Own.front() + ": the only segment has no valid header");

  // Data written by a process that was killed may not be durable yet.
  m_File = m_Files.openAppend(fileName(m_Segments.back().m_Number));
  if (!m_File)
    return failWrite(m_Files.lastReason());
  m_OpenName = fileName(m_Segments.back().m_Number);
  if (!m_File->sync())
    return failWrite(m_File->lastReason());
  return true;
}

bool LogSegments::truncateFrom(LogIndex From) {
  const LogIndex Left(From.value() - 1);
  const std::optional<LogTerm> Term = termAt(Left);
  assert(Term);
  return start({m_Segments.back().m_Number + 1, {Left, *Term}, false});
}

bool LogSegments::append(const LogBatch &Batch) {
  assert(!Batch.m_Entries.empty());
  assert(Batch.m_Entries.front().m_Id.m_Index == next(m_Last.m_Index));
  if (m_FileBytes > m_SegmentBytes &&
      !start({m_Segments.back().m_Number + 1, m_Last, false}))
    return false;
  if (!write(encodeRecord(Batch)))
    return false;
  for (const LogEntry &Entry : Batch.m_Entries)
    appended(Entry.m_Id);
  return true;
}

bool LogSegments::dropUpTo(LogIndex Index) {
  while (m_Segments.size() > 1 && m_Segments[1].m_Previous <= Index)
    if (!dropFirst())
      return false;
  return true;
}

bool LogSegments::dropFirst() {
  // Sync after each deletion: a crash must not leave a gap between segments.
  if (!m_Files.remove(fileName(m_Segments.front().m_Number)) ||
      !m_Files.syncFolder())
    return failWrite(m_Files.lastReason());
  m_Segments.erase(m_Segments.begin());
  return true;
}

bool LogSegments::start(const LogSegmentHead &Head) {
  m_File = m_Files.openAppend(fileName(Head.m_Number));
  if (!m_File)
    return failWrite(m_Files.lastReason());
  m_OpenName = fileName(Head.m_Number);
  m_FileBytes = 0;
  if (!write(encodeRecord(Head)))
    return false;
  if (!m_Files.syncFolder())
    return failWrite(m_Files.lastReason());
  restartAt(Head, Head.m_Reset);
  return true;
}

bool LogSegments::discardUnsynced() {
  return m_OpenName.empty() || m_Files.truncate(m_OpenName, m_FileBytes) ||
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
    return corrupt(m_Files.lastReason());
  std::size_t At = 0;
  while (At < Bytes->size() || At == 0) {
    const std::string_view Rest = std::string_view(*Bytes).substr(At);
    const std::optional<std::string_view> Body = decodeFrame(Rest);
    if (!Body) {
      if (!IsLast ||
          containsFrame(Rest.substr(std::min<std::size_t>(1, Rest.size()))))
        return corrupt(Name + ": incomplete record or wrong checksum at byte " +
                       std::to_string(At) +
                       ", followed by valid records or segments");
      return cutTail(Name, At);
    }
    if (At == 0) {
      const auto Head = decodeRecord<LogSegmentHead>(*Body);
      if (!Head || !replayHead(Name, *Head))
        return Head ? false
                    : corrupt(Name + ": unknown header or format version");
    } else {
      auto Batch = decodeRecord<LogBatch>(*Body);
      if (!Batch || !replayBatch(Name, std::move(*Batch)))
        return Batch
                   ? false
                   : corrupt(Name + ": unknown record type or format version");
    }
    At += LogFrameHeadBytes + Body->size();
  }
  m_FileBytes = At;
  return true;
}

bool LogSegments::cutTail(const std::string &Name, std::size_t Size) {
  if (m_Note)
    m_Note(Name + ": truncated an incomplete last record at byte " +
           std::to_string(Size));
  m_FileBytes = Size;
  if (Size > 0)
    return m_Files.truncate(Name, Size) || failWrite(m_Files.lastReason());
  // A segment without a header contains no entries.
  return (m_Files.remove(Name) && m_Files.syncFolder()) ||
         failWrite(m_Files.lastReason());
}

bool LogSegments::replayHead(const std::string &Name,
                             const LogSegmentHead &Head) {
  if (fileName(Head.m_Number) != Name)
    return corrupt(Name + ": contains the header of another segment");
  if (!m_Segments.empty() && m_Segments.back().m_Number + 1 != Head.m_Number)
    return corrupt(Name + ": the preceding segment is missing");
  // If the first segments are deleted, the log may have been truncated before
  // the first entry that remains.
  const bool Begins = m_Segments.empty() || Head.m_Reset ||
                      Head.m_Previous.m_Index < m_Previous.m_Index;
  if (!Begins && termAt(Head.m_Previous.m_Index) != Head.m_Previous.m_Term)
    return corrupt(Name + ": does not continue the preceding segment");
  restartAt(Head, Begins);
  return true;
}

bool LogSegments::replayBatch(const std::string &Name, LogBatch &&Batch) {
  for (LogEntry &Entry : Batch.m_Entries) {
    if (Entry.m_Id.m_Index != next(m_Last.m_Index) ||
        Entry.m_Id.m_Term < m_Last.m_Term)
      return corrupt(Name + ": entry " +
                     std::to_string(Entry.m_Id.m_Index.value()) +
                     " does not follow the preceding entry");
    appended(Entry.m_Id);
    m_Entries.push_back(std::move(Entry));
  }
  return true;
}

void LogSegments::restartAt(const LogSegmentHead &Head, bool Begins) {
  const LogIndex Left = Head.m_Previous.m_Index;
  if (Begins) {
    m_Previous = Head.m_Previous;
    m_Entries.clear();
    m_TermStarts.clear();
  }
  while (!m_Entries.empty() && m_Entries.back().m_Id.m_Index > Left)
    m_Entries.pop_back();
  while (!m_TermStarts.empty() && m_TermStarts.back().m_Index > Left)
    m_TermStarts.pop_back();
  m_Last = Head.m_Previous;
  m_Segments.push_back({Head.m_Number, Left});
}

void LogSegments::appended(const EntryId &Id) {
  if (Id.m_Term != m_Last.m_Term)
    m_TermStarts.push_back(Id);
  m_Last = Id;
}

std::optional<LogTerm> LogSegments::termAt(LogIndex Index) const {
  if (Index < m_Previous.m_Index || Index > m_Last.m_Index)
    return std::nullopt;
  LogTerm Term = m_Previous.m_Term;
  for (const EntryId &Start : m_TermStarts)
    if (Start.m_Index <= Index)
      Term = Start.m_Term;
  return Term;
}

bool LogSegments::corrupt(const std::string &Reason) {
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
