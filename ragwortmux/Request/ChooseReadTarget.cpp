#include "ragwortmux/Request/ChooseReadTarget.h"

namespace ragwortmux {

namespace {

/// Costs of a server; each running statement adds RunningCost.
constexpr std::uint32_t RunningCost = 4;
constexpr std::uint32_t FarCost = 10;
constexpr std::uint32_t PrimaryCost = 3;

std::uint32_t cost(const ReadTarget &Target) {
  return Target.m_Running * RunningCost + (Target.m_IsNear ? 0 : FarCost) +
         (Target.m_IsPrimary ? PrimaryCost : 0);
}

} // namespace

std::optional<ServerId> chooseReadTarget(std::span<const ReadTarget> Targets) {
  const ReadTarget *Best = nullptr;
  for (const ReadTarget &Target : Targets) {
    if (!Target.m_IsAllowed || Target.m_Free == 0)
      continue;
    if (Best == nullptr || cost(Target) < cost(*Best))
      Best = &Target;
  }
  return Best == nullptr ? std::nullopt : std::optional(Best->m_Server);
}

} // namespace ragwortmux
