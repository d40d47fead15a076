#ifndef RAGWORTMUX_VERSION_SESSIONHOMEADDRESS_H
#define RAGWORTMUX_VERSION_SESSIONHOMEADDRESS_H

#include "ragwortmux/Core/Ids.h"

#include <cstdint>
#include <string>

namespace ragwortmux {

/// Where the entry process of a session home accepts calls.
struct SessionHomeAddress final {
  FailureDomainId m_Domain;    ///< Failure domain of the host.
  std::string m_Address;       ///< IP address for calls between processes.
  std::uint16_t m_RpcPort = 0; ///< TCP port for calls between processes.

  friend bool operator==(const SessionHomeAddress &,
                         const SessionHomeAddress &) = default;
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_SESSIONHOMEADDRESS_H
