#include "ragwortmux/Connection/SessionToken.h"

#include <charconv>
#include <cstdint>

namespace ragwortmux {

namespace {

/// Longest text that is parsed.
constexpr std::size_t MaxTokenBytes = 4096;

std::optional<std::uint64_t> parseNumber(std::string_view Text) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Value);
  if (Parsed.ec != std::errc() || Parsed.ptr != End) {
    return std::nullopt;
  }
  return Value;
}

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
    const std::size_t Colon = Part.find(':');
    if (Slash == std::string_view::npos || Colon == std::string_view::npos ||
        Slash == 0 || Colon < Slash) {
      return std::nullopt;
    }
    const auto TermValue =
        parseNumber(Part.substr(Slash + 1, Colon - Slash - 1));
    const auto PositionValue = parseNumber(Part.substr(Colon + 1));
    if (!TermValue || !PositionValue) {
      return std::nullopt;
    }
    Token.raise(GroupId(std::string(Part.substr(0, Slash))),
                {Term(*TermValue), LogPosition(*PositionValue)});
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
  // Positions of a later term start after all acknowledged ones of earlier
  // terms, so the pair can be raised part by part.
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
