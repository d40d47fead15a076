#ifndef RAGWORTMUX_VERSION_SESSIONHOMELISTS_H
#define RAGWORTMUX_VERSION_SESSIONHOMELISTS_H

#include "ragwortmux/Core/Ids.h"

#include <vector>

namespace ragwortmux {

/// The hosts that store callers' session positions.
///
/// A change takes two steps. While m_Preparing is not empty, positions are
/// stored and looked up according to both lists, and the higher position
/// counts.
struct SessionHomeLists final {
  Revision m_Revision;          ///< Increases with each step.
  std::vector<HostId> m_Active; ///< Hosts in use, in ascending order.
  std::vector<HostId>
      m_Preparing; ///< Hosts of the next list, already in use too; empty unless
                   ///< a change is in progress.

  friend bool operator==(const SessionHomeLists &,
                         const SessionHomeLists &) = default;
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_SESSIONHOMELISTS_H
