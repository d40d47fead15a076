#ifndef RAGWORTMUX_VERSION_REPLICATIONMODE_H
#define RAGWORTMUX_VERSION_REPLICATIONMODE_H

#include <cstdint>

namespace ragwortmux {

/// How a group ensures that its replicas have the acknowledged writes.
enum class ReplicationMode : std::uint8_t {
  InSyncSet, ///< The proxies wait for the group's in-sync set before they
             ///< acknowledge.
  Delegated, ///< The backend servers replicate by themselves and manage their
             ///< own terms.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_REPLICATIONMODE_H
