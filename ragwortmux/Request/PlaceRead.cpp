#include "ragwortmux/Request/PlaceRead.h"

namespace ragwortmux {

namespace {

/// Costs of a server; each running statement adds RunningCost.
constexpr std::uint32_t RunningCost = 4;
constexpr std::uint32_t FarCost = 10;
constexpr std::uint32_t PrimaryCost = 3;

std::uint32_t cost(const ReadPlace &Place) {
  return Place.m_Running * RunningCost + (Place.m_IsNear ? 0 : FarCost) +
         (Place.m_IsPrimary ? PrimaryCost : 0);
}

} // namespace

std::optional<ServerId> placeRead(std::span<const ReadPlace> Places) {
  const ReadPlace *Best = nullptr;
  for (const ReadPlace &Place : Places) {
    if (!Place.m_IsAllowed || Place.m_Free == 0)
      continue;
    if (Best == nullptr || cost(Place) < cost(*Best))
      Best = &Place;
  }
  return Best == nullptr ? std::nullopt : std::optional(Best->m_Server);
}

} // namespace ragwortmux
