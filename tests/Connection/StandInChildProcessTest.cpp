#include "tests/StandIn/ChildProcess.h"
#include "tests/StandIn/PgClient.h"

#include <sys/wait.h>

#include <boost/test/unit_test.hpp>

#include <cerrno>
#include <csignal>
#include <optional>

using namespace ragwortmux;

namespace {

/// Settings of a stand-in server that exits immediately if the environment
/// variable is not passed on to it.
ChildProcessSettings standInSettings() {
  return {std::string(RAGWORTMUX_BINARY_DIR) + "/standin-backend",
          {"--start_as_primary", "--fromenv=server", "--max_lifetime_s=60"},
          {{"FLAGS_server", "named"}}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(StandInChildProcessTest)

BOOST_AUTO_TEST_CASE(StoppedProcessAnswersAfterResume) {
  ChildProcess Process(standInSettings());
  BOOST_REQUIRE(Process.start());
  BOOST_TEST(!Process.start());
  const auto Port = Process.waitForPort();
  BOOST_REQUIRE(Port.has_value());
  PgClient Client(*Port);
  BOOST_REQUIRE(Client.connect());
  Process.stop();
  int Status = 0;
  BOOST_TEST(waitpid(Process.processId(), &Status, WUNTRACED) ==
             Process.processId());
  BOOST_REQUIRE(Client.send("SELECT 1"));
  BOOST_TEST(!Client.receive(std::chrono::milliseconds(100)));
  BOOST_TEST(Process.isRunning());
  Process.resume();
  const auto Answer = Client.receive(std::chrono::seconds(10));
  BOOST_REQUIRE(Answer.has_value());
  BOOST_TEST(Answer->value() == "1");
}

BOOST_AUTO_TEST_CASE(DestructorKillsAndReapsProcess) {
  std::optional<ChildProcess> Process(std::in_place, standInSettings());
  BOOST_REQUIRE(Process->start());
  BOOST_REQUIRE(Process->waitForPort());
  const pid_t Id = Process->processId();
  BOOST_TEST(::kill(Id, 0) == 0);
  Process.reset();
  BOOST_TEST(::kill(Id, 0) == -1);
  BOOST_TEST(errno == ESRCH);
}

BOOST_AUTO_TEST_CASE(KilledProcessCanBeRestarted) {
  ChildProcess Process(standInSettings());
  BOOST_REQUIRE(Process.start());
  BOOST_REQUIRE(Process.waitForPort());
  Process.kill();
  BOOST_TEST(!Process.isRunning());
  const auto Status = Process.waitForExit();
  BOOST_REQUIRE(Status.has_value());
  BOOST_TEST(WIFSIGNALED(*Status));
  BOOST_REQUIRE(Process.start());
  BOOST_TEST(Process.waitForPort().has_value());
}

BOOST_AUTO_TEST_CASE(WaitForPortReturnsWhenProcessExits) {
  ChildProcess Missing({"/nonexistent/program", {}, {}});
  BOOST_REQUIRE(Missing.start());
  BOOST_TEST(!Missing.waitForPort(std::chrono::minutes(5)));
  ChildProcess Faulty({standInSettings().m_Program, {"--faults=x"}, {}});
  BOOST_REQUIRE(Faulty.start());
  BOOST_TEST(!Faulty.waitForPort(std::chrono::minutes(5)));
  BOOST_TEST(Faulty.lastReason().find("bad flags") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
