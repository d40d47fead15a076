#ifndef RAGWORTMUX_PROCESS_SUPPORT_SETTINGFILE_H
#define RAGWORTMUX_PROCESS_SUPPORT_SETTINGFILE_H

#include "ragwortmux/Process/Support/SettingFault.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortmux {

/// Settings from a file: one `NAME=VALUE` a line; empty lines, lines that begin
/// with `#` and unknown names are ignored, the latter so that an older program
/// starts with a newer file.
class SettingFile final {
public:
  /// Reads the file at \p Path; empty if \p Path is. A file that cannot be read
  /// or a line without `=` adds a fault.
  static SettingFile read(const std::string &Path,
                          std::vector<SettingFault> &Faults);
  /// Parses \p Text.
  static SettingFile parse(std::string_view Text,
                           std::vector<SettingFault> &Faults);

  /// The value of \p Name; none if the file does not give it.
  std::optional<std::string> value(const std::string &Name) const;

  friend bool operator==(const SettingFile &, const SettingFile &) = default;

private:
  std::map<std::string, std::string> m_Values; ///< Values by name.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_SUPPORT_SETTINGFILE_H
