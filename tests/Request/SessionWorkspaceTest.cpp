#include "SessionFixture.h"

#include <boost/test/unit_test.hpp>

namespace ragwortmux::test {

namespace {

const WorkspaceId W1("w1");
const WorkspaceId W2("w2");

/// A core whose callers belong to workspaces.
struct WorkspaceFixture : SessionFixture {
  WorkspaceFixture() : SessionFixture(Duration(0)) {
    m_Core.setUsesWorkspaces(true);
    extendLease(seconds(10));
    applyView(1, S1);
    openAll();
  }

  RequestId submitFor(const WorkspaceId &Workspace, StatementKind Kind,
                      TrafficClass Class, bool Writes = false,
                      std::uint64_t Caller = 1) {
    m_Workspace = Workspace;
    const RequestId Id = submit(Kind, Class, Writes, Caller);
    m_Workspace = WorkspaceId();
    return Id;
  }
  WorkspaceId workspaceOf(ConnectionId Connection) const {
    return m_WorkspaceOf.at(Connection);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SessionWorkspaceTest, WorkspaceFixture)

// Guards against a statement on a connection that speaks for another
// workspace.
BOOST_AUTO_TEST_CASE(StatementsRunOnConnectionsOfTheirWorkspace) {
  submitFor(W1, StatementKind::Read, TrafficClass::PrimarySession);
  BOOST_TEST(m_Runs.empty());
  openAll();
  const RunStatement First = nextRunning();
  BOOST_TEST((workspaceOf(First.m_Connection) == W1));
  replyDone(First, 1);
  submitFor(W2, StatementKind::Read, TrafficClass::PrimarySession, false, 2);
  BOOST_TEST(m_Runs.empty());
  openAll();
  const RunStatement Second = nextRunning();
  BOOST_TEST((workspaceOf(Second.m_Connection) == W2));
  replyDone(Second, 1);
  submitFor(W1, StatementKind::Read, TrafficClass::PrimarySession);
  BOOST_TEST((nextRunning().m_Connection == First.m_Connection));
}

// Guards against a transaction that goes on for another workspace after its
// caller's key has moved.
BOOST_AUTO_TEST_CASE(TransactionEndsWhenWorkspaceChanges) {
  submitFor(W1, StatementKind::Begin, TrafficClass::PrimarySession);
  openAll();
  const RunStatement Begin = nextRunning();
  replyDone(Begin, 1, Open);
  m_Answers.clear();
  submitFor(W2, StatementKind::Write, TrafficClass::PrimarySession, true);
  BOOST_TEST(m_Runs.empty());
  BOOST_TEST(m_Closed.contains(Begin.m_Connection));
  BOOST_TEST((nextAnswer().m_Code == ResultCode::NotRunRolledBack));
}

// Guards against a read that opens a connection to each server: connections
// are scarce and opening one takes a slot.
BOOST_AUTO_TEST_CASE(WaitingReadOpensOneConnection) {
  submitFor(W1, StatementKind::Read, TrafficClass::PrimarySession, false, 9);
  openAll();
  replyDone(nextRunning(), 1);
  submitFor(W2, StatementKind::Read, TrafficClass::AgedSession);
  BOOST_TEST(m_Opening.size() == 1U);
  openAll();
  BOOST_TEST((serverOf(nextRunning()) == S2)); // S2 is near
}

// Load: more workspaces than connections. Guards against a workspace that
// waits while connections of others are idle.
BOOST_AUTO_TEST_CASE(EveryWorkspaceIsServedInTurn) {
  for (int Number = 0; Number < 20; ++Number) {
    submitFor(WorkspaceId("x" + std::to_string(Number)), StatementKind::Read,
              TrafficClass::PrimarySession);
    openAll();
    replyDone(nextRunning(), 1);
  }
  BOOST_TEST(m_Core.connectionCount(S1) <= 3U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ragwortmux::test
