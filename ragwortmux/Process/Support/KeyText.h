#ifndef RAGWORTMUX_PROCESS_SUPPORT_KEYTEXT_H
#define RAGWORTMUX_PROCESS_SUPPORT_KEYTEXT_H

#include "ragwortmux/Core/Ids.h"

#include <cstddef>
#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Caller keys and their digests as text. Keys themselves are only read here;
/// they are digested and cleared at once.

namespace ragwortmux {

/// Number of hexadecimal digits of a digest that outputs and logs show.
inline constexpr std::size_t ShortDigestLength = 8;
/// Maximum size of a caller key.
inline constexpr std::size_t MaxKeyBytes = 256;
/// Description of the texts that isCallerKey accepts, for messages.
inline constexpr const char *AllowedCallerKey =
    "1 to 256 printable characters without blanks";

/// True if \p Text may be a caller key. Callers of the platform's protocol send
/// keys as a word, so a key has no blanks.
bool isCallerKey(std::string_view Text);

/// All hexadecimal digits of \p Digest, for messages between processes.
std::string formatDigest(const KeyDigest &Digest);
/// The first hexadecimal digits of \p Digest, for outputs and logs.
std::string formatShortDigest(const KeyDigest &Digest);
/// The digest that formatDigest() gave; none for any other text.
std::optional<KeyDigest> parseDigest(std::string_view Text);
/// True if \p Text consists of at least ShortDigestLength hexadecimal digits in
/// lower case, but no more than a digest has.
bool isDigestPrefix(std::string_view Text);

/// Reads one key from each line of \p Input and returns their digests. Empty
/// lines are skipped. None, with \p Reason set, if a line is no valid key or
/// there is none; the reason does not show the line.
std::optional<std::vector<KeyDigest>> readKeys(std::istream &Input,
                                               std::string &Reason);

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_SUPPORT_KEYTEXT_H
