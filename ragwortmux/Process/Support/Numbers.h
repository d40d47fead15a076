#ifndef RAGWORTMUX_PROCESS_SUPPORT_NUMBERS_H
#define RAGWORTMUX_PROCESS_SUPPORT_NUMBERS_H

#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>

namespace ragwortmux {

/// Parses a whole decimal number from \p Min to \p Max; none for anything else,
/// signs and blanks included.
inline std::optional<std::uint64_t>
parseNumber(std::string_view Text, std::uint64_t Min, std::uint64_t Max) {
  std::uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  const auto [Rest, Error] = std::from_chars(Text.data(), End, Number);
  if (Error != std::errc() || Rest != End || Number < Min || Number > Max)
    return std::nullopt;
  return Number;
}

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_SUPPORT_NUMBERS_H
