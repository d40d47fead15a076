#ifndef RAGWORTMUX_PROCESS_SUPPORT_CONTROLPEER_H
#define RAGWORTMUX_PROCESS_SUPPORT_CONTROLPEER_H

#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Process/Support/SocketAddress.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace ragwortmux {

/// Id and endpoint of a control host, from the settings.
struct ControlPeer final {
  HostId m_Host;            ///< Id; empty for a seed until completeSeed.
  SocketAddress m_Endpoint; ///< Address and RPC port; see parseSeeds for seeds.

  friend bool operator==(const ControlPeer &, const ControlPeer &) = default;
};

/// Maximum number of control hosts in a cluster.
inline constexpr std::size_t MaxControlPeers = 9;

/// Parses `HOST=ADDR:PORT,...`; none if it is malformed, empty, too long or
/// names a host or an address twice.
std::optional<std::vector<ControlPeer>>
parseControlPeers(std::string_view Text);

/// Parses `ADDR:PORT,...`; the ids of the resulting hosts are empty. None if
/// the text is malformed or has more than MaxControlPeers addresses. The ports
/// belong to another service of these hosts; completeSeed replaces them.
std::optional<std::vector<ControlPeer>> parseSeeds(std::string_view Text);

/// Sets the id of \p Seed to its address and its port to \p RpcPort, which is
/// the same on all hosts that are found through seeds.
void completeSeed(ControlPeer &Seed, std::uint16_t RpcPort);

/// True if \p Text is a valid name of a host, failure domain, cluster, group or
/// server: 1 to 63 characters of [a-z0-9_-].
bool isName(std::string_view Text);

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_SUPPORT_CONTROLPEER_H
