#include "tests/StandIn/StandInWire.h"

#include <sstream>

namespace ragwortmux::standin {

namespace {

constexpr std::size_t NumberBytes = 8;

void putNumber(std::string &Output, std::uint64_t Value, std::size_t Bytes) {
  for (std::size_t Index = Bytes; Index > 0; --Index) {
    Output.push_back(static_cast<char>(Value >> 8 * (Index - 1) & 0xFF));
  }
}

void putText(std::string &Output, const std::string &Text) {
  putNumber(Output, Text.size(), NumberBytes);
  Output += Text;
}

std::uint64_t decodeNumber(std::string_view Bytes) {
  std::uint64_t Value = 0;
  for (const char Byte : Bytes) {
    Value = Value << 8 | static_cast<unsigned char>(Byte);
  }
  return Value;
}

/// Reads the fields of a frame in order. After the end of the bytes, all fields
/// are 0 or empty, and the reader is invalid.
class FieldReader final {
public:
  explicit FieldReader(std::string_view Bytes) : m_Bytes(Bytes) {}

  std::uint64_t takeNumber() { return decodeNumber(takeBytes(NumberBytes)); }
  std::string takeText() { return std::string(takeBytes(takeNumber())); }
  /// True if all fields could be read and no bytes remain.
  bool isComplete() const { return m_Valid && m_Bytes.empty(); }
  bool isValid() const { return m_Valid; }

private:
  std::string_view takeBytes(std::uint64_t Count) {
    m_Valid = m_Valid && Count <= m_Bytes.size();
    if (!m_Valid) {
      return {};
    }
    const std::string_view Taken = m_Bytes.substr(0, Count);
    m_Bytes.remove_prefix(Count);
    return Taken;
  }

  std::string_view m_Bytes; ///< Bytes not read yet.
  bool m_Valid = true;      ///< False once the bytes were too short.
};

} // namespace

std::string encodeFrame(const StandInFrame &Frame) {
  const StandInLogEntry &Entry = Frame.m_Entry;
  std::string Body(1, static_cast<char>(Frame.m_Kind));
  putNumber(Body, Entry.m_Point.m_Term.value(), NumberBytes);
  putNumber(Body, Entry.m_Point.m_Position.value(), NumberBytes);
  putText(Body, Entry.m_Attempt);
  putNumber(Body, Entry.m_AttemptAborted ? 1 : 0, NumberBytes);
  putText(Body, Entry.m_Statements);
  putNumber(Body, Entry.m_Changes.size(), NumberBytes);
  for (const StandInChange &Change : Entry.m_Changes) {
    putText(Body, Change.m_Table);
    putText(Body, Change.m_Key);
    putNumber(Body, Change.m_Value ? 1 : 0, NumberBytes);
    putText(Body, Change.m_Value.value_or(""));
  }
  putText(Body, Frame.m_Address);
  std::string Bytes;
  putNumber(Bytes, Body.size(), StandInFrameHeaderBytes);
  return Bytes + Body;
}

std::size_t frameLength(std::string_view Header) {
  return decodeNumber(Header);
}

std::optional<StandInFrame> decodeFrame(std::string_view Body) {
  if (Body.empty()) {
    return std::nullopt;
  }
  StandInFrame Frame;
  Frame.m_Kind = static_cast<StandInFrameKind>(Body.front());
  FieldReader Fields(Body.substr(1));
  StandInLogEntry &Entry = Frame.m_Entry;
  Entry.m_Point.m_Term = Term(Fields.takeNumber());
  Entry.m_Point.m_Position = LogPosition(Fields.takeNumber());
  Entry.m_Attempt = Fields.takeText();
  Entry.m_AttemptAborted = Fields.takeNumber() != 0;
  Entry.m_Statements = Fields.takeText();
  std::uint64_t Count = Fields.takeNumber();
  for (; Count > 0 && Fields.isValid(); --Count) {
    StandInChange Change;
    Change.m_Table = Fields.takeText();
    Change.m_Key = Fields.takeText();
    const bool HasValue = Fields.takeNumber() != 0;
    std::string Value = Fields.takeText();
    if (HasValue) {
      Change.m_Value = std::move(Value);
    }
    Entry.m_Changes.push_back(std::move(Change));
  }
  Frame.m_Address = Fields.takeText();
  return Fields.isComplete() ? std::optional(std::move(Frame)) : std::nullopt;
}

std::string encodeTermRuns(const std::vector<StandInTermRun> &Runs) {
  std::ostringstream Text;
  for (const StandInTermRun &Run : Runs) {
    Text << Run.m_Term.value() << ' ' << Run.m_LastPosition.value() << ' ';
  }
  return Text.str();
}

std::optional<std::vector<StandInTermRun>>
decodeTermRuns(const std::string &Text) {
  std::istringstream Input(Text);
  std::vector<StandInTermRun> Runs;
  std::uint64_t RunTerm = 0;
  std::uint64_t Last = 0;
  while (Input >> RunTerm >> Last) {
    Runs.push_back({Term(RunTerm), LogPosition(Last)});
  }
  return Input.eof() ? std::optional(std::move(Runs)) : std::nullopt;
}

} // namespace ragwortmux::standin
