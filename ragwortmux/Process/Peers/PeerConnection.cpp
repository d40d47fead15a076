#include "ragwortmux/Process/Peers/PeerConnection.h"

#include "ragwortmux/Process/Loop/IoLoop.h"
#include "ragwortmux/Process/Peers/CapnpBytes.h"
#include "ragwortmux/Process/Peers/ClusterProof.h"
#include "ragwortmux/Process/Peers/ObservedStream.h"
#include "ragwortmux/Process/Support/Secret.h"

#include <utility>

namespace ragwortmux {

PeerConnection::PeerConnection(std::function<void()> BytesReceived)
    : m_BytesReceived(std::move(BytesReceived)) {}

kj::Promise<rpc::Peer::Client>
PeerConnection::connect(IoLoop &Loop, const Secret &ClusterKey,
                        const HostId &OwnHost, const std::string &Address,
                        std::uint16_t Port) {
  return Loop.connect(Address, Port)
      .then([this,
             Self = shared_from_this()](kj::Own<kj::AsyncIoStream> &&Stream) {
        m_Stream = kj::heap<ObservedStream>(kj::mv(Stream), m_BytesReceived);
        auto &Client = m_Client.emplace(*m_Stream);
        auto Gate = Client.bootstrap().castAs<rpc::Gate>();
        return Gate.helloRequest().send();
      })
      .then([Self = shared_from_this(), &ClusterKey, Host = OwnHost.value()](
                capnp::Response<rpc::Gate::HelloResults> &&Hello) {
        const std::string Proof =
            clusterProof(ClusterKey, toString(Hello.getNonce()), Host);
        auto Request = Hello.getChallenge().answerRequest();
        Request.setHost(toText(Host));
        Request.setProof(toData(Proof));
        return Request.send();
      })
      .then([](capnp::Response<rpc::Challenge::AnswerResults> &&Answer)
                -> rpc::Peer::Client { return Answer.getPeer(); });
}

} // namespace ragwortmux
