#include "tests/Log/LogNetwork.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace ragwortmux;
using boost::unit_test::label;
using Host = LogNetwork::Host;

constexpr Duration ShortSpan = std::chrono::milliseconds(100);
constexpr Duration LongSpan = std::chrono::seconds(5);

/// Three voters with a leader, and one blank host; no faults.
class Cluster final {
public:
  explicit Cluster(std::uint64_t Seed = 1) : m_Network(Seed, 4, {}) {
    m_Network.bootstrap(3);
    BOOST_REQUIRE(m_Network.run(LongSpan, [&] { return m_Network.leader(); }));
  }
  ~Cluster() {
    BOOST_CHECK_MESSAGE(!m_Network.checks().failure(),
                        m_Network.checks().failure().value_or(""));
  }
  Cluster(const Cluster &) = delete;
  Cluster &operator=(const Cluster &) = delete;

  LogNetwork m_Network; ///< Hosts 0 to 2 are voters, 3 is blank.

  Host &leader() { return *m_Network.leader(); }
  Host &follower() { return m_Network.hosts()[(leader().m_Number + 1) % 3]; }
  /// Proposes an entry on \p Node and runs the network for a short time.
  std::optional<EntryId> propose(Host &Node) {
    std::optional<EntryId> Id;
    m_Network.callLog(Node, [&](ReplicatedLog &Log) {
      Id = Log.propose(m_Network.now(), "x");
    });
    m_Network.run(ShortSpan);
    return Id;
  }
  /// Repeats \p Call on the leader until it is accepted.
  void retryUntilAccepted(
      const std::function<bool(ReplicatedLog &, Instant)> &Call) {
    bool Done = false;
    for (int Try = 0; Try < 50 && !Done; ++Try) {
      m_Network.callLog(leader(), [&](ReplicatedLog &Log) {
        Done = Call(Log, m_Network.now());
      });
      m_Network.run(ShortSpan);
    }
    BOOST_REQUIRE(Done);
  }
};

std::size_t countConfirmations(const Host &Node) {
  std::size_t Count = 0;
  for (const LogAction &Event : Node.m_Events)
    Count += std::holds_alternative<LeadershipConfirmed>(Event) ? 1 : 0;
  return Count;
}

BOOST_DATA_TEST_CASE(ElectsLeaderWithinTwoTimeoutsAfterCrash,
                     boost::unit_test::data::xrange(1, 41), Seed) {
  Cluster Setup(Seed);
  const Duration Longest = Setup.m_Network.logSettings().m_ElectionTimeoutMax +
                           std::chrono::milliseconds(50);
  Setup.m_Network.crash(Setup.leader(), true);
  // If two members time out together, the votes may be split, and a second
  // election follows.
  BOOST_CHECK(Setup.m_Network.run(2 * Longest,
                                  [&] { return Setup.m_Network.leader(); }));
}

BOOST_AUTO_TEST_CASE(IsolatedLeaderStepsDownAndAdoptsNewLog,
                     *label("promise-2") * label("promise-9")) {
  Cluster Setup;
  Setup.m_Network.forbidOverlappingLeaders();
  Host &Old = Setup.leader();
  Setup.m_Network.isolate(Old.m_Number);
  const std::optional<EntryId> Lost = Setup.propose(Old);
  BOOST_REQUIRE(Lost);
  const std::size_t Before = countConfirmations(Old);
  Setup.m_Network.requestConfirmation(Old);
  BOOST_REQUIRE(Setup.m_Network.run(LongSpan, [&] {
    return Setup.m_Network.leader() && Setup.m_Network.leader() != &Old;
  }));
  BOOST_CHECK(!Old.isLeader());
  BOOST_CHECK_EQUAL(countConfirmations(Old), Before);
  Setup.propose(Setup.leader());

  // The old leader reconnects after a long time. It must replicate the log of
  // the new leader, drop its own uncommitted entry and not disturb the term.
  Setup.m_Network.run(LongSpan);
  const LogTerm Term = Setup.leader().m_Log->term();
  Setup.m_Network.heal();
  Setup.m_Network.run(LongSpan);
  BOOST_CHECK(Setup.leader().m_Log->term() == Term);
  BOOST_CHECK(Old.m_State.m_Index == Setup.leader().m_State.m_Index);
  BOOST_CHECK(Old.m_Log->log().termAt(Lost->m_Index) != Lost->m_Term);
}

BOOST_AUTO_TEST_CASE(HostWithReplacedDiskRejoinsAsNewMember,
                     *label("promise-9")) {
  Cluster Setup;
  Host &Lost = Setup.follower();
  const VoterId Old = Lost.m_Id;
  Setup.m_Network.crash(Lost, true);
  Setup.m_Network.replaceDisk(Lost);
  Setup.m_Network.start(Lost);
  BOOST_CHECK(Lost.m_Id != Old);
  const std::string Address = std::to_string(Lost.m_Number);
  Setup.retryUntilAccepted([&](ReplicatedLog &Log, Instant Now) {
    return Log.removeMember(Now, Old).has_value();
  });
  Setup.retryUntilAccepted([&](ReplicatedLog &Log, Instant Now) {
    return Log.addMember(Now, Lost.m_Id, Address).has_value();
  });
  Setup.retryUntilAccepted([&](ReplicatedLog &Log, Instant Now) {
    return Log.promoteMember(Now, Lost.m_Id).has_value();
  });
  Setup.m_Network.run(ShortSpan);
  BOOST_CHECK(Lost.m_Log->membership().isVoter(Lost.m_Id));
  BOOST_CHECK(Lost.m_State.m_Index == Setup.leader().m_State.m_Index);
}

BOOST_AUTO_TEST_CASE(SendsSnapshotToLearnerBehindCompactedLog,
                     *label("promise-9")) {
  Cluster Setup;
  for (int Number = 0; Number < 3; ++Number) {
    Host &Compacted = Setup.m_Network.hosts()[Number];
    for (int Entry = 0; Entry < 500; ++Entry)
      Setup.m_Network.callLog(Setup.leader(), [&](ReplicatedLog &Log) {
        Log.propose(Setup.m_Network.now(), "x");
      });
    Setup.m_Network.run(ShortSpan);
    Setup.m_Network.callLog(Compacted, [&](ReplicatedLog &Log) {
      Log.takeSnapshot(Setup.m_Network.now(), Compacted.m_State.m_Index,
                       std::to_string(Compacted.m_State.m_Hash));
    });
  }
  BOOST_REQUIRE(Setup.leader().m_Log->log().snapshot());
  BOOST_REQUIRE_GT(
      Setup.m_Network.hosts()[2].m_Log->log().previous().m_Index.value(), 0);
  // Make the last compacted host the leader, which must send a snapshot instead
  // of the first entries.
  Host &Compacted = Setup.m_Network.hosts()[2];
  if (&Setup.leader() != &Compacted)
    Setup.retryUntilAccepted([&](ReplicatedLog &Log, Instant Now) {
      return Log.transferLeadership(Now, Compacted.m_Id);
    });
  Setup.m_Network.run(ShortSpan);
  BOOST_REQUIRE(&Setup.leader() == &Compacted);

  Host &Learner = Setup.m_Network.hosts()[3];
  Setup.retryUntilAccepted([&](ReplicatedLog &Log, Instant Now) {
    return Log.addMember(Now, Learner.m_Id, "3").has_value();
  });
  Setup.m_Network.run(ShortSpan);
  BOOST_CHECK(Learner.m_Log->log().snapshot());
  BOOST_CHECK(Learner.m_State.m_Index == Compacted.m_State.m_Index);
  // The snapshot survives a crash of the machine.
  const LogChecks::State State = Learner.m_State;
  Setup.m_Network.crash(Learner, true);
  Setup.m_Network.start(Learner);
  Setup.m_Network.run(ShortSpan);
  BOOST_CHECK(Learner.m_State.m_Hash == State.m_Hash);
}

BOOST_AUTO_TEST_CASE(TransfersLeadershipWithoutElectionTimeout) {
  Cluster Setup;
  Host &To = Setup.follower();
  Setup.retryUntilAccepted([&](ReplicatedLog &Log, Instant Now) {
    return Log.transferLeadership(Now, To.m_Id);
  });
  BOOST_CHECK(&Setup.leader() == &To);
}

BOOST_AUTO_TEST_CASE(BatchesProposalsMadeDuringSync) {
  Cluster Setup;
  Setup.m_Network.settings().m_MaxSyncTime = std::chrono::milliseconds(1);
  Host &Leader = Setup.leader();
  std::size_t Persists = 0;
  for (int Entry = 0; Entry < 100; ++Entry) {
    BOOST_REQUIRE(Leader.m_Log->propose(Setup.m_Network.now(), "x"));
    for (const LogAction &Action :
         Leader.m_Log->takeActions(Setup.m_Network.now()))
      Persists += std::holds_alternative<PersistLog>(Action) ? 1 : 0;
  }
  BOOST_CHECK_EQUAL(Persists, 1);
}

} // namespace
