#include "ragwortmux/Version/RequestKeyTime.h"

#include <cctype>
#include <cstddef>
#include <cstdint>
#include <string>

namespace ragwortmux {

namespace {

constexpr std::size_t KeyLength = 36;
constexpr std::size_t VersionAt = 14;
constexpr std::size_t VariantAt = 19;
constexpr std::size_t TimeDigits = 12;

/// The value of a lower-case hexadecimal digit; none for any other character.
std::optional<std::uint64_t> digitValue(char Digit) {
  if (Digit >= '0' && Digit <= '9')
    return static_cast<std::uint64_t>(Digit - '0');
  if (Digit >= 'a' && Digit <= 'f')
    return static_cast<std::uint64_t>(Digit - 'a') + 10;
  return std::nullopt;
}

bool isDashPosition(std::size_t Index) {
  return Index == 8 || Index == 13 || Index == 18 || Index == 23;
}

bool isCanonical(const std::string &Text) {
  if (Text.size() != KeyLength)
    return false;
  for (std::size_t Index = 0; Index < KeyLength; ++Index) {
    if (isDashPosition(Index) ? Text[Index] != '-' : !digitValue(Text[Index]))
      return false;
  }
  const std::uint64_t Variant = *digitValue(Text[VariantAt]);
  return Text[VersionAt] == '7' && Variant >= 8 && Variant <= 11;
}

} // namespace

std::optional<RequestKey> canonicalRequestKey(const RequestKey &Key) {
  std::string Text = Key.value();
  for (char &Character : Text) {
    if (Character >= 'A' && Character <= 'F')
      Character = static_cast<char>(Character - 'A' + 'a');
  }
  if (!isCanonical(Text))
    return std::nullopt;
  return RequestKey(std::move(Text));
}

std::optional<WallTime> requestKeyTime(const RequestKey &Key) {
  if (!isCanonical(Key.value()))
    return std::nullopt;
  std::uint64_t Milliseconds = 0;
  std::size_t Digits = 0;
  for (const char Character : Key.value()) {
    const auto Digit = digitValue(Character);
    if (!Digit)
      continue;
    Milliseconds = Milliseconds * 16 + *Digit;
    if (++Digits == TimeDigits)
      break;
  }
  return WallTime(std::chrono::milliseconds(Milliseconds));
}

} // namespace ragwortmux
