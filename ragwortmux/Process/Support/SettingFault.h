#ifndef RAGWORTMUX_PROCESS_SUPPORT_SETTINGFAULT_H
#define RAGWORTMUX_PROCESS_SUPPORT_SETTINGFAULT_H

#include "ragwortmux/Core/ResultCode.h"

#include <span>
#include <string>

namespace ragwortmux {

/// An invalid setting, command-line argument or JSON field.
struct SettingFault final {
  ResultCode m_Code = ResultCode::BadSetting; ///< Numbered result code.
  std::string m_Name;    ///< Name of the setting, argument or field.
  std::string m_Value;   ///< The value found; `***` for a secret.
  std::string m_Allowed; ///< What is allowed instead.

  friend bool operator==(const SettingFault &, const SettingFault &) = default;
};

/// One line: number and name of the result code, the name, the value and what
/// is allowed.
std::string describe(const SettingFault &Fault);

/// The lines of all \p Faults, each ended by a line feed.
std::string describeAll(std::span<const SettingFault> Faults);

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_SUPPORT_SETTINGFAULT_H
