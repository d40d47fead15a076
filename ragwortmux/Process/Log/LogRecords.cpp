#include "ragwortmux/Process/Log/LogRecords.h"

#include "ragwortmux/Process/Log/ByteCodec.h"

namespace ragwortmux {

namespace {

ByteWriter beginRecord(LogRecordKind Kind) {
  ByteWriter Writer;
  Writer.u32(LogFormatVersion);
  Writer.u8(static_cast<std::uint8_t>(Kind));
  return Writer;
}

bool readRecordHeader(ByteReader &Reader, LogRecordKind Kind) {
  const bool IsKnownVersion = Reader.u32() == LogFormatVersion;
  return Reader.u8() == static_cast<std::uint8_t>(Kind) && IsKnownVersion;
}

void write(ByteWriter &Writer, const EntryId &Id) {
  Writer.u64(Id.m_Index.value());
  Writer.u64(Id.m_Term.value());
}

EntryId readEntryId(ByteReader &Reader) {
  const LogIndex Index(Reader.u64());
  return {Index, LogTerm(Reader.u64())};
}

void write(ByteWriter &Writer, const LogMembership &Membership) {
  Writer.u32(static_cast<std::uint32_t>(Membership.m_Members.size()));
  for (const LogMember &Member : Membership.m_Members) {
    Writer.string(Member.m_Id.value());
    Writer.string(Member.m_Address);
    Writer.u8(Member.m_IsVoter ? 1 : 0);
  }
}

LogMembership readMembership(ByteReader &Reader) {
  LogMembership Membership;
  const std::uint32_t Count = Reader.u32();
  for (std::uint32_t Number = 0; Number < Count && Reader.isOk(); ++Number) {
    LogMember Member;
    Member.m_Id = VoterId(Reader.string());
    Member.m_Address = Reader.string();
    Member.m_IsVoter = Reader.u8() != 0;
    Membership.m_Members.push_back(std::move(Member));
  }
  return Membership;
}

void write(ByteWriter &Writer, const LogEntry &Entry) {
  write(Writer, Entry.m_Id);
  Writer.u8(static_cast<std::uint8_t>(Entry.m_Kind));
  Writer.string(Entry.m_Payload);
  write(Writer, Entry.m_Membership);
}

LogEntry readEntry(ByteReader &Reader) {
  LogEntry Entry;
  Entry.m_Id = readEntryId(Reader);
  Entry.m_Kind = static_cast<LogEntryKind>(Reader.u8());
  Entry.m_Payload = Reader.string();
  Entry.m_Membership = readMembership(Reader);
  return Entry;
}

template <typename Record>
std::optional<Record> finish(const ByteReader &Reader, Record Read) {
  if (!Reader.isAtEnd())
    return std::nullopt;
  return Read;
}

} // namespace

std::string encodeRecord(const LogIdentity &Identity) {
  ByteWriter Writer = beginRecord(LogRecordKind::Identity);
  Writer.string(Identity.m_Voter.value());
  Writer.string(Identity.m_ClusterName);
  return Writer.take();
}

std::string encodeRecord(const LogHardState &State) {
  ByteWriter Writer = beginRecord(LogRecordKind::HardState);
  Writer.u64(State.m_Term.value());
  Writer.string(State.m_VotedFor.value());
  return Writer.take();
}

std::string encodeRecord(const LogSnapshot &Snapshot) {
  ByteWriter Writer = beginRecord(LogRecordKind::Snapshot);
  write(Writer, Snapshot.m_Last);
  write(Writer, Snapshot.m_Membership);
  Writer.string(Snapshot.m_State);
  return Writer.take();
}

std::string encodeRecord(const LogSegmentHeader &Header) {
  ByteWriter Writer = beginRecord(LogRecordKind::Segment);
  Writer.u64(Header.m_Number);
  write(Writer, Header.m_Previous);
  Writer.u8(Header.m_IsReset ? 1 : 0);
  return Writer.take();
}

std::string encodeRecord(const LogBatch &Batch) {
  ByteWriter Writer = beginRecord(LogRecordKind::Batch);
  Writer.u32(static_cast<std::uint32_t>(Batch.m_Entries.size()));
  for (const LogEntry &Entry : Batch.m_Entries)
    write(Writer, Entry);
  return Writer.take();
}

template <> std::optional<LogIdentity> decodeRecord(std::string_view Bytes) {
  ByteReader Reader(Bytes);
  if (!readRecordHeader(Reader, LogRecordKind::Identity))
    return std::nullopt;
  LogIdentity Identity;
  Identity.m_Voter = VoterId(Reader.string());
  Identity.m_ClusterName = Reader.string();
  return finish(Reader, std::move(Identity));
}

template <> std::optional<LogHardState> decodeRecord(std::string_view Bytes) {
  ByteReader Reader(Bytes);
  if (!readRecordHeader(Reader, LogRecordKind::HardState))
    return std::nullopt;
  LogHardState State;
  State.m_Term = LogTerm(Reader.u64());
  State.m_VotedFor = VoterId(Reader.string());
  return finish(Reader, std::move(State));
}

template <> std::optional<LogSnapshot> decodeRecord(std::string_view Bytes) {
  ByteReader Reader(Bytes);
  if (!readRecordHeader(Reader, LogRecordKind::Snapshot))
    return std::nullopt;
  LogSnapshot Snapshot;
  Snapshot.m_Last = readEntryId(Reader);
  Snapshot.m_Membership = readMembership(Reader);
  Snapshot.m_State = Reader.string();
  return finish(Reader, std::move(Snapshot));
}

template <>
std::optional<LogSegmentHeader> decodeRecord(std::string_view Bytes) {
  ByteReader Reader(Bytes);
  if (!readRecordHeader(Reader, LogRecordKind::Segment))
    return std::nullopt;
  LogSegmentHeader Header;
  Header.m_Number = Reader.u64();
  Header.m_Previous = readEntryId(Reader);
  Header.m_IsReset = Reader.u8() != 0;
  return finish(Reader, Header);
}

template <> std::optional<LogBatch> decodeRecord(std::string_view Bytes) {
  ByteReader Reader(Bytes);
  if (!readRecordHeader(Reader, LogRecordKind::Batch))
    return std::nullopt;
  LogBatch Batch;
  const std::uint32_t Count = Reader.u32();
  for (std::uint32_t Number = 0; Number < Count && Reader.isOk(); ++Number)
    Batch.m_Entries.push_back(readEntry(Reader));
  return finish(Reader, std::move(Batch));
}

} // namespace ragwortmux
