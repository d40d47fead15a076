#include "SessionFixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

#include <algorithm>
#include <ostream>
#include <random>

/// \file
/// A connection in use belongs to a statement under way, to an open transaction
/// or to a rollback. Whatever callers, servers and time do, it must come back
/// to the pool or be closed.

namespace ragwortmux::test {

namespace {

/// Connections of the fixture's host to each server.
constexpr std::size_t Share = 3;

/// Where a transaction stands when its caller leaves.
enum class Stage {
  Beginning, ///< BEGIN is under way.
  Idle,      ///< No statement is under way.
  Running,   ///< A statement is under way.
  Refused,   ///< A statement waits for its next try after the server was busy.
  RunningTwice, ///< The same statement is under way for the second time.
};

/// One row: where the transaction stands, and the statement in it.
struct LeaveCase final {
  const char *m_Name;
  Stage m_Stage;
  StatementKind m_Kind;
  bool m_Writes;
};
std::ostream &operator<<(std::ostream &Stream, const LeaveCase &Case) {
  return Stream << Case.m_Name;
}

const std::vector<LeaveCase> LeaveCases = {
    {"begin under way", Stage::Beginning, StatementKind::Read, false},
    {"idle", Stage::Idle, StatementKind::Read, false},
    {"read under way", Stage::Running, StatementKind::Read, false},
    {"write under way", Stage::Running, StatementKind::Write, true},
    {"commit under way", Stage::Running, StatementKind::Commit, false},
    {"read refused", Stage::Refused, StatementKind::Read, false},
    {"write refused", Stage::Refused, StatementKind::Write, true},
    {"execute refused", Stage::Refused, StatementKind::Execute, true},
    {"commit refused", Stage::Refused, StatementKind::Commit, false},
    {"rollback refused", Stage::Refused, StatementKind::Rollback, false},
    {"write under way again", Stage::RunningTwice, StatementKind::Write, true},
};

struct OwnerFixture : SessionFixture {
  /// The servers answer what is under way.
  void answerAll() {
    while (!m_Runs.empty())
      replyDone(nextRunning(), 10);
  }

  /// Lets callers, servers and timers settle.
  void settle() {
    for (int Round = 0; Round < 10; ++Round) {
      answerAll();
      answerProbes();
      openAll();
      extendLease(seconds(10));
      advanceTime(milliseconds(200));
    }
    m_Answers.clear();
  }

  /// Number of writes by different callers that run at the same time.
  std::size_t countConcurrentWrites() {
    for (std::uint64_t Caller = 1000; Caller < 1000 + 2 * Share; ++Caller)
      submit(StatementKind::Write, TrafficClass::PrimarySession, true, Caller);
    openAll();
    return m_Runs.size();
  }

  /// Brings a transaction of caller 1 to where \p Case wants it.
  void prepare(const LeaveCase &Case) {
    submit(StatementKind::Begin, TrafficClass::PrimarySession);
    if (Case.m_Stage == Stage::Beginning)
      return;
    replyDone(nextRunning(), 10, Open);
    if (Case.m_Stage == Stage::Idle)
      return;
    submit(Case.m_Kind, TrafficClass::PrimarySession, Case.m_Writes);
    if (Case.m_Stage == Stage::Running)
      return;
    reply(nextRunning(), StatementOutcome::Busy, Open, point(10));
    if (Case.m_Stage == Stage::RunningTwice)
      advanceTime(milliseconds(30));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ConnectionOwnerTest, OwnerFixture)

// Guards against a host that serves nothing any more: callers that left while
// their statement waited for its next try took one connection each with them.
BOOST_DATA_TEST_CASE(LeavingCallerKeepsNoConnection,
                     boost::unit_test::data::make(LeaveCases), Case) {
  for (std::size_t Round = 0; Round < 2 * Share; ++Round) {
    prepare(Case);
    disconnect(1);
    settle();
    BOOST_TEST(m_Core.openTransactions() == 0U);
    BOOST_TEST(m_Core.pending() == 0U);
  }
  BOOST_TEST(countConcurrentWrites() == Share);
}

// The statement that a caller left behind must not run afterwards, and its
// transaction ends at once: it may hold locks.
BOOST_AUTO_TEST_CASE(TransactionOfLeavingCallerIsRolledBackDuringPause) {
  prepare({"", Stage::Refused, StatementKind::Write, true});
  disconnect(1);
  const RunStatement Rollback = nextRunning();
  BOOST_TEST(Rollback.m_IsInternal);
  replyDone(Rollback, 10);
  advanceTime(seconds(1));
  BOOST_TEST(m_Runs.empty());
  BOOST_TEST(m_Closed.empty());
}

// Guards against a connection that is lost for good because the server never
// answers the rollback that this host sends for a caller that left.
BOOST_AUTO_TEST_CASE(RollbackWithoutAnswerClosesConnection) {
  for (std::size_t Round = 0; Round < 2 * Share; ++Round) {
    prepare({"", Stage::Idle, StatementKind::Read, false});
    disconnect(1);
    const RunStatement Rollback = nextRunning();
    BOOST_TEST(Rollback.m_IsInternal);
    extendLease(seconds(10));
    advanceTime(seconds(2));
    BOOST_TEST(m_Closed.contains(Rollback.m_Connection));
    openAll();
  }
  settle();
  BOOST_TEST(countConcurrentWrites() == Share);
}

BOOST_DATA_TEST_CASE(NoConnectionIsLostInRandomRuns,
                     boost::unit_test::data::xrange(1, 61), Seed) {
  constexpr int Steps = 400;
  constexpr std::uint64_t Callers = 8;
  std::mt19937 Random(Seed);
  const auto Draw = [&](std::uint64_t Limit) { return Random() % Limit; };
  std::set<std::uint64_t> Waiting;
  for (int Step = 0; Step < Steps; ++Step) {
    while (!m_Answers.empty())
      Waiting.erase(nextAnswer().m_Caller.value());
    const std::uint64_t Caller = 1 + Draw(Callers);
    const bool HasTransaction =
        m_Core.hasTransaction(CallerConnectionId(Caller));
    switch (Draw(6)) {
    case 0:
    case 1: {
      if (!Waiting.insert(Caller).second)
        break;
      const std::vector<StatementKind> Inside = {
          StatementKind::Read, StatementKind::Write, StatementKind::Commit,
          StatementKind::Rollback};
      const std::vector<StatementKind> Outside = {
          StatementKind::Read, StatementKind::Write, StatementKind::Begin,
          StatementKind::BeginRead};
      const StatementKind Kind = HasTransaction ? Inside[Draw(Inside.size())]
                                                : Outside[Draw(Outside.size())];
      submit(Kind, TrafficClass::PrimarySession, Kind == StatementKind::Write,
             Caller);
      break;
    }
    case 2:
      Waiting.erase(Caller);
      disconnect(Caller);
      break;
    case 3:
      if (m_Runs.empty())
        break;
      if (const RunStatement Run = nextRunning(); Draw(6) == 0) {
        m_Core.connectionLost(m_Now, Run.m_Connection, m_Actions);
        collectActions();
      } else {
        const bool IsOpen = Run.m_Statement.m_Kind != StatementKind::Commit &&
                            Run.m_Statement.m_Kind != StatementKind::Rollback &&
                            Draw(8) != 0;
        const StatementOutcome Outcomes[] = {
            StatementOutcome::Done, StatementOutcome::Busy,
            StatementOutcome::Failed, StatementOutcome::NotPrimary};
        reply(Run, Outcomes[Draw(std::size(Outcomes))], IsOpen ? Open : Idle,
              point(10));
      }
      break;
    case 4:
      advanceTime(milliseconds(Draw(40)));
      break;
    default:
      openAll();
      extendLease(seconds(10));
      break;
    }
  }
  for (std::uint64_t Caller = 1; Caller <= Callers; ++Caller)
    disconnect(Caller);
  settle();
  BOOST_TEST(m_Core.openTransactions() == 0U);
  BOOST_TEST(m_Core.pending() == 0U);
  BOOST_TEST(countConcurrentWrites() == Share);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ragwortmux::test
