#ifndef RAGWORTMUX_VERSION_PERMITMESSAGES_H
#define RAGWORTMUX_VERSION_PERMITMESSAGES_H

#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Core/Time.h"

#include <cstdint>
#include <vector>

/// \file
/// Requests of entry hosts for permits of limited workspaces, and the leader's
/// grants.

namespace ragwortmux {

/// What an entry host asks for one workspace.
struct PermitDemand final {
  WorkspaceId m_Workspace;    ///< The workspace.
  std::uint32_t m_Needed = 0; ///< For operations that wait or are imminent.
  std::uint32_t m_Spare = 0;  ///< In reserve; granted only out of plenty.
};

/// What the leader grants for one PermitDemand.
struct PermitGrant final {
  std::uint32_t m_Permits = 0; ///< Permits granted.
  Duration m_RetryAfter{0};    ///< Time until the next request may succeed; 0
                               ///< if all needed permits were granted.
  bool m_IsPlenty = false;     ///< The leader has spare permits left.
};

/// The leader's answer to a list of PermitDemand.
struct PermitGrants final {
  Duration m_Validity{0}; ///< How long the permits may be used, from when the
                          ///< request was sent, less the drift of the clocks;
                          ///< 0: limits are not enforced.
  std::vector<PermitGrant> m_Grants; ///< One for each demand, in order.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_PERMITMESSAGES_H
