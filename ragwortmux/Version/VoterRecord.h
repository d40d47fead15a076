#ifndef RAGWORTMUX_VERSION_VOTERRECORD_H
#define RAGWORTMUX_VERSION_VOTERRECORD_H

#include "ragwortmux/Core/Ids.h"

#include <cstdint>
#include <string>

namespace ragwortmux {

/// A voter of the control log, for display only; the log itself decides who
/// votes.
struct VoterRecord final {
  HostId m_Host;               ///< The host.
  FailureDomainId m_Domain;    ///< Its failure domain.
  std::string m_Identity;      ///< Identity of its data folder.
  std::string m_Address;       ///< IP address for calls between processes.
  std::uint16_t m_RpcPort = 0; ///< TCP port for calls between processes.

  friend bool operator==(const VoterRecord &, const VoterRecord &) = default;
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_VOTERRECORD_H
