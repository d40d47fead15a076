#include "HttpCall.h"

#include "tests/StandIn/ChildProcess.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <filesystem>
#include <memory>
#include <thread>

namespace ragwortmux {

namespace {

using namespace std::chrono_literals;

/// Starts a control host; \p Peers is the value of `--control_peers`.
std::unique_ptr<ChildProcess> startControlHost(const std::string &Host,
                                               const std::string &RpcPort,
                                               const std::string &HttpPort,
                                               const std::string &Peers,
                                               const std::string &Folder) {
  ChildProcessSettings Settings;
  Settings.m_Program = RAGWORTMUX_BINARY_DIR "/bin/ragwortmux";
  Settings.m_Arguments = {"serve",
                          "--host=" + Host,
                          "--failure_domain=z",
                          "--roles=control",
                          "--caller_port=0",
                          "--rpc_port=" + RpcPort,
                          "--http_port=" + HttpPort,
                          "--control_peers=" + Peers,
                          "--data_folder=" + Folder,
                          "--max_lifetime_s=60"};
  if (Host == "own")
    Settings.m_Arguments.emplace_back("--bootstrap");
  Settings.m_Environment = {
      {"RAGWORTMUX_CLUSTER_KEY", "cluster-key-of-both-hosts"},
      {"RAGWORTMUX_OPERATOR_TOKEN", "test-operator-token"}};
  auto Process = std::make_unique<ChildProcess>(Settings);
  BOOST_REQUIRE(Process->start());
  BOOST_REQUIRE(Process->waitForLine("ready ", 10s).has_value());
  return Process;
}

bool isLeader(std::uint16_t HttpPort) {
  return httpCall(HttpPort, "GET", "/metrics")
             .m_Body.find("\nragwortmux_control_leader 1\n") !=
         std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ForeignHostTest)

// Guards against a control host becoming a voter although the settings do not
// list it. Another cluster with the same key connected, through a port that had
// been reassigned, and became part of the quorum; when it ended, the quorum was
// lost.
BOOST_AUTO_TEST_CASE(UnlistedHostDoesNotBecomeVoter) {
  const std::filesystem::path Folder =
      std::filesystem::temp_directory_path() / "rwm-foreign-host-test";
  std::filesystem::remove_all(Folder);
  std::filesystem::create_directories(Folder);
  constexpr std::uint16_t OwnHttp = 17402;
  const auto Own =
      startControlHost("own", "17401", "17402", "own=127.0.0.1:17401",
                       (Folder / "own").string());
  auto Foreign = startControlHost("other", "17403", "17404",
                                  "other=127.0.0.1:17403,own=127.0.0.1:17401",
                                  (Folder / "other").string());
  const auto Start = std::chrono::steady_clock::now();
  while (!isLeader(OwnHttp) && std::chrono::steady_clock::now() - Start < 10s)
    std::this_thread::sleep_for(50ms);
  // Hosts query each other every 500 ms; the unlisted host became a voter after
  // three rounds.
  std::this_thread::sleep_for(5s);
  Foreign->kill();
  std::this_thread::sleep_for(1500ms);
  BOOST_TEST(isLeader(OwnHttp));
  std::filesystem::remove_all(Folder);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ragwortmux
