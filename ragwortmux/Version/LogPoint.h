#ifndef RAGWORTMUX_VERSION_LOGPOINT_H
#define RAGWORTMUX_VERSION_LOGPOINT_H

#include "ragwortmux/Core/Ids.h"

#include <optional>
#include <string_view>

namespace ragwortmux {

/// A position in a group's replication log together with the term of the
/// history to which the position belongs.
struct LogPoint final {
  Term m_Term;            ///< Term of the history.
  LogPosition m_Position; ///< Position within that history.

  friend bool operator==(const LogPoint &, const LogPoint &) = default;
};

/// True if a server that has applied \p Applied has every write that was
/// acknowledged up to \p Required.
///
/// A primary of a later term starts from a position that includes every
/// acknowledged write of earlier terms (see docs/ARCHITECTURE.md, "Nothing
/// acknowledged vanishes"), so a point of a later term covers each point of an
/// earlier term at the same or a lower position. A point of an earlier term
/// never covers one of a later term.
inline bool covers(const LogPoint &Applied, const LogPoint &Required) {
  return Applied.m_Term >= Required.m_Term &&
         Applied.m_Position >= Required.m_Position;
}

/// True if \p Left precedes \p Right in the history of a delegated group, whose
/// terms follow each other without a gap.
inline bool isBefore(const LogPoint &Left, const LogPoint &Right) {
  if (Left.m_Term != Right.m_Term)
    return Left.m_Term < Right.m_Term;
  return Left.m_Position < Right.m_Position;
}

/// Parses `TERM:POSITION`; returns none if \p Text is malformed.
std::optional<LogPoint> parseLogPoint(std::string_view Text);

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_LOGPOINT_H
