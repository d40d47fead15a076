#ifndef RAGWORTMUX_CONNECTION_CODEC_PGSETSTATEMENT_H
#define RAGWORTMUX_CONNECTION_CODEC_PGSETSTATEMENT_H

#include <optional>
#include <string>
#include <string_view>

namespace ragwortmux {

/// `SET ragwortmux.NAME = VALUE`, `SET ragwortmux.NAME TO VALUE` or `RESET
/// ragwortmux.NAME`.
struct PgSetStatement final {
  std::string m_Name;                 ///< NAME in lower case.
  std::optional<std::string> m_Value; ///< Nothing: reset to the default.
};

/// Recognises a query that consists of one such statement. Nothing for any
/// other query, which goes to a backend server as it is.
std::optional<PgSetStatement> parsePgSetStatement(std::string_view Sql);

} // namespace ragwortmux

#endif // RAGWORTMUX_CONNECTION_CODEC_PGSETSTATEMENT_H
