#ifndef RAGWORTMUX_CONNECTION_CODEC_PGMESSAGEREADER_H
#define RAGWORTMUX_CONNECTION_CODEC_PGMESSAGEREADER_H

#include "ragwortmux/Connection/Codec/PgTypes.h"

#include <cstddef>
#include <span>
#include <string_view>

namespace ragwortmux {

/// Limits on what a front end may send.
struct PgMessageReaderSettings final {
  std::size_t m_MaxStartupBytes = 10'000;        ///< One start-up packet.
  std::size_t m_MaxMessageBytes = 1024UL * 1024; ///< One later message.
  std::size_t m_MaxBufferedBytes =
      4UL * 1024 * 1024; ///< Messages received ahead, all together; raised to
                         ///< fit one message.
};

/// Cuts the byte stream of one front end into typed messages.
///
/// The first packets have no type byte; the reader changes to typed messages
/// after the start-up message. Malformed or oversized input puts the reader
/// into an error state for good.
class PgMessageReader final {
public:
  explicit PgMessageReader(PgMessageReaderSettings Settings = {});

  /// Takes bytes as they arrive. Ignored in the error state.
  void feed(std::span<const std::byte> Bytes);

  /// The next whole message, or nothing if more bytes are needed or the input
  /// is in error; see error().
  std::optional<PgFrontendMessage> next();

  /// Why the input cannot be read any further; SQLSTATE 08P01.
  const std::optional<PgError> &error() const { return m_Error; }

  /// Bytes received that no message was made from yet.
  std::size_t bufferedBytes() const { return m_Buffer.size() - m_Offset; }
  /// Memory held for the input.
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
  std::string_view pending() const;
  void consume(std::size_t Count);
  void fail(std::string Reason);

  PgMessageReaderSettings m_Settings; ///< Limits.
  std::string m_Buffer;               ///< Received bytes.
  std::size_t m_Offset = 0;           ///< Bytes of the buffer already used.
  bool m_Started = false;             ///< The start-up message has been read.
  bool m_Ended = false;               ///< Nothing valid can follow any more.
  std::optional<PgError> m_Error;     ///< Set once, for good.
};

/// Parses the settings in a start-up message's `options`: `-c NAME=VALUE`,
/// `-cNAME=VALUE` and `--NAME=VALUE`, a backslash before a literal blank or
/// backslash. Nothing if the text has any other form.
std::optional<PgParameters> parsePgOptions(std::string_view Options);

} // namespace ragwortmux

#endif // RAGWORTMUX_CONNECTION_CODEC_PGMESSAGEREADER_H
