#ifndef RAGWORTMUX_CONNECTION_SESSIONSTATE_H
#define RAGWORTMUX_CONNECTION_SESSIONSTATE_H

#include <map>
#include <string>

namespace ragwortmux {

/// A prepared statement as its caller defined it.
struct PreparedStatement final {
  std::string m_Definition; ///< What follows the name.
  bool m_Writes = false;    ///< It writes.

  friend bool operator==(const PreparedStatement &,
                         const PreparedStatement &) = default;
};

/// What a caller's session holds between statements.
struct SessionState final {
  std::map<std::string, std::string> m_Values; ///< Values by name.
  std::map<std::string, PreparedStatement>
      m_Prepared; ///< Prepared statements by the caller's name.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_CONNECTION_SESSIONSTATE_H
