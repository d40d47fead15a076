#ifndef RAGWORTMUX_PROCESS_SUPPORT_ARGUMENTREADER_H
#define RAGWORTMUX_PROCESS_SUPPORT_ARGUMENTREADER_H

#include "ragwortmux/Process/Support/FlagParser.h"
#include "ragwortmux/Process/Support/SocketAddress.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortmux {

/// Reads the typed flags and positional arguments of one command. An argument
/// that is missing or not allowed adds a fault of ResultCode::BadArgument and
/// yields an empty value.
class ArgumentReader final {
public:
  /// Returns true if the text is allowed.
  using TextCheck = std::function<bool(std::string_view)>;

  /// Parses \p Arguments with the flags of \p Known.
  ArgumentReader(std::span<const FlagInfo> Known,
                 std::span<const std::string> Arguments,
                 std::vector<SettingFault> &Faults);

  /// The text of flag \p Name; empty if it was not given.
  std::string text(const std::string &Name, const TextCheck &Check,
                   const std::string &Allowed);
  /// The text of flag \p Name; adds a fault if the flag is missing.
  std::string requiredText(const std::string &Name, const TextCheck &Check,
                           const std::string &Allowed);
  /// The whole number of flag \p Name; none if it was not given.
  std::optional<std::uint64_t> number(const std::string &Name,
                                      std::uint64_t Min, std::uint64_t Max);
  /// True if the switch \p Name is set.
  bool isSet(const std::string &Name);
  /// The address of flag `at`, or \p Default.
  SocketAddress address(const std::string &Default);

  /// Returns the positional arguments; adds a fault unless there is exactly one
  /// for each of \p Names.
  std::vector<std::string> positional(std::span<const char *const> Names);
  /// Returns the positional arguments; adds a fault for \p Name if there are
  /// none.
  std::vector<std::string> positionalList(const std::string &Name);

  /// Adds a fault.
  void addFault(std::string Name, std::string Value, std::string Allowed);

private:
  ParsedFlags m_Flags;                 ///< Arguments of the command line.
  std::vector<SettingFault> &m_Faults; ///< Where faults are added.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_SUPPORT_ARGUMENTREADER_H
