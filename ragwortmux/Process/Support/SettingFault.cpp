#include "ragwortmux/Process/Support/SettingFault.h"

#include <fmt/format.h>

namespace ragwortmux {

std::string describe(const SettingFault &Fault) {
  const ResultCodeInfo &Info = resultCodeInfo(Fault.m_Code);
  return fmt::format("{} {}: {} is '{}'; allowed: {}",
                     static_cast<unsigned>(Fault.m_Code), Info.m_Name,
                     Fault.m_Name, Fault.m_Value, Fault.m_Allowed);
}

std::string describeAll(std::span<const SettingFault> Faults) {
  std::string Lines;
  for (const SettingFault &Fault : Faults) {
    Lines += describe(Fault);
    Lines += '\n';
  }
  return Lines;
}

} // namespace ragwortmux
