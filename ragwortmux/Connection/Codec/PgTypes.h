#ifndef RAGWORTMUX_CONNECTION_CODEC_PGTYPES_H
#define RAGWORTMUX_CONNECTION_CODEC_PGTYPES_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// \file
/// Messages of the PostgreSQL protocol, version 3, on the server side.

namespace ragwortmux {

/// Names and values of the parameters in a start-up message.
using PgParameters = std::map<std::string, std::string>;

/// Request to start a session.
struct PgStartup final {
  std::uint32_t m_ProtocolVersion = 0; ///< Major version times 65536 + minor.
  PgParameters m_Parameters;           ///< All parameters, `options` included.
  PgParameters m_Options;              ///< The settings named in `options`.
};

/// Request to continue with TLS.
struct PgSslRequest final {};

/// Request to continue with GSSAPI encryption.
struct PgGssEncRequest final {};

/// Request to cancel the statement that runs on another connection.
struct PgCancelRequest final {
  std::uint32_t m_ProcessId = 0; ///< From that connection's BackendKeyData.
  std::uint32_t m_SecretKey = 0; ///< From that connection's BackendKeyData.
};

/// A simple query; can contain several statements.
struct PgQuery final {
  std::string m_Sql; ///< The text without its terminating zero.
};

/// Request to end the session.
struct PgTerminate final {};

/// Answer to AuthenticationCleartextPassword. The receiver clears the text.
struct PgPassword final {
  std::string m_Text; ///< The password without its terminating zero.
};

/// A well-formed message that this server does not support.
struct PgUnsupported final {
  char m_Type = 0; ///< Type byte of the message.
};

/// Any message from a front end.
using PgFrontendMessage =
    std::variant<PgStartup, PgSslRequest, PgGssEncRequest, PgCancelRequest,
                 PgQuery, PgTerminate, PgPassword, PgUnsupported>;

/// Transaction status in ReadyForQuery.
enum class PgTransactionStatus : char {
  Idle = 'I',
  InTransaction = 'T',
  Failed = 'E',
};

/// Contents of an ErrorResponse or a NoticeResponse.
struct PgError final {
  std::string m_Severity = "ERROR"; ///< ERROR, FATAL, PANIC, WARNING, NOTICE.
  std::string m_SqlState;           ///< SQLSTATE, five characters.
  std::string m_Message;            ///< Primary message, one sentence.
  std::string m_Detail;             ///< Details; not sent if empty.
  std::string m_Hint;               ///< Advice; not sent if empty.
};

/// Object id of the type `text`.
inline constexpr std::uint32_t PgTextTypeOid = 25;

/// One column of a result.
struct PgColumn final {
  std::string m_Name;                      ///< Column name.
  std::uint32_t m_TypeOid = PgTextTypeOid; ///< Object id of the type.
  std::int16_t m_TypeSize = -1;            ///< Negative: variable width.
  std::int32_t m_TypeModifier = -1;        ///< -1: none.
};

/// One row of a result; an empty optional is an SQL NULL.
using PgRow = std::vector<std::optional<std::string>>;

/// The complete result of one statement.
struct PgResult final {
  std::vector<PgColumn> m_Columns; ///< Empty if the statement returns no rows.
  std::vector<PgRow> m_Rows;       ///< Rows with one value per column.
  std::string m_CommandTag;        ///< Empty for an empty query.
  std::optional<PgError>
      m_Error; ///< If set, ends the result in place of the tag.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_CONNECTION_CODEC_PGTYPES_H
