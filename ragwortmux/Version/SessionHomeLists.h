#ifndef RAGWORTMUX_VERSION_SESSIONHOMELISTS_H
#define RAGWORTMUX_VERSION_SESSIONHOMELISTS_H

#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Version/SessionHomeAddress.h"

#include <map>
#include <vector>

namespace ragwortmux {

/// The hosts that store callers' session positions.
///
/// A change takes two steps. While m_Preparing is not empty, positions are
/// stored and looked up according to both lists, and the higher position
/// counts.
///
/// A listed host keeps its address when its session ends, so that a process
/// that receives the lists meanwhile learns of all listed hosts.
struct SessionHomeLists final {
  Revision m_Revision; ///< Increases with each step, and when an address
                       ///< appears or changes.
  std::vector<HostId> m_Active; ///< Hosts in use, in ascending order.
  std::vector<HostId>
      m_Preparing; ///< Hosts of the next list, already in use too; empty unless
                   ///< a change is in progress.
  std::map<HostId, SessionHomeAddress>
      m_Addresses; ///< Last known addresses of the hosts of both lists.

  friend bool operator==(const SessionHomeLists &,
                         const SessionHomeLists &) = default;
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_SESSIONHOMELISTS_H
