#ifndef RAGWORTMUX_CONNECTION_CODEC_PGSETSTATEMENT_H
#define RAGWORTMUX_CONNECTION_CODEC_PGSETSTATEMENT_H

#include <optional>
#include <string>
#include <string_view>

namespace ragwortmux {

/// A statement that changes a session setting of the proxy: `SET
/// ragwortmux.NAME = VALUE`, `SET ragwortmux.NAME TO VALUE` or `RESET
/// ragwortmux.NAME`.
struct PgSetStatement final {
  std::string m_Name; ///< NAME in lower case.
  std::optional<std::string>
      m_Value; ///< New value; none resets to the default.
};

/// Parses a query that consists of exactly one such statement. None for any
/// other query, which is sent to a backend server unchanged.
std::optional<PgSetStatement> parsePgSetStatement(std::string_view Sql);

} // namespace ragwortmux

#endif // RAGWORTMUX_CONNECTION_CODEC_PGSETSTATEMENT_H
