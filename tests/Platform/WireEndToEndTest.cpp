#include "Socket.h"
#include "WireStandIn.h"

#include "tests/StandIn/ChildProcess.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>

namespace ragwortmux::platform {

namespace {

using namespace std::chrono_literals;

/// Waits until \p Condition returns true; false after 15 s.
bool waitUntil(const std::function<bool()> &Condition) {
  const auto End = std::chrono::steady_clock::now() + 15s;
  while (std::chrono::steady_clock::now() < End) {
    if (Condition())
      return true;
    std::this_thread::sleep_for(20ms);
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
class Caller final {
public:
  Caller(std::uint16_t Port, const std::string &Database)
      : m_Socket(Socket::connect("127.0.0.2", Port)) {
    BOOST_REQUIRE(m_Socket != nullptr);
    m_Socket->write("STARTUP " + Database + " u1\r\n");
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
    return Lines.size() >= 2 && Lines[Lines.size() - 2].starts_with("COMPLETE");
  }

  std::shared_ptr<Socket> m_Socket;
  std::string m_Greeting;
  std::uint64_t m_LastQuery = 0;
};

constexpr const char *Configuration =
    R"({"version":%V,"routes":[)"
    R"({"name":"r1","dbName":"booking","pathPrefix":"/","kind":"primary",)"
    R"("timeoutMs":1000,"service":"svc","maxAttempts":2},)"
    R"({"name":"r2","dbName":"own","pathPrefix":"/",)"
    R"("kind":"read_your_writes","timeoutMs":1000,"service":"svc",)"
    R"("maxAttempts":2,"maxStalenessMs":2500}],)"
    R"("services":[{"name":"svc","maxConns":30,"syncReplicas":0}]})";

std::string configuration(int Version) {
  std::string Text = Configuration;
  return Text.replace(Text.find("%V"), 2, std::to_string(Version));
}

/// One control and one entry process with stand-ins of the platform around
/// them.
struct Fixture {
  Fixture() : m_Promotion(m_Service) {
    m_Service.m_Primary = "i-1";
    for (const char *Id : {"i-1", "i-2", "i-3"})
      m_Servers.push_back(
          std::make_unique<WireStandIn>(m_Service, "svc", Id, "127.0.0.3"));
    m_Folder = std::filesystem::temp_directory_path() /
               ("rwm-wire-" + std::to_string(m_RpcPort));
    std::filesystem::create_directories(m_Folder);
    writeSettings("control_seeds=127.0.0.1:1\n");
    m_Control = start("control", "127.0.0.1", 0, m_ControlPort);
    m_Entry = start("entry", "127.0.0.2", m_CallerPort, m_ReadyPort);
    m_HeartbeatThread = std::thread([this] { sendHeartbeats(); });
    BOOST_REQUIRE(waitUntil([&] { return replace(1) == 200; }));
    BOOST_REQUIRE(waitUntil([&] {
      return httpCall("127.0.0.2", m_ReadyPort, "GET", "/ready", "") == 200;
    }));
  }

  ~Fixture() {
    m_SendsHeartbeats = false;
    m_HeartbeatThread.join();
    m_Entry->kill();
    m_Control->kill();
    std::filesystem::remove_all(m_Folder);
    std::filesystem::remove(settingsFile());
  }

  std::unique_ptr<ChildProcess> start(const std::string &Role,
                                      const std::string &Address,
                                      std::uint16_t CallerPort,
                                      std::uint16_t HttpPort) {
    ChildProcessSettings Settings;
    Settings.m_Program = RAGWORTMUX_BINARY_DIR "/bin/ragwortmux";
    const auto Text = [](std::uint16_t Port) { return std::to_string(Port); };
    Settings.m_Arguments = {"serve",
                            "--protocol=platform",
                            "--roles=" + Role,
                            "--host=" + Role + "-1",
                            "--failure_domain=z",
                            "--address=" + Address,
                            "--caller_port=" + Text(CallerPort),
                            "--http_port=" + Text(HttpPort),
                            "--rpc_port=" + Text(m_RpcPort),
                            "--config=" + settingsFile(),
                            "--drain_timeout_s=4",
                            "--server_silence_ms=1500",
                            "--max_lifetime_s=120"};
    if (Role == "control") {
      Settings.m_Arguments.push_back("--metrics_port=" + Text(m_MetricsPort));
      Settings.m_Arguments.push_back("--control_voters=1");
      Settings.m_Arguments.push_back("--bootstrap=true");
      Settings.m_Arguments.push_back("--data_folder=" + m_Folder.string());
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
      std::this_thread::sleep_for(200ms);
    }
  }

  /// Ends control and waits until the entry process has no lease.
  void loseLease() {
    m_Control->kill();
    BOOST_REQUIRE(waitUntil([&] {
      Caller Probe(m_CallerPort, "booking");
      const auto Lines = Probe.execute("READ a");
      return !Lines.empty() && Lines.front().starts_with("ERROR BUSY 107 ");
    }));
  }

  ServiceStandIn m_Service;
  PromotionStandIn m_Promotion;
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

} // namespace

BOOST_FIXTURE_TEST_SUITE(WireEndToEndTest, Fixture)

BOOST_AUTO_TEST_CASE(RunsSessionsAndTransactionsAcrossPrimaryChange) {
  Caller First(m_CallerPort, "booking");
  BOOST_TEST(First.m_Greeting == "READY I -");
  BOOST_REQUIRE(waitUntil([&] { return First.succeeds("WRITE a one"); }));
  BOOST_TEST(First.execute("READ a").front() == "ROW one");

  // Two sessions share connections but not values or prepared statements.
  Caller Second(m_CallerPort, "own");
  BOOST_TEST(First.succeeds("SET tenant 7"));
  BOOST_TEST(First.succeeds("PREPARE s1 READ shape"));
  BOOST_TEST(Second.succeeds("PREPARE s1 WRITE shape"));
  BOOST_TEST(Second.succeeds("EXECUTE s1 b two"));
  BOOST_TEST(First.execute("EXECUTE s1 b").front() == "ROW two");
  BOOST_TEST(Second.execute("READ b").front() == "ROW two");
  BOOST_TEST(
      Second.execute("EXECUTE nothing b").front().starts_with("ERROR NOSTMT"));
  for (const auto &Server : m_Servers) {
    for (const std::string &Executed : Server->executedStatements()) {
      const bool IsFromFirst = Executed.find("EXECUTE") != std::string::npos &&
                               Executed.find("two") == std::string::npos;
      BOOST_TEST((Executed.find("tenant=7") != std::string::npos) ==
                     IsFromFirst,
                 Executed);
    }
  }

  // Transactions.
  BOOST_TEST(First.execute("BEGIN").back().starts_with("READY T"));
  BOOST_TEST(First.succeeds("WRITE c three"));
  BOOST_TEST(Second.execute("READ c").front() == "ROW ");
  BOOST_TEST(First.execute("COMMIT").back().starts_with("READY I"));
  BOOST_TEST(First.execute("READ c").front() == "ROW three");
  BOOST_TEST(First.succeeds("BEGIN"));
  BOOST_TEST(First.succeeds("WRITE c four"));
  BOOST_TEST(First.succeeds("ROLLBACK"));
  BOOST_TEST(First.execute("READ c").front() == "ROW three");

  // Invalid input.
  BOOST_TEST(First.execute("NONSENSE").front().starts_with("ERROR MALFORMED"));
  BOOST_TEST(
      Caller(m_CallerPort, "nobody").m_Greeting.starts_with("ERROR NODB"));

  // When the primary fails, another server is promoted without an operator.
  m_Servers[0]->crash();
  BOOST_REQUIRE(waitUntil([&] { return First.succeeds("WRITE d five"); }));
  BOOST_TEST(m_Promotion.calls() >= 1U);
  BOOST_TEST(First.execute("READ d").front() == "ROW five");
}

BOOST_AUTO_TEST_CASE(ReplacesAndReturnsConfigurationVerbatim) {
  const auto Read = [&] {
    std::string Body;
    const int Status =
        httpCall("127.0.0.1", m_ControlPort, "GET", "/config/read", "", &Body);
    return Status == 200 ? Body : "status " + std::to_string(Status);
  };
  BOOST_TEST(Read() == configuration(1));
  BOOST_TEST(replace(5) == 200);
  BOOST_TEST(replace(4) == 200); // Superseded version: accepted without effect.
  BOOST_TEST(replace(6, "{\"version\":6") == 400);
  BOOST_TEST(Read() == configuration(5));
  // The removal of a route applies from the next transaction on.
  std::string WithoutBooking = configuration(9);
  WithoutBooking.replace(WithoutBooking.find("\"booking\""), 9, "\"renamed\"");
  Caller Open(m_CallerPort, "booking");
  BOOST_TEST(replace(9, WithoutBooking) == 200);
  BOOST_TEST(waitUntil([&] {
    return Open.execute("READ a").front().starts_with("ERROR NODB");
  }));
}

BOOST_AUTO_TEST_CASE(MetricsCountMessagesAndDelays) {
  std::string Body;
  httpCall("127.0.0.1", m_MetricsPort, "GET", "/metrics", "", &Body);
  for (const char *Series :
       {"ragwortmux_peer_calls_total{peer=\"entry-1\",call=\"push\"} ",
        "ragwortmux_peer_bytes_total{peer=\"entry-1\",call=\"push\"} ",
        "ragwortmux_peer_bytes_total{peer=\"all\",call=\"renew_answer\"} ",
        "ragwortmux_control_wait_seconds_count{task=\"renewal\"} ",
        "ragwortmux_control_task_seconds_count{task=\"tick\"} ",
        "ragwortmux_loop_delay_seconds_count{work=\"timer\"} ",
        "ragwortmux_loop_delay_seconds_count{work=\"posted_tasks\"} ",
        "ragwortmux_log_sync_seconds_count "}) {
    const std::size_t At = Body.find(Series);
    BOOST_REQUIRE_MESSAGE(At != std::string::npos, Series << "in\n" << Body);
    BOOST_TEST(std::stod(Body.substr(At + std::string(Series).size())) > 0,
               Series);
  }
}

BOOST_AUTO_TEST_CASE(ControlSendsNoPushesWithoutChanges) {
  const auto Pushes = [&] {
    std::string Body;
    httpCall("127.0.0.1", m_MetricsPort, "GET", "/metrics", "", &Body);
    const std::string Name = "\nragwortmux_control_pushes_total ";
    const std::size_t At = Body.find(Name);
    return At == std::string::npos ? -1
                                   : std::stod(Body.substr(At + Name.size()));
  };
  // Longer than the interval after which an unconfirmed update is sent again.
  constexpr auto ObservationTime = 500ms;
  BOOST_TEST(waitUntil([&] {
    const double Before = Pushes();
    std::this_thread::sleep_for(ObservationTime);
    return Before > 0 && Pushes() == Before;
  }));
}

BOOST_AUTO_TEST_CASE(AppliesOrReportsChangedSettings) {
  Caller Open(m_CallerPort, "booking");
  BOOST_REQUIRE(waitUntil([&] { return Open.succeeds("WRITE a one"); }));
  struct Change final {
    const char *m_Text;        ///< New content of the settings file.
    const char *m_ExpectedLog; ///< Expected text in the log.
  };
  const std::vector<Change> Changes = {
      {"control_seeds=127.0.0.1:1,127.0.0.9:1\n", "2 control seeds"},
      {"control_seeds=nowhere\n", "control_seeds cannot be read"},
      {"no setting at all\n", "The settings stay as they are"},
      {"control_seeds=127.0.0.1:1\na.later.field=1\n", "1 control seeds"}};
  for (const bool HasSignal : {true, false}) {
    for (const Change &Changed : Changes) {
      BOOST_TEST_CONTEXT(Changed.m_Text << (HasSignal ? " with" : " without")) {
        const std::size_t Before = m_Entry->errors().size();
        writeSettings(Changed.m_Text);
        if (HasSignal) {
          m_Entry->hangUp();
          m_Control->hangUp();
        }
        BOOST_TEST(waitUntil([&] {
          return m_Entry->errors().find(Changed.m_ExpectedLog, Before) !=
                 std::string::npos;
        }));
        BOOST_TEST(Open.execute("READ a").front() == "ROW one");
        BOOST_TEST(m_Entry->isRunning());
        BOOST_TEST(m_Control->isRunning());
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(GracefulStopClosesIdleCallersAndCompletesTransactions) {
  Caller Idle(m_CallerPort, "booking");
  Caller Busy(m_CallerPort, "booking");
  BOOST_REQUIRE(waitUntil([&] { return Busy.succeeds("BEGIN"); }));
  m_Entry->terminate();
  BOOST_TEST(!Idle.m_Socket->readLine().has_value());
  BOOST_TEST(httpCall("127.0.0.2", m_ReadyPort, "GET", "/ready", "") == 503);
  BOOST_TEST(Busy.succeeds("WRITE e six"));
  BOOST_TEST(Busy.succeeds("COMMIT"));
  BOOST_TEST(m_Entry->waitForExit(6s).has_value());
  BOOST_TEST(m_Service.m_Data["e"] == "six");
}

// Guards against a close of callers whose statement had arrived while the
// process was busy: it was read after the decision to close and got no answer.
BOOST_AUTO_TEST_CASE(GracefulStopAnswersStatementsThatHaveArrived) {
  constexpr int CallerCount = 40;
  std::vector<std::unique_ptr<Caller>> Callers;
  for (int Number = 0; Number < CallerCount; ++Number)
    Callers.push_back(std::make_unique<Caller>(m_CallerPort, "booking"));
  BOOST_REQUIRE(
      waitUntil([&] { return Callers.front()->succeeds("WRITE a one"); }));
  m_Entry->stop();
  for (const auto &Each : Callers)
    Each->m_Socket->write("QUERY late READ a\r\n");
  m_Entry->terminate();
  m_Entry->resume();
  std::size_t Answered = 0;
  for (const auto &Each : Callers)
    Answered += Each->m_Socket->readLine().has_value() ? 1 : 0;
  BOOST_TEST(Answered == Callers.size());
  BOOST_TEST(m_Entry->waitForExit(6s).has_value());
}

// Guards against a close of callers that had not received their answers in
// full.
BOOST_AUTO_TEST_CASE(GracefulStopSendsAnswersInFull) {
  constexpr std::size_t ItemBytes = 1000000;
  constexpr int Reads = 7;
  Caller Slow(m_CallerPort, "booking");
  const std::string Item(ItemBytes, 'x');
  BOOST_REQUIRE(waitUntil([&] { return Slow.succeeds("WRITE a " + Item); }));
  for (int Number = 0; Number < Reads; ++Number)
    Slow.m_Socket->write("QUERY r" + std::to_string(Number) + " READ a\r\n");
  std::this_thread::sleep_for(1s);
  m_Entry->terminate();
  std::this_thread::sleep_for(200ms);
  for (int Number = 0; Number < Reads; ++Number) {
    BOOST_TEST((Slow.m_Socket->readLine() == "ROW " + Item));
    BOOST_TEST(Slow.m_Socket->readLine().value_or("").starts_with("COMPLETE"));
    BOOST_TEST(Slow.m_Socket->readLine().value_or("").starts_with("READY I"));
  }
  BOOST_TEST(!Slow.m_Socket->readLine().has_value());
  BOOST_TEST(m_Entry->waitForExit(6s).has_value());
}

// Guards against a close of all idle callers of a host that has lost control:
// statements on their way were cut without an answer, and all callers
// reconnected at once.
BOOST_AUTO_TEST_CASE(HostWithoutLeaseClosesCallersOnlyAfterRefusal) {
  Caller Idle(m_CallerPort, "booking");
  BOOST_REQUIRE(waitUntil([&] { return Idle.succeeds("WRITE a one"); }));
  loseLease();
  // Longer than the process needs to notice.
  std::this_thread::sleep_for(1s);
  const auto Lines = Idle.execute("READ a");
  BOOST_REQUIRE(Lines.size() == 2U);
  BOOST_TEST(Lines.front().starts_with("ERROR BUSY 107 "));
  BOOST_TEST(Lines.back() == "READY I -");
  BOOST_TEST(!Idle.m_Socket->readLine().has_value());
}

// Guards against a refusal by an outdated catalogue: a host without a lease
// cannot know which entries exist.
BOOST_AUTO_TEST_CASE(HostWithoutLeaseDoesNotReportEntryAsUnknown) {
  BOOST_TEST(
      Caller(m_CallerPort, "nobody").m_Greeting.starts_with("ERROR NODB"));
  loseLease();
  BOOST_TEST(
      Caller(m_CallerPort, "nobody").m_Greeting.starts_with("ERROR BUSY 107 "));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ragwortmux::platform
