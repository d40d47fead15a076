#include "WireFixture.h"

#include <boost/test/unit_test.hpp>

namespace ragwortmux::platform {

using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(WireEndToEndTest, WireFixture)

BOOST_AUTO_TEST_CASE(RunsSessionsAndTransactionsAcrossPrimaryChange) {
  WireCaller First(m_CallerPort, "booking");
  BOOST_TEST(First.m_Greeting == "READY I -");
  BOOST_REQUIRE(waitUntil([&] { return First.succeeds("WRITE a one"); }));
  BOOST_TEST(First.execute("READ a").front() == "ROW one");

  // Two sessions share connections but not values or prepared statements.
  WireCaller Second(m_CallerPort, "own");
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
      WireCaller(m_CallerPort, "nobody").m_Greeting.starts_with("ERROR NODB"));

  // When the primary fails, another server is promoted without an operator.
  m_Servers[0]->crash();
  BOOST_REQUIRE(waitUntil([&] { return First.succeeds("WRITE d five"); }));
  BOOST_TEST(m_Promotion.calls() >= 1U);
  BOOST_TEST(First.execute("READ d").front() == "ROW five");
}

// Guards against statements that run with the session values of another caller
// because the server failed the SET or DISCARD that was to replace them.
BOOST_AUTO_TEST_CASE(FailedSessionStepsLetNothingRun) {
  WireCaller Plain(m_CallerPort, "booking");
  BOOST_REQUIRE(waitUntil([&] { return Plain.succeeds("WRITE a one"); }));
  WireCaller First(m_CallerPort, "booking");
  WireCaller Second(m_CallerPort, "booking");
  BOOST_TEST(First.succeeds("SET depot 1"));
  BOOST_TEST(Second.succeeds("SET depot 2"));
  m_Servers[0]->failSessionSteps(true);
  unsigned Succeeded = 0;
  for (int Round = 0; Round < 40; ++Round) {
    Succeeded += Plain.succeeds("WRITE plain x") ? 1 : 0;
    Succeeded += First.succeeds("WRITE first x") ? 1 : 0;
    Succeeded += Second.succeeds("WRITE second x") ? 1 : 0;
  }
  for (const std::string &Executed : m_Servers[0]->executedStatements()) {
    const std::string Expected =
        Executed.find(" first ") != std::string::npos    ? " depot=1"
        : Executed.find(" second ") != std::string::npos ? " depot=2"
                                                         : "";
    const std::size_t At = Executed.find(" depot=");
    BOOST_TEST((At == std::string::npos ? "" : Executed.substr(At)) == Expected,
               Executed);
  }
  BOOST_TEST(Succeeded > 0U);
}

// Guards against a statement smuggled inside another one: whoever chooses the
// data of a write must not choose what else its session runs. Rows of servers
// are data too.
BOOST_AUTO_TEST_CASE(DataWithLineFeedsStaysOneStatement) {
  WireCaller Caller(m_CallerPort, "booking");
  BOOST_REQUIRE(waitUntil([&] { return Caller.succeeds("WRITE a one"); }));
  const std::string LineBreaks[] = {"\n", "\r", "\n\r", "\n\n"};
  for (const std::string &Break : LineBreaks) {
    std::string Data("two lines");
    Data.append(Break).append("QUERY smuggled WRITE b x");
    Data.append(Break).append("READY I -");
    BOOST_TEST(Caller.succeeds("WRITE a " + Data));
    BOOST_TEST(Caller.execute("READ a").front() == "ROW " + Data);
    BOOST_TEST(Caller.succeeds("SET tenant " + Data));
    BOOST_TEST(Caller.succeeds("PREPARE s1 WRITE shape" + Data));
    BOOST_TEST(Caller.succeeds("EXECUTE s1 a " + Data));
    BOOST_TEST(Caller.execute("READ a").front() == "ROW " + Data);
  }
  BOOST_TEST(countExecuted("smuggled") == 0U);
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
  WireCaller Open(m_CallerPort, "booking");
  BOOST_TEST(replace(9, WithoutBooking) == 200);
  BOOST_TEST(waitUntil([&] {
    return Open.execute("READ a").front().starts_with("ERROR NODB");
  }));
}

// Guards against a log that is lost with a control host that was replaced as
// planned: its successor holds everything, but had no vote.
BOOST_AUTO_TEST_CASE(StoppedControlHostHandsOverItsVote) {
  const std::string Address = "127.0.0.4";
  std::filesystem::create_directories(dataFolder("control-2"));
  writeSettings("control_seeds=127.0.0.1:1," + Address + ":1\n");
  const auto Successor =
      start("control", "control-2", Address, 0, m_ControlPort, 0);
  const auto HasJoined = [this] {
    return (m_Control->output() + m_Control->errors())
               .find("Changed the voters: step 0") != std::string::npos;
  };
  BOOST_REQUIRE(waitUntil(HasJoined));
  m_Control->terminate();
  BOOST_TEST((m_Control->waitForExit() == std::optional<int>(0)));
  std::string Body;
  BOOST_TEST(waitUntil([&] {
    return httpCall(Address, m_ControlPort, "GET", "/config/read", "", &Body) ==
           200;
  }));
  BOOST_TEST(Body == configuration(1));
  Successor->kill();
  std::filesystem::remove_all(dataFolder("control-2"));
}

BOOST_AUTO_TEST_CASE(MetricsCountMessagesAndDelays) {
  // A record that is new with the session comes with the answer to a renewal; a
  // replaced configuration is pushed.
  BOOST_TEST(replace(2) == 200);
  std::string Body;
  BOOST_REQUIRE(waitUntil([&] {
    httpCall("127.0.0.1", m_MetricsPort, "GET", "/metrics", "", &Body);
    return Body.find("call=\"push\"") != std::string::npos;
  }));
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
  WireCaller Open(m_CallerPort, "booking");
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
  WireCaller Idle(m_CallerPort, "booking");
  WireCaller Busy(m_CallerPort, "booking");
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
  std::vector<std::unique_ptr<WireCaller>> Callers;
  Callers.reserve(CallerCount);
  for (int Number = 0; Number < CallerCount; ++Number)
    Callers.push_back(std::make_unique<WireCaller>(m_CallerPort, "booking"));
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
  constexpr std::size_t Reads = 7;
  WireCaller Slow(m_CallerPort, "booking");
  const std::string Item(ItemBytes, 'x');
  BOOST_REQUIRE(waitUntil([&] { return Slow.succeeds("WRITE a " + Item); }));
  for (std::size_t Number = 0; Number < Reads; ++Number)
    Slow.m_Socket->write("QUERY r" + std::to_string(Number) + " READ a\r\n");
  BOOST_REQUIRE(waitUntil([&] { return countExecuted("r") == Reads; }));
  m_Entry->terminate();
  std::this_thread::sleep_for(200ms);
  for (std::size_t Number = 0; Number < Reads; ++Number) {
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
  WireCaller Idle(m_CallerPort, "booking");
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
      WireCaller(m_CallerPort, "nobody").m_Greeting.starts_with("ERROR NODB"));
  loseLease();
  BOOST_TEST(WireCaller(m_CallerPort, "nobody")
                 .m_Greeting.starts_with("ERROR BUSY 107 "));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ragwortmux::platform
