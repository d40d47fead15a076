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
  void setFault(const std::string &Name, const std::string &Value) {
    run("SELECT standin_fault('" + Name + "','" + Value + "')");
  }
  /// Returns `term:position:role`.
  std::string state() {
    const auto Rows = run("SELECT ragwortmux_position()").m_Rows;
    return Rows[0][0] + ":" + Rows[0][1] + ":" + Rows[0][2];
  }
  /// Returns one counter of standin_stats(); empty if there is none.
  std::string counter(const std::string &Name) {
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
  bool reachesState(const std::string &State) {
    return waitUntil([&] { return state() == State; });
  }

private:
  ChildProcess m_Process;   ///< Server process.
  std::uint16_t m_Port = 0; ///< Port that the server listens on.
  std::unique_ptr<PgClient>
      m_Control; ///< Connection that is opened without a term.
};

const std::vector<std::string> DefaultPrimaryFlags = {"--start_as_primary",
                                                      "--max_lifetime_s=60"};

std::vector<std::string>
primaryFlags(std::initializer_list<const char *> Extra) {
  std::vector<std::string> Flags = DefaultPrimaryFlags;
  Flags.insert(Flags.end(), Extra.begin(), Extra.end());
  return Flags;
}

std::vector<std::string> replicaFlags(const Backend &Primary) {
  return {"--primary_address=127.0.0.1:" + std::to_string(Primary.port()),
          "--max_lifetime_s=60"};
}

/// A connection or statement that must be refused.
struct RefusalCase final {
  const char *m_Options;  ///< Start-up options of the connection.
  const char *m_Sql;      ///< Statement; empty if the connection is refused.
  const char *m_SqlState; ///< Expected SQLSTATE.
  bool m_IsSentToPrimary; ///< Sent to the primary of term 3, else to its
                          ///< replica.

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

BOOST_AUTO_TEST_CASE(ReplicaAppliesLogAndReportsPosition) {
  Backend Primary(DefaultPrimaryFlags);
  Backend Replica(replicaFlags(Primary));
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

BOOST_AUTO_TEST_CASE(ReplicaDoesNotServeReplicationStreams) {
  Backend Primary(DefaultPrimaryFlags);
  Backend Replica(replicaFlags(Primary));
  Backend Second(replicaFlags(Replica));
  Primary.run("INSERT INTO t VALUES ('a','1')");
  BOOST_TEST(Replica.reachesState("1:1:replica"));
  BOOST_TEST(
      Second.run("SELECT ragwortmux_wait_position(0,300)").m_Rows[0][1] == "0");
  Second.follow("1", Primary);
  BOOST_TEST(Second.reachesState("1:1:replica"));
}

BOOST_AUTO_TEST_CASE(ReplicaStopsAndLagsAsConfigured) {
  Backend Primary(DefaultPrimaryFlags);
  Backend Replica(replicaFlags(Primary));
  Replica.setFault("stop_replication", "1");
  Primary.run("INSERT INTO t VALUES ('a','1')");
  BOOST_TEST(
      Replica.run("SELECT ragwortmux_wait_position(0,200)").m_Rows[0][1] ==
      "0");
  Replica.setFault("stop_replication", "0");
  BOOST_TEST(Replica.reachesState("1:1:replica"));
  Replica.setFault("lag_ms", "300");
  const auto Begin = std::chrono::steady_clock::now();
  Primary.run("INSERT INTO t VALUES ('b','1')");
  BOOST_TEST(Replica.reachesState("1:2:replica"));
  BOOST_TEST((std::chrono::steady_clock::now() - Begin >=
              std::chrono::milliseconds(300)));
}

BOOST_AUTO_TEST_CASE(OldPrimaryFollowsPromotedReplica) {
  Backend Old(DefaultPrimaryFlags);
  Backend New(replicaFlags(Old));
  Backend Third(replicaFlags(Old));
  PgClient Writer(Old.port());
  BOOST_REQUIRE(Writer.connectForTerm(1));
  Old.run("INSERT INTO t VALUES ('a','1')");
  BOOST_TEST(New.reachesState("1:1:replica"));
  BOOST_TEST(Third.reachesState("1:1:replica"));
  // These changes reach no replica before the old primary is replaced.
  New.setFault("stop_replication", "1");
  Third.setFault("stop_replication", "1");
  Old.run("INSERT INTO t VALUES ('lost','1')");
  BOOST_TEST(Writer.query("BEGIN; INSERT INTO t VALUES ('open','1')").m_Ok);

  New.run("SELECT ragwortmux_fence(2)");
  BOOST_TEST(New.run("SELECT ragwortmux_promote(2)").m_Rows[0] ==
                 std::vector<std::string>({"2", "1"}),
             boost::test_tools::per_element());
  // Changes that were received but not applied are dropped.
  New.setFault("stop_replication", "0");
  New.run("INSERT INTO t VALUES ('b','1')");
  Third.setFault("stop_replication", "0");
  Third.follow("2", New);
  BOOST_TEST(Third.reachesState("2:2:replica"));
  // Repeating the call changes nothing.
  Third.follow("2", New);
  New.follow("2", New, "72000");
  BOOST_TEST(Third.state() == "2:2:replica");
  // The old primary keeps its role until it receives the new term.
  BOOST_TEST(Old.state() == "1:2:primary");
  Old.follow("2", New);
  BOOST_TEST(Old.reachesState("2:2:replica"));
  BOOST_TEST(Writer.query("COMMIT").m_SqlState == "72000");
  for (Backend *Server : {&Old, &New, &Third}) {
    BOOST_TEST(Server->run("SELECT count(*) FROM t").value() == "2");
    BOOST_TEST(Server->run("SELECT standin_log(0)").m_Rows[1][0] == "2");
  }
}

BOOST_DATA_TEST_CASE(RefusesWrongTermsRolesAndArguments,
                     boost::unit_test::data::make(RefusalCases), Case) {
  Backend Primary(primaryFlags({"--initial_term=3"}));
  std::optional<Backend> Replica;
  if (!Case.m_IsSentToPrimary) {
    auto Flags = replicaFlags(Primary);
    Flags.emplace_back("--initial_term=3");
    Replica.emplace(Flags);
    BOOST_TEST(Replica->reachesState("3:0:replica"));
  }
  PgClient Client(Replica ? Replica->port() : Primary.port());
  const bool Connected = Client.connect(Case.m_Options);
  BOOST_REQUIRE(Connected == !std::string_view(Case.m_Sql).empty());
  BOOST_TEST((Connected ? Client.query(Case.m_Sql).m_SqlState
                        : Client.lastSqlState()) == Case.m_SqlState);
}

BOOST_AUTO_TEST_CASE(RefusesStatementsOnConnectionsOfLowerTerm) {
  Backend Primary(DefaultPrimaryFlags);
  PgClient Client(Primary.port());
  BOOST_REQUIRE(Client.connectForTerm(1));
  BOOST_TEST(Client.query("SELECT 1").m_Ok);
  Primary.run("SELECT ragwortmux_fence(2)");
  BOOST_TEST(Client.query("SELECT 1").m_SqlState == "72000");
  BOOST_TEST(Primary.state() == "1:0:replica");
  Primary.run("SELECT ragwortmux_promote(2)");
  BOOST_TEST(Primary.state() == "2:0:primary");
}

BOOST_AUTO_TEST_CASE(RefusesStatementsWithoutFreeSlot) {
  Backend Primary(primaryFlags({"--slots=1"}));
  PgClient Busy(Primary.port());
  PgClient Refused(Primary.port());
  BOOST_REQUIRE(Busy.connectForTerm(1));
  BOOST_REQUIRE(Refused.connectForTerm(1));
  BOOST_REQUIRE(Busy.send("SELECT pg_sleep(30)"));
  BOOST_TEST(waitUntil([&] { return Primary.counter("slots_taken") == "1"; }));
  BOOST_TEST(Refused.query("INSERT INTO t VALUES ('a','1')").m_SqlState ==
             "53300");
  BOOST_TEST(Refused.query("SELECT ragwortmux_position()").m_Ok);
  BOOST_TEST(Busy.cancel());
  const auto Answer = Busy.receive(std::chrono::seconds(10));
  BOOST_REQUIRE(Answer.has_value());
  BOOST_TEST(Answer->m_SqlState == "57014");
  BOOST_TEST(Refused.query("INSERT INTO t VALUES ('a','1')").m_Ok);
  BOOST_TEST(Primary.counter("refusals") == "1");
  BOOST_TEST(Primary.counter("slots_peak") == "1");
}

BOOST_AUTO_TEST_CASE(RefusesConnectionsAboveLimit) {
  Backend Primary(primaryFlags({"--connections=2"}));
  PgClient Second(Primary.port());
  PgClient Third(Primary.port());
  BOOST_REQUIRE(Second.connect());
  BOOST_TEST(!Third.connect());
  BOOST_TEST(Third.lastSqlState() == "53300");
  Second.close();
  BOOST_TEST(waitUntil([&] { return Third.connect(); }));
  BOOST_TEST(Primary.counter("connections_peak") == "2");
}

BOOST_AUTO_TEST_CASE(DelaysOpeningOfConnections) {
  Backend Primary(primaryFlags({"--open_delay_ms=50"}));
  PgClient Client(Primary.port());
  const auto Begin = std::chrono::steady_clock::now();
  BOOST_TEST(Client.connect());
  BOOST_TEST((std::chrono::steady_clock::now() - Begin >=
              std::chrono::milliseconds(50)));
}

BOOST_AUTO_TEST_CASE(EndingAttemptClosesItsSession) {
  Backend Primary(DefaultPrimaryFlags);
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

BOOST_AUTO_TEST_CASE(ClosingConnectionRollsBack) {
  Backend Primary(DefaultPrimaryFlags);
  PgClient Client(Primary.port());
  BOOST_REQUIRE(Client.connectForTerm(1));
  BOOST_TEST(Client.query("BEGIN; INSERT INTO t VALUES ('a','1')").m_Ok);
  Client.close();
  BOOST_TEST(Primary.run("INSERT INTO t VALUES ('a','2')").m_Tag ==
             "INSERT 0 1");
}

BOOST_AUTO_TEST_CASE(RecordsCommitsWithoutAnswer) {
  const std::string File = std::string(RAGWORTMUX_BINARY_DIR) +
                           "/standin-record-" + std::to_string(getpid());
  Backend Primary(primaryFlags({("--record=" + File).c_str()}));
  PgClient Client(Primary.port());
  BOOST_REQUIRE(Client.connectForTerm(1));
  Primary.setFault("drop_after_commit", "1");
  BOOST_TEST(Client.query("SET ragwortmux.attempt = 'one'").m_Ok);
  const PgAnswer Lost = Client.query("INSERT INTO t VALUES ('a','x\ny')");
  BOOST_TEST(!Lost.m_Ok);
  BOOST_TEST(Lost.m_SqlState == "");
  BOOST_TEST(Primary.run("SELECT ragwortmux_end_attempt('one')").value() ==
             "committed");
  Primary.setFault("drop_before_run", "1");
  BOOST_REQUIRE(Client.connectForTerm(1));
  BOOST_TEST(!Client.query("INSERT INTO t VALUES ('b','1')").m_Ok);
  BOOST_TEST(Primary.run("SELECT count(*) FROM t").value() == "1");
  std::ifstream Record(File);
  const std::string Text((std::istreambuf_iterator<char>(Record)), {});
  BOOST_TEST(Text == "1\t1\tone\tINSERT INTO t VALUES ('a','x\\ny')\n");
  std::remove(File.c_str());
}

BOOST_AUTO_TEST_CASE(FaultsAroundCommitGiveExpectedOutcome) {
  struct CommitCase final {
    const char *m_Fault;       ///< Fault switch that is set to 1.
    bool m_IsConnectionClosed; ///< True if the connection is closed.
    const char *m_Outcome;     ///< Expected outcome of the attempt.
  };
  for (const CommitCase &Case :
       {CommitCase{"drop_before_commit", true, "aborted"},
        {"drop_after_commit", true, "committed"},
        {"silent_after_commit", false, "committed"}}) {
    BOOST_TEST_CONTEXT(Case.m_Fault) {
      Backend Primary(DefaultPrimaryFlags);
      PgClient Client(Primary.port());
      BOOST_REQUIRE(Client.connectForTerm(1));
      Primary.setFault(Case.m_Fault, "1");
      BOOST_TEST(Client.query("SET ragwortmux.attempt = 'one'").m_Ok);
      BOOST_TEST(Client.query("BEGIN").m_Ok);
      BOOST_TEST(Client.query("INSERT INTO t VALUES ('a','1')").m_Ok);
      BOOST_REQUIRE(Client.send("COMMIT"));
      BOOST_TEST((Case.m_IsConnectionClosed || waitUntil([&] {
                    return Primary.counter("committed") == "1";
                  })));
      const auto Answer = Client.receive(
          std::chrono::milliseconds(Case.m_IsConnectionClosed ? 10'000 : 100));
      BOOST_TEST(Answer.has_value() == Case.m_IsConnectionClosed);
      BOOST_TEST((!Answer || !Answer->m_Ok));
      BOOST_TEST(Primary.run("SELECT ragwortmux_end_attempt('one')").value() ==
                 Case.m_Outcome);
    }
  }
}

BOOST_AUTO_TEST_CASE(SilentConnectionsNeverAnswer) {
  Backend Primary(DefaultPrimaryFlags);
  Backend Replica(replicaFlags(Primary));
  PgClient Client(Primary.port());
  BOOST_REQUIRE(Client.connectForTerm(1));
  Primary.setFault("silent_connections", "1");
  BOOST_REQUIRE(Client.send("INSERT INTO t VALUES ('lost','1')"));
  BOOST_TEST(!Client.receive(std::chrono::milliseconds(100)));
  PgClient NewClient(Primary.port());
  BOOST_REQUIRE(NewClient.connectForTerm(1));
  BOOST_TEST(NewClient.query("INSERT INTO t VALUES ('a','1')").m_Ok);
  BOOST_TEST(NewClient.query("SELECT count(*) FROM t").value() == "1");
  // The replica replaces its silent replication stream by a new one.
  BOOST_TEST(Replica.reachesState("1:1:replica"));
}

BOOST_AUTO_TEST_CASE(RefusesAndFreezesConnectionsOnRequest) {
  Backend Primary(DefaultPrimaryFlags);
  PgClient Client(Primary.port());
  Primary.setFault("refuse_connections", "1");
  BOOST_TEST(!Client.connect());
  Primary.setFault("refuse_connections", "0");
  BOOST_TEST(Client.connect());
  const auto Begin = std::chrono::steady_clock::now();
  Primary.setFault("freeze", "300");
  BOOST_TEST(Client.query("SELECT 1").m_Ok);
  BOOST_TEST((std::chrono::steady_clock::now() - Begin >=
              std::chrono::milliseconds(300)));
}

BOOST_AUTO_TEST_CASE(SendsLargeAnswersCompletely) {
  Backend Primary(DefaultPrimaryFlags);
  BOOST_TEST(
      Primary.run("SELECT repeat('0123456789', 2000000)").value().size() ==
      20'000'000U);
}

BOOST_AUTO_TEST_CASE(KilledServersRestoreTheirState) {
  const std::string File = std::string(RAGWORTMUX_BINARY_DIR) +
                           "/standin-journal-" + std::to_string(getpid());
  const std::string Files[] = {File + "-1", File + "-2"};
  {
    Backend Primary(primaryFlags({("--data_file=" + Files[0]).c_str()}));
    auto Flags = replicaFlags(Primary);
    Flags.push_back("--data_file=" + Files[1]);
    Backend Replica(Flags);
    const std::string Port = "--port=" + std::to_string(Primary.port());
    Primary.run("INSERT INTO t VALUES ('a','1')");
    BOOST_TEST(Replica.reachesState("1:1:replica"));
    Primary.process().kill();
    Replica.process().kill();

    // A frame that was written incompletely when the server was killed is
    // dropped.
    std::ofstream(Files[0], std::ios::app) << "\x01\x02";
    Backend RestartedPrimary(
        {"--data_file=" + Files[0], Port, "--max_lifetime_s=60"});
    Backend RestartedReplica(
        {"--data_file=" + Files[1], "--max_lifetime_s=60"});
    BOOST_TEST(RestartedPrimary.state() == "1:1:primary");
    RestartedPrimary.run("INSERT INTO t VALUES ('b','1')");
    BOOST_TEST(RestartedReplica.reachesState("1:2:replica"));
    RestartedReplica.run("SELECT ragwortmux_fence(2)");
    RestartedReplica.process().kill();
    Backend FencedReplica({"--data_file=" + Files[1], "--max_lifetime_s=60"});
    BOOST_TEST(FencedReplica.control()
                   .query("SELECT ragwortmux_fence(1)")
                   .m_SqlState == "72000");
  }
  for (const std::string &Name : Files) {
    std::remove(Name.c_str());
  }
}

BOOST_AUTO_TEST_CASE(ExitsOnSigterm) {
  Backend Primary(DefaultPrimaryFlags);
  Primary.process().terminate();
  BOOST_TEST(Primary.process().waitForExit().value_or(-1) == 0);
}

BOOST_AUTO_TEST_CASE(ExitsAfterMaximumLifetime) {
  ChildProcess Process({std::string(RAGWORTMUX_BINARY_DIR) + "/standin-backend",
                        {"--max_lifetime_s=0"},
                        {}});
  BOOST_REQUIRE(Process.start());
  BOOST_TEST(Process.waitForExit().value_or(-1) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
