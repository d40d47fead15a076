#ifndef RAGWORTMUX_PROCESS_PEERS_LOGDATAGRAMS_H
#define RAGWORTMUX_PROCESS_PEERS_LOGDATAGRAMS_H

#include "ragwortmux/Core/Time.h"
#include "ragwortmux/Process/Support/Secret.h"

#include <kj/async-io.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace ragwortmux {

class IoLoop;
struct LogEnvelope;

/// Carries small messages of the replicated log as UDP datagrams.
///
/// On a TCP connection one lost packet holds up all heartbeats behind it for a
/// retransmission timeout, which is about as long as an election timeout. The
/// log tolerates lost, repeated and reordered messages, so it needs no
/// connection. Each datagram carries a proof of the cluster key; those without
/// it are ignored. A replayed datagram is accepted, like any repeated message.
///
/// Lives on the event loop.
class LogDatagrams final {
public:
  /// Called with each authentic message.
  using MessageHandler = std::function<void(LogEnvelope Envelope)>;

  LogDatagrams(IoLoop &Loop, const Secret &ClusterKey, MessageHandler Handler);
  ~LogDatagrams();
  LogDatagrams(const LogDatagrams &) = delete;
  LogDatagrams &operator=(const LogDatagrams &) = delete;

  /// Starts to receive at \p Address, an IP address. False with lastReason() on
  /// failure; then nothing is sent or received.
  bool listen(const std::string &Address, std::uint16_t Port);

  /// Sends \p Message, encoded with encodeLogEnvelope(), to the member at
  /// \p Address, `ADDR:PORT`. False if it does not fit into a datagram or no
  /// datagram has arrived from there recently; it must then also be sent over a
  /// connection.
  bool send(const std::string &Address, std::string_view Message);

  /// Why listen() failed.
  const std::string &lastReason() const { return m_LastReason; }

private:
  struct Peer;
  kj::Promise<void> receive();
  void handleDatagram(std::string_view Datagram, const std::string &From);
  Peer *peer(const std::string &Address);
  std::string proof(std::string_view Message) const;

  IoLoop &m_Loop;                           ///< The event loop.
  Secret m_Key;                             ///< Key of the proofs.
  MessageHandler m_MessageHandler;          ///< Handles messages.
  kj::Own<kj::DatagramPort> m_Port;         ///< The socket.
  kj::Own<kj::DatagramReceiver> m_Receiver; ///< Receives from m_Port.
  kj::Promise<void> m_Receiving{nullptr};   ///< Runs receive().
  std::map<std::string, Peer> m_Peers;      ///< Other members, by address.
  std::string m_LastReason;                 ///< See lastReason().
};

/// Another member.
struct LogDatagrams::Peer final {
  kj::Own<kj::NetworkAddress> m_NetworkAddress; ///< Its address.
  Instant m_LastReceivedAt; ///< When its last datagram arrived.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_PEERS_LOGDATAGRAMS_H
