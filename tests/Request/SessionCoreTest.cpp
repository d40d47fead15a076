#include "SessionFixture.h"

#include "ragwortmux/Request/CallerSession.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

#include <ostream>

namespace ragwortmux::test {

namespace {

using Fixture = SessionFixture;

/// The core of a process that has not received a lease yet.
struct FixtureWithoutLease : Fixture {
  FixtureWithoutLease() : SessionFixture(Duration(0)) {}
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SessionCoreTest, Fixture)

BOOST_AUTO_TEST_CASE(WritesAndPrimaryReadsRunOnPrimaryWithoutReadFloor) {
  for (const bool Writes : {true, false}) {
    submit(Writes ? StatementKind::Write : StatementKind::Read,
           TrafficClass::PrimarySession, Writes);
    const RunStatement Run = nextRunning();
    BOOST_TEST((serverOf(Run) == S1));
    BOOST_TEST(!Run.m_Floor.has_value());
    replyDone(Run, 10);
    BOOST_TEST((nextAnswer().m_Code == ResultCode::Ok));
  }
}

BOOST_AUTO_TEST_CASE(AgedReadRunsOnPrimaryWithoutKnownPosition) {
  submit(StatementKind::Read, TrafficClass::AgedSession);
  BOOST_TEST((serverOf(nextRunning()) == S1));
}

BOOST_AUTO_TEST_CASE(AgedReadRunsNearWithOldestAllowedReadFloor) {
  sample(10);
  advanceTime(seconds(1));
  sample(20);
  advanceTime(milliseconds(300));
  submit(StatementKind::Read, TrafficClass::AgedSession);
  const RunStatement First = nextRunning();
  BOOST_TEST((serverOf(First) == S2));
  BOOST_TEST((First.m_Floor == point(10)));
  replyDone(First, 10);
  advanceTime(milliseconds(300));
  submit(StatementKind::Read, TrafficClass::AgedSession);
  BOOST_TEST((nextRunning().m_Floor == point(20)));
}

BOOST_AUTO_TEST_CASE(SessionReadsItsOwnWrite) {
  sample(10);
  submit(StatementKind::Read, TrafficClass::OwnWritesSession, false, 1,
         point(15));
  BOOST_TEST((nextRunning().m_Floor == point(15)));
  // A write of an earlier term precedes the positions reported by the current
  // primary.
  submit(StatementKind::Read, TrafficClass::OwnWritesSession, false, 2,
         point(99, 4));
  BOOST_TEST((nextRunning().m_Floor == point(10)));
}

// Guards against a session whose write was forgotten because a read-only
// transaction, which may run on a replica behind that write, has ended since.
BOOST_AUTO_TEST_CASE(OnlyCommitsThatWroteReportWrittenPosition) {
  struct Row final {
    StatementKind m_Begin;  ///< How the transaction begins.
    TrafficClass m_Class;   ///< Class of its entry.
    StatementKind m_Kind;   ///< Statement in the transaction.
    bool m_Writes;          ///< Whether that statement writes.
    bool m_ReportsPosition; ///< Whether its commit does.
  };
  const std::vector<Row> Rows = {
      {StatementKind::Begin, TrafficClass::OwnWritesSession,
       StatementKind::Write, true, true},
      {StatementKind::Begin, TrafficClass::PrimarySession,
       StatementKind::Execute, true, true},
      {StatementKind::Begin, TrafficClass::OwnWritesSession,
       StatementKind::Read, false, false},
      {StatementKind::BeginRead, TrafficClass::AgedSession, StatementKind::Read,
       false, false},
      {StatementKind::BeginRead, TrafficClass::OwnWritesSession,
       StatementKind::Execute, false, false}};
  std::uint64_t Position = 10;
  for (const Row &Each : Rows) {
    submit(Each.m_Begin, Each.m_Class);
    replyDone(nextRunning(), Position, TransactionStatus::InTransaction);
    submit(Each.m_Kind, Each.m_Class, Each.m_Writes);
    replyDone(nextRunning(), Position, TransactionStatus::InTransaction);
    m_Answers.clear();
    submit(StatementKind::Commit, Each.m_Class);
    replyDone(nextRunning(), ++Position);
    const SessionAnswer Answer = nextAnswer();
    BOOST_TEST((Answer.m_Code == ResultCode::Ok));
    BOOST_TEST(Answer.m_Written.has_value() == Each.m_ReportsPosition);
  }
}

// Guards against a read floor without the session's own write after its entry
// has moved to another group, where the session wrote too, and come back.
BOOST_AUTO_TEST_CASE(SessionReadsItsOwnWriteAfterItsEntryHasMovedAndComeBack) {
  sample(10);
  CallerSession Session;
  SessionAnswer Answer;
  Answer.m_Group = Group;
  Answer.m_Written = point(15);
  Session.answered(Answer);
  Answer.m_Group = GroupId("other");
  Answer.m_Written = point(3);
  Session.answered(Answer);
  submit(StatementKind::Read, TrafficClass::OwnWritesSession, false, 1,
         Session.lastWrite(Group).m_Point);
  BOOST_TEST((nextRunning().m_Floor == point(15)));
}

// Guards against a read without the session's own write: the server answered
// the write without a position, and the read went to a replica that lacked it.
BOOST_AUTO_TEST_CASE(ReadAfterWriteWithoutPositionGoesToPrimary) {
  const auto Read = [this](const CallerSession &Session) {
    SessionRequest Request = makeRequest(
        StatementKind::Read, TrafficClass::OwnWritesSession, false, 1);
    Request.m_LastWrite = Session.lastWrite(Group);
    submitRequest(std::move(Request));
    return nextRunning();
  };
  for (const bool IsTransaction : {false, true}) {
    CallerSession Session;
    sample(10);
    if (IsTransaction) {
      submit(StatementKind::Begin, TrafficClass::OwnWritesSession);
      replyDone(nextRunning(), 10, Open);
    }
    submit(StatementKind::Write, TrafficClass::OwnWritesSession, true);
    reply(nextRunning(), StatementOutcome::Done, IsTransaction ? Open : Idle,
          std::nullopt);
    if (IsTransaction) {
      submit(StatementKind::Commit, TrafficClass::OwnWritesSession);
      reply(nextRunning(), StatementOutcome::Done, Idle, std::nullopt);
    }
    Session.answered(m_Answers.back());
    m_Answers.clear();
    for (int Count = 0; Count < 3; ++Count) {
      const RunStatement Run = Read(Session);
      BOOST_TEST((serverOf(Run) == S1));
      // An answer without a position tells nothing.
      reply(Run, StatementOutcome::Done, Idle, std::nullopt);
      Session.answered(nextAnswer());
    }
    const RunStatement Run = Read(Session);
    BOOST_TEST((serverOf(Run) == S1));
    replyDone(Run, 20);
    Session.answered(nextAnswer());
    // From now on any server will do whose log has that position.
    BOOST_TEST((Session.lastWrite(Group) == LastWrite{point(20)}));
    const RunStatement Next = Read(Session);
    BOOST_TEST((serverOf(Next) == S1 || Next.m_Floor == point(20)));
    replyDone(Next, 20);
    m_Answers.clear();
  }
}

// Only the present primary's position covers all acknowledged writes.
BOOST_AUTO_TEST_CASE(PointOfReplacedPrimaryPlacesNoWrite) {
  for (const bool IsReplaced : {false, true}) {
    submit(StatementKind::Read, TrafficClass::PrimarySession);
    const RunStatement Run = nextRunning();
    BOOST_TEST((serverOf(Run) == S1));
    if (IsReplaced)
      applyView(2, S3);
    replyDone(Run, 20);
    const SessionAnswer Answer = nextAnswer();
    BOOST_TEST((Answer.m_Point == point(20)));
    BOOST_TEST(Answer.m_PrimaryPoint.has_value() != IsReplaced);
  }
}

BOOST_AUTO_TEST_CASE(ReadRefusedAsBehindIsRetriedOnAnotherServer) {
  sample(10);
  submit(StatementKind::Read, TrafficClass::AgedSession);
  std::set<ServerId> Tried;
  for (int Try = 0; Try < 3; ++Try) {
    const RunStatement Run = nextRunning();
    Tried.insert(serverOf(Run));
    if (serverOf(Run) == S1)
      replyDone(Run, 20);
    else
      reply(Run, StatementOutcome::Behind, Idle, point(5));
    if (!m_Answers.empty())
      break;
  }
  BOOST_TEST(Tried.contains(S1));
  BOOST_TEST((nextAnswer().m_Code == ResultCode::Ok));
}

BOOST_AUTO_TEST_CASE(StatementsNeedingLeaseAreRefusedSoonWithoutOne) {
  extendLease(Duration(0));
  advanceTime(milliseconds(300));
  submit(StatementKind::Write, TrafficClass::PrimarySession, true);
  BOOST_TEST(m_Runs.empty());
  advanceTime(milliseconds(200));
  BOOST_TEST((nextAnswer().m_Code == ResultCode::NotRunNoLease));
  submit(StatementKind::Write, TrafficClass::PrimarySession, true);
  BOOST_TEST((nextAnswer().m_Code == ResultCode::NotRunNoLease));
}

// Guards against a fault found with `explain`: a read that got no connection
// was refused as too old.
BOOST_AUTO_TEST_CASE(ReadWithoutConnectionIsNotReportedAsTooOld) {
  applyView(1, S1, 0);
  extendLease(seconds(10));
  submit(StatementKind::Read, TrafficClass::AgedSession);
  advanceTime(milliseconds(1001));
  BOOST_TEST((nextAnswer().m_Code == ResultCode::NotRunNoConnection));
}

// Guards against a read that a host without a lease refused as too old, though
// no server had been asked: another host could have served it.
BOOST_AUTO_TEST_CASE(ReadAfterEndOfLeaseReportsMissingLease) {
  applyView(1, S1, 0);
  extendLease(milliseconds(900));
  submit(StatementKind::Read, TrafficClass::AgedSession);
  advanceTime(milliseconds(1001));
  BOOST_TEST((nextAnswer().m_Code == ResultCode::NotRunNoLease));
}

BOOST_FIXTURE_TEST_CASE(HostThatNeverHadLeaseRefusesAtOnce,
                        FixtureWithoutLease) {
  struct Case final {
    StatementKind m_Kind; ///< Kind of statement.
    TrafficClass m_Class; ///< Class of its entry.
    bool m_Writes;        ///< Whether it writes.
  };
  const std::vector<Case> Cases = {
      {StatementKind::Write, TrafficClass::PrimarySession, true},
      {StatementKind::Read, TrafficClass::PrimarySession, false},
      {StatementKind::Read, TrafficClass::AgedSession, false},
      {StatementKind::Begin, TrafficClass::OwnWritesSession, false},
      {StatementKind::BeginRead, TrafficClass::AgedSession, false}};
  for (const Case &Each : Cases) {
    submit(Each.m_Kind, Each.m_Class, Each.m_Writes);
    BOOST_TEST((nextAnswer().m_Code == ResultCode::NotRunNoLease));
    BOOST_TEST(m_Answers.empty());
  }
}

BOOST_AUTO_TEST_CASE(ReadRefusedByReplicasReportsMissingPrimaryConnection) {
  sample(10);
  // Writes occupy all current and future connections to the primary.
  for (std::uint64_t Caller = 10; Caller < 20; ++Caller)
    submit(StatementKind::Write, TrafficClass::PrimarySession, true, Caller);
  openAll();
  m_Runs.clear();
  const RequestId Read =
      submit(StatementKind::Read, TrafficClass::AgedSession, false, 30);
  for (int Replica = 0; Replica < 2; ++Replica) {
    const RunStatement Run = nextRunning();
    BOOST_TEST((serverOf(Run) != S1));
    reply(Run, StatementOutcome::Behind, Idle, std::nullopt);
  }
  advanceTime(milliseconds(1001));
  bool IsFound = false;
  for (const SessionAnswer &Answer : m_Answers) {
    if (Answer.m_Request != Read)
      continue;
    IsFound = true;
    BOOST_TEST((Answer.m_Code == ResultCode::NotRunNoConnection));
  }
  BOOST_TEST(IsFound);
}

// Load pattern: the primary fails while this host serves the callers of several
// hosts, most of which send statements that only a primary may run.
BOOST_AUTO_TEST_CASE(ReadsOvertakeStatementsWaitingForPrimary) {
  sample(10);
  applyView(2, std::nullopt);
  openAll();
  for (std::uint64_t Caller = 100; Caller < 250; ++Caller)
    submit(StatementKind::Write, TrafficClass::PrimarySession, true, Caller);
  BOOST_TEST(m_Runs.empty());
  submit(StatementKind::Read, TrafficClass::AgedSession, false, 30);
  BOOST_TEST((serverOf(nextRunning()) != S1));
}

// Load pattern: only this host cannot reach the primary. While the primary may
// have failed, writes wait for its replacement; after that they are refused, so
// that the callers use another host.
BOOST_AUTO_TEST_CASE(WritesWaitForUnreachablePrimaryForBoundedTime) {
  std::set<ConnectionId> Lost;
  for (const auto &[Connection, Server] : m_ServerOf) {
    if (Server == S1)
      Lost.insert(Connection);
  }
  for (const ConnectionId Connection : Lost) {
    m_Core.connectionLost(m_Now, Connection, m_Actions);
    collectActions();
  }
  const auto RefuseAll = [&] {
    while (!m_Opening.empty()) {
      const ConnectionId Next = m_Opening.front().m_Connection;
      m_Opening.pop_front();
      m_Core.connectionFailed(m_Now, Next, false, m_Actions);
      collectActions();
    }
  };
  RefuseAll();
  submit(StatementKind::Write, TrafficClass::PrimarySession, true, 1);
  for (int Step = 0; Step < 9; ++Step) {
    advanceTime(milliseconds(100));
    RefuseAll();
  }
  BOOST_TEST(m_Answers.empty());
  advanceTime(milliseconds(500));
  RefuseAll();
  m_Answers.clear();
  submit(StatementKind::Write, TrafficClass::PrimarySession, true, 2);
  BOOST_TEST((nextAnswer().m_Code == ResultCode::NotRunNoConnection));
}

BOOST_AUTO_TEST_CASE(WriteAnsweredAfterLeaseIsNotAcknowledged) {
  submit(StatementKind::Write, TrafficClass::PrimarySession, true);
  const RunStatement Run = nextRunning();
  extendLease(Duration(0));
  replyDone(Run, 10);
  BOOST_TEST((nextAnswer().m_Code == ResultCode::OutcomeUnknownTermEnded));
}

BOOST_AUTO_TEST_CASE(TermEndIsConfirmedOnceItsCommitsHaveEnded) {
  submit(StatementKind::Write, TrafficClass::PrimarySession, true);
  const RunStatement Run = nextRunning();
  applyView(2, std::nullopt);
  BOOST_TEST((m_Core.confirmedRevision() < Revision(m_Revision)));
  replyDone(Run, 10);
  BOOST_TEST((nextAnswer().m_Code == ResultCode::Ok));
  BOOST_TEST((m_Core.confirmedRevision() == Revision(m_Revision)));
}

BOOST_AUTO_TEST_CASE(HangingCommitDelaysConfirmationForBoundedTime) {
  submit(StatementKind::Write, TrafficClass::PrimarySession, true);
  const RunStatement Run = nextRunning();
  applyView(2, std::nullopt);
  advanceTime(settings().m_HandoverWait + milliseconds(1));
  BOOST_TEST((nextAnswer().m_Code == ResultCode::OutcomeUnknownTermEnded));
  BOOST_TEST((m_Core.confirmedRevision() == Revision(m_Revision)));
  replyDone(Run, 10);
  BOOST_TEST(m_Answers.empty());
}

BOOST_AUTO_TEST_CASE(WritesWaitForNextPrimary) {
  applyView(2, std::nullopt);
  submit(StatementKind::Write, TrafficClass::PrimarySession, true);
  BOOST_TEST(m_Runs.empty());
  advanceTime(milliseconds(600));
  applyView(2, S3);
  openAll();
  BOOST_TEST((serverOf(nextRunning()) == S3));
}

BOOST_AUTO_TEST_CASE(TransactionUsesOneConnectionFromBeginToEnd) {
  submit(StatementKind::Begin, TrafficClass::PrimarySession);
  const RunStatement Begin = nextRunning();
  replyDone(Begin, 10, Open);
  BOOST_TEST((nextAnswer().m_Status == Open));
  submit(StatementKind::Write, TrafficClass::PrimarySession, true, 2);
  BOOST_TEST((nextRunning().m_Connection != Begin.m_Connection));
  submit(StatementKind::Write, TrafficClass::PrimarySession, true);
  const RunStatement Write = nextRunning();
  BOOST_TEST((Write.m_Connection == Begin.m_Connection));
  replyDone(Write, 10, Open);
  submit(StatementKind::Commit, TrafficClass::PrimarySession);
  const RunStatement Commit = nextRunning();
  BOOST_TEST((Commit.m_Connection == Begin.m_Connection));
  replyDone(Commit, 11);
  nextAnswer();
  const SessionAnswer Committed = nextAnswer();
  BOOST_TEST((Committed.m_Written == point(11)));
  BOOST_TEST(!m_Core.hasTransaction(CallerConnectionId(1)));
}

/// Expected result after a connection is lost inside a transaction.
struct LossCase final {
  const char *m_Name;
  bool m_Wrote;
  bool m_Commits;
  ResultCode m_Code;
};
std::ostream &operator<<(std::ostream &Stream, const LossCase &Case) {
  return Stream << Case.m_Name;
}
const std::vector<LossCase> LossCases = {
    {"a read is rolled back", false, false, ResultCode::NotRunRolledBack},
    {"a write is rolled back", true, false, ResultCode::NotRunRolledBack},
    {"a commit without writes is rolled back", false, true,
     ResultCode::NotRunRolledBack},
    {"a commit of writes has an unknown outcome", true, true,
     ResultCode::OutcomeUnknown},
};

BOOST_DATA_TEST_CASE(LostTransactionReportsItsOutcome,
                     boost::unit_test::data::make(LossCases), Case) {
  submit(StatementKind::Begin, TrafficClass::PrimarySession);
  replyDone(nextRunning(), 10, Open);
  if (Case.m_Wrote) {
    submit(StatementKind::Write, TrafficClass::PrimarySession, true);
    replyDone(nextRunning(), 10, Open);
  }
  m_Answers.clear();
  submit(Case.m_Commits ? StatementKind::Commit : StatementKind::Read,
         TrafficClass::PrimarySession);
  const RunStatement Last = nextRunning();
  m_Core.connectionLost(m_Now, Last.m_Connection, m_Actions);
  collectActions();
  const SessionAnswer Received = nextAnswer();
  BOOST_TEST((Received.m_Code == Case.m_Code));
  BOOST_TEST((Received.m_Status == Idle));
}

BOOST_AUTO_TEST_CASE(RefusedSlotDoesNotEndTransaction) {
  submit(StatementKind::Begin, TrafficClass::PrimarySession);
  replyDone(nextRunning(), 10, Open);
  nextAnswer();
  submit(StatementKind::Read, TrafficClass::PrimarySession);
  reply(nextRunning(), StatementOutcome::Busy, Open, point(10));
  BOOST_TEST(m_Answers.empty());
  advanceTime(milliseconds(30));
  replyDone(nextRunning(), 10, Open);
  BOOST_TEST((nextAnswer().m_Code == ResultCode::Ok));
}

BOOST_AUTO_TEST_CASE(DisconnectedCallerIsRolledBackAndConnectionReused) {
  submit(StatementKind::Begin, TrafficClass::PrimarySession);
  replyDone(nextRunning(), 10, Open);
  m_Core.callerDisconnected(m_Now, CallerConnectionId(1), m_Actions);
  collectActions();
  const RunStatement Rollback = nextRunning();
  BOOST_TEST(Rollback.m_IsInternal);
  replyDone(Rollback, 10);
  BOOST_TEST(m_Closed.empty());
  BOOST_TEST(m_Core.openTransactions() == 0U);
}

BOOST_AUTO_TEST_CASE(DisconnectDuringStatementFreesLocks) {
  submit(StatementKind::Begin, TrafficClass::PrimarySession);
  replyDone(nextRunning(), 10, Open);
  submit(StatementKind::Write, TrafficClass::PrimarySession, true);
  const RunStatement Write = nextRunning();
  m_Core.callerDisconnected(m_Now, CallerConnectionId(1), m_Actions);
  collectActions();
  BOOST_TEST(m_Closed.contains(Write.m_Connection));
  BOOST_TEST(m_Core.pending() == 0U);
}

BOOST_AUTO_TEST_CASE(IdleTransactionIsAbortedAtItsLimit) {
  submit(StatementKind::Begin, TrafficClass::PrimarySession);
  const RunStatement Begin = nextRunning();
  replyDone(Begin, 10, Open);
  nextAnswer();
  extendLease(seconds(20));
  advanceTime(seconds(4));
  BOOST_TEST(m_Closed.contains(Begin.m_Connection));
  submit(StatementKind::Read, TrafficClass::PrimarySession);
  BOOST_TEST((nextAnswer().m_Code == ResultCode::NotRunRolledBack));
}

BOOST_AUTO_TEST_CASE(ReadWithoutAnswerIsRetriedOnAnotherServerBeforeDeadline) {
  sample(10);
  submit(StatementKind::Read, TrafficClass::AgedSession);
  const RunStatement Silent = nextRunning();
  advanceTime(milliseconds(400));
  const RunStatement Again = nextRunning();
  BOOST_TEST((serverOf(Again) != serverOf(Silent)));
  replyDone(Again, 12);
  BOOST_TEST((nextAnswer().m_Code == ResultCode::Ok));
}

BOOST_AUTO_TEST_CASE(WriteWithoutAnswerIsUnknownAndNotRetried) {
  submit(StatementKind::Write, TrafficClass::PrimarySession, true);
  nextRunning();
  advanceTime(milliseconds(1001));
  BOOST_TEST((nextAnswer().m_Code == ResultCode::OutcomeUnknown));
  BOOST_TEST(m_Runs.empty());
}

BOOST_AUTO_TEST_CASE(ServerThatIsNotPrimaryIsReported) {
  submit(StatementKind::Write, TrafficClass::PrimarySession, true);
  reply(nextRunning(), StatementOutcome::NotPrimary, Idle, point(10));
  BOOST_REQUIRE(!m_Reports.empty());
  BOOST_TEST((m_Reports.back().m_Kind == SuspicionKind::NotPrimary));
  BOOST_TEST(m_Answers.empty());
}

// Load pattern: more statements arrive than the connection share can run. No
// statement is sent beyond the share; the others wait.
BOOST_AUTO_TEST_CASE(StatementsBeyondConnectionShareWait) {
  applyView(1, S1, 1);
  openAll();
  submit(StatementKind::Write, TrafficClass::PrimarySession, true, 1);
  const RunStatement First = nextRunning();
  submit(StatementKind::Write, TrafficClass::PrimarySession, true, 2);
  submit(StatementKind::Write, TrafficClass::PrimarySession, true, 3);
  openAll();
  BOOST_TEST(m_Runs.empty());
  BOOST_TEST(m_Core.waiting() == 2U);
  replyDone(First, 10);
  BOOST_TEST(m_Runs.size() == 1U);
}

BOOST_AUTO_TEST_CASE(DrainRefusesNewTransactionsAndCompletesOpenOnes) {
  submit(StatementKind::Begin, TrafficClass::PrimarySession);
  replyDone(nextRunning(), 10, Open);
  m_Core.drain(m_Now, m_Actions);
  collectActions();
  m_Answers.clear();
  submit(StatementKind::Read, TrafficClass::PrimarySession, false, 2);
  BOOST_TEST((nextAnswer().m_Code == ResultCode::NotRunDraining));
  submit(StatementKind::Commit, TrafficClass::PrimarySession);
  replyDone(nextRunning(), 10);
  BOOST_TEST((nextAnswer().m_Code == ResultCode::Ok));
}

// Guards against an acknowledgement under a record of the previous control
// session: without a share the host is not waited for when the term ends.
BOOST_AUTO_TEST_CASE(LeaseOfNewSessionDoesNotCoverWriteUnderOldRecord) {
  submit(StatementKind::Write, TrafficClass::PrimarySession, true);
  const RunStatement Run = nextRunning();
  changeControlSession();
  replyDone(Run, 10);
  BOOST_TEST((nextAnswer().m_Code == ResultCode::OutcomeUnknownTermEnded));
}

BOOST_AUTO_TEST_CASE(LeaseOfNewSessionDoesNotCoverCommitUnderOldRecord) {
  submit(StatementKind::Begin, TrafficClass::PrimarySession);
  replyDone(nextRunning(), 10, Open);
  submit(StatementKind::Write, TrafficClass::PrimarySession, true);
  replyDone(nextRunning(), 10, Open);
  m_Answers.clear();
  changeControlSession();
  submit(StatementKind::Commit, TrafficClass::PrimarySession);
  BOOST_TEST(m_Runs.empty());
  BOOST_TEST((nextAnswer().m_Code == ResultCode::NotRunRolledBack));
}

// Control may have ended the term without waiting for this host, so running
// commits get no time to complete.
BOOST_AUTO_TEST_CASE(FirstRecordOfNewSessionEndsOldTermAtOnce) {
  submit(StatementKind::Write, TrafficClass::PrimarySession, true);
  const RunStatement Run = nextRunning();
  changeControlSession();
  applyView(2, S3);
  BOOST_TEST((nextAnswer().m_Code == ResultCode::OutcomeUnknownTermEnded));
  BOOST_TEST((m_Core.confirmedRevision() == Revision(m_Revision)));
  replyDone(Run, 10);
  BOOST_TEST(m_Answers.empty());
}

BOOST_AUTO_TEST_CASE(SessionChangeEndsTermWhoseEndIsUnconfirmed) {
  submit(StatementKind::Write, TrafficClass::PrimarySession, true);
  const RunStatement Run = nextRunning();
  applyView(2, S3);
  changeControlSession();
  repeatView(2, S3);
  replyDone(Run, 10);
  BOOST_TEST((nextAnswer().m_Code == ResultCode::OutcomeUnknownTermEnded));
  BOOST_TEST(m_Answers.empty());
}

BOOST_AUTO_TEST_CASE(WritesWaitForFirstRecordOfNewSession) {
  changeControlSession();
  BOOST_TEST((m_Core.confirmedRevision() == Revision()));
  submit(StatementKind::Write, TrafficClass::PrimarySession, true);
  BOOST_TEST(m_Runs.empty());
  repeatView(1, S1);
  BOOST_TEST((m_Core.confirmedRevision() == Revision(m_Revision)));
  replyDone(nextRunning(), 10);
  BOOST_TEST((nextAnswer().m_Code == ResultCode::Ok));
}

BOOST_AUTO_TEST_CASE(WritesAreRefusedIfNewSessionSendsNoRecord) {
  changeControlSession();
  submit(StatementKind::Write, TrafficClass::PrimarySession, true);
  advanceTime(settings().m_NoLeaseTimeout);
  BOOST_TEST(m_Runs.empty());
  BOOST_TEST((nextAnswer().m_Code == ResultCode::NotRunNoLease));
}

BOOST_AUTO_TEST_CASE(SharesOfOldSessionAreNotUsedUnderNewOne) {
  changeControlSession();
  for (const ServerId &Server : {S1, S2, S3})
    BOOST_TEST(m_Core.connectionCount(Server) == 1U);
  repeatView(1, S1);
  openAll();
  for (const ServerId &Server : {S1, S2, S3})
    BOOST_TEST(m_Core.connectionCount(Server) == 2U);
}

BOOST_AUTO_TEST_CASE(OneConnectionPerServerRemainsAfterLease) {
  // Other hosts may have this host's shares by then, and a server counts the
  // connections of all hosts.
  extendLease(seconds(1));
  advanceTime(milliseconds(999));
  BOOST_TEST(m_Core.connectionCount(S1) == 2U);
  advanceTime(milliseconds(1));
  for (const ServerId &Server : {S1, S2, S3})
    BOOST_TEST(m_Core.connectionCount(Server) == 1U);
  extendLease(seconds(1));
  openAll();
  for (const ServerId &Server : {S1, S2, S3})
    BOOST_TEST(m_Core.connectionCount(Server) == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ragwortmux::test
