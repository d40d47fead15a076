#ifndef RAGWORTMUX_CONNECTION_CODEC_PGMESSAGEREADER_H
#define RAGWORTMUX_CONNECTION_CODEC_PGMESSAGEREADER_H

#include "ragwortmux/Connection/Codec/PgTypes.h"

#include <cstddef>
#include <span>
#include <string_view>

namespace ragwortmux {

/// Limits on the input from a front end.
struct PgMessageReaderSettings final {
  std::size_t m_MaxStartupBytes = 10'000;        ///< Start-up packet.
  std::size_t m_MaxMessageBytes = 1024UL * 1024; ///< Any later message.
  std::size_t m_MaxBufferedBytes =
      4UL * 1024 * 1024; ///< All bytes received and not yet read as messages;
                         ///< raised to fit one message.
  std::size_t m_MaxPasswordBytes = 1024; ///< Password message.
};

/// Splits the byte stream of one front end into typed messages.
///
/// Packets up to the start-up message have no type byte; later messages have
/// one. Malformed or oversized input puts the reader into a permanent error
/// state. The bytes of a password are overwritten once it has been read.
class PgMessageReader final {
public:
  explicit PgMessageReader(PgMessageReaderSettings Settings = {});

  /// Appends received bytes. Ignored in the error state.
  void feed(std::span<const std::byte> Bytes);

  /// Returns the next complete message, or none if more bytes are needed or the
  /// reader is in the error state; see error().
  std::optional<PgFrontendMessage> next();

  /// The error that put the reader into the error state; SQLSTATE 08P01.
  const std::optional<PgError> &error() const { return m_Error; }

  /// Number of bytes received and not yet read as messages.
  std::size_t bufferedBytes() const { return m_Buffer.size() - m_Offset; }
  /// Number of whole messages among these bytes, at most \p Limit.
  std::size_t bufferedMessages(std::size_t Limit) const;
  /// True once the start-up message was read.
  bool hasStarted() const { return m_HasStarted; }
  /// Memory allocated for the input buffer, in bytes.
  std::size_t allocatedBytes() const { return m_Buffer.capacity(); }

private:
  std::optional<PgFrontendMessage> nextStartupPacket();
  std::optional<PgFrontendMessage> nextMessage();
  std::optional<PgFrontendMessage> parseStartupPacket(std::string_view Packet);
  std::optional<PgFrontendMessage> parseMessage(char Type,
                                                std::string_view Body);
  std::optional<PgFrontendMessage> parseStartup(std::uint32_t Version,
                                                std::string_view Body);
  std::optional<PgFrontendMessage> parseQuery(std::string_view Body);
  std::optional<PgFrontendMessage> parsePassword(std::string_view Body);
  std::string_view pending() const;
  void consume(std::size_t Count);
  void fail(std::string Reason);

  PgMessageReaderSettings m_Settings; ///< Limits.
  std::string m_Buffer;               ///< Received bytes.
  std::size_t m_Offset = 0;           ///< Bytes of the buffer already consumed.
  bool m_HasStarted = false;      ///< True once the start-up message was read.
  bool m_HasEnded = false;        ///< True once no further message is valid.
  std::optional<PgError> m_Error; ///< Set in the error state; never reset.
};

/// Parses the settings in a start-up message's `options`: `-c NAME=VALUE`,
/// `-cNAME=VALUE` and `--NAME=VALUE`. A backslash escapes a blank or backslash.
/// None if the text has any other form.
std::optional<PgParameters> parsePgOptions(std::string_view Options);

} // namespace ragwortmux

#endif // RAGWORTMUX_CONNECTION_CODEC_PGMESSAGEREADER_H
