#ifndef RAGWORTMUX_VERSION_LOGPOINT_H
#define RAGWORTMUX_VERSION_LOGPOINT_H

#include "ragwortmux/Core/Ids.h"

#include <optional>
#include <string_view>

namespace ragwortmux {

/// A position in a group's replication log together with the term whose history
/// it lies in.
struct LogPoint final {
  Term m_Term;            ///< Term of the history.
  LogPosition m_Position; ///< Position within it.

  friend bool operator==(const LogPoint &, const LogPoint &) = default;
};

/// True if a server at \p Applied holds everything that was acknowledged up to
/// \p Wanted.
///
/// A primary of a later term starts from a position that includes every
/// acknowledged write of earlier terms (see docs/ARCHITECTURE.md, "Nothing
/// acknowledged vanishes"), so a later history covers an earlier point as soon
/// as it is as long. An earlier history never covers a later term's point.
inline bool covers(const LogPoint &Applied, const LogPoint &Wanted) {
  return Applied.m_Term >= Wanted.m_Term &&
         Applied.m_Position >= Wanted.m_Position;
}

/// Parses `TERM:POSITION`; nothing if it is malformed.
std::optional<LogPoint> parseLogPoint(std::string_view Text);

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_LOGPOINT_H
