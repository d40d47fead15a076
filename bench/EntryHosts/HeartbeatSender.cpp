#include "bench/EntryHosts/HeartbeatSender.h"

#include "tests/Platform/Socket.h"

#include <fmt/format.h>

#include <chrono>
#include <utility>

namespace ragwortmux {

namespace {

/// Interval between two heartbeats of a server.
constexpr std::chrono::seconds Interval(1);
constexpr int HttpOk = 200;

} // namespace

HeartbeatSender::HeartbeatSender(std::vector<ServerHeartbeat> Servers,
                                 std::vector<std::string> ControlAddresses,
                                 std::uint16_t Port)
    : m_Servers(std::move(Servers)),
      m_ControlAddresses(std::move(ControlAddresses)), m_Port(Port),
      m_Thread([this] { run(); }) {}

HeartbeatSender::~HeartbeatSender() {
  m_IsRunning = false;
  m_Thread.join();
}

void HeartbeatSender::run() {
  const auto Gap = std::chrono::microseconds(Interval) / m_Servers.size();
  for (std::uint64_t Sequence = 1; m_IsRunning; ++Sequence) {
    for (const ServerHeartbeat &Server : m_Servers) {
      if (!m_IsRunning) {
        return;
      }
      ++(send(Server, Sequence) ? m_Accepted : m_Failed);
      std::this_thread::sleep_for(Gap);
    }
  }
}

bool HeartbeatSender::send(const ServerHeartbeat &Server,
                           std::uint64_t Sequence) const {
  const std::string Body = fmt::format(
      R"({{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":20,)"
      R"("state":"ready","coldRemainingMs":0,"dbRole":"{}","sequence":{}}})",
      Server.m_Group, Server.m_Address, Server.m_Domain,
      Server.m_IsPrimary ? "primary" : "replica", Sequence);
  const std::string &Receiver =
      m_ControlAddresses[Sequence % m_ControlAddresses.size()];
  return platform::httpCall(Receiver, m_Port, "POST",
                            "/instances/" + Server.m_Id + "/heartbeat",
                            Body) == HttpOk;
}

} // namespace ragwortmux
