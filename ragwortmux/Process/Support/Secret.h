#ifndef RAGWORTMUX_PROCESS_SUPPORT_SECRET_H
#define RAGWORTMUX_PROCESS_SUPPORT_SECRET_H

#include <cstddef>
#include <iosfwd>
#include <string>
#include <string_view>

namespace ragwortmux {

/// A key or token that must not reach any output.
///
/// Printing it gives `***`. It has no fmt formatter on purpose, so a log call
/// with a Secret does not compile.
class Secret final {
public:
  /// Minimum number of characters of a secret.
  static constexpr std::size_t MinLength = 16;
  /// Maximum number of characters of a secret.
  static constexpr std::size_t MaxLength = 256;

  Secret() = default;
  explicit Secret(std::string Text);

  /// True if \p Text has an allowed length and only printable ASCII characters
  /// other than space.
  static bool isAllowed(std::string_view Text);

  /// True if \p Candidate equals the secret. The time taken does not depend on
  /// where the two differ. Never true for an empty secret.
  bool matches(std::string_view Candidate) const;

  /// True if no secret is set.
  bool empty() const { return m_Text.empty(); }

  /// The plain text, only for sending it to another process of the system.
  const std::string &plainText() const { return m_Text; }

private:
  std::string m_Text; ///< The plain text; empty if none is set.
};

/// Prints `***`, whatever the secret is.
std::ostream &operator<<(std::ostream &Stream, const Secret &Hidden);

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_SUPPORT_SECRET_H
