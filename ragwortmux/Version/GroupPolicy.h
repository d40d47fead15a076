#ifndef RAGWORTMUX_VERSION_GROUPPOLICY_H
#define RAGWORTMUX_VERSION_GROUPPOLICY_H

#include "ragwortmux/Core/Ids.h"

#include <cstdint>

namespace ragwortmux {

/// The operators' settings of a group in the catalogue.
struct GroupPolicy final {
  GroupId m_Group; ///< The group.
  std::uint32_t m_ConnectionLimit =
      0; ///< Maximum number of connections to each of its servers, from all
         ///< processes together.
  std::uint32_t m_SyncReplicas =
      0; ///< Number of replicas that must have a commit before the primary
         ///< acknowledges it.

  friend bool operator==(const GroupPolicy &, const GroupPolicy &) = default;
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_GROUPPOLICY_H
