#include "ragwortmux/Connection/ChooseGroupHosts.h"

#include "ragwortmux/Connection/StableHash.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace ragwortmux {

std::vector<HostId> chooseGroupHosts(const GroupId &Group,
                                     const FailureDomainId &Domain,
                                     std::span<const HomeCandidate> Hosts,
                                     std::size_t MaxHosts) {
  std::vector<std::pair<std::uint64_t, HostId>> Weighted;
  for (const HomeCandidate &Host : Hosts) {
    if (Host.m_Domain != Domain)
      continue;
    Weighted.emplace_back(stableHash(Host.m_Host.value(), Group.value()),
                          Host.m_Host);
  }
  std::sort(Weighted.rbegin(), Weighted.rend());
  std::vector<HostId> Chosen;
  for (auto &[Weight, Host] : Weighted) {
    if (Chosen.size() == MaxHosts)
      break;
    Chosen.push_back(std::move(Host));
  }
  return Chosen;
}

} // namespace ragwortmux
