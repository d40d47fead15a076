#ifndef RAGWORTMUX_CONNECTION_SESSIONSTATE_H
#define RAGWORTMUX_CONNECTION_SESSIONSTATE_H

#include <map>
#include <string>

namespace ragwortmux {

/// A prepared statement as defined by its caller.
struct PreparedStatement final {
  std::string m_Definition; ///< Text that follows the statement's name.
  bool m_Writes = false;    ///< True if the statement writes.

  friend bool operator==(const PreparedStatement &,
                         const PreparedStatement &) = default;
};

/// State of a caller's session that outlives a statement.
struct SessionState final {
  std::map<std::string, std::string> m_Values; ///< Session values by name.
  std::map<std::string, PreparedStatement>
      m_Prepared; ///< Prepared statements by the caller's name.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_CONNECTION_SESSIONSTATE_H
