#ifndef RAGWORTMUX_PROCESS_PEERS_PEERCONNECTION_H
#define RAGWORTMUX_PROCESS_PEERS_PEERCONNECTION_H

#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Process/Generated/Cluster.capnp.h"

#include <capnp/rpc-twoparty.h>

#include <functional>
#include <memory>
#include <string>

namespace ragwortmux {

class IoLoop;
class Secret;

/// One outgoing RPC connection to another process of the cluster. Must not be
/// destroyed by one of its own callbacks.
class PeerConnection final
    : public std::enable_shared_from_this<PeerConnection> {
public:
  /// \p BytesReceived is called whenever bytes arrive.
  explicit PeerConnection(std::function<void()> BytesReceived = [] {});
  PeerConnection(const PeerConnection &) = delete;
  PeerConnection &operator=(const PeerConnection &) = delete;

  /// Connects and proves the knowledge of \p ClusterKey on behalf of \p
  /// OwnHost; returns the other process's interface. Can be called once.
  kj::Promise<rpc::Peer::Client> connect(IoLoop &Loop, const Secret &ClusterKey,
                                         const HostId &OwnHost,
                                         const std::string &Address,
                                         std::uint16_t Port);

private:
  std::function<void()> m_BytesReceived;     ///< See the constructor.
  kj::Own<kj::AsyncIoStream> m_Stream;       ///< The socket.
  kj::Maybe<capnp::TwoPartyClient> m_Client; ///< RPC over it.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_PEERS_PEERCONNECTION_H
