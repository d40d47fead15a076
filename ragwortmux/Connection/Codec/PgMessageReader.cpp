#include "ragwortmux/Connection/Codec/PgMessageReader.h"

#include "ragwortmux/Core/ClearText.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace ragwortmux {

namespace {

constexpr std::size_t LengthBytes = 4;
constexpr std::size_t TypeBytes = 1;
/// Consumed bytes at the front of the buffer are erased once there are this
/// many.
constexpr std::size_t CompactAfterBytes = 64UL * 1024;

/// An empty buffer with more memory than this releases it.
constexpr std::size_t KeptBytes = 1024;

constexpr char PasswordType = 'p';
constexpr std::uint32_t MajorVersion = 3;
constexpr std::uint32_t CancelRequestCode = 80877102;
constexpr std::uint32_t SslRequestCode = 80877103;
constexpr std::uint32_t GssEncRequestCode = 80877104;

std::uint32_t readUint32(std::string_view Bytes) {
  assert(Bytes.size() >= LengthBytes);
  std::uint32_t Value = 0;
  for (const char Byte : Bytes.substr(0, LengthBytes)) {
    Value = Value << 8 | static_cast<unsigned char>(Byte);
  }
  return Value;
}

/// Removes a zero-terminated string from the front of \p Bytes and returns it.
std::optional<std::string_view> consumeString(std::string_view &Bytes) {
  const std::size_t End = Bytes.find('\0');
  if (End == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view Text = Bytes.substr(0, End);
  Bytes.remove_prefix(End + 1);
  return Text;
}

/// Splits \p Options at white space; a backslash escapes the next character.
std::vector<std::string> splitOptions(std::string_view Options) {
  std::vector<std::string> Words;
  bool InWord = false;
  for (std::size_t Index = 0; Index < Options.size(); ++Index) {
    char Character = Options[Index];
    if (Character == ' ' || (Character >= '\t' && Character <= '\r')) {
      InWord = false;
      continue;
    }
    if (Character == '\\' && Index + 1 < Options.size()) {
      Character = Options[++Index];
    }
    if (!InWord) {
      Words.emplace_back();
      InWord = true;
    }
    Words.back().push_back(Character);
  }
  return Words;
}

} // namespace

std::optional<PgParameters> parsePgOptions(std::string_view Options) {
  PgParameters Parsed;
  bool ExpectsPair = false;
  for (const std::string &Word : splitOptions(Options)) {
    std::string_view Pair = Word;
    if (!ExpectsPair && Pair == "-c") {
      ExpectsPair = true;
      continue;
    }
    if (!ExpectsPair && !Pair.starts_with("-c") && !Pair.starts_with("--")) {
      return std::nullopt;
    }
    if (!ExpectsPair) {
      Pair.remove_prefix(2);
    }
    const std::size_t Equals = Pair.find('=');
    if (Equals == std::string_view::npos || Equals == 0) {
      return std::nullopt;
    }
    Parsed[std::string(Pair.substr(0, Equals))] = Pair.substr(Equals + 1);
    ExpectsPair = false;
  }
  if (ExpectsPair) {
    return std::nullopt;
  }
  return Parsed;
}

PgMessageReader::PgMessageReader(PgMessageReaderSettings Settings)
    : m_Settings(Settings) {
  // The buffer must be able to hold a complete message of the maximum size.
  m_Settings.m_MaxBufferedBytes =
      std::max({Settings.m_MaxBufferedBytes, Settings.m_MaxStartupBytes,
                Settings.m_MaxMessageBytes + TypeBytes});
}

void PgMessageReader::feed(std::span<const std::byte> Bytes) {
  if (m_Error) {
    return;
  }
  // Checked before copying, so that the buffer never exceeds its limit.
  if (Bytes.size() > m_Settings.m_MaxBufferedBytes - bufferedBytes()) {
    fail("receive buffer limit exceeded");
    return;
  }
  m_Buffer.append(reinterpret_cast<const char *>(Bytes.data()), Bytes.size());
}

std::optional<PgFrontendMessage> PgMessageReader::next() {
  if (m_Error) {
    return std::nullopt;
  }
  if (m_HasEnded) {
    if (bufferedBytes() > 0) {
      fail("data after the last message");
    }
    return std::nullopt;
  }
  return m_HasStarted ? nextMessage() : nextStartupPacket();
}

std::optional<PgFrontendMessage> PgMessageReader::nextStartupPacket() {
  if (bufferedBytes() < LengthBytes) {
    return std::nullopt;
  }
  // Checked before the rest of the packet arrives, so that an oversized packet
  // is not buffered.
  const std::size_t Length = readUint32(pending());
  if (Length < 2 * LengthBytes || Length > m_Settings.m_MaxStartupBytes) {
    fail("invalid length of start-up packet");
    return std::nullopt;
  }
  if (bufferedBytes() < Length) {
    return std::nullopt;
  }
  auto Message =
      parseStartupPacket(pending().substr(LengthBytes, Length - LengthBytes));
  if (Message) {
    consume(Length);
  }
  return Message;
}

std::optional<PgFrontendMessage>
PgMessageReader::parseStartupPacket(std::string_view Packet) {
  const std::uint32_t Code = readUint32(Packet);
  const std::string_view Body = Packet.substr(LengthBytes);
  if (Code == SslRequestCode && Body.empty()) {
    return PgSslRequest{};
  }
  if (Code == GssEncRequestCode && Body.empty()) {
    return PgGssEncRequest{};
  }
  if (Code == CancelRequestCode && Body.size() == 2 * LengthBytes) {
    m_HasEnded = true;
    return PgCancelRequest{readUint32(Body),
                           readUint32(Body.substr(LengthBytes))};
  }
  return parseStartup(Code, Body);
}

std::optional<PgFrontendMessage>
PgMessageReader::parseStartup(std::uint32_t Version, std::string_view Body) {
  if (Version >> 16 != MajorVersion) {
    fail("unsupported protocol version");
    return std::nullopt;
  }
  PgStartup Startup;
  Startup.m_ProtocolVersion = Version;
  // An empty name ends the list of names and values.
  while (true) {
    const auto Name = consumeString(Body);
    if (Name && Name->empty() && Body.empty()) {
      break;
    }
    const auto Value = consumeString(Body);
    if (!Name || Name->empty() || !Value) {
      fail("malformed start-up packet");
      return std::nullopt;
    }
    Startup.m_Parameters[std::string(*Name)] = *Value;
  }
  if (const auto Found = Startup.m_Parameters.find("options");
      Found != Startup.m_Parameters.end()) {
    auto Options = parsePgOptions(Found->second);
    if (!Options) {
      fail("malformed options in start-up packet");
      return std::nullopt;
    }
    Startup.m_Options = std::move(*Options);
  }
  m_HasStarted = true;
  return Startup;
}

std::optional<PgFrontendMessage> PgMessageReader::nextMessage() {
  if (bufferedBytes() < TypeBytes + LengthBytes) {
    return std::nullopt;
  }
  const char Type = pending().front();
  const std::size_t Length = readUint32(pending().substr(TypeBytes));
  const std::size_t MaxLength = Type == PasswordType
                                    ? std::min(m_Settings.m_MaxPasswordBytes,
                                               m_Settings.m_MaxMessageBytes)
                                    : m_Settings.m_MaxMessageBytes;
  if (Length < LengthBytes || Length > MaxLength) {
    fail("invalid message length");
    return std::nullopt;
  }
  if (bufferedBytes() < TypeBytes + Length) {
    return std::nullopt;
  }
  auto Message = parseMessage(
      Type, pending().substr(TypeBytes + LengthBytes, Length - LengthBytes));
  if (Message && Type == PasswordType) {
    clearBytes(m_Buffer.data() + m_Offset, TypeBytes + Length);
  }
  if (Message) {
    consume(TypeBytes + Length);
  }
  return Message;
}

std::optional<PgFrontendMessage>
PgMessageReader::parseMessage(char Type, std::string_view Body) {
  switch (Type) {
  case 'Q':
    return parseQuery(Body);
  case 'X':
    m_HasEnded = true;
    return PgTerminate{};
  case PasswordType:
    return parsePassword(Body);
  default:
    return PgUnsupported{Type};
  }
}

std::optional<PgFrontendMessage>
PgMessageReader::parseQuery(std::string_view Body) {
  const auto Sql = consumeString(Body);
  if (!Sql || !Body.empty()) {
    fail("malformed query message");
    return std::nullopt;
  }
  return PgQuery{std::string(*Sql)};
}

std::size_t PgMessageReader::bufferedMessages(std::size_t Limit) const {
  std::string_view Rest = pending();
  std::size_t Count = 0;
  while (m_HasStarted && Count < Limit &&
         Rest.size() >= TypeBytes + LengthBytes) {
    const std::size_t Length = readUint32(Rest.substr(TypeBytes));
    if (Length < LengthBytes || Rest.size() < TypeBytes + Length) {
      break;
    }
    Rest.remove_prefix(TypeBytes + Length);
    ++Count;
  }
  return Count;
}

std::optional<PgFrontendMessage>
PgMessageReader::parsePassword(std::string_view Body) {
  const auto Text = consumeString(Body);
  if (!Text || !Body.empty()) {
    fail("malformed password message");
    return std::nullopt;
  }
  PgPassword Password;
  // A move of a text that is stored inside the string object would leave a
  // copy behind, so the text is given memory of its own.
  Password.m_Text.reserve(std::max(Text->size(), sizeof(std::string)));
  Password.m_Text = *Text;
  return Password;
}

std::string_view PgMessageReader::pending() const {
  return std::string_view(m_Buffer).substr(m_Offset);
}

void PgMessageReader::consume(std::size_t Count) {
  assert(Count <= bufferedBytes());
  m_Offset += Count;
  if (m_Offset == m_Buffer.size() || m_Offset >= CompactAfterBytes) {
    m_Buffer.erase(0, m_Offset);
    m_Offset = 0;
    // An idle connection does not keep the memory of its largest message.
    if (m_Buffer.empty() && m_Buffer.capacity() > KeptBytes) {
      std::string().swap(m_Buffer);
    }
  }
}

void PgMessageReader::fail(std::string Reason) {
  m_Error.emplace();
  m_Error->m_Severity = "FATAL";
  m_Error->m_SqlState = "08P01";
  m_Error->m_Message = std::move(Reason);
  // What was received may contain a password.
  clearText(m_Buffer);
  std::string().swap(m_Buffer);
  m_Offset = 0;
}

} // namespace ragwortmux
