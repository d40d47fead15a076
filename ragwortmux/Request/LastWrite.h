#ifndef RAGWORTMUX_REQUEST_LASTWRITE_H
#define RAGWORTMUX_REQUEST_LASTWRITE_H

#include "ragwortmux/Version/LogPoint.h"

#include <optional>

namespace ragwortmux {

/// What is known of the log position of a session's last write to one group;
/// see docs/design/session-positions.md.
struct LastWrite final {
  std::optional<LogPoint>
      m_Point; ///< No write of a known position lies beyond; none without one.
  bool m_IsUnplaced = false; ///< A later write was answered without a position
                             ///< or may have been made, so that only the
                             ///< primary is certain to have it.

  friend bool operator==(const LastWrite &, const LastWrite &) = default;
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_LASTWRITE_H
