#include "RelayPeer.h"

#include <future>
#include <utility>

namespace ragwortmux {

RelayPeer::RelayPeer(const std::string &ClusterKey, std::uint16_t Port,
                     bool Serves)
    : m_Key(ClusterKey) {
  std::promise<void> Listening;
  m_Thread = std::thread([this, Port, Serves, &Listening] {
    IoLoop Loop;
    {
      RpcServer Server(Loop, m_Key, Serves ? hooks() : RpcServerHooks());
      m_Port = Server.listen("127.0.0.1", Port);
      m_Loop = &Loop;
      Listening.set_value();
      Loop.run();
    }
    // Objects of the loop must end on its thread.
    for (Arrival &Old : m_Arrivals) {
      Old.m_Answer = nullptr;
    }
  });
  Listening.get_future().wait();
}

RelayPeer::~RelayPeer() {
  m_Loop->stop();
  m_Thread.join();
}

void RelayPeer::answer(std::size_t Index, SessionAnswer Value) {
  m_Loop->post([this, Index, Value = std::move(Value)] {
    Answer Give;
    {
      const std::lock_guard<std::mutex> Guard(m_Mutex);
      Give = m_Arrivals.at(Index).m_Answer;
    }
    Give(Value);
  });
}

void RelayPeer::block() {
  m_Blocker.lock();
  m_Loop->post([this] { const std::lock_guard<std::mutex> Wait(m_Blocker); });
}

void RelayPeer::unblock() { m_Blocker.unlock(); }

std::size_t RelayPeer::statements() const {
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  return m_Arrivals.size();
}

SessionRequest RelayPeer::statement(std::size_t Index) const {
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  return m_Arrivals.at(Index).m_Request;
}

RelayPeerId RelayPeer::connectionOf(std::size_t Index) const {
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  return m_Arrivals.at(Index).m_Peer;
}

std::vector<std::string> RelayPeer::events() const {
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  return m_Events;
}

std::vector<RelayPeerId> RelayPeer::closed() const {
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  return m_Closed;
}

RpcServerHooks RelayPeer::hooks() {
  RpcServerHooks Hooks;
  Hooks.m_RunRelayed = [this](RelayPeerId Peer, SessionRequest Request,
                              Answer Give) {
    const std::lock_guard<std::mutex> Guard(m_Mutex);
    m_Events.push_back("run " + std::to_string(Request.m_Caller.value()));
    m_Arrivals.push_back({Peer, std::move(Request), std::move(Give)});
  };
  Hooks.m_RelayedCallerDisconnected = [this](RelayPeerId,
                                             CallerConnectionId Caller) {
    const std::lock_guard<std::mutex> Guard(m_Mutex);
    m_Events.push_back("left " + std::to_string(Caller.value()));
  };
  Hooks.m_RelayClosed = [this](RelayPeerId Peer) {
    const std::lock_guard<std::mutex> Guard(m_Mutex);
    m_Events.emplace_back("closed");
    m_Closed.push_back(Peer);
  };
  return Hooks;
}

} // namespace ragwortmux
