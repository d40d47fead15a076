#include "SessionFixture.h"

#include <boost/test/unit_test.hpp>

namespace ragwortmux::test {

namespace {

/// A core with the policy; S1 is the primary and far, S2 near and S3 far. Each
/// read runs when it is submitted, if a server takes it, and is answered after
/// the time of its server.
struct CrossDomainFixture : SessionFixture {
  CrossDomainFixture() : SessionFixture(policySettings(), seconds(1000)) {
    readPrimary();
  }

  static SessionCoreSettings policySettings() {
    SessionCoreSettings Settings = settings();
    Settings.m_CrossDomain.m_IsEnabled = true;
    return Settings;
  }

  RequestId submitRead() {
    return submit(StatementKind::Read, TrafficClass::AgedSession, false,
                  ++m_Caller);
  }
  /// All running statements are answered in turn; returns how many ran on a far
  /// server.
  int answerAll() {
    int Far = 0;
    while (!m_Runs.empty()) {
      const RunStatement Run = nextRunning();
      const ServerId Server = serverOf(Run);
      Far += Server != S2 ? 1 : 0;
      m_Now += m_Took.at(Server);
      replyDone(Run, 1);
    }
    return Far;
  }
  /// Keeps the primary's position fresh, which aged reads need.
  void readPrimary() {
    submit(StatementKind::Read, TrafficClass::PrimarySession, false, 99);
    answerAll();
  }
  /// Runs reads one after another; returns how many ran on a far server.
  int runReads(int Count) {
    int Far = 0;
    for (int Number = 0; Number < Count; ++Number) {
      submitRead();
      Far += answerAll();
      advanceTime(milliseconds(5));
      Far += answerAll();
      if (Number % 20 == 0)
        readPrimary();
    }
    m_Answers.clear();
    return Far;
  }

  std::map<ServerId, Duration> m_Took = {
      {S1, milliseconds(9)}, {S2, milliseconds(5)}, {S3, milliseconds(9)}};
  std::uint64_t m_Caller = 1000;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SessionCrossDomainTest, CrossDomainFixture)

// Guards against reads that leave without a reason, as a fixed cost makes them
// do when three run at once.
BOOST_AUTO_TEST_CASE(ReadsStayWhileNearServerIsFine) {
  BOOST_TEST(runReads(200) == 0);
  BOOST_TEST(m_Core.crossDomain().counts().m_Near == 200U);
  BOOST_TEST(m_Core.crossDomain().counts().m_Far == 0U);
}

// Guards against a slow near server that keeps all reads, and against reads
// that stay abroad after it has recovered.
BOOST_AUTO_TEST_CASE(ReadsLeaveSlowServerAndReturn) {
  runReads(200);
  m_Took[S2] = milliseconds(60);
  runReads(100);
  const int Far = runReads(100);
  BOOST_TEST(Far > 30);
  BOOST_TEST(Far <= 60);
  m_Took[S2] = milliseconds(5);
  runReads(400);
  BOOST_TEST(m_Core.crossDomain().share() == 0);
  BOOST_TEST(runReads(100) == 0);
  BOOST_TEST(m_Core.crossDomain().counts().m_FarBytes > 0U);
}

// Guards against reads that wait for a full near server until their deadline.
BOOST_AUTO_TEST_CASE(ReadsLeaveFullServer) {
  runReads(100);
  const std::uint64_t FarBefore = m_Core.crossDomain().counts().m_Far;
  for (int Number = 0; Number < 200; ++Number) {
    submitRead();
    for (int Try = 0; Try < 100 && !m_Runs.empty(); ++Try) {
      const RunStatement Run = nextRunning();
      m_Now += milliseconds(1);
      if (serverOf(Run) == S2)
        reply(Run, StatementOutcome::Busy, Idle, std::nullopt);
      else
        replyDone(Run, 1);
    }
    advanceTime(milliseconds(10));
    if (Number % 20 == 0)
      submit(StatementKind::Read, TrafficClass::PrimarySession, false, 99);
  }
  std::size_t Done = 0;
  for (const SessionAnswer &Answer : m_Answers)
    Done += Answer.m_Code == ResultCode::Ok ? 1 : 0;
  BOOST_TEST(Done > 100U);
  BOOST_TEST(m_Core.crossDomain().counts().m_Far - FarBefore > 100U);
}

// Guards against reads without an answer when the near server goes silent
// while reads run on it.
BOOST_AUTO_TEST_CASE(ReadsLeaveSilentServer) {
  runReads(100);
  for (int Number = 0; Number < 2; ++Number) {
    submitRead();
    BOOST_TEST((serverOf(nextRunning()) == S2));
  }
  m_Now += milliseconds(260);
  for (int Number = 0; Number < 2; ++Number) {
    submitRead();
    BOOST_TEST((serverOf(nextRunning()) != S2));
  }
}

// Guards against a foreign server that keeps getting reads over a link that has
// been cut, and against the loss of the reads on it: they run at home.
BOOST_AUTO_TEST_CASE(ReadsReturnWhenLinkIsCut) {
  runReads(100);
  m_Took[S2] = milliseconds(60);
  runReads(200);
  BOOST_TEST(m_Core.crossDomain().share() > 0.4);
  // Reads that are sent abroad from now on get no answer.
  m_Took[S2] = milliseconds(5);
  std::vector<RequestId> Lost;
  for (int Number = 0; Number < 150; ++Number) {
    const RequestId Id = submitRead();
    for (int Try = 0; Try < 100 && !m_Runs.empty(); ++Try) {
      const RunStatement Run = nextRunning();
      if (serverOf(Run) != S2) {
        Lost.push_back(Id);
        continue;
      }
      m_Now += milliseconds(5);
      replyDone(Run, 1);
    }
    advanceTime(milliseconds(10));
  }
  BOOST_TEST(!Lost.empty());
  // At most two on each of two servers, and as many on new connections.
  BOOST_TEST(Lost.size() <= 8U);
  advanceTime(seconds(1));
  for (int Try = 0; Try < 100 && !m_Runs.empty(); ++Try) {
    const RunStatement Run = nextRunning();
    if (serverOf(Run) == S2)
      replyDone(Run, 1);
  }
  std::set<RequestId> Answered;
  for (const SessionAnswer &Answer : m_Answers) {
    if (Answer.m_Code == ResultCode::Ok)
      Answered.insert(Answer.m_Request);
  }
  for (const RequestId Id : Lost)
    BOOST_TEST(Answered.contains(Id));
}

// Guards against reads that stay unserved because the only near server may not
// run them; the read guarantees go first.
BOOST_AUTO_TEST_CASE(ReadThatNearServerLacksLeaves) {
  runReads(50);
  const LogPoint LastWrite = point(5);
  submit(StatementKind::Read, TrafficClass::OwnWritesSession, false, 1,
         LastWrite);
  const RunStatement First = nextRunning();
  BOOST_TEST((serverOf(First) == S2));
  reply(First, StatementOutcome::Behind, Idle, std::nullopt);
  const RunStatement Second = nextRunning();
  BOOST_TEST((serverOf(Second) != S2));
}

// Guards against read-only transactions that stay at a silent server, and
// against statements of a transaction that run elsewhere than it began.
BOOST_AUTO_TEST_CASE(ReadOnlyTransactionLeavesAsAWhole) {
  runReads(100);
  for (int Number = 0; Number < 2; ++Number) {
    submitRead();
    nextRunning();
  }
  m_Now += milliseconds(260);
  submit(StatementKind::BeginRead, TrafficClass::AgedSession, false, 7);
  const RunStatement Begin = nextRunning();
  BOOST_TEST((serverOf(Begin) != S2));
  replyDone(Begin, 1, Open);
  const std::uint64_t BytesBefore = m_Core.crossDomain().counts().m_FarBytes;
  submit(StatementKind::Read, TrafficClass::AgedSession, false, 7);
  const RunStatement Read = nextRunning();
  BOOST_TEST((Read.m_Connection == Begin.m_Connection));
  replyDone(Read, 1, Open);
  BOOST_TEST(m_Core.crossDomain().counts().m_FarBytes > BytesBefore);
}

// Guards against a workspace that keeps going abroad, where its only free
// connection is, while the near server is fine.
BOOST_AUTO_TEST_CASE(WorkspaceComesHome) {
  m_Core.setUsesWorkspaces(true);
  m_Workspace = WorkspaceId("w");
  // The near server may not run the first reads, so connections are opened
  // abroad.
  for (int Number = 0; Number < 3; ++Number) {
    submit(StatementKind::Read, TrafficClass::OwnWritesSession, false,
           ++m_Caller, point(9));
    openAll();
    for (int Try = 0; Try < 10 && !m_Runs.empty(); ++Try) {
      const RunStatement Run = nextRunning();
      m_Now += m_Took.at(serverOf(Run));
      if (serverOf(Run) == S2)
        reply(Run, StatementOutcome::Behind, Idle, std::nullopt);
      else
        replyDone(Run, 9);
      openAll();
    }
  }
  BOOST_TEST(m_Core.crossDomain().counts().m_Far > 0U);
  int FarOfLast = 0;
  for (int Number = 0; Number < 30; ++Number) {
    submitRead();
    if (!m_Opening.empty())
      m_Now += milliseconds(12);
    openAll();
    const int Far = answerAll();
    FarOfLast += Number >= 10 ? Far : 0;
    advanceTime(milliseconds(5));
  }
  BOOST_TEST(FarOfLast == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ragwortmux::test
