#ifndef RAGWORTMUX_VERSION_SESSIONRECORD_H
#define RAGWORTMUX_VERSION_SESSIONRECORD_H

#include "ragwortmux/Core/Ids.h"

#include <cstdint>
#include <string>

namespace ragwortmux {

/// One run of a process; a later run of the same host has a higher one.
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;

/// An open control session of one entry process.
struct SessionRecord final {
  ControlSessionId m_Session;  ///< Given out by the log, never used twice.
  HostId m_Host;               ///< The entry host.
  Incarnation m_Incarnation;   ///< Which run of its process.
  FailureDomainId m_Domain;    ///< Where the host is.
  std::string m_Address;       ///< IP number for calls between processes.
  std::uint16_t m_RpcPort = 0; ///< TCP port for calls between processes.

  friend bool operator==(const SessionRecord &,
                         const SessionRecord &) = default;
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_SESSIONRECORD_H
