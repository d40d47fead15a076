#ifndef RAGWORTMUX_CONNECTION_SESSIONTOKEN_H
#define RAGWORTMUX_CONNECTION_SESSIONTOKEN_H

#include "ragwortmux/Version/LogPoint.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace ragwortmux {

/// The data that a caller's session must at least see: one log point per group.
///
/// The text form is `GROUP/TERM:POSITION`, with commas between several points.
/// To callers it is opaque.
class SessionToken final {
public:
  /// Parses the text form; none if it is malformed. An empty text gives an
  /// empty token.
  static std::optional<SessionToken> parse(std::string_view Text);

  /// Returns the text form.
  std::string format() const;

  /// Raises the point of \p Group to \p Point; a lower point changes nothing.
  void raise(const GroupId &Group, const LogPoint &Point);

  /// Returns the point of \p Group, if the token has one.
  std::optional<LogPoint> find(const GroupId &Group) const;

private:
  std::map<GroupId, LogPoint> m_Points; ///< Points by group.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_CONNECTION_SESSIONTOKEN_H
