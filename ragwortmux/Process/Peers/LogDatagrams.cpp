#include "ragwortmux/Process/Peers/LogDatagrams.h"

#include "ragwortmux/Process/Loop/IoLoop.h"
#include "ragwortmux/Process/Loop/SystemClock.h"
#include "ragwortmux/Process/Peers/ClusterProof.h"
#include "ragwortmux/Process/Peers/LogMessageCodec.h"
#include "ragwortmux/Process/Support/Log.h"
#include "ragwortmux/Process/Support/Secret.h"
#include "ragwortmux/Process/Support/SocketAddress.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <memory>
#include <optional>

namespace ragwortmux {

namespace {

/// Largest datagram; with all headers it fits the usual packet of 1,500 bytes.
constexpr std::size_t MaxDatagramBytes = 1200;
/// Length of the proof that precedes each message.
constexpr std::size_t ProofBytes = 16;
/// A member from which no datagram has arrived for this long is also sent
/// messages over a connection, because the path may drop datagrams.
constexpr Duration DatagramSilenceLimit = std::chrono::milliseconds(500);
/// Pause after a socket error, before the next receive.
constexpr Duration ErrorPause = std::chrono::milliseconds(100);
/// Derives the key for datagrams from the cluster key, so that their proofs
/// differ from those of connections. It ends with a character that no host's
/// name ends with, so no answer to a connection's challenge equals that key.
constexpr std::string_view ProofLabel("log datagram\0", 13);

kj::Own<kj::NetworkAddress> toNetworkAddress(kj::Network &Network,
                                             const SocketAddress &Endpoint) {
  sockaddr_in Ipv4{};
  if (inet_pton(AF_INET, Endpoint.m_Address.c_str(), &Ipv4.sin_addr) == 1) {
    Ipv4.sin_family = AF_INET;
    Ipv4.sin_port = htons(Endpoint.m_Port);
    return Network.getSockaddr(&Ipv4, sizeof Ipv4);
  }
  sockaddr_in6 Ipv6{};
  Ipv6.sin6_family = AF_INET6;
  Ipv6.sin6_port = htons(Endpoint.m_Port);
  inet_pton(AF_INET6, Endpoint.m_Address.c_str(), &Ipv6.sin6_addr);
  return Network.getSockaddr(&Ipv6, sizeof Ipv6);
}

} // namespace

LogDatagrams::LogDatagrams(IoLoop &Loop, const Secret &ClusterKey,
                           MessageHandler Handler)
    : m_Loop(Loop), m_Key(clusterProof(ClusterKey, ProofLabel, "")),
      m_MessageHandler(std::move(Handler)) {}

LogDatagrams::~LogDatagrams() = default;

bool LogDatagrams::listen(const std::string &Address, std::uint16_t Port) {
  const auto Failed = kj::runCatchingExceptions([&] {
    m_Port =
        toNetworkAddress(m_Loop.network(), {Address, Port})->bindDatagramPort();
    m_Receiver = m_Port->makeReceiver({MaxDatagramBytes, 0});
  });
  KJ_IF_MAYBE (Error, Failed) {
    m_LastReason = Error->getDescription().cStr();
    m_Port = nullptr;
    return false;
  }
  m_Receiving = receive().eagerlyEvaluate([](const kj::Exception &Error) {
    logWarn(Part::Rpc, "Stopped receiving datagrams: {}.",
            Error.getDescription().cStr());
  });
  return true;
}

bool LogDatagrams::send(const std::string &Address, std::string_view Message) {
  Peer *To = m_Port.get() == nullptr ? nullptr : peer(Address);
  if (To == nullptr) {
    return false;
  }
  if (Message.size() + ProofBytes > MaxDatagramBytes) {
    return false;
  }
  auto Datagram = kj::heap<std::string>(proof(Message).append(Message));
  auto Sent =
      m_Port->send(Datagram->data(), Datagram->size(), *To->m_NetworkAddress);
  // A datagram that cannot be sent counts as lost.
  m_Loop.spawn(Sent.ignoreResult()
                   .catch_([](const kj::Exception &Error) {
                     logDebug(Part::Rpc, "A datagram was not sent: {}.",
                              Error.getDescription().cStr());
                   })
                   .attach(kj::mv(Datagram)));
  return monotonicNow() < To->m_LastReceivedAt + DatagramSilenceLimit;
}

kj::Promise<void> LogDatagrams::receive() {
  return m_Receiver->receive().then(
      [this] {
        const auto Content = m_Receiver->getContent();
        const auto Bytes = Content.value.asChars();
        if (!Content.isTruncated) {
          handleDatagram({Bytes.begin(), Bytes.size()},
                         m_Receiver->getSource().toString().cStr());
        }
        return receive();
      },
      [this](const kj::Exception &Error) {
        logWarn(Part::Rpc, "Receiving datagrams failed: {}.",
                Error.getDescription().cStr());
        return m_Loop.timer().afterDelay(toKj(ErrorPause)).then([this] {
          return receive();
        });
      });
}

void LogDatagrams::handleDatagram(std::string_view Datagram,
                                  const std::string &From) {
  if (Datagram.size() <= ProofBytes) {
    return;
  }
  const std::string_view Message = Datagram.substr(ProofBytes);
  const Secret Expected(proof(Message));
  if (!Expected.matches(Datagram.substr(0, ProofBytes))) {
    return;
  }
  auto Envelope = decodeLogEnvelope(Message);
  if (!Envelope) {
    return;
  }
  if (Peer *Sender = peer(From)) {
    Sender->m_LastReceivedAt = monotonicNow();
  }
  m_MessageHandler(std::move(*Envelope));
}

LogDatagrams::Peer *LogDatagrams::peer(const std::string &Address) {
  const auto Found = m_Peers.find(Address);
  if (Found != m_Peers.end()) {
    return &Found->second;
  }
  const auto ParsedAddress = parseSocketAddress(Address);
  if (!ParsedAddress) {
    return nullptr;
  }
  Peer &NewPeer = m_Peers[Address];
  NewPeer.m_NetworkAddress = toNetworkAddress(m_Loop.network(), *ParsedAddress);
  NewPeer.m_LastReceivedAt = monotonicNow() - DatagramSilenceLimit;
  return &NewPeer;
}

std::string LogDatagrams::proof(std::string_view Message) const {
  return clusterProof(m_Key, "", Message).substr(0, ProofBytes);
}

} // namespace ragwortmux
