#ifndef RAGWORTMUX_PROCESS_SUPPORT_FLAGPARSER_H
#define RAGWORTMUX_PROCESS_SUPPORT_FLAGPARSER_H

#include "ragwortmux/Core/ResultCode.h"
#include "ragwortmux/Process/Support/SettingFault.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace ragwortmux {

/// One flag of a command.
struct FlagInfo final {
  const char *m_Name = ""; ///< Name in snake_case, without dashes; a literal.
  const char *m_Help = ""; ///< One sentence for the help; a literal.
  bool m_IsSwitch = false; ///< True if `--name` alone means `--name=true`.
};

/// The flags and other arguments found on a command line.
struct ParsedFlags final {
  std::map<std::string, std::string> m_Values; ///< Flags given, by name.
  std::vector<std::string> m_Positional; ///< Arguments that are not flags.

  /// The value of flag \p Name, none if it was not given.
  std::optional<std::string> value(const std::string &Name) const;
};

/// Parses \p Arguments with the flags of \p Known by gflags.
///
/// Flags that are unknown or lack their value are added to \p Faults with
/// \p Code; the value of an unknown flag is never shown, since it may be a
/// secret. The built-in flags of gflags are unknown here. All arguments after a
/// lone `--` are positional. Calls do not affect each other.
ParsedFlags parseFlags(std::span<const FlagInfo> Known,
                       std::span<const std::string> Arguments, ResultCode Code,
                       std::vector<SettingFault> &Faults);

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_SUPPORT_FLAGPARSER_H
