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

/// Reads typed flags and positional arguments of one command. Whatever is
/// missing or not allowed adds a fault of ResultCode::BadArgument and reads as
/// an empty value.
class ArgumentReader final {
public:
  /// Tells whether a text is allowed.
  using TextCheck = std::function<bool(std::string_view)>;

  /// Parses \p Arguments with the flags of \p Known.
  ArgumentReader(std::span<const FlagInfo> Known,
                 std::span<const std::string> Arguments,
                 std::vector<SettingFault> &Faults);

  /// The text of flag \p Name; empty if it was not given.
  std::string text(const std::string &Name, const TextCheck &Check,
                   const std::string &Allowed);
  /// The same, but the flag must be given.
  std::string requiredText(const std::string &Name, const TextCheck &Check,
                           const std::string &Allowed);
  /// The whole number of flag \p Name; none if it was not given.
  std::optional<std::uint64_t> number(const std::string &Name,
                                      std::uint64_t Min, std::uint64_t Max);
  /// The address of flag `at`, or \p Default.
  SocketAddress address(const std::string &Default);

  /// Takes the positional arguments, which must be \p Names in number.
  std::vector<std::string> positional(std::span<const char *const> Names);
  /// Takes the positional arguments, at least one, all described by \p Name.
  std::vector<std::string> positionalList(const std::string &Name);

  /// Adds a fault.
  void addFault(std::string Name, std::string Value, std::string Allowed);

private:
  ParsedFlags m_Flags;                 ///< What the command line gives.
  std::vector<SettingFault> &m_Faults; ///< Where faults are added.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_SUPPORT_ARGUMENTREADER_H
