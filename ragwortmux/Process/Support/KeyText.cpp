#include "ragwortmux/Process/Support/KeyText.h"

#include "ragwortmux/Core/ClearText.h"
#include "ragwortmux/Process/Support/DigestKey.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <istream>

namespace ragwortmux {

namespace {

constexpr std::size_t DigestBytes = 32;
constexpr int HexBase = 16;

bool isLowerHex(std::string_view Text) {
  return Text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

} // namespace

bool isCallerKey(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxKeyBytes &&
         std::ranges::all_of(Text, [](char Character) {
           const auto Code = static_cast<unsigned char>(Character);
           return Code > 0x20 && Code != 0x7f;
         });
}

std::string formatDigest(const KeyDigest &Digest) {
  std::string Text;
  Text.reserve(2 * Digest.value().size());
  for (const char Byte : Digest.value())
    Text += fmt::format("{:02x}", static_cast<unsigned char>(Byte));
  return Text;
}

std::string formatShortDigest(const KeyDigest &Digest) {
  return formatDigest(Digest).substr(0, ShortDigestLength);
}

std::optional<KeyDigest> parseDigest(std::string_view Text) {
  if (Text.size() != 2 * DigestBytes || !isLowerHex(Text))
    return std::nullopt;
  std::string Bytes;
  for (std::size_t Offset = 0; Offset < Text.size(); Offset += 2) {
    unsigned Byte = 0;
    std::from_chars(Text.data() + Offset, Text.data() + Offset + 2, Byte,
                    HexBase);
    Bytes += static_cast<char>(Byte);
  }
  return KeyDigest(std::move(Bytes));
}

bool isDigestPrefix(std::string_view Text) {
  return Text.size() >= ShortDigestLength && Text.size() <= 2 * DigestBytes &&
         isLowerHex(Text);
}

std::optional<std::vector<KeyDigest>> readKeys(std::istream &Input,
                                               std::string &Reason) {
  std::vector<KeyDigest> Digests;
  bool AreAllValid = true;
  std::string Line;
  // A line that grows is copied; the space for the longest key avoids that.
  Line.reserve(MaxKeyBytes + 1);
  while (AreAllValid && std::getline(Input, Line)) {
    if (!Line.empty() && Line.back() == '\r')
      Line.pop_back();
    if (Line.empty())
      continue;
    AreAllValid = isCallerKey(Line);
    Digests.push_back(digestKey(Line));
    clearText(Line);
  }
  clearText(Line);
  if (AreAllValid && !Digests.empty())
    return Digests;
  Reason = AreAllValid ? "no key was given"
                       : std::string("a key is not ") + AllowedCallerKey;
  return std::nullopt;
}

} // namespace ragwortmux
