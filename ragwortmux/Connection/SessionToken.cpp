#include "ragwortmux/Connection/SessionToken.h"

namespace ragwortmux {

namespace {

/// Longer texts are rejected as malformed.
constexpr std::size_t MaxTokenBytes = 4096;

} // namespace

std::optional<SessionToken> SessionToken::parse(std::string_view Text) {
  if (Text.size() > MaxTokenBytes) {
    return std::nullopt;
  }
  SessionToken Token;
  while (!Text.empty()) {
    const std::size_t Comma = Text.find(',');
    const std::string_view Part = Text.substr(0, Comma);
    Text = Comma == std::string_view::npos ? "" : Text.substr(Comma + 1);
    const std::size_t Slash = Part.find('/');
    if (Slash == std::string_view::npos || Slash == 0) {
      return std::nullopt;
    }
    const auto Point = parseLogPoint(Part.substr(Slash + 1));
    if (!Point) {
      return std::nullopt;
    }
    Token.raise(GroupId(std::string(Part.substr(0, Slash))), *Point);
  }
  return Token;
}

std::string SessionToken::format() const {
  std::string Text;
  for (const auto &[Group, Point] : m_Points) {
    Text += Text.empty() ? "" : ",";
    Text += Group.value() + "/" + std::to_string(Point.m_Term.value()) + ":" +
            std::to_string(Point.m_Position.value());
  }
  return Text;
}

void SessionToken::raise(const GroupId &Group, const LogPoint &Point) {
  LogPoint &Known = m_Points[Group];
  // Positions of a later term start after all acknowledged positions of earlier
  // terms, so term and position can be raised independently.
  if (Point.m_Term > Known.m_Term) {
    Known.m_Term = Point.m_Term;
  }
  if (Point.m_Position > Known.m_Position) {
    Known.m_Position = Point.m_Position;
  }
}

std::optional<LogPoint> SessionToken::find(const GroupId &Group) const {
  const auto Found = m_Points.find(Group);
  return Found == m_Points.end() ? std::nullopt
                                 : std::optional<LogPoint>(Found->second);
}

} // namespace ragwortmux
