#ifndef RAGWORTMUX_PROCESS_SUPPORT_COMMANDLINE_H
#define RAGWORTMUX_PROCESS_SUPPORT_COMMANDLINE_H

#include "ragwortmux/Process/Support/Commands.h"
#include "ragwortmux/Process/Support/SettingFault.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortmux {

/// The version that `--version` prints.
inline constexpr std::string_view ProductVersion = "0.1.0";

/// Exit status of a process whose command line or settings are wrong.
inline constexpr int ExitBadArgument = 2;

/// Parses \p Arguments, without the name of the binary. None, with faults of
/// ResultCode::BadArgument added, if anything is wrong. The arguments of
/// `serve` and `check-settings` are not parsed here but by loadSettings.
std::optional<Command> parseCommandLine(std::span<const std::string> Arguments,
                                        std::vector<SettingFault> &Faults);

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_SUPPORT_COMMANDLINE_H
