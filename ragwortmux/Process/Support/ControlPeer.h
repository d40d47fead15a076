#ifndef RAGWORTMUX_PROCESS_SUPPORT_CONTROLPEER_H
#define RAGWORTMUX_PROCESS_SUPPORT_CONTROLPEER_H

#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Process/Support/SocketAddress.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace ragwortmux {

/// A control host as the settings name it.
struct ControlPeer final {
  HostId m_Host;            ///< Its id.
  SocketAddress m_Endpoint; ///< Where its RPC port is.

  friend bool operator==(const ControlPeer &, const ControlPeer &) = default;
};

/// Most control hosts of a cluster.
inline constexpr std::size_t MaxControlPeers = 9;

/// Parses `HOST=ADDR:PORT,...`; none if it is malformed, empty, too long or
/// names a host or an address twice.
std::optional<std::vector<ControlPeer>>
parseControlPeers(std::string_view Text);

/// Parses `ADDR:PORT,...`, whose hosts are not named; none if it is malformed
/// or too long. The ports are those of another service of these hosts.
std::optional<std::vector<ControlPeer>> parseSeeds(std::string_view Text);

/// Names a seed's host by its address and gives it \p RpcPort, which is the
/// same on all hosts that are found by seeds.
void completeSeed(ControlPeer &Seed, std::uint16_t RpcPort);

/// True if \p Text may name a host, failure domain, cluster, group or server: 1
/// to 63 characters of [a-z0-9_-].
bool isName(std::string_view Text);

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_SUPPORT_CONTROLPEER_H
