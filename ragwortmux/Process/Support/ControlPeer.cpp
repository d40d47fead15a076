#include "ragwortmux/Process/Support/ControlPeer.h"

#include <algorithm>
#include <string>

namespace ragwortmux {

namespace {

/// Parses one `HOST=ADDR:PORT`.
std::optional<ControlPeer> parsePeer(std::string_view Text) {
  const std::size_t Equals = Text.find('=');
  if (Equals == std::string_view::npos || !isName(Text.substr(0, Equals)))
    return std::nullopt;
  std::optional<SocketAddress> Endpoint =
      parseSocketAddress(Text.substr(Equals + 1));
  if (!Endpoint)
    return std::nullopt;
  return ControlPeer{HostId(std::string(Text.substr(0, Equals))),
                     std::move(*Endpoint)};
}

} // namespace

std::optional<std::vector<ControlPeer>>
parseControlPeers(std::string_view Text) {
  std::vector<ControlPeer> Peers;
  while (true) {
    const std::size_t Comma = Text.find(',');
    std::optional<ControlPeer> Peer = parsePeer(Text.substr(0, Comma));
    if (!Peer || Peers.size() == MaxControlPeers)
      return std::nullopt;
    const bool IsKnown =
        std::ranges::any_of(Peers, [&](const ControlPeer &Other) {
          return Other.m_Host == Peer->m_Host ||
                 Other.m_Endpoint == Peer->m_Endpoint;
        });
    if (IsKnown)
      return std::nullopt;
    Peers.push_back(std::move(*Peer));
    if (Comma == std::string_view::npos)
      return Peers;
    Text.remove_prefix(Comma + 1);
  }
}

std::optional<std::vector<ControlPeer>> parseSeeds(std::string_view Text) {
  std::vector<ControlPeer> Seeds;
  while (!Text.empty()) {
    const std::size_t Comma = Text.find(',');
    std::optional<SocketAddress> Endpoint =
        parseSocketAddress(Text.substr(0, Comma));
    if (!Endpoint || Seeds.size() == MaxControlPeers)
      return std::nullopt;
    Seeds.push_back({HostId(), std::move(*Endpoint)});
    if (Comma == std::string_view::npos)
      break;
    Text.remove_prefix(Comma + 1);
  }
  return Seeds;
}

void completeSeed(ControlPeer &Seed, std::uint16_t RpcPort) {
  Seed.m_Host = HostId(Seed.m_Endpoint.m_Address);
  Seed.m_Endpoint.m_Port = RpcPort;
}

bool isName(std::string_view Text) {
  constexpr std::size_t MaxNameLength = 63;
  if (Text.empty() || Text.size() > MaxNameLength)
    return false;
  return std::ranges::all_of(Text, [](char Character) {
    return (Character >= 'a' && Character <= 'z') ||
           (Character >= '0' && Character <= '9') || Character == '_' ||
           Character == '-';
  });
}

} // namespace ragwortmux
