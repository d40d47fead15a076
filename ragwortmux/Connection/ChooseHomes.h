#ifndef RAGWORTMUX_CONNECTION_CHOOSEHOMES_H
#define RAGWORTMUX_CONNECTION_CHOOSEHOMES_H

#include "ragwortmux/Core/Ids.h"

#include <span>
#include <vector>

namespace ragwortmux {

/// A host that may be a home of sessions.
struct HomeCandidate final {
  HostId m_Host;            ///< The host.
  FailureDomainId m_Domain; ///< Where it is.
};

/// The homes of \p Session by rendezvous hashing: two hosts in two failure
/// domains if there are such, whatever the order of \p Hosts. A host that joins
/// or leaves changes the homes of its own sessions only.
std::vector<HostId> chooseHomes(const SessionName &Session,
                                std::span<const HomeCandidate> Hosts);

} // namespace ragwortmux

#endif // RAGWORTMUX_CONNECTION_CHOOSEHOMES_H
