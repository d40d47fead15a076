#include "ragwortmux/Connection/ChooseHomes.h"

#include "ragwortmux/Connection/StableHash.h"

#include <tuple>

namespace ragwortmux {

namespace {

/// Returns the host with the greatest weight among those that \p Accepts, or
/// null if there is none.
template <typename Predicate>
const HomeCandidate *greatestWeightHost(const SessionName &Session,
                                        std::span<const HomeCandidate> Hosts,
                                        const Predicate &Accepts) {
  const HomeCandidate *Best = nullptr;
  std::uint64_t BestWeight = 0;
  for (const HomeCandidate &Host : Hosts) {
    if (!Accepts(Host))
      continue;
    const std::uint64_t Weight =
        stableHash(Host.m_Host.value(), Session.value());
    if (Best &&
        std::tie(Weight, Host.m_Host) <= std::tie(BestWeight, Best->m_Host))
      continue;
    Best = &Host;
    BestWeight = Weight;
  }
  return Best;
}

} // namespace

std::vector<HostId> chooseHomes(const SessionName &Session,
                                std::span<const HomeCandidate> Hosts) {
  const HomeCandidate *First = greatestWeightHost(
      Session, Hosts, [](const HomeCandidate &) { return true; });
  if (!First)
    return {};
  const HomeCandidate *Second =
      greatestWeightHost(Session, Hosts, [First](const HomeCandidate &Host) {
        return Host.m_Domain != First->m_Domain;
      });
  if (!Second)
    Second =
        greatestWeightHost(Session, Hosts, [First](const HomeCandidate &Host) {
          return Host.m_Host != First->m_Host;
        });
  if (!Second)
    return {First->m_Host};
  return {First->m_Host, Second->m_Host};
}

} // namespace ragwortmux
