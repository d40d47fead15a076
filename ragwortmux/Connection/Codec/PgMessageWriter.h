#ifndef RAGWORTMUX_CONNECTION_CODEC_PGMESSAGEWRITER_H
#define RAGWORTMUX_CONNECTION_CODEC_PGMESSAGEWRITER_H

#include "ragwortmux/Connection/Codec/PgTypes.h"

#include <cstddef>
#include <span>
#include <string_view>

namespace ragwortmux {

/// Encodes the messages of a server and appends them to a buffer.
class PgMessageWriter final {
public:
  /// Appends to \p Output, which must outlive the writer.
  explicit PgMessageWriter(std::string &Output) : m_Output(Output) {}

  /// Declines an SSLRequest or a GSSENCRequest with a single byte.
  void encryptionRefused();
  /// Reports that no password is required.
  void authenticationOk();
  /// Asks for a password in clear text.
  void authenticationCleartextPassword();
  /// Offers minor version \p NewestMinor of protocol 3 and names the protocol
  /// options that were not recognised.
  void negotiateProtocolVersion(std::uint32_t NewestMinor,
                                std::span<const std::string> Unrecognized);
  /// Reports a setting's current value.
  void parameterStatus(std::string_view Name, std::string_view Value);
  /// Sends the ids that a CancelRequest for this connection must contain.
  void backendKeyData(std::uint32_t ProcessId, std::uint32_t SecretKey);
  /// Ends the answer to a query and reports the transaction status.
  void readyForQuery(PgTransactionStatus Status);
  /// Describes the rows that follow, all in text format.
  void rowDescription(std::span<const PgColumn> Columns);
  /// Sends one row.
  void dataRow(const PgRow &Row);
  /// Ends the answer of one statement.
  void commandComplete(std::string_view Tag);
  /// Answers an empty query.
  void emptyQueryResponse();
  /// Ends the answer of one statement that failed.
  void errorResponse(const PgError &Error);
  /// Sends a notice that does not affect the result.
  void noticeResponse(const PgError &Notice);
  /// Sends the complete answer of one statement: rows, if any, and its end.
  void result(const PgResult &Result);

private:
  std::size_t beginMessage(char Type);
  void endMessage(std::size_t LengthOffset);
  void putUint16(std::uint16_t Value);
  void putUint32(std::uint32_t Value);
  void putString(std::string_view Text);
  void putErrorFields(char Type, const PgError &Error);

  std::string &m_Output; ///< Receives the messages.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_CONNECTION_CODEC_PGMESSAGEWRITER_H
