#include "tests/Log/LogNetwork.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace ragwortmux;
using boost::unit_test::label;
using Host = LogNetwork::Host;

constexpr Duration Soon = std::chrono::milliseconds(100);
constexpr Duration Long = std::chrono::seconds(5);

/// Three voters with a leader, and one blank host; no faults.
class Cluster final {
public:
  explicit Cluster(std::uint64_t Seed = 1) : m_Network(Seed, 4, {}) {
    m_Network.bootstrap(3);
    BOOST_REQUIRE(m_Network.run(Long, [&] { return m_Network.leader(); }));
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
  /// Proposes an entry on \p Each and runs the network for a short time.
  std::optional<EntryId> propose(Host &Each) {
    std::optional<EntryId> Id;
    m_Network.act(Each, [&](ReplicatedLog &Log) {
      Id = Log.propose(m_Network.now(), "x");
    });
    m_Network.run(Soon);
    return Id;
  }
  /// Repeats \p Call on the leader until it is accepted.
  void change(const std::function<bool(ReplicatedLog &, Instant)> &Call) {
    bool Done = false;
    for (int Try = 0; Try < 50 && !Done; ++Try) {
      m_Network.act(leader(), [&](ReplicatedLog &Log) {
        Done = Call(Log, m_Network.now());
      });
      m_Network.run(Soon);
    }
    BOOST_REQUIRE(Done);
  }
};

std::size_t confirmed(const Host &Each) {
  std::size_t Count = 0;
  for (const LogAction &Event : Each.m_Events)
    Count += std::holds_alternative<LeadershipConfirmed>(Event) ? 1 : 0;
  return Count;
}

BOOST_DATA_TEST_CASE(AnotherLeaderIsThereSoonAfterACrash,
                     boost::unit_test::data::xrange(1, 41), Seed) {
  Cluster Each(Seed);
  const Duration Longest = Each.m_Network.logSettings().m_ElectionTimeoutMax +
                           std::chrono::milliseconds(50);
  Each.m_Network.crash(Each.leader(), true);
  // If two members time out together, the votes may be split, and a second
  // election follows.
  BOOST_CHECK(
      Each.m_Network.run(2 * Longest, [&] { return Each.m_Network.leader(); }));
}

BOOST_AUTO_TEST_CASE(AnIsolatedLeaderStopsAndLosesItsView,
                     *label("promise-2") * label("promise-9")) {
  Cluster Each;
  Each.m_Network.forbidOverlap();
  Host &Old = Each.leader();
  Each.m_Network.isolate(Old.m_Number);
  const std::optional<EntryId> Lost = Each.propose(Old);
  BOOST_REQUIRE(Lost);
  const std::size_t Before = confirmed(Old);
  Each.m_Network.confirm(Old);
  BOOST_REQUIRE(Each.m_Network.run(Long, [&] {
    return Each.m_Network.leader() && Each.m_Network.leader() != &Old;
  }));
  BOOST_CHECK(!Old.leads());
  BOOST_CHECK_EQUAL(confirmed(Old), Before);
  Each.propose(Each.leader());

  // The old leader reconnects after a long time. It must replicate the log of
  // the new leader, drop its own uncommitted entry and not disturb the term.
  Each.m_Network.run(Long);
  const LogTerm Term = Each.leader().m_Log->term();
  Each.m_Network.heal();
  Each.m_Network.run(Long);
  BOOST_CHECK(Each.leader().m_Log->term() == Term);
  BOOST_CHECK(Old.m_State.m_Index == Each.leader().m_State.m_Index);
  BOOST_CHECK(Old.m_Log->log().termAt(Lost->m_Index) != Lost->m_Term);
}

BOOST_AUTO_TEST_CASE(ALostDiskComesBackAsAnotherMember, *label("promise-9")) {
  Cluster Each;
  Host &Lost = Each.follower();
  const VoterId Old = Lost.m_Id;
  Each.m_Network.crash(Lost, true);
  Each.m_Network.replaceDisk(Lost);
  Each.m_Network.start(Lost);
  BOOST_CHECK(Lost.m_Id != Old);
  const std::string Address = std::to_string(Lost.m_Number);
  Each.change([&](ReplicatedLog &Log, Instant Now) {
    return Log.removeMember(Now, Old).has_value();
  });
  Each.change([&](ReplicatedLog &Log, Instant Now) {
    return Log.addMember(Now, Lost.m_Id, Address).has_value();
  });
  Each.change([&](ReplicatedLog &Log, Instant Now) {
    return Log.promoteMember(Now, Lost.m_Id).has_value();
  });
  Each.m_Network.run(Soon);
  BOOST_CHECK(Lost.m_Log->membership().votes(Lost.m_Id));
  BOOST_CHECK(Lost.m_State.m_Index == Each.leader().m_State.m_Index);
}

BOOST_AUTO_TEST_CASE(ALearnerThatIsFarBehindGetsASnapshot,
                     *label("promise-9")) {
  Cluster Each;
  for (int Number = 0; Number < 3; ++Number) {
    Host &Compacted = Each.m_Network.hosts()[Number];
    for (int Entry = 0; Entry < 500; ++Entry)
      Each.m_Network.act(Each.leader(), [&](ReplicatedLog &Log) {
        Log.propose(Each.m_Network.now(), "x");
      });
    Each.m_Network.run(Soon);
    Each.m_Network.act(Compacted, [&](ReplicatedLog &Log) {
      Log.takeSnapshot(Each.m_Network.now(), Compacted.m_State.m_Index,
                       std::to_string(Compacted.m_State.m_Hash));
    });
  }
  BOOST_REQUIRE(Each.leader().m_Log->log().snapshot());
  BOOST_REQUIRE_GT(
      Each.m_Network.hosts()[2].m_Log->log().previous().m_Index.value(), 0);
  // Make the last compacted host the leader, which must send a snapshot instead
  // of the first entries.
  Host &Compacted = Each.m_Network.hosts()[2];
  if (&Each.leader() != &Compacted)
    Each.change([&](ReplicatedLog &Log, Instant Now) {
      return Log.transferLeadership(Now, Compacted.m_Id);
    });
  Each.m_Network.run(Soon);
  BOOST_REQUIRE(&Each.leader() == &Compacted);

  Host &Learner = Each.m_Network.hosts()[3];
  Each.change([&](ReplicatedLog &Log, Instant Now) {
    return Log.addMember(Now, Learner.m_Id, "3").has_value();
  });
  Each.m_Network.run(Soon);
  BOOST_CHECK(Learner.m_Log->log().snapshot());
  BOOST_CHECK(Learner.m_State.m_Index == Compacted.m_State.m_Index);
  // The snapshot survives a crash of the machine.
  const LogChecks::State State = Learner.m_State;
  Each.m_Network.crash(Learner, true);
  Each.m_Network.start(Learner);
  Each.m_Network.run(Soon);
  BOOST_CHECK(Learner.m_State.m_Hash == State.m_Hash);
}

BOOST_AUTO_TEST_CASE(HandsOverWithoutWaitingForATimeout) {
  Cluster Each;
  Host &To = Each.follower();
  Each.change([&](ReplicatedLog &Log, Instant Now) {
    return Log.transferLeadership(Now, To.m_Id);
  });
  BOOST_CHECK(&Each.leader() == &To);
}

BOOST_AUTO_TEST_CASE(ProposalsMadeDuringASyncShareTheNextOne) {
  Cluster Each;
  Each.m_Network.settings().m_MaxSync = std::chrono::milliseconds(1);
  Host &Leader = Each.leader();
  std::size_t Persists = 0;
  for (int Entry = 0; Entry < 100; ++Entry) {
    BOOST_REQUIRE(Leader.m_Log->propose(Each.m_Network.now(), "x"));
    for (const LogAction &Action :
         Leader.m_Log->takeActions(Each.m_Network.now()))
      Persists += std::holds_alternative<PersistLog>(Action) ? 1 : 0;
  }
  BOOST_CHECK_EQUAL(Persists, 1);
}

} // namespace
