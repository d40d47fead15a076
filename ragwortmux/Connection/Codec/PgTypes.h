#ifndef RAGWORTMUX_CONNECTION_CODEC_PGTYPES_H
#define RAGWORTMUX_CONNECTION_CODEC_PGTYPES_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// \file
/// Typed messages of the PostgreSQL protocol, version 3, as a server sees them.

namespace ragwortmux {

/// Named values of a start-up message.
using PgParameters = std::map<std::string, std::string>;

/// Asks for a session.
struct PgStartup final {
  std::uint32_t m_ProtocolVersion = 0; ///< Major version times 65536 + minor.
  PgParameters m_Parameters;           ///< All parameters, `options` included.
  PgParameters m_Options;              ///< The settings named in `options`.
};

/// Asks whether the server continues with TLS.
struct PgSslRequest final {};

/// Asks whether the server continues with GSSAPI encryption.
struct PgGssEncRequest final {};

/// Asks to cancel the statement that another connection runs.
struct PgCancelRequest final {
  std::uint32_t m_ProcessId = 0; ///< From that connection's BackendKeyData.
  std::uint32_t m_SecretKey = 0; ///< From that connection's BackendKeyData.
};

/// One simple query; may hold several statements.
struct PgQuery final {
  std::string m_Sql; ///< The text without its terminating zero.
};

/// Ends the session.
struct PgTerminate final {};

/// An answer to an authentication request. No password is ever asked for.
struct PgPassword final {};

/// A well-formed message that this server does not support.
struct PgUnsupported final {
  char m_Type = 0; ///< Type byte of the message.
};

/// Any message of a front end.
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
  std::string m_SqlState;           ///< Five characters.
  std::string m_Message;            ///< One sentence.
  std::string m_Detail;             ///< Not sent if empty.
  std::string m_Hint;               ///< Not sent if empty.
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

/// One row of a result; a value without content is SQL's NULL.
using PgRow = std::vector<std::optional<std::string>>;

/// The whole result of one statement.
struct PgResult final {
  std::vector<PgColumn> m_Columns; ///< Empty: the statement returns no rows.
  std::vector<PgRow> m_Rows;       ///< Each as long as the columns.
  std::string m_CommandTag;        ///< Empty: an empty query.
  std::optional<PgError> m_Error;  ///< Ends the result in place of the tag.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_CONNECTION_CODEC_PGTYPES_H
