#include "tests/StandIn/ChildProcess.h"
#include "tests/StandIn/PgClient.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <fstream>
#include <memory>

using namespace ragwortmux;

namespace {

/// A running stand-in server with a control connection.
class Backend final {
public:
  explicit Backend(const std::vector<std::string> &Flags)
      : m_Process({std::string(RAGWORTMUX_BINARY_DIR) + "/standin-backend",
                   Flags,
                   {}}) {
    BOOST_REQUIRE_MESSAGE(m_Process.start(), m_Process.lastReason());
    const auto Port = m_Process.waitForPort();
    BOOST_REQUIRE_MESSAGE(Port.has_value(), m_Process.lastReason());
    m_Port = *Port;
    m_Control = std::make_unique<PgClient>(m_Port);
    BOOST_REQUIRE_MESSAGE(m_Control->connect(), m_Control->lastReason());
  }

  std::uint16_t port() const { return m_Port; }
  ChildProcess &process() { return m_Process; }
  PgClient &control() { return *m_Control; }

  /// Runs a statement on the control connection and requires that it succeeds.
  PgAnswer run(const std::string &Sql) {
    PgAnswer Answer = m_Control->query(Sql);
    BOOST_REQUIRE_MESSAGE(Answer.m_Ok, Sql + ": " + Answer.m_Message);
    return Answer;
  }
  /// Sets a fault switch.
  void fault(const std::string &Name, const std::string &Value) {
    run("SELECT standin_fault('" + Name + "','" + Value + "')");
  }
  /// Returns `term:position:role`.
  std::string state() {
    const auto Rows = run("SELECT ragwortmux_position()").m_Rows;
    return Rows[0][0] + ":" + Rows[0][1] + ":" + Rows[0][2];
  }
  /// Returns one counter of standin_stats(); empty if there is none.
  std::string stat(const std::string &Name) {
    for (const auto &Row : run("SELECT standin_stats()").m_Rows) {
      if (Row[0] == Name) {
        return Row[1];
      }
    }
    return "";
  }
  /// Runs ragwortmux_follow() with the address of \p Primary. \p SqlState is
  /// the expected refusal; empty if the call must succeed.
  void follow(const std::string &Term, const Backend &Primary,
              const std::string &SqlState = "") {
    const PgAnswer Answer =
        m_Control->query("SELECT ragwortmux_follow(" + Term + ",'127.0.0.1'," +
                         std::to_string(Primary.port()) + ")");
    BOOST_TEST(Answer.m_Ok == SqlState.empty());
    BOOST_TEST(Answer.m_SqlState == SqlState);
  }
  bool reaches(const std::string &State) {
    return waitUntil([&] { return state() == State; });
  }

private:
  ChildProcess m_Process;   ///< Server process.
  std::uint16_t m_Port = 0; ///< Port that the server listens on.
  std::unique_ptr<PgClient>
      m_Control; ///< Connection that is opened without a term.
};

const std::vector<std::string> AsPrimary = {"--start_as_primary",
                                            "--max_lifetime_s=60"};

std::vector<std::string> primaryWith(std::initializer_list<const char *> More) {
  std::vector<std::string> Flags = AsPrimary;
  Flags.insert(Flags.end(), More.begin(), More.end());
  return Flags;
}

std::vector<std::string> replicaOf(const Backend &Primary) {
  return {"--primary_address=127.0.0.1:" + std::to_string(Primary.port()),
          "--max_lifetime_s=60"};
}

/// A connection or statement that must be refused.
struct RefusalCase final {
  const char *m_Options;  ///< Start-up options of the connection.
  const char *m_Sql;      ///< Statement; empty if the connection is refused.
  const char *m_SqlState; ///< Expected SQLSTATE.
  bool m_AtPrimary; ///< Sent to the primary of term 3, else to its replica.

  friend std::ostream &operator<<(std::ostream &Output, const RefusalCase &C) {
    return Output << C.m_Options << " " << C.m_Sql;
  }
};

const RefusalCase RefusalCases[] = {
    {"-c ragwortmux.term=2", "", "72000", true},
    {"-c ragwortmux.term=2", "", "72000", false},
    {"-c ragwortmux.term=x", "", "22023", true},
    {"-c", "", "08P01", true},
    {"-c ragwortmux.term=3", "DELETE FROM t WHERE k='a'", "72000", false},
    {"", "DELETE FROM t WHERE k='a'", "25006", false},
    {"", "SELECT ragwortmux_promote(2)", "72000", true},
    {"", "SELECT ragwortmux_promote(3)", "72000", false},
    {"", "SELECT ragwortmux_fence(2)", "72000", false},
    {"", "SELECT ragwortmux_follow(3,'127.0.0.1',1)", "72000", true},
    {"", "SELECT ragwortmux_end_attempt('a')", "72000", false},
    {"", "SELECT ragwortmux_end_attempt('')", "22023", true},
    {"", "SELECT standin_fault('unknown','1')", "22023", true},
};

} // namespace

BOOST_AUTO_TEST_SUITE(StandInContractTest)

BOOST_AUTO_TEST_CASE(ReplicasFollowAndReportPositions) {
  Backend Primary(AsPrimary);
  Backend Replica(replicaOf(Primary));
  PgClient Writer(Primary.port());
  BOOST_REQUIRE(Writer.connectForTerm(1));
  BOOST_TEST(Writer.parameter("ragwortmux.position") == "");
  BOOST_TEST(Writer.query("INSERT INTO t VALUES ('a','1')").m_Ok);
  BOOST_TEST(Writer.parameter("ragwortmux.position") == "1:1");
  const PgAnswer Waited =
      Replica.run("SELECT ragwortmux_wait_position(0,9000)");
  BOOST_TEST(Waited.m_Rows[0] ==
                 std::vector<std::string>({"1", "1", "replica"}),
             boost::test_tools::per_element());
  PgClient Reader(Replica.port());
  BOOST_REQUIRE(Reader.connectForTerm(1));
  BOOST_TEST(Reader.query("SELECT v FROM t WHERE k='a'").value() == "1");
  BOOST_TEST(Reader.parameter("ragwortmux.position") == "1:1");
}

BOOST_AUTO_TEST_CASE(ReplicasServeNoStreams) {
  Backend Primary(AsPrimary);
  Backend Replica(replicaOf(Primary));
  Backend Second(replicaOf(Replica));
  Primary.run("INSERT INTO t VALUES ('a','1')");
  BOOST_TEST(Replica.reaches("1:1:replica"));
  BOOST_TEST(
      Second.run("SELECT ragwortmux_wait_position(0,300)").m_Rows[0][1] == "0");
  Second.follow("1", Primary);
  BOOST_TEST(Second.reaches("1:1:replica"));
}

BOOST_AUTO_TEST_CASE(ReplicasLagAsTold) {
  Backend Primary(AsPrimary);
  Backend Replica(replicaOf(Primary));
  Replica.fault("stop_replication", "1");
  Primary.run("INSERT INTO t VALUES ('a','1')");
  BOOST_TEST(
      Replica.run("SELECT ragwortmux_wait_position(0,200)").m_Rows[0][1] ==
      "0");
  Replica.fault("stop_replication", "0");
  BOOST_TEST(Replica.reaches("1:1:replica"));
  Replica.fault("lag_ms", "300");
  const auto Begin = std::chrono::steady_clock::now();
  Primary.run("INSERT INTO t VALUES ('b','1')");
  BOOST_TEST(Replica.reaches("1:2:replica"));
  BOOST_TEST((std::chrono::steady_clock::now() - Begin >=
              std::chrono::milliseconds(300)));
}

BOOST_AUTO_TEST_CASE(PrimariesAreReplaced) {
  Backend Old(AsPrimary);
  Backend New(replicaOf(Old));
  Backend Third(replicaOf(Old));
  PgClient Writer(Old.port());
  BOOST_REQUIRE(Writer.connectForTerm(1));
  Old.run("INSERT INTO t VALUES ('a','1')");
  BOOST_TEST(New.reaches("1:1:replica"));
  BOOST_TEST(Third.reaches("1:1:replica"));
  // These changes reach no replica before the old primary is replaced.
  New.fault("stop_replication", "1");
  Third.fault("stop_replication", "1");
  Old.run("INSERT INTO t VALUES ('lost','1')");
  BOOST_TEST(Writer.query("BEGIN; INSERT INTO t VALUES ('open','1')").m_Ok);

  New.run("SELECT ragwortmux_fence(2)");
  BOOST_TEST(New.run("SELECT ragwortmux_promote(2)").m_Rows[0] ==
                 std::vector<std::string>({"2", "1"}),
             boost::test_tools::per_element());
  // Changes that were received but not applied are dropped.
  New.fault("stop_replication", "0");
  New.run("INSERT INTO t VALUES ('b','1')");
  Third.fault("stop_replication", "0");
  Third.follow("2", New);
  BOOST_TEST(Third.reaches("2:2:replica"));
  // Repeating the call changes nothing.
  Third.follow("2", New);
  New.follow("2", New, "72000");
  BOOST_TEST(Third.state() == "2:2:replica");
  // The old primary keeps its role until it receives the new term.
  BOOST_TEST(Old.state() == "1:2:primary");
  Old.follow("2", New);
  BOOST_TEST(Old.reaches("2:2:replica"));
  BOOST_TEST(Writer.query("COMMIT").m_SqlState == "72000");
  for (Backend *Server : {&Old, &New, &Third}) {
    BOOST_TEST(Server->run("SELECT count(*) FROM t").value() == "2");
    BOOST_TEST(Server->run("SELECT standin_log(0)").m_Rows[1][0] == "2");
  }
}

BOOST_DATA_TEST_CASE(RefusesWhatTheContractSays,
                     boost::unit_test::data::make(RefusalCases), Case) {
  Backend Primary(primaryWith({"--initial_term=3"}));
  std::optional<Backend> Replica;
  if (!Case.m_AtPrimary) {
    auto Flags = replicaOf(Primary);
    Flags.emplace_back("--initial_term=3");
    Replica.emplace(Flags);
    BOOST_TEST(Replica->reaches("3:0:replica"));
  }
  PgClient Client(Replica ? Replica->port() : Primary.port());
  const bool Connected = Client.connect(Case.m_Options);
  BOOST_REQUIRE(Connected == !std::string_view(Case.m_Sql).empty());
  BOOST_TEST((Connected ? Client.query(Case.m_Sql).m_SqlState
                        : Client.lastSqlState()) == Case.m_SqlState);
}

BOOST_AUTO_TEST_CASE(OpenConnectionsOfALowerTermAreRefused) {
  Backend Primary(AsPrimary);
  PgClient Client(Primary.port());
  BOOST_REQUIRE(Client.connectForTerm(1));
  BOOST_TEST(Client.query("SELECT 1").m_Ok);
  Primary.run("SELECT ragwortmux_fence(2)");
  BOOST_TEST(Client.query("SELECT 1").m_SqlState == "72000");
  BOOST_TEST(Primary.state() == "1:0:replica");
  Primary.run("SELECT ragwortmux_promote(2)");
  BOOST_TEST(Primary.state() == "2:0:primary");
}

BOOST_AUTO_TEST_CASE(SlotsAreLimited) {
  Backend Primary(primaryWith({"--slots=1"}));
  PgClient Busy(Primary.port());
  PgClient Refused(Primary.port());
  BOOST_REQUIRE(Busy.connectForTerm(1));
  BOOST_REQUIRE(Refused.connectForTerm(1));
  BOOST_REQUIRE(Busy.send("SELECT pg_sleep(30)"));
  BOOST_TEST(waitUntil([&] { return Primary.stat("slots_taken") == "1"; }));
  BOOST_TEST(Refused.query("INSERT INTO t VALUES ('a','1')").m_SqlState ==
             "53300");
  BOOST_TEST(Refused.query("SELECT ragwortmux_position()").m_Ok);
  BOOST_TEST(Busy.cancel());
  const auto Answer = Busy.receive(std::chrono::seconds(10));
  BOOST_REQUIRE(Answer.has_value());
  BOOST_TEST(Answer->m_SqlState == "57014");
  BOOST_TEST(Refused.query("INSERT INTO t VALUES ('a','1')").m_Ok);
  BOOST_TEST(Primary.stat("refusals") == "1");
  BOOST_TEST(Primary.stat("slots_peak") == "1");
}

BOOST_AUTO_TEST_CASE(ConnectionsAreLimited) {
  Backend Primary(primaryWith({"--connections=2"}));
  PgClient Second(Primary.port());
  PgClient Third(Primary.port());
  BOOST_REQUIRE(Second.connect());
  BOOST_TEST(!Third.connect());
  BOOST_TEST(Third.lastSqlState() == "53300");
  Second.close();
  BOOST_TEST(waitUntil([&] { return Third.connect(); }));
  BOOST_TEST(Primary.stat("connections_peak") == "2");
}

BOOST_AUTO_TEST_CASE(OpeningTakesTime) {
  Backend Primary(primaryWith({"--open_delay_ms=50"}));
  PgClient Client(Primary.port());
  const auto Begin = std::chrono::steady_clock::now();
  BOOST_TEST(Client.connect());
  BOOST_TEST((std::chrono::steady_clock::now() - Begin >=
              std::chrono::milliseconds(50)));
}

BOOST_AUTO_TEST_CASE(EndedAttemptsCloseTheirSession) {
  Backend Primary(AsPrimary);
  PgClient Client(Primary.port());
  BOOST_REQUIRE(Client.connectForTerm(1));
  BOOST_TEST(Client.query("SET ragwortmux.attempt = 'one'").m_Ok);
  BOOST_TEST(Client.query("BEGIN; INSERT INTO t VALUES ('a','1')").m_Ok);
  BOOST_TEST(Primary.run("SELECT ragwortmux_end_attempt('one')").value() ==
             "aborted");
  BOOST_TEST(!Client.query("COMMIT").m_Ok);
  BOOST_TEST(Client.transactionStatus() == '?');
  BOOST_TEST(Primary.run("SELECT count(*) FROM t").value() == "0");
}

BOOST_AUTO_TEST_CASE(ClosedConnectionsRollBack) {
  Backend Primary(AsPrimary);
  PgClient Client(Primary.port());
  BOOST_REQUIRE(Client.connectForTerm(1));
  BOOST_TEST(Client.query("BEGIN; INSERT INTO t VALUES ('a','1')").m_Ok);
  Client.close();
  BOOST_TEST(Primary.run("INSERT INTO t VALUES ('a','2')").m_Tag ==
             "INSERT 0 1");
}

BOOST_AUTO_TEST_CASE(CommitsWithoutAnswerAreRecorded) {
  const std::string File = std::string(RAGWORTMUX_BINARY_DIR) +
                           "/standin-record-" + std::to_string(getpid());
  Backend Primary(primaryWith({("--record=" + File).c_str()}));
  PgClient Client(Primary.port());
  BOOST_REQUIRE(Client.connectForTerm(1));
  Primary.fault("drop_after_commit", "1");
  BOOST_TEST(Client.query("SET ragwortmux.attempt = 'one'").m_Ok);
  const PgAnswer Lost = Client.query("INSERT INTO t VALUES ('a','x\ny')");
  BOOST_TEST(!Lost.m_Ok);
  BOOST_TEST(Lost.m_SqlState == "");
  BOOST_TEST(Primary.run("SELECT ragwortmux_end_attempt('one')").value() ==
             "committed");
  Primary.fault("drop_before_run", "1");
  BOOST_REQUIRE(Client.connectForTerm(1));
  BOOST_TEST(!Client.query("INSERT INTO t VALUES ('b','1')").m_Ok);
  BOOST_TEST(Primary.run("SELECT count(*) FROM t").value() == "1");
  std::ifstream Record(File);
  const std::string Text((std::istreambuf_iterator<char>(Record)), {});
  BOOST_TEST(Text == "1\t1\tone\tINSERT INTO t VALUES ('a','x\\ny')\n");
  std::remove(File.c_str());
}

BOOST_AUTO_TEST_CASE(CommitsCanBeCutOff) {
  struct CommitCase final {
    const char *m_Fault;   ///< Fault switch that is set to 1.
    bool m_Lost;           ///< True if the connection is closed.
    const char *m_Outcome; ///< Expected outcome of the attempt.
  };
  for (const CommitCase &Case :
       {CommitCase{"drop_before_commit", true, "aborted"},
        {"drop_after_commit", true, "committed"},
        {"silent_after_commit", false, "committed"}}) {
    BOOST_TEST_CONTEXT(Case.m_Fault) {
      Backend Primary(AsPrimary);
      PgClient Client(Primary.port());
      BOOST_REQUIRE(Client.connectForTerm(1));
      Primary.fault(Case.m_Fault, "1");
      BOOST_TEST(Client.query("SET ragwortmux.attempt = 'one'").m_Ok);
      BOOST_TEST(Client.query("BEGIN").m_Ok);
      BOOST_TEST(Client.query("INSERT INTO t VALUES ('a','1')").m_Ok);
      BOOST_REQUIRE(Client.send("COMMIT"));
      BOOST_TEST((Case.m_Lost ||
                  waitUntil([&] { return Primary.stat("committed") == "1"; })));
      const auto Answer =
          Client.receive(std::chrono::milliseconds(Case.m_Lost ? 10'000 : 100));
      BOOST_TEST(Answer.has_value() == Case.m_Lost);
      BOOST_TEST((!Answer || !Answer->m_Ok));
      BOOST_TEST(Primary.run("SELECT ragwortmux_end_attempt('one')").value() ==
                 Case.m_Outcome);
    }
  }
}

BOOST_AUTO_TEST_CASE(SilentConnectionsStaySilent) {
  Backend Primary(AsPrimary);
  Backend Replica(replicaOf(Primary));
  PgClient Client(Primary.port());
  BOOST_REQUIRE(Client.connectForTerm(1));
  Primary.fault("silent_connections", "1");
  BOOST_REQUIRE(Client.send("INSERT INTO t VALUES ('lost','1')"));
  BOOST_TEST(!Client.receive(std::chrono::milliseconds(100)));
  PgClient Fresh(Primary.port());
  BOOST_REQUIRE(Fresh.connectForTerm(1));
  BOOST_TEST(Fresh.query("INSERT INTO t VALUES ('a','1')").m_Ok);
  BOOST_TEST(Fresh.query("SELECT count(*) FROM t").value() == "1");
  // The replica replaces its silent replication stream by a new one.
  BOOST_TEST(Replica.reaches("1:1:replica"));
}

BOOST_AUTO_TEST_CASE(ConnectionsCanBeRefusedAndFrozen) {
  Backend Primary(AsPrimary);
  PgClient Client(Primary.port());
  Primary.fault("refuse_connections", "1");
  BOOST_TEST(!Client.connect());
  Primary.fault("refuse_connections", "0");
  BOOST_TEST(Client.connect());
  const auto Begin = std::chrono::steady_clock::now();
  Primary.fault("freeze", "300");
  BOOST_TEST(Client.query("SELECT 1").m_Ok);
  BOOST_TEST((std::chrono::steady_clock::now() - Begin >=
              std::chrono::milliseconds(300)));
}

BOOST_AUTO_TEST_CASE(LargeAnswersArriveWhole) {
  Backend Primary(AsPrimary);
  BOOST_TEST(
      Primary.run("SELECT repeat('0123456789', 2000000)").value().size() ==
      20'000'000U);
}

BOOST_AUTO_TEST_CASE(KilledServersComeBack) {
  const std::string File = std::string(RAGWORTMUX_BINARY_DIR) +
                           "/standin-journal-" + std::to_string(getpid());
  const std::string Files[] = {File + "-1", File + "-2"};
  {
    Backend Primary(primaryWith({("--data_file=" + Files[0]).c_str()}));
    auto Flags = replicaOf(Primary);
    Flags.push_back("--data_file=" + Files[1]);
    Backend Replica(Flags);
    const std::string Port = "--port=" + std::to_string(Primary.port());
    Primary.run("INSERT INTO t VALUES ('a','1')");
    BOOST_TEST(Replica.reaches("1:1:replica"));
    Primary.process().kill();
    Replica.process().kill();

    // A frame that was written incompletely when the server was killed is
    // dropped.
    std::ofstream(Files[0], std::ios::app) << "\x01\x02";
    Backend Back({"--data_file=" + Files[0], Port, "--max_lifetime_s=60"});
    Backend Follower({"--data_file=" + Files[1], "--max_lifetime_s=60"});
    BOOST_TEST(Back.state() == "1:1:primary");
    Back.run("INSERT INTO t VALUES ('b','1')");
    BOOST_TEST(Follower.reaches("1:2:replica"));
    Follower.run("SELECT ragwortmux_fence(2)");
    Follower.process().kill();
    Backend Fenced({"--data_file=" + Files[1], "--max_lifetime_s=60"});
    BOOST_TEST(
        Fenced.control().query("SELECT ragwortmux_fence(1)").m_SqlState ==
        "72000");
  }
  for (const std::string &Name : Files) {
    std::remove(Name.c_str());
  }
}

BOOST_AUTO_TEST_CASE(EndsOnSigterm) {
  Backend Primary(AsPrimary);
  Primary.process().terminate();
  BOOST_TEST(Primary.process().waitForExit().value_or(-1) == 0);
}

BOOST_AUTO_TEST_CASE(EndsAfterItsLifetime) {
  ChildProcess Process({std::string(RAGWORTMUX_BINARY_DIR) + "/standin-backend",
                        {"--max_lifetime_s=0"},
                        {}});
  BOOST_REQUIRE(Process.start());
  BOOST_TEST(Process.waitForExit().value_or(-1) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
