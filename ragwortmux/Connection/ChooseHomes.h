#ifndef RAGWORTMUX_CONNECTION_CHOOSEHOMES_H
#define RAGWORTMUX_CONNECTION_CHOOSEHOMES_H

#include "ragwortmux/Core/Ids.h"

#include <span>
#include <vector>

namespace ragwortmux {

/// An entry host that can be chosen as a session home.
struct HomeCandidate final {
  HostId m_Host;            ///< Id of the host.
  FailureDomainId m_Domain; ///< Its failure domain.
};

/// Chooses the session homes of \p Session by rendezvous hashing.
///
/// Returns up to two hosts, in different failure domains if possible. The
/// result does not depend on the order of \p Hosts. Adding or removing a host
/// changes only the homes of sessions that this host is a home of.
std::vector<HostId> chooseHomes(const SessionName &Session,
                                std::span<const HomeCandidate> Hosts);

} // namespace ragwortmux

#endif // RAGWORTMUX_CONNECTION_CHOOSEHOMES_H
