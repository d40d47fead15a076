#include "ragwortmux/Connection/Codec/PgMessageWriter.h"

#include <cassert>
#include <limits>

namespace ragwortmux {

namespace {

constexpr std::size_t LengthBytes = 4;
/// Length field of a NULL value.
constexpr std::uint32_t NullLength = 0xFFFFFFFF;

} // namespace

void PgMessageWriter::encryptionRefused() { m_Output.push_back('N'); }

void PgMessageWriter::authenticationOk() {
  const std::size_t Offset = beginMessage('R');
  putUint32(0);
  endMessage(Offset);
}

void PgMessageWriter::authenticationCleartextPassword() {
  constexpr std::uint32_t CleartextPassword = 3;
  const std::size_t Offset = beginMessage('R');
  putUint32(CleartextPassword);
  endMessage(Offset);
}

void PgMessageWriter::negotiateProtocolVersion(
    std::uint32_t NewestMinor, std::span<const std::string> Unrecognized) {
  const std::size_t Offset = beginMessage('v');
  putUint32(NewestMinor);
  putUint32(static_cast<std::uint32_t>(Unrecognized.size()));
  for (const std::string &Name : Unrecognized) {
    putString(Name);
  }
  endMessage(Offset);
}

void PgMessageWriter::parameterStatus(std::string_view Name,
                                      std::string_view Value) {
  const std::size_t Offset = beginMessage('S');
  putString(Name);
  putString(Value);
  endMessage(Offset);
}

void PgMessageWriter::backendKeyData(std::uint32_t ProcessId,
                                     std::uint32_t SecretKey) {
  const std::size_t Offset = beginMessage('K');
  putUint32(ProcessId);
  putUint32(SecretKey);
  endMessage(Offset);
}

void PgMessageWriter::readyForQuery(PgTransactionStatus Status) {
  const std::size_t Offset = beginMessage('Z');
  m_Output.push_back(static_cast<char>(Status));
  endMessage(Offset);
}

void PgMessageWriter::rowDescription(std::span<const PgColumn> Columns) {
  const std::size_t Offset = beginMessage('T');
  putUint16(static_cast<std::uint16_t>(Columns.size()));
  for (const PgColumn &Column : Columns) {
    putString(Column.m_Name);
    putUint32(0); // Not a column of a table.
    putUint16(0); // No column number.
    putUint32(Column.m_TypeOid);
    putUint16(static_cast<std::uint16_t>(Column.m_TypeSize));
    putUint32(static_cast<std::uint32_t>(Column.m_TypeModifier));
    putUint16(0); // Text format.
  }
  endMessage(Offset);
}

void PgMessageWriter::dataRow(const PgRow &Row) {
  const std::size_t Offset = beginMessage('D');
  putUint16(static_cast<std::uint16_t>(Row.size()));
  for (const auto &Value : Row) {
    if (!Value) {
      putUint32(NullLength);
      continue;
    }
    putUint32(static_cast<std::uint32_t>(Value->size()));
    m_Output.append(*Value);
  }
  endMessage(Offset);
}

void PgMessageWriter::commandComplete(std::string_view Tag) {
  const std::size_t Offset = beginMessage('C');
  putString(Tag);
  endMessage(Offset);
}

void PgMessageWriter::emptyQueryResponse() { endMessage(beginMessage('I')); }

void PgMessageWriter::errorResponse(const PgError &Error) {
  putErrorFields('E', Error);
}

void PgMessageWriter::noticeResponse(const PgError &Notice) {
  putErrorFields('N', Notice);
}

void PgMessageWriter::result(const PgResult &Result) {
  if (!Result.m_Columns.empty()) {
    rowDescription(Result.m_Columns);
  }
  for (const PgRow &Row : Result.m_Rows) {
    assert(Row.size() == Result.m_Columns.size());
    dataRow(Row);
  }
  if (Result.m_Error) {
    errorResponse(*Result.m_Error);
    return;
  }
  if (Result.m_CommandTag.empty()) {
    emptyQueryResponse();
    return;
  }
  commandComplete(Result.m_CommandTag);
}

std::size_t PgMessageWriter::beginMessage(char Type) {
  m_Output.push_back(Type);
  m_Output.append(LengthBytes, '\0');
  return m_Output.size() - LengthBytes;
}

void PgMessageWriter::endMessage(std::size_t LengthOffset) {
  const std::size_t Length = m_Output.size() - LengthOffset;
  assert(Length <= std::numeric_limits<std::int32_t>::max());
  for (std::size_t Index = 0; Index < LengthBytes; ++Index) {
    const std::size_t Shift = 8 * (LengthBytes - 1 - Index);
    m_Output[LengthOffset + Index] = static_cast<char>(Length >> Shift & 0xFF);
  }
}

void PgMessageWriter::putUint16(std::uint16_t Value) {
  m_Output.push_back(static_cast<char>(Value >> 8));
  m_Output.push_back(static_cast<char>(Value & 0xFF));
}

void PgMessageWriter::putUint32(std::uint32_t Value) {
  putUint16(static_cast<std::uint16_t>(Value >> 16));
  putUint16(static_cast<std::uint16_t>(Value & 0xFFFF));
}

void PgMessageWriter::putString(std::string_view Text) {
  // Strings are zero-terminated, so the text is cut at its first zero byte.
  m_Output.append(Text.substr(0, Text.find('\0')));
  m_Output.push_back('\0');
}

void PgMessageWriter::putErrorFields(char Type, const PgError &Error) {
  const std::size_t Offset = beginMessage(Type);
  const auto PutField = [this](char Field, std::string_view Text) {
    if (Text.empty()) {
      return;
    }
    m_Output.push_back(Field);
    putString(Text);
  };
  PutField('S', Error.m_Severity);
  PutField('V', Error.m_Severity);
  PutField('C', Error.m_SqlState);
  PutField('M', Error.m_Message);
  PutField('D', Error.m_Detail);
  PutField('H', Error.m_Hint);
  m_Output.push_back('\0');
  endMessage(Offset);
}

} // namespace ragwortmux
