#include "SessionFixture.h"

#include <boost/test/data/test_case.hpp>

#include <ostream>

/// \file
/// A statement is sent only once the server has confirmed the session state of
/// its caller, and a connection serves others only while its state is known.

namespace ragwortmux::test {

namespace {

struct SetUpFixture : SessionFixture {
  /// Submits a statement of a caller whose session has the value \p Value.
  RequestId submitWith(const std::string &Value, StatementKind Kind,
                       bool Writes, std::uint64_t Caller,
                       TrafficClass Class = TrafficClass::PrimarySession) {
    auto State = std::make_shared<SessionState>();
    if (!Value.empty())
      State->m_Values["depot"] = Value;
    SessionRequest Request = makeRequest(Kind, Class, Writes, Caller);
    Request.m_State = State;
    return submitRequest(std::move(Request));
  }

  SetUpSession nextSetUp() {
    BOOST_REQUIRE(!m_SetUps.empty());
    SetUpSession Next = m_SetUps.front();
    m_SetUps.pop_front();
    return Next;
  }

  void answer(ConnectionId Connection, StatementOutcome Outcome,
              TransactionStatus Status = Idle) {
    StatementReply Reply;
    Reply.m_Outcome = Outcome;
    Reply.m_Status = Status;
    m_Core.statementAnswered(m_Now, Connection, Reply, m_Actions);
    collectActions();
  }

  /// A write of caller 1, whose set-up is under way.
  ConnectionId startSetUp() {
    submitWith("d1", StatementKind::Write, true, 1);
    const SetUpSession SetUp = nextSetUp();
    BOOST_TEST(m_Runs.empty());
    return SetUp.m_Connection;
  }
};

/// What may happen while a set-up is under way.
enum class Event { Failed, Lost, Late, Deadline, Moved, LeaseEnded, Left };

/// One row: an event, and what becomes of the statement and the connection.
struct EventCase final {
  const char *m_Name;
  Event m_Event;
  bool m_Closes;   ///< The connection is closed.
  bool m_Answered; ///< The caller is answered at once, as not run.
};
std::ostream &operator<<(std::ostream &Stream, const EventCase &Case) {
  return Stream << Case.m_Name;
}

const std::vector<EventCase> EventCases = {
    {"a step fails", Event::Failed, true, false},
    {"the connection is lost", Event::Lost, false, false},
    {"the answer does not come", Event::Late, true, false},
    {"the deadline passes", Event::Deadline, true, true},
    {"the primary changes", Event::Moved, false, false},
    {"the lease ends", Event::LeaseEnded, false, false},
    {"the caller leaves", Event::Left, false, false},
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SessionSetUpTest, SetUpFixture)

BOOST_AUTO_TEST_CASE(StatementFollowsConfirmedSetUp) {
  const ConnectionId Connection = startSetUp();
  answer(Connection, StatementOutcome::Done);
  const RunStatement Run = nextRunning();
  BOOST_TEST((Run.m_Connection == Connection));
  replyDone(Run, 10);
  BOOST_TEST((nextAnswer().m_Code == ResultCode::Ok));
  // The same state needs no further set-up.
  submitWith("d1", StatementKind::Write, true, 2);
  BOOST_TEST(m_SetUps.empty());
  BOOST_TEST((nextRunning().m_Connection == Connection));
}

// Guards against a write that runs with the session values of another caller
// because the SET or DISCARD before it failed.
BOOST_DATA_TEST_CASE(NothingRunsWithoutConfirmedSetUp,
                     boost::unit_test::data::make(EventCases), Case) {
  const ConnectionId Connection = startSetUp();
  switch (Case.m_Event) {
  case Event::Failed:
    answer(Connection, StatementOutcome::SetUpFailed);
    break;
  case Event::Lost:
    m_Core.connectionLost(m_Now, Connection, m_Actions);
    collectActions();
    break;
  case Event::Late:
    advanceTime(milliseconds(900));
    break;
  case Event::Deadline:
    advanceTime(milliseconds(1001));
    break;
  case Event::Moved:
    applyView(2, S2);
    answer(Connection, StatementOutcome::Done);
    break;
  case Event::LeaseEnded:
    m_Now += seconds(11);
    answer(Connection, StatementOutcome::Done);
    break;
  case Event::Left:
    disconnect(1);
    answer(Connection, StatementOutcome::Done);
    break;
  }
  BOOST_TEST(m_Runs.empty());
  BOOST_TEST(m_Closed.contains(Connection) == Case.m_Closes);
  if (Case.m_Answered)
    BOOST_TEST(isNotRun(nextAnswer().m_Code));
  for (const SessionAnswer &Answer : m_Answers)
    BOOST_TEST(isNotRun(Answer.m_Code));
}

// Guards against a prepared statement whose preparation failed and that is
// reported as unknown, or whose connection is used again.
BOOST_AUTO_TEST_CASE(FailedPreparationIsTriedOnAnotherConnection) {
  SessionRequest Request = makeRequest(StatementKind::Execute,
                                       TrafficClass::PrimarySession, true, 1);
  Request.m_Prepared = PreparedStatement{"WRITE q1", true};
  submitRequest(std::move(Request));
  BOOST_TEST(m_SetUps.empty());
  const RunStatement First = nextRunning();
  BOOST_REQUIRE(First.m_Prepare.has_value());
  BOOST_TEST(First.m_Prepare->m_Name == First.m_PreparedName);
  reply(First, StatementOutcome::SetUpFailed, Idle, point(10));
  BOOST_TEST(m_Closed.contains(First.m_Connection));
  BOOST_TEST(m_Answers.empty());
  openAll();
  advanceTime(milliseconds(200));
  const RunStatement Second = nextRunning();
  BOOST_TEST((Second.m_Connection != First.m_Connection));
  BOOST_TEST(Second.m_Prepare.has_value());
  replyDone(Second, 11);
  BOOST_TEST((nextAnswer().m_Code == ResultCode::Ok));
}

// The statement has not run, so it is tried again on another connection.
BOOST_AUTO_TEST_CASE(FailedSetUpIsTriedOnAnotherConnection) {
  const ConnectionId First = startSetUp();
  answer(First, StatementOutcome::SetUpFailed);
  openAll();
  advanceTime(milliseconds(100));
  const SetUpSession Second = nextSetUp();
  BOOST_TEST((Second.m_Connection != First));
  answer(Second.m_Connection, StatementOutcome::Done);
  replyDone(nextRunning(), 10);
  BOOST_TEST((nextAnswer().m_Code == ResultCode::Ok));
}

// Guards against a transaction that goes on, or commits, with session values
// that the server may not have.
BOOST_AUTO_TEST_CASE(FailedSetUpRollsTransactionBack) {
  for (const StatementKind Kind :
       {StatementKind::Write, StatementKind::Commit}) {
    submitWith("", StatementKind::Begin, false, 1);
    replyDone(nextRunning(), 10, Open);
    nextAnswer();
    submitWith("d2", Kind, Kind == StatementKind::Write, 1);
    const SetUpSession SetUp = nextSetUp();
    BOOST_TEST(m_Runs.empty());
    answer(SetUp.m_Connection, StatementOutcome::SetUpFailed, Open);
    BOOST_TEST(m_Runs.empty());
    BOOST_TEST((nextAnswer().m_Code == ResultCode::NotRunRolledBack));
    BOOST_TEST(m_Closed.contains(SetUp.m_Connection));
    openAll();
  }
}

// A rollback needs no session values, so a caller can always end its
// transaction.
BOOST_AUTO_TEST_CASE(RollbackNeedsNoSetUp) {
  submitWith("", StatementKind::Begin, false, 1);
  replyDone(nextRunning(), 10, Open);
  nextAnswer();
  submitWith("d2", StatementKind::Rollback, false, 1);
  BOOST_TEST(m_SetUps.empty());
  replyDone(nextRunning(), 10);
  BOOST_TEST((nextAnswer().m_Code == ResultCode::Ok));
}

/// One row: an answer to a statement that this proxy issues, or that begins or
/// ends a transaction, after which the state of the session is unknown.
struct UnknownCase final {
  const char *m_Name;
  StatementOutcome m_Outcome;
  TransactionStatus m_Status;
};
std::ostream &operator<<(std::ostream &Stream, const UnknownCase &Case) {
  return Stream << Case.m_Name;
}

const std::vector<UnknownCase> UnknownCases = {
    {"failed", StatementOutcome::Failed, Idle},
    {"timed out", StatementOutcome::TimedOut, Idle},
    {"failed, transaction open", StatementOutcome::Failed, Open},
    {"done, transaction open", StatementOutcome::Done, Open},
};

// Guards against a connection that goes back to the pool with the values of
// its last caller because the DISCARD of an idle check failed.
BOOST_DATA_TEST_CASE(FailedResetClosesConnection,
                     boost::unit_test::data::make(UnknownCases), Case) {
  extendLease(seconds(60));
  advanceTime(milliseconds(15100));
  BOOST_REQUIRE(!m_Probes.empty());
  for (const ConnectionId Connection : std::exchange(m_Probes, {})) {
    BOOST_TEST(!m_Closed.contains(Connection));
    answer(Connection, Case.m_Outcome, Case.m_Status);
    BOOST_TEST(m_Closed.contains(Connection));
  }
}

// Guards against a connection that is used again although its ROLLBACK failed.
BOOST_DATA_TEST_CASE(FailedRollbackClosesConnection,
                     boost::unit_test::data::make(UnknownCases), Case) {
  submitWith("", StatementKind::Begin, false, 1);
  replyDone(nextRunning(), 10, Open);
  disconnect(1);
  const RunStatement Rollback = nextRunning();
  answer(Rollback.m_Connection, Case.m_Outcome, Case.m_Status);
  BOOST_TEST(m_Closed.contains(Rollback.m_Connection));
}

// The same for a BEGIN, COMMIT or ROLLBACK of a caller that failed.
BOOST_AUTO_TEST_CASE(FailedTransactionStatementClosesConnection) {
  submitWith("", StatementKind::Begin, false, 1);
  const RunStatement Begin = nextRunning();
  reply(Begin, StatementOutcome::Failed, Idle, point(10));
  BOOST_TEST(m_Closed.contains(Begin.m_Connection));
  openAll();
  for (const StatementKind Kind :
       {StatementKind::Commit, StatementKind::Rollback}) {
    submitWith("", StatementKind::Begin, false, 2);
    replyDone(nextRunning(), 10, Open);
    submitWith("", Kind, false, 2);
    const RunStatement End = nextRunning();
    reply(End, StatementOutcome::Failed, Idle, point(10));
    BOOST_TEST(m_Closed.contains(End.m_Connection));
    openAll();
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ragwortmux::test
