#ifndef RAGWORTMUX_VERSION_GROUPPOLICY_H
#define RAGWORTMUX_VERSION_GROUPPOLICY_H

#include "ragwortmux/Core/Ids.h"

#include <cstdint>

namespace ragwortmux {

/// What operators state about a group in the catalogue.
struct GroupPolicy final {
  GroupId m_Group;                     ///< The group.
  std::uint32_t m_ConnectionLimit = 0; ///< Connections to each of its servers,
                                       ///< over all processes.
  std::uint32_t m_SyncReplicas = 0;    ///< Replicas that hold a commit before
                                       ///< the primary acknowledges it.

  friend bool operator==(const GroupPolicy &, const GroupPolicy &) = default;
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_GROUPPOLICY_H
