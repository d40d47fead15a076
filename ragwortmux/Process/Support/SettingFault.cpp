#include "ragwortmux/Process/Support/SettingFault.h"

#include <fmt/format.h>

#include <algorithm>

namespace ragwortmux {

namespace {

/// Replaces control characters, so that a fault stays one line.
std::string toOneLine(std::string Text) {
  std::ranges::replace_if(
      Text,
      [](char Character) {
        return static_cast<unsigned char>(Character) < ' ' ||
               Character == '\x7f';
      },
      '?');
  return Text;
}

} // namespace

std::string describe(const SettingFault &Fault) {
  const ResultCodeInfo &Info = resultCodeInfo(Fault.m_Code);
  return toOneLine(fmt::format("{} {}: {} is '{}'; allowed: {}",
                               static_cast<unsigned>(Fault.m_Code), Info.m_Name,
                               Fault.m_Name, Fault.m_Value, Fault.m_Allowed));
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
