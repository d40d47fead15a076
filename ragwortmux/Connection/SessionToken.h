#ifndef RAGWORTMUX_CONNECTION_SESSIONTOKEN_H
#define RAGWORTMUX_CONNECTION_SESSIONTOKEN_H

#include "ragwortmux/Version/LogPoint.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace ragwortmux {

/// What a caller's session must see at least: one log point per group.
///
/// As text: `GROUP/TERM:POSITION`, several separated by commas. Callers pass
/// it on as it is.
class SessionToken final {
public:
  /// Parses the text form; nothing if it is malformed. An empty text is the
  /// empty token.
  static std::optional<SessionToken> parse(std::string_view Text);

  /// The text form.
  std::string format() const;

  /// Raises the point of \p Group to \p Point; a lower point changes nothing.
  void raise(const GroupId &Group, const LogPoint &Point);

  /// The point of \p Group, if the token has one.
  std::optional<LogPoint> find(const GroupId &Group) const;

private:
  std::map<GroupId, LogPoint> m_Points; ///< Points by group.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_CONNECTION_SESSIONTOKEN_H
