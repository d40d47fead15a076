#include "ragwortmux/Process/Support/UuidV7.h"

#include <fmt/format.h>

#include <cassert>
#include <charconv>

namespace ragwortmux {

namespace {

constexpr std::size_t UuidLength = 36;
constexpr std::size_t VersionIndex = 14;
constexpr std::size_t VariantIndex = 19;

bool isDashIndex(std::size_t Index) {
  constexpr std::string_view Shape = "xxxxxxxx-xxxx-xxxx-xxxx-xxxxxxxxxxxx";
  return Shape[Index] == '-';
}

/// True if \p Text is a UUID of version 7 in lower case.
bool isUuidV7(std::string_view Text) {
  constexpr std::string_view Digits = "0123456789abcdef";
  constexpr std::string_view VariantDigits = "89ab";
  if (Text.size() != UuidLength)
    return false;
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    const bool IsAllowed = isDashIndex(Index)
                               ? Text[Index] == '-'
                               : Digits.find(Text[Index]) != Digits.npos;
    if (!IsAllowed)
      return false;
  }
  return Text[VersionIndex] == '7' &&
         VariantDigits.find(Text[VariantIndex]) != VariantDigits.npos;
}

} // namespace

RequestKey makeRequestKey(WallTime Now, const RandomHook &Random) {
  constexpr std::uint64_t TimeMask = (1ULL << 48U) - 1;
  constexpr std::uint64_t VariantBits = 0x8000;
  assert(Now.time_since_epoch().count() >= 0);
  const std::uint64_t Ms = Now.time_since_epoch().count() & TimeMask;
  const std::uint64_t First = Random();
  const std::uint64_t Second = Random();
  return RequestKey(fmt::format("{:08x}-{:04x}-7{:03x}-{:04x}-{:012x}",
                                Ms >> 16U, Ms & 0xffffU, First & 0xfffU,
                                VariantBits | ((First >> 12U) & 0x3fffU),
                                Second & TimeMask));
}

std::optional<WallTime> uuidV7Time(std::string_view Text) {
  constexpr int Hexadecimal = 16;
  if (!isUuidV7(Text))
    return std::nullopt;
  const std::string Digits =
      std::string(Text.substr(0, 8)) + std::string(Text.substr(9, 4));
  std::uint64_t Ms = 0;
  std::from_chars(Digits.data(), Digits.data() + Digits.size(), Ms,
                  Hexadecimal);
  return WallTime(std::chrono::milliseconds(Ms));
}

} // namespace ragwortmux
