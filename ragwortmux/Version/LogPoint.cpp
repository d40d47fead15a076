#include "ragwortmux/Version/LogPoint.h"

#include <charconv>
#include <cstdint>

namespace ragwortmux {

namespace {

std::optional<std::uint64_t> parseWhole(std::string_view Text) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Value);
  if (Parsed.ec != std::errc() || Parsed.ptr != End) {
    return std::nullopt;
  }
  return Value;
}

} // namespace

std::optional<LogPoint> parseLogPoint(std::string_view Text) {
  const std::size_t Colon = Text.find(':');
  if (Colon == std::string_view::npos) {
    return std::nullopt;
  }
  const auto TermValue = parseWhole(Text.substr(0, Colon));
  const auto PositionValue = parseWhole(Text.substr(Colon + 1));
  if (!TermValue || !PositionValue) {
    return std::nullopt;
  }
  return LogPoint{Term(*TermValue), LogPosition(*PositionValue)};
}

} // namespace ragwortmux
