#ifndef RAGWORTMUX_VERSION_REPLICATIONMODE_H
#define RAGWORTMUX_VERSION_REPLICATIONMODE_H

#include <cstdint>

namespace ragwortmux {

/// Who sees to it that a group's replicas hold what was acknowledged.
enum class ReplicationMode : std::uint8_t {
  InSyncSet, ///< The proxies wait for the group's in-sync set.
  Delegated, ///< The backend servers; their terms are their own too.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_REPLICATIONMODE_H
