#ifndef RAGWORTMUX_CONNECTION_CHOOSEGROUPHOSTS_H
#define RAGWORTMUX_CONNECTION_CHOOSEGROUPHOSTS_H

#include "ragwortmux/Connection/ChooseHomes.h"

#include <cstddef>
#include <span>
#include <vector>

namespace ragwortmux {

/// Default of the maximum number of entry hosts of one failure domain that
/// serve a group.
inline constexpr std::size_t MaxGroupHostsPerDomain = 4;

/// Chooses the entry hosts of \p Domain that serve \p Group by rendezvous
/// hashing.
///
/// Returns up to \p MaxHosts of \p Hosts in order of preference. The
/// result does not depend on the order of \p Hosts. Adding or removing a host
/// changes only the groups that this host serves.
std::vector<HostId>
chooseGroupHosts(const GroupId &Group, const FailureDomainId &Domain,
                 std::span<const HomeCandidate> Hosts,
                 std::size_t MaxHosts = MaxGroupHostsPerDomain);

} // namespace ragwortmux

#endif // RAGWORTMUX_CONNECTION_CHOOSEGROUPHOSTS_H
