#include "DelegatedFixture.h"

#include <array>
#include <random>
#include <set>

namespace ragwortmux::test {

namespace {

/// Long enough for a silent server to count as unannounced several times over.
constexpr auto LongSilence = 15s;

/// A group whose primary S1 waits for one replica before it acknowledges a
/// commit.
struct SynchronousFixture : DelegatedFixture {
  SynchronousFixture() {
    apply(ReplaceCatalogue{CatalogueVersion(2), "{}", {}, {{TheGroup, 30, 1}}});
  }

  void stop(const ServerId &Server) {
    m_Servers[Server].m_Answers = false;
    m_Servers[Server].m_Announces = false;
  }
  void start(const ServerId &Server) {
    m_Servers[Server].m_Answers = true;
    m_Servers[Server].m_Announces = true;
  }
  void setPositions(std::uint64_t First, std::uint64_t Second,
                    std::uint64_t Third) {
    m_Servers[S1].m_Point.m_Position = LogPosition(First);
    m_Servers[S2].m_Point.m_Position = LogPosition(Second);
    m_Servers[S3].m_Point.m_Position = LogPosition(Third);
  }
  /// Reports the primary as unreachable by both proxies.
  void reportPrimary() {
    report(ControlSessionId(1), SuspicionKind::ConnectRefused);
    report(ControlSessionId(2), SuspicionKind::ConnectRefused);
  }
  void changeLeader() {
    m_Leader.lostLeadership(m_Now);
    m_Leader.becameLeader(m_Now);
  }
};

/// A synchronous group whose servers crash, fall silent and receive nothing at
/// random, while its primary commits whenever one of its replicas receives.
struct CommittingFixture : SynchronousFixture {
  explicit CommittingFixture(unsigned Seed) : m_Random(Seed) {}

  /// True with a probability of one in \p Count.
  bool oneIn(unsigned Count) { return m_Random() % Count == 0; }

  void commit() {
    const auto Primary = group().m_Primary;
    if (!Primary || m_Crashed.contains(*Primary) ||
        m_Servers[*Primary].m_Role != BackendRole::Primary)
      return;
    LogPoint &Newest = m_Servers[*Primary].m_Point;
    Newest.m_Position = LogPosition(Newest.m_Position.value() + 1);
    for (auto &[Id, Server] : m_Servers) {
      if (Id == *Primary || m_Crashed.contains(Id) || m_Deaf.contains(Id))
        continue;
      Server.m_Point = Newest;
      m_Acknowledged = Newest.m_Position;
    }
  }

  void disturb() {
    for (const ServerId &Server : {S1, S2, S3}) {
      for (std::set<ServerId> *Affected : {&m_Crashed, &m_Cut, &m_Deaf}) {
        const bool IsAffected = Affected->contains(Server);
        if (IsAffected && oneIn(60))
          Affected->erase(Server);
        else if (!IsAffected && oneIn(200))
          Affected->insert(Server);
      }
      if (m_Crashed.contains(Server) || m_Cut.contains(Server))
        stop(Server);
      else
        start(Server);
    }
    if (group().m_Primary && oneIn(40))
      reportPrimary();
    if (oneIn(400))
      changeLeader();
  }

  void checkPromotions() {
    for (const ServerId &Server : std::exchange(m_Promoted, {})) {
      ++m_Promotions;
      BOOST_TEST(m_Servers[Server].m_Point.m_Position.value() >=
                 m_Acknowledged.value());
    }
  }

  std::mt19937 m_Random;
  std::set<ServerId> m_Crashed; ///< They do nothing.
  std::set<ServerId> m_Cut;     ///< Only the control leader cannot reach them.
  std::set<ServerId> m_Deaf;    ///< They receive nothing from the primary.
  LogPosition m_Acknowledged;   ///< Highest acknowledged position.
  std::size_t m_Promotions = 0; ///< Promote calls so far.
};

/// What has become of a server when the primary fails.
enum class ServerFate {
  Runs,     ///< It announces itself and answers calls.
  CutOff,   ///< Neither its announcements nor its answers reach the leader.
  Unheard,  ///< It answers calls, but its announcements do not arrive.
  Unasked,  ///< It announces itself, but calls do not reach it.
  Ended,    ///< It has deregistered.
  Refusing, ///< It runs and refuses to be promoted.
};

/// One row: the servers after the failure, and who may be promoted.
struct PromotionCase final {
  const char *m_Name;                       ///< Name in messages.
  std::array<ServerFate, 3> m_Fates;        ///< Fates of S1, S2 and S3.
  std::array<std::uint64_t, 3> m_Positions; ///< Their positions.
  std::optional<ServerId> m_Primary;        ///< The next primary, if any.
};

const PromotionCase PromotionCases[] = {
    {"both replicas answer",
     {ServerFate::CutOff, ServerFate::Runs, ServerFate::Runs},
     {150, 150, 100},
     S2},
    {"the only replica with the commits is cut off",
     {ServerFate::CutOff, ServerFate::CutOff, ServerFate::Runs},
     {150, 150, 100},
     std::nullopt},
    {"the only replica with the commits cannot be asked",
     {ServerFate::CutOff, ServerFate::Unasked, ServerFate::Runs},
     {150, 150, 100},
     std::nullopt},
    {"the only replica with the commits falls silent but answers",
     {ServerFate::CutOff, ServerFate::Unheard, ServerFate::Runs},
     {150, 150, 100},
     S2},
    {"a replica behind the other is not heard",
     {ServerFate::CutOff, ServerFate::Unheard, ServerFate::Runs},
     {150, 100, 150},
     S3},
    {"the only replica with the commits refuses",
     {ServerFate::CutOff, ServerFate::Refusing, ServerFate::Runs},
     {150, 150, 100},
     std::nullopt},
    {"a replica as far as the one that refuses",
     {ServerFate::CutOff, ServerFate::Refusing, ServerFate::Runs},
     {150, 150, 150},
     S3},
    {"the primary has ended and the other replica is cut off",
     {ServerFate::Ended, ServerFate::CutOff, ServerFate::Runs},
     {150, 150, 100},
     std::nullopt},
    {"a replica has ended",
     {ServerFate::CutOff, ServerFate::Ended, ServerFate::Runs},
     {150, 100, 150},
     S3},
    {"the primary answers and a replica is cut off",
     {ServerFate::Runs, ServerFate::CutOff, ServerFate::Runs},
     {150, 150, 100},
     S1},
    {"the primary answers and the other replica has everything",
     {ServerFate::Runs, ServerFate::CutOff, ServerFate::Runs},
     {150, 100, 150},
     S3},
};

void apply(ServerFate Fate, DelegatedServer &Server) {
  Server.m_Answers = Fate != ServerFate::CutOff &&
                     Fate != ServerFate::Unasked && Fate != ServerFate::Ended;
  Server.m_Announces =
      Fate != ServerFate::CutOff && Fate != ServerFate::Unheard;
  Server.m_HasEnded = Fate == ServerFate::Ended;
  Server.m_RefusesPromotion = Fate == ServerFate::Refusing;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(SynchronousGroupTest, SynchronousFixture)

// Guards against acknowledged commits that vanish: a quorum of the servers that
// were heard at the moment, instead of those that may hold a commit, promoted a
// replica without them.
BOOST_AUTO_TEST_CASE(PromotesOnlyServersWithAllAcknowledgedCommits) {
  for (const PromotionCase &Each : PromotionCases) {
    BOOST_TEST_CONTEXT(Each.m_Name) {
      SynchronousFixture Group;
      Group.setPositions(Each.m_Positions[0], Each.m_Positions[1],
                         Each.m_Positions[2]);
      for (std::size_t Index = 0; Index < Each.m_Fates.size(); ++Index)
        test::apply(Each.m_Fates[Index],
                    Group.m_Servers[std::array{S1, S2, S3}[Index]]);
      Group.announce();
      Group.apply(EndTerm{TheGroup, Term(2)});
      Group.run(LongSilence);
      BOOST_TEST((Group.group().m_Primary == Each.m_Primary));
    }
  }
}

BOOST_AUTO_TEST_CASE(PromotesReplicaWithCommitsOnceItIsBack) {
  setPositions(150, 150, 100);
  stop(S1);
  stop(S2);
  reportPrimary();
  run(LongSilence);
  BOOST_TEST(m_Promoted.empty());
  start(S2);
  BOOST_TEST((runUntil([&] { return isPrimary(S2); }) < 3s));
}

BOOST_AUTO_TEST_CASE(PrimaryThatIsBackStandsInForSilentReplica) {
  setPositions(150, 150, 100);
  stop(S1);
  stop(S2);
  reportPrimary();
  run(LongSilence);
  BOOST_TEST(!group().m_Primary.has_value());
  start(S1);
  BOOST_TEST((runUntil([&] { return isPrimary(S1); }) < 3s));
}

// A new leader has heard no server yet; it counts those of the record.
BOOST_AUTO_TEST_CASE(NewLeaderCountsServersThatItHasNotHeard) {
  setPositions(150, 150, 100);
  stop(S1);
  stop(S2);
  reportPrimary();
  run(1s);
  changeLeader();
  run(LongSilence);
  BOOST_TEST(m_Promoted.empty());
}

// That a server has ended outlives the leader that was told so.
BOOST_AUTO_TEST_CASE(NewLeaderKnowsEndedServers) {
  setPositions(150, 100, 150);
  m_Servers[S2].m_HasEnded = true;
  announce();
  stop(S2);
  run(1s);
  changeLeader();
  stop(S1);
  reportPrimary();
  BOOST_TEST((runUntil([&] { return isPrimary(S3); }) < 8s));
}

// The failed primary may have more than it has acknowledged; the replicas are
// not measured by an answer that it gave before it died.
BOOST_AUTO_TEST_CASE(AnswerOfPrimaryThatDiedDoesNotDelayChange) {
  setPositions(152, 150, 150);
  m_Servers[S2].m_IsSlow = true;
  m_Servers[S3].m_IsSlow = true;
  apply(EndTerm{TheGroup, Term(2)});
  run(200ms);
  stop(S1);
  answerDelayedCalls(m_Servers[S2]);
  m_Servers[S3].m_IsSlow = false;
  BOOST_TEST((runUntil([&] { return group().m_Primary.has_value(); }) < 8s));
}

BOOST_AUTO_TEST_CASE(RandomFaultsLoseNoAcknowledgedCommit) {
  constexpr unsigned Seeds = 40;
  constexpr auto Length = 90s;
  std::size_t Promotions = 0;
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
    BOOST_TEST_CONTEXT("seed " << Seed) {
      CommittingFixture Run(Seed);
      for (const Instant End = Run.m_Now + Length; Run.m_Now < End;) {
        Run.disturb();
        Run.commit();
        Run.run(50ms);
        Run.checkPromotions();
      }
      Promotions += Run.m_Promotions;
    }
  }
  // The runs are no proof unless primaries were replaced.
  BOOST_TEST(Promotions > 2 * Seeds);
}

BOOST_AUTO_TEST_CASE(DoesNotPromoteReplicaThatMayLackCommits) {
  m_Servers[S1].m_Answers = false;
  m_Servers[S3].m_Answers = false;
  m_Servers[S3].m_Point.m_Position = LogPosition(150);
  report(ControlSessionId(1), SuspicionKind::ConnectRefused);
  run(3s);
  BOOST_TEST(m_Promoted.empty());
  m_Servers[S3].m_Answers = true;
  BOOST_TEST((runUntil([&] { return isPrimary(S3); }) < 2s));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ragwortmux::test
