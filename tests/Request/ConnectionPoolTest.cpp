#include "ragwortmux/Connection/ConnectionPool.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace ragwortmux {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServerId Server("s1");

/// A pool for one server and its pending orders.
class PoolFixture {
public:
  explicit PoolFixture(std::uint32_t Share = 4) { share(Share); }

  void share(std::uint32_t Share, std::uint64_t InTerm = 1) {
    m_Actions = PoolActions();
    m_Pool.setServer(m_Now, Server, Term(InTerm), Share, m_Actions);
  }
  /// Opens the ordered connections.
  void openAll() {
    while (!m_Actions.m_Open.empty()) {
      const std::vector<PooledConnection> ToOpen = m_Actions.m_Open;
      m_Actions.m_Open.clear();
      for (const PooledConnection &Connection : ToOpen)
        m_Pool.opened(m_Now, Connection.m_Id, m_Actions);
    }
  }
  void tick(Duration Time) {
    m_Now += Time;
    m_Actions = PoolActions();
    m_Pool.tick(m_Now, m_Actions);
  }
  ConnectionId take() {
    const auto Taken = m_Pool.acquire(m_Now, Server);
    BOOST_REQUIRE(Taken);
    return *Taken;
  }

  Instant m_Now{seconds(1)};
  ConnectionPool m_Pool{ConnectionPoolSettings()};
  PoolActions m_Actions;
};

BOOST_FIXTURE_TEST_SUITE(Pool, PoolFixture)

BOOST_AUTO_TEST_CASE(OpensConnectionsAheadAndOnDemandWithinShare) {
  BOOST_TEST(m_Actions.m_Open.size() == 2U);
  openAll();
  m_Pool.setDemand(m_Now, Server, 10, m_Actions);
  BOOST_TEST(m_Actions.m_Open.size() == 2U); // the share is 4
  openAll();
  for (int Index = 0; Index < 4; ++Index)
    take();
  BOOST_TEST(!m_Pool.acquire(m_Now, Server));
}

BOOST_AUTO_TEST_CASE(ClosingConnectionCountsUntilClosed) {
  openAll();
  share(2);
  const ConnectionId Taken = take();
  m_Actions = PoolActions();
  m_Pool.drop(m_Now, Taken, m_Actions);
  BOOST_TEST(m_Actions.m_Close.size() == 1U);
  BOOST_TEST(m_Actions.m_Open.empty());
  m_Pool.closed(m_Now, Taken, m_Actions);
  BOOST_TEST(m_Actions.m_Open.size() == 1U);
}

BOOST_AUTO_TEST_CASE(SmallerShareClosesIdleConnectionsFirst) {
  m_Pool.setDemand(m_Now, Server, 4, m_Actions);
  openAll();
  const ConnectionId First = take();
  const ConnectionId Second = take();
  share(1);
  BOOST_TEST(m_Actions.m_Close.size() == 2U);
  m_Actions = PoolActions();
  m_Pool.release(m_Now, First, m_Actions);
  BOOST_TEST((m_Actions.m_Close == std::vector<ConnectionId>{First}));
  m_Actions = PoolActions();
  m_Pool.release(m_Now, Second, m_Actions);
  BOOST_TEST(m_Actions.m_Close.empty());
}

BOOST_AUTO_TEST_CASE(ConnectionsOfOldTermAreClosed) {
  openAll();
  const ConnectionId Busy = take();
  share(4, 2);
  BOOST_TEST(m_Actions.m_Close.size() == 1U);
  m_Actions = PoolActions();
  m_Pool.release(m_Now, Busy, m_Actions);
  BOOST_TEST((m_Actions.m_Close == std::vector<ConnectionId>{Busy}));
}

BOOST_AUTO_TEST_CASE(UnusedConnectionIsProbedAndClosedIfSilent) {
  openAll();
  tick(seconds(15));
  BOOST_REQUIRE(m_Actions.m_Probe.size() == 2);
  BOOST_TEST(!m_Pool.acquire(m_Now, Server));
  const std::vector<ConnectionId> Probed = m_Actions.m_Probe;
  m_Pool.probed(m_Now, Probed[0], m_Actions);
  tick(milliseconds(250));
  BOOST_TEST((m_Actions.m_Close == std::vector<ConnectionId>{Probed[1]}));
  // The other connection is suspect again, and a new one shows whether the
  // server responds.
  BOOST_TEST(!m_Pool.acquire(m_Now, Server));
  BOOST_TEST(m_Actions.m_Open.size() == 1U);
}

BOOST_AUTO_TEST_CASE(SuspectsMakeRoomForNewConnection) {
  openAll();
  share(2);
  const ConnectionId Silent = take();
  m_Actions = PoolActions();
  m_Pool.suspect(m_Now, Server, m_Actions);
  BOOST_TEST(m_Actions.m_Close.size() == 1U); // the share is exhausted
  BOOST_TEST(m_Actions.m_Open.empty());
  m_Pool.closed(m_Now, m_Actions.m_Close[0], m_Actions);
  BOOST_TEST(m_Actions.m_Open.size() == 1U);
  BOOST_TEST((m_Pool.find(Silent)->m_State == ConnectionState::Busy));
}

BOOST_AUTO_TEST_CASE(OnlyQuietConnectionsAreSuspected) {
  openAll();
  const Instant Opened = m_Now;
  tick(seconds(1));
  const ConnectionId Used = take();
  m_Pool.release(m_Now, Used, m_Actions);
  m_Actions = PoolActions();
  m_Pool.suspectUnusedSince(m_Now, Server, Opened, m_Actions);
  // A connection that was used since is known to work.
  BOOST_TEST((take() == Used));
  BOOST_TEST(!m_Pool.acquire(m_Now, Server));
  BOOST_TEST(m_Actions.m_Open.size() == 1U);
  m_Actions = PoolActions();
  m_Pool.suspectUnusedSince(m_Now, Server, Opened, m_Actions);
  BOOST_TEST(m_Actions.m_Open.empty()); // no connection left to suspect
}

BOOST_AUTO_TEST_CASE(UnreachableServerIsRetriedOneAtATimeWithPauses) {
  for (const PooledConnection &Connection : std::vector(m_Actions.m_Open))
    m_Pool.openFailed(m_Now, Connection.m_Id, false, m_Actions);
  BOOST_TEST(m_Actions.m_Unreachable.size() == 2U);
  BOOST_TEST(!m_Pool.isReachable(Server));
  tick(milliseconds(99));
  BOOST_TEST(m_Actions.m_Open.empty());
  BOOST_TEST((m_Pool.nextDeadline() == m_Now + milliseconds(1)));
  tick(milliseconds(1));
  BOOST_TEST(m_Actions.m_Open.size() == 1U);
  tick(milliseconds(500)); // this attempt gets no answer
  BOOST_TEST(m_Actions.m_TimedOut.size() == 1U);
  BOOST_TEST(m_Actions.m_Close.size() == 1U);
}

BOOST_AUTO_TEST_CASE(RandomEventsNeverExceedShareOrReuseBusyConnection) {
  for (unsigned Seed = 1; Seed <= 20; ++Seed) {
    BOOST_TEST_CONTEXT("seed " << Seed) {
      std::mt19937 Random(Seed);
      const auto Below = [&Random](std::size_t Limit) {
        return static_cast<std::size_t>(Random() % Limit);
      };
      PoolFixture Fixture(6);
      ConnectionPool &Pool = Fixture.m_Pool;
      std::vector<ConnectionId> Opening;
      std::vector<ConnectionId> Closing;
      std::vector<ConnectionId> Probing;
      std::vector<ConnectionId> Taken;
      std::uint32_t Share = 6;
      std::uint64_t InTerm = 1;
      const auto Pick = [&Below](std::vector<ConnectionId> &From) {
        const auto At = From.begin() + static_cast<long>(Below(From.size()));
        const ConnectionId Id = *At;
        From.erase(At);
        return Id;
      };
      for (int Step = 0; Step < 3000; ++Step) {
        PoolActions &Actions = Fixture.m_Actions;
        const std::uint32_t Before = Pool.connectionCount(Server);
        for (const PooledConnection &Connection : Actions.m_Open)
          Opening.push_back(Connection.m_Id);
        Closing.insert(Closing.end(), Actions.m_Close.begin(),
                       Actions.m_Close.end());
        Probing.insert(Probing.end(), Actions.m_Probe.begin(),
                       Actions.m_Probe.end());
        Actions = PoolActions();
        switch (Below(11)) {
        case 0:
          Share = static_cast<std::uint32_t>(Below(8));
          Fixture.share(Share, InTerm);
          break;
        case 1:
          if (Below(10) == 0)
            Fixture.share(Share, ++InTerm);
          break;
        case 2:
          Fixture.tick(milliseconds(Below(400)));
          break;
        case 3:
          Pool.setDemand(Fixture.m_Now, Server,
                         static_cast<std::uint32_t>(Below(9)), Actions);
          break;
        case 4:
        case 5:
          if (!Opening.empty())
            Pool.opened(Fixture.m_Now, Pick(Opening), Actions);
          break;
        case 6:
          if (!Closing.empty())
            Pool.closed(Fixture.m_Now, Pick(Closing), Actions);
          break;
        case 7:
          if (!Probing.empty())
            Pool.probed(Fixture.m_Now, Pick(Probing), Actions);
          break;
        case 8:
          if (const auto Id = Pool.acquire(Fixture.m_Now, Server)) {
            BOOST_REQUIRE(std::find(Taken.begin(), Taken.end(), *Id) ==
                          Taken.end());
            BOOST_REQUIRE((Pool.find(*Id)->m_Term == Term(InTerm)));
            Taken.push_back(*Id);
          }
          break;
        case 9:
          if (!Taken.empty())
            Pool.release(Fixture.m_Now, Pick(Taken), Actions);
          break;
        case 10:
          if (!Taken.empty()) {
            Pool.drop(Fixture.m_Now, Pick(Taken), Actions);
            if (Below(2) == 0)
              Pool.suspect(Fixture.m_Now, Server, Actions);
          }
          break;
        }
        // Connections above the share must have been open before it was
        // reduced.
        BOOST_REQUIRE(Pool.connectionCount(Server) <= std::max(Share, Before));
        BOOST_REQUIRE(Pool.busyCount(Server) == Taken.size());
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

const WorkspaceId W1("w1");
const WorkspaceId W2("w2");
const WorkspaceId W3("w3");

/// A pool whose callers belong to workspaces.
class WorkspacePoolFixture : public PoolFixture {
public:
  WorkspacePoolFixture() : PoolFixture(0) {
    m_Pool.setUsesWorkspaces(true);
    share(4);
  }

  /// Sets the demand and completes what the pool orders.
  void demand(const ConnectionDemand &Waiting) {
    m_Pool.setDemand(m_Now, Server, Waiting, m_Actions);
    while (!m_Actions.m_Close.empty() || !m_Actions.m_Open.empty()) {
      for (const ConnectionId Id : std::exchange(m_Actions.m_Close, {}))
        m_Pool.closed(m_Now, Id, m_Actions);
      openAll();
    }
  }
  std::optional<ConnectionId> takeFor(const WorkspaceId &Workspace) {
    return m_Pool.acquireCheapest(m_Now, Server, Workspace,
                                  [](ConnectionId) { return std::size_t{0}; });
  }
  std::uint32_t idle(const WorkspaceId &Workspace) const {
    return m_Pool.idleCount(Server, Workspace);
  }
};

BOOST_FIXTURE_TEST_SUITE(PoolOfWorkspaces, WorkspacePoolFixture)

// Guards against connections that are opened before anybody needs them and
// then speak for nobody.
BOOST_AUTO_TEST_CASE(OpensNothingAhead) {
  BOOST_TEST(m_Actions.m_Open.empty());
  tick(seconds(1));
  BOOST_TEST(m_Actions.m_Open.empty());
}

// Guards against a statement on a connection that speaks for another
// workspace.
BOOST_AUTO_TEST_CASE(ConnectionServesItsWorkspaceOnly) {
  demand({{W1, 1}});
  BOOST_TEST(!takeFor(W2));
  BOOST_TEST(!takeFor(WorkspaceId()));
  const auto Taken = takeFor(W1);
  BOOST_REQUIRE(Taken);
  BOOST_TEST((m_Pool.find(*Taken)->m_Workspace == W1));
  m_Pool.release(m_Now, *Taken, m_Actions);
  BOOST_TEST(!takeFor(W2));
}

// Guards against a workspace that waits although connections are idle, and
// against closing those that were used last.
BOOST_AUTO_TEST_CASE(LeastRecentlyUsedConnectionMakesRoom) {
  for (const WorkspaceId &Each : {W1, W2, W3, WorkspaceId("w4")}) {
    demand({{Each, 1}});
    m_Now += milliseconds(10);
  }
  m_Pool.release(m_Now, *takeFor(W1), m_Actions);
  demand({{WorkspaceId("w5"), 1}});
  BOOST_TEST(idle(WorkspaceId("w5")) == 1U);
  BOOST_TEST(idle(W2) == 0U);
  BOOST_TEST(idle(W1) == 1U);
  BOOST_TEST(m_Pool.connectionCount(Server) == 4U);
}

// Load: one workspace sends many times its usual. Guards against it taking all
// connections from the others.
BOOST_AUTO_TEST_CASE(BusyWorkspaceLeavesConnectionsToOthers) {
  demand({{W2, 1}});
  demand({{W3, 1}});
  demand({{W1, 16}});
  BOOST_TEST(idle(W1) == 2U);
  BOOST_TEST(idle(W2) == 1U);
  BOOST_TEST(idle(W3) == 1U);
  demand({{W1, 16}, {WorkspaceId("w4"), 1}});
  BOOST_TEST(idle(WorkspaceId("w4")) == 1U);
}

// Failure: the server refuses connections. Guards against a burst of attempts,
// and against a workspace that is forgotten meanwhile.
BOOST_AUTO_TEST_CASE(FailingServerIsTriedOneConnectionAtATime) {
  m_Pool.setDemand(m_Now, Server, {{W1, 2}, {W2, 2}}, m_Actions);
  BOOST_REQUIRE(!m_Actions.m_Open.empty());
  for (const PooledConnection &Each : std::exchange(m_Actions.m_Open, {}))
    m_Pool.openFailed(m_Now, Each.m_Id, true, m_Actions);
  BOOST_TEST(m_Actions.m_Open.empty());
  const auto Due = m_Pool.nextDeadline();
  BOOST_REQUIRE(Due);
  tick(*Due - m_Now);
  BOOST_TEST(m_Actions.m_Open.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace

} // namespace ragwortmux
