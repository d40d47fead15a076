#ifndef RAGWORTMUX_VERSION_SESSIONRECORD_H
#define RAGWORTMUX_VERSION_SESSIONRECORD_H

#include "ragwortmux/Core/Ids.h"

#include <cstdint>
#include <string>

namespace ragwortmux {

/// Identifies one run of a process; later runs on the same host have higher
/// values.
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;

/// An open control session of one entry process.
struct SessionRecord final {
  ControlSessionId m_Session; ///< Id assigned by the control log; never reused.
  HostId m_Host;              ///< The entry host.
  Incarnation m_Incarnation;  ///< Incarnation of the entry process.
  FailureDomainId m_Domain;   ///< Failure domain of the host.
  std::string m_Address;      ///< IP address for calls between processes.
  std::uint16_t m_RpcPort = 0; ///< TCP port for calls between processes.

  friend bool operator==(const SessionRecord &,
                         const SessionRecord &) = default;
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_SESSIONRECORD_H
