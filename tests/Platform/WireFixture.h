#ifndef TESTS_PLATFORM_WIREFIXTURE_H
#define TESTS_PLATFORM_WIREFIXTURE_H

#include "Socket.h"
#include "WireStandIn.h"

#include "tests/StandIn/ChildProcess.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

/// \file
/// Real processes with stand-ins of the platform around them.

namespace ragwortmux::platform {

/// Waits until \p Condition returns true; false after 15 s.
inline bool waitUntil(const std::function<bool()> &Condition) {
  const auto End = std::chrono::steady_clock::now() + std::chrono::seconds(15);
  while (std::chrono::steady_clock::now() < End) {
    if (Condition())
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return false;
}

/// A stand-in of the platform's HTTP interface that promotes a server.
class PromotionStandIn final {
public:
  explicit PromotionStandIn(ServiceStandIn &Service)
      : m_Service(Service), m_Listener(Socket::listen("127.0.0.1")),
        m_Thread([this] { serve(); }) {}
  ~PromotionStandIn() {
    m_IsRunning = false;
    m_Listener->shutdown();
    m_Thread.join();
  }
  PromotionStandIn(const PromotionStandIn &) = delete;
  PromotionStandIn &operator=(const PromotionStandIn &) = delete;

  std::uint16_t port() const { return m_Listener->port(); }
  std::size_t calls() const { return m_Calls; }

private:
  void serve() {
    while (m_IsRunning) {
      const auto Connection = m_Listener->accept();
      if (Connection == nullptr)
        return;
      std::size_t Length = 0;
      bool HasToken = false;
      for (auto Line = Connection->readLine(); Line && !Line->empty();
           Line = Connection->readLine()) {
        if (Line->starts_with("Content-Length: "))
          Length = std::stoul(Line->substr(16));
        HasToken = HasToken || Line->starts_with("Ragwortmux-Fencing-Token: ");
      }
      const std::string Body = Connection->readBytes(Length);
      const std::size_t At = Body.find("\"id\":\"") + 6;
      const std::lock_guard Lock(m_Service.m_Mutex);
      if (HasToken) {
        m_Service.m_Primary = Body.substr(At, Body.find('"', At) - At);
        ++m_Service.m_Term;
        ++m_Calls;
      }
      Connection->write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }
  }

  ServiceStandIn &m_Service;
  std::shared_ptr<Socket> m_Listener;
  std::atomic<bool> m_IsRunning = true;
  std::atomic<std::size_t> m_Calls = 0;
  std::thread m_Thread;
};

/// A caller with one session.
class WireCaller final {
public:
  WireCaller(std::uint16_t Port, const std::string &Database,
             const std::string &Address = "127.0.0.2",
             const std::string &Key = "u1")
      : m_Socket(Socket::connect(Address, Port)) {
    BOOST_REQUIRE(m_Socket != nullptr);
    m_Socket->write("STARTUP " + Database + " " + Key + "\r\n");
    m_Greeting = m_Socket->readLine().value_or("");
  }

  /// Sends a statement; returns the lines of the answer, the READY line last.
  std::vector<std::string> execute(const std::string &Text) {
    m_Socket->write("QUERY q" + std::to_string(++m_LastQuery) + " " + Text +
                    "\r\n");
    std::vector<std::string> Lines;
    while (Lines.empty() || !Lines.back().starts_with("READY")) {
      const auto Line = m_Socket->readLine();
      if (!Line)
        break;
      Lines.push_back(*Line);
    }
    return Lines;
  }
  bool succeeds(const std::string &Text) {
    const auto Lines = execute(Text);
    m_LastAnswer = Lines.empty() ? "none" : Lines.front();
    return Lines.size() >= 2 && Lines[Lines.size() - 2].starts_with("COMPLETE");
  }

  std::shared_ptr<Socket> m_Socket;
  std::string m_Greeting;
  std::string m_LastAnswer; ///< First line of the answer to succeeds().
  std::uint64_t m_LastQuery = 0;
};

inline constexpr const char *Configuration =
    R"({"version":%V,"routes":[)"
    R"({"name":"r1","dbName":"booking","pathPrefix":"/","kind":"primary",)"
    R"("timeoutMs":1000,"service":"svc","maxAttempts":2},)"
    R"({"name":"r2","dbName":"own","pathPrefix":"/",)"
    R"("kind":"read_your_writes","timeoutMs":1000,"service":"svc",)"
    R"("maxAttempts":2,"maxStalenessMs":2500}],)"
    R"("services":[{"name":"svc","maxConns":30,"syncReplicas":0}]})";

inline std::string configuration(int Version) {
  std::string Text = Configuration;
  return Text.replace(Text.find("%V"), 2, std::to_string(Version));
}

/// One control and one entry process with stand-ins of the platform around
/// them.
struct WireFixture {
  /// \p ControlArguments are further settings of the control process.
  explicit WireFixture(std::vector<std::string> ControlArguments = {})
      : m_Promotion(m_Service),
        m_ControlArguments(std::move(ControlArguments)) {
    m_Service.m_Primary = "i-1";
    for (const char *Id : {"i-1", "i-2", "i-3"})
      m_Servers.push_back(
          std::make_unique<WireStandIn>(m_Service, "svc", Id, "127.0.0.3"));
    m_Folder = std::filesystem::temp_directory_path() /
               ("rwm-wire-" + std::to_string(m_RpcPort));
    std::filesystem::create_directories(m_Folder);
    writeSettings("control_seeds=127.0.0.1:1\n");
    m_Control = start("control", "control-1", "127.0.0.1", 0, m_ControlPort,
                      m_MetricsPort);
    m_Entry =
        start("entry", "entry-1", "127.0.0.2", m_CallerPort, m_ReadyPort, 0);
    m_HeartbeatThread = std::thread([this] { sendHeartbeats(); });
    BOOST_REQUIRE(waitUntil([&] { return replace(1) == 200; }));
    BOOST_REQUIRE(waitUntil([&] {
      return httpCall("127.0.0.2", m_ReadyPort, "GET", "/ready", "") == 200;
    }));
  }

  ~WireFixture() {
    m_SendsHeartbeats = false;
    m_HeartbeatThread.join();
    m_Entry->kill();
    m_Control->kill();
    std::filesystem::remove_all(m_Folder);
    std::filesystem::remove(settingsFile());
  }

  WireFixture(const WireFixture &) = delete;
  WireFixture &operator=(const WireFixture &) = delete;

  std::unique_ptr<ChildProcess>
  start(const std::string &Role, const std::string &Host,
        const std::string &Address, std::uint16_t CallerPort,
        std::uint16_t HttpPort, std::uint16_t MetricsPort) {
    ChildProcessSettings Settings;
    Settings.m_Program = RAGWORTMUX_BINARY_DIR "/bin/ragwortmux";
    const auto Text = [](std::uint16_t Port) { return std::to_string(Port); };
    Settings.m_Arguments = {"serve",
                            "--protocol=platform",
                            "--roles=" + Role,
                            "--host=" + Host,
                            "--failure_domain=z",
                            "--address=" + Address,
                            "--caller_port=" + Text(CallerPort),
                            "--http_port=" + Text(HttpPort),
                            "--rpc_port=" + Text(m_RpcPort),
                            "--config=" + settingsFile(),
                            "--drain_timeout_s=4",
                            "--server_silence_ms=1500",
                            "--max_lifetime_s=120"};
    if (MetricsPort != 0)
      Settings.m_Arguments.push_back("--metrics_port=" + Text(MetricsPort));
    if (Role == "control") {
      Settings.m_Arguments.insert(Settings.m_Arguments.end(),
                                  m_ControlArguments.begin(),
                                  m_ControlArguments.end());
      Settings.m_Arguments.push_back("--control_voters=1");
      Settings.m_Arguments.push_back("--bootstrap=true");
      Settings.m_Arguments.push_back("--data_folder=" + dataFolder(Host));
      Settings.m_Arguments.push_back("--promotion_address=127.0.0.1:" +
                                     Text(m_Promotion.port()));
    }
    Settings.m_Environment = {
        {"RAGWORTMUX_CLUSTER_KEY", "cluster-key-of-the-wire-test"},
        {"RAGWORTMUX_OPERATOR_TOKEN", "operator-token-of-the-test"}};
    auto Process = std::make_unique<ChildProcess>(Settings);
    BOOST_REQUIRE(Process->start());
    return Process;
  }

  std::string dataFolder(const std::string &ControlHost) const {
    const std::string Folder = m_Folder.string();
    return ControlHost == "control-1" ? Folder : Folder + "." + ControlHost;
  }

  // Not in the data folder, which must not contain foreign files.
  std::string settingsFile() const { return m_Folder.string() + ".settings"; }

  void writeSettings(const std::string &Text) const {
    std::ofstream(settingsFile()) << Text;
  }

  int replace(int Version, std::string Body = "") {
    if (Body.empty())
      Body = configuration(Version);
    return httpCall("127.0.0.1", m_ControlPort, "POST", "/config/replace",
                    Body);
  }

  void sendHeartbeats() {
    std::uint64_t Sequence = 0;
    while (m_SendsHeartbeats) {
      ++Sequence;
      for (const auto &Server : m_Servers) {
        if (!Server->isAlive())
          continue;
        const bool IsPrimary = [&] {
          const std::lock_guard Lock(m_Service.m_Mutex);
          return m_Service.m_Primary == Server->id();
        }();
        httpCall("127.0.0.1", m_ControlPort, "POST",
                 "/instances/" + Server->id() + "/heartbeat",
                 R"({"service":"svc","address":")" + Server->address() +
                     R"(","zone":"z","version":"v1","slots":5,"state":"ready",)"
                     R"("coldRemainingMs":0,"dbRole":")" +
                     (IsPrimary ? "primary" : "replica") + R"(","sequence":)" +
                     std::to_string(Sequence) + "}");
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
  }

  /// Number of statements that the servers have run whose ids start with
  /// \p IdPrefix.
  std::size_t countExecuted(const std::string &IdPrefix) const {
    std::size_t Count = 0;
    for (const auto &Server : m_Servers) {
      for (const std::string &Executed : Server->executedStatements())
        Count += Executed.starts_with(IdPrefix) ? 1 : 0;
    }
    return Count;
  }

  /// Ends control and waits until the entry process has no lease.
  void loseLease() {
    m_Control->kill();
    BOOST_REQUIRE(waitUntil([&] {
      WireCaller Probe(m_CallerPort, "booking");
      const auto Lines = Probe.execute("READ a");
      return !Lines.empty() && Lines.front().starts_with("ERROR BUSY 107 ");
    }));
  }

  ServiceStandIn m_Service;
  PromotionStandIn m_Promotion;
  std::vector<std::string> m_ControlArguments;
  std::vector<std::unique_ptr<WireStandIn>> m_Servers;
  std::uint16_t m_RpcPort = findFreePort("127.0.0.1");
  std::uint16_t m_ControlPort = findFreePort("127.0.0.1");
  std::uint16_t m_MetricsPort = findFreePort("127.0.0.1");
  std::uint16_t m_CallerPort = findFreePort("127.0.0.2");
  std::uint16_t m_ReadyPort = findFreePort("127.0.0.2");
  std::filesystem::path m_Folder;
  std::unique_ptr<ChildProcess> m_Control;
  std::unique_ptr<ChildProcess> m_Entry;
  std::atomic<bool> m_SendsHeartbeats = true;
  std::thread m_HeartbeatThread;
};

} // namespace ragwortmux::platform

#endif // TESTS_PLATFORM_WIREFIXTURE_H
