#include "WireFixture.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace ragwortmux::platform {

namespace {

using namespace std::chrono_literals;

/// Longer than the silence after which a server counts as gone, which the
/// fixture sets to 1.5 s.
constexpr auto ObservationTime = 2500ms;

/// A heartbeat that another writer sent in the name of a server.
struct OddHeartbeat final {
  const char *m_Name; ///< What is odd about it.
  std::string m_Body; ///< Body of the call.
};

std::string repeat(const std::string &Text, std::size_t Count) {
  std::string Repeated;
  for (std::size_t Number = 0; Number < Count; ++Number)
    Repeated += Text;
  return Repeated;
}

/// A heartbeat of the first server with \p Fields in place of the usual ones;
/// the last of several fields with one name counts.
std::string withFields(const std::string &Fields) {
  return R"({"service":"svc","address":"127.0.0.3:1","zone":"z",)"
         R"("version":"v1","slots":5,"state":"ready","coldRemainingMs":0,)"
         R"("dbRole":"replica","sequence":7)" +
         Fields + "}";
}

const std::vector<OddHeartbeat> OddHeartbeats = {
    {"nested 10,000 deep",
     withFields(R"(,"extra":)" + repeat("[", 10000) + repeat("]", 10000))},
    {"objects nested 10,000 deep",
     repeat(R"({"service":)", 10000) + "1" + repeat("}", 10000)},
    {"sequence beyond 64 bits",
     withFields(R"(,"sequence":123456789012345678901234567890)")},
    {"largest sequence of 63 bits",
     withFields(R"(,"sequence":9223372036854775807)")},
    {"negative sequence", withFields(R"(,"sequence":-1)")},
    {"start time beyond every clock",
     withFields(R"(,"born":9223372036854775807)")},
    {"fractional start time", withFields(R"(,"born":1.5)")},
    {"10^400 slots", withFields(R"(,"slots":1e400)")},
    {"port 0", withFields(R"(,"address":"127.0.0.3:0")")},
    {"port 65536", withFields(R"(,"address":"127.0.0.3:65536")")},
    {"port 10^30",
     withFields(R"(,"address":"127.0.0.3:1000000000000000000000000000000")")},
    {"string of 1 MB", withFields(R"(,"zone":")" + std::string(1U << 20U, 'z') +
                                  R"(","state":3)")},
    {"no UTF-8", withFields(",\"zone\":\"\xff\xfe\"")},
    {"unknown state", withFields(R"(,"state":"asleep")")},
    {"cut off", R"({"service":"svc","address":"127.0.0.3:)"}};

/// Sends statements for ObservationTime and requires that each succeeds.
void requireService(WireCaller &Caller) {
  const auto End = std::chrono::steady_clock::now() + ObservationTime;
  while (std::chrono::steady_clock::now() < End) {
    BOOST_TEST_REQUIRE(Caller.succeeds("WRITE b two"), Caller.m_LastAnswer);
    std::this_thread::sleep_for(50ms);
  }
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(OddHeartbeatTest, WireFixture)

// Guards against processes that end, or no longer follow the servers'
// heartbeats, after an odd entry; also after control has read its log again.
BOOST_AUTO_TEST_CASE(OddHeartbeatsAffectNoServer) {
  WireCaller Caller(m_CallerPort, "booking");
  BOOST_REQUIRE(waitUntil([&] { return Caller.succeeds("WRITE a one"); }));
  for (const OddHeartbeat &Case : OddHeartbeats) {
    for (const char *Server : {"i-1", "i-odd"}) {
      const int Status = httpCall(
          "127.0.0.1", m_ControlPort, "POST",
          std::string("/instances/") + Server + "/heartbeat", Case.m_Body);
      // Without a status, the connection was closed before the body was read.
      BOOST_TEST((Status == 0 || (Status >= 400 && Status < 500)),
                 Case.m_Name << ": status " << Status);
    }
    BOOST_TEST(Caller.succeeds("WRITE b two"), Case.m_Name);
  }
  requireService(Caller);
  BOOST_TEST(m_Promotion.calls() == 0U);
  BOOST_TEST(m_Entry->isRunning());
  BOOST_TEST(m_Control->isRunning());
  m_Control->kill();
  m_Control = start("control", "control-1", "127.0.0.1", 0, m_ControlPort,
                    m_MetricsPort);
  BOOST_REQUIRE(waitUntil([&] {
    return WireCaller(m_CallerPort, "booking").succeeds("WRITE c three");
  }));
  BOOST_TEST(m_Control->isRunning());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ragwortmux::platform
