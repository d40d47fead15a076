#include "DelegatedFixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

#include <ostream>

namespace ragwortmux::test {

namespace {

using Fixture = DelegatedFixture;

/// The proxies when one of them reports the primary as unreachable.
struct UnreachableCase final {
  const char *m_Name;      ///< Name in messages.
  std::uint64_t m_Serving; ///< Proxies with shares above 0.
  std::uint64_t m_Stopped; ///< Proxies with shares of 0 only.
  bool m_Replaces;         ///< The primary is replaced.
};

constexpr UnreachableCase UnreachableCases[] = {
    {"one of three", 3, 0, true},
    {"one of four", 4, 0, false},
    {"one of three, others stopped serving", 3, 5, true},
    {"one of four, others stopped serving", 4, 5, false},
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(DelegatedGroupTest, Fixture)

BOOST_AUTO_TEST_CASE(AppointsRunningPrimaryFirst) {
  BOOST_TEST(isPrimary(S1));
  BOOST_TEST(m_Promoted.empty());
}

BOOST_AUTO_TEST_CASE(KeepsPrimaryWithAnnouncementsEvery1200Ms) {
  run(30s);
  BOOST_TEST(isPrimary(S1));
  BOOST_TEST((group().m_Term == Term(1)));
}

BOOST_AUTO_TEST_CASE(ReplacesFailedPrimaryByMostAdvancedReplica) {
  m_Servers[S1].m_Answers = false;
  m_Servers[S1].m_Announces = false;
  m_Servers[S3].m_Point.m_Position = LogPosition(150);
  report(ControlSessionId(1), SuspicionKind::ConnectRefused);
  BOOST_TEST((runUntil([&] { return isPrimary(S3); }) < 1500ms));
}

BOOST_AUTO_TEST_CASE(DoesNotWaitForFailedPrimary) {
  m_Servers[S1].m_Answers = false;
  report(ControlSessionId(1), SuspicionKind::ConnectRefused);
  report(ControlSessionId(2), SuspicionKind::ConnectRefused);
  runUntil([&] { return !group().m_Primary.has_value(); });
  const Duration Waited = runUntil([&] { return !m_Promoted.empty(); });
  BOOST_TEST((Waited < settings().m_FenceWait / 2));
}

BOOST_AUTO_TEST_CASE(WaitsForSlowReplicaAfterFailedCall) {
  m_Servers[S1].m_Answers = false;
  m_Servers[S3].m_Answers = false;
  m_Servers[S3].m_Point.m_Position = LogPosition(150);
  report(ControlSessionId(1), SuspicionKind::ConnectRefused);
  report(ControlSessionId(2), SuspicionKind::ConnectRefused);
  runUntil([&] { return !group().m_Primary.has_value(); });
  step();
  m_Servers[S3].m_Answers = true;
  m_Servers[S3].m_IsSlow = true;
  run(100ms);
  answerDelayedCalls(m_Servers[S3]);
  runUntil([&] { return !m_Promoted.empty(); });
  BOOST_TEST((m_Promoted.front() == S3));
}

BOOST_AUTO_TEST_CASE(KeepsPrimaryReportedByOneProxyOnly) {
  for (int Round = 0; Round < 20; ++Round) {
    report(ControlSessionId(1), SuspicionKind::Reset);
    run(100ms);
  }
  BOOST_TEST(isPrimary(S1));
}

BOOST_AUTO_TEST_CASE(ReplacesPrimaryUnreachableForManyProxies) {
  const Instant Start = m_Now;
  while (isPrimary(S1) && m_Now - Start < 5s) {
    report(ControlSessionId(1), SuspicionKind::Silent);
    run(100ms);
  }
  BOOST_TEST((m_Now - Start >= 600ms));
  BOOST_TEST((m_Now - Start < 2s));
}

BOOST_AUTO_TEST_CASE(CountsOnlyServingProxiesAsUnreachableShare) {
  for (const UnreachableCase &Each : UnreachableCases) {
    BOOST_TEST_CONTEXT(Each.m_Name) {
      Fixture Proxies;
      Proxies.setProxies(Each.m_Serving, Each.m_Stopped);
      const Instant Start = Proxies.m_Now;
      while (Proxies.isPrimary(S1) && Proxies.m_Now - Start < 3s) {
        Proxies.report(ControlSessionId(1), SuspicionKind::Silent);
        Proxies.run(100ms);
      }
      BOOST_TEST(Proxies.isPrimary(S1) != Each.m_Replaces);
    }
  }
}

BOOST_AUTO_TEST_CASE(DoesNotPromoteWhileLeaseMayBeValid) {
  m_Confirms = false;
  m_Servers[S1].m_Answers = false;
  report(ControlSessionId(1), SuspicionKind::ConnectRefused);
  run(1s);
  BOOST_TEST(!group().m_Primary.has_value());
  BOOST_TEST(m_Promoted.empty());
  // The leases expire, which ends the sessions.
  run(2s);
  BOOST_TEST(!m_Promoted.empty());
}

BOOST_AUTO_TEST_CASE(ReplacesLeavingPrimaryAfterReplicaCaughtUp) {
  m_Servers[S1].m_Point.m_Position = LogPosition(200);
  m_Servers[S1].m_Leaving = true;
  runUntil([&] { return !group().m_Primary.has_value(); });
  run(200ms);
  BOOST_TEST(m_Promoted.empty());
  m_Servers[S2].m_Point.m_Position = LogPosition(200);
  runUntil([&] { return group().m_Primary.has_value(); });
  BOOST_TEST(isPrimary(S2));
}

BOOST_AUTO_TEST_CASE(PromotesAnotherServerAfterRefusal) {
  m_Servers[S1].m_Answers = false;
  m_Servers[S1].m_Announces = false;
  m_Servers[S2].m_Point.m_Position = LogPosition(150);
  m_Servers[S2].m_RefusesPromotion = true;
  report(ControlSessionId(1), SuspicionKind::ConnectRefused);
  BOOST_TEST((runUntil([&] { return isPrimary(S3); }) < 2s));
}

// Regression: a second promote call was sent to another server while the first
// had no answer, so that a server became primary without being appointed.
// A server that took 1 s to become the primary was abandoned just before, and
// the next one in turn as well: the group stayed without a primary for as long
// as both lived.
BOOST_DATA_TEST_CASE(WaitsForServerThatTakesLongToBecomePrimary,
                     boost::unit_test::data::make({300, 1000, 1500, 3000}),
                     PromotionMs) {
  for (auto &[Id, Server] : m_Servers)
    Server.m_PromotionTime = std::chrono::milliseconds(PromotionMs);
  m_Servers[S1].m_Answers = false;
  m_Servers[S1].m_Announces = false;
  const Duration Waited = runUntil([&] {
    const GroupRecord *Group = m_State.groups().find(TheGroup);
    return Group->m_Primary && Group->m_Primary != S1;
  });
  BOOST_TEST((Waited < std::chrono::milliseconds(PromotionMs) + 7s));
  BOOST_TEST(std::set<ServerId>(m_Promoted.begin(), m_Promoted.end()).size() ==
             1U);
}

// A promoted server that dies before it has become the primary is not waited
// for as long as one that lives.
BOOST_AUTO_TEST_CASE(ReplacesPromotedServerThatDies) {
  for (auto &[Id, Server] : m_Servers)
    Server.m_PromotionTime = 3s;
  m_Servers[S1].m_Answers = false;
  m_Servers[S1].m_Announces = false;
  runUntil([&] { return !m_Promoted.empty(); });
  const ServerId First = m_Promoted.front();
  run(100ms);
  m_Servers[First].m_Answers = false;
  m_Servers[First].m_Announces = false;
  m_Servers[First].m_PromotionDoneAt.reset();
  const ServerId Other = First == S2 ? S3 : S2;
  const Duration Waited = runUntil([&] { return m_Promoted.back() == Other; });
  BOOST_TEST((Waited < 3s));
}

BOOST_AUTO_TEST_CASE(PromotesOneServerAtATime) {
  m_LosesPromotionAnswers = true;
  m_Servers[S1].m_Answers = false;
  m_Servers[S1].m_Announces = false;
  report(ControlSessionId(1), SuspicionKind::ConnectRefused);
  report(ControlSessionId(2), SuspicionKind::ConnectRefused);
  runUntil([&] { return !m_Promoted.empty(); });
  const ServerId First = m_Promoted.front();
  const ServerId Other = First == S2 ? S3 : S2;
  m_Servers[Other].m_Point.m_Position = LogPosition(500);
  m_Servers[First].m_PromotionTime = 10s;
  m_Servers[First].m_PromotionDoneAt.reset();
  run(900ms);
  for (const ServerId &Server : m_Promoted)
    BOOST_TEST((Server == First));
  // The promotion is abandoned, but not before its time-out has passed.
  const Duration Waited = runUntil([&] { return m_Promoted.back() == Other; });
  BOOST_TEST((Waited >= 1s));
  BOOST_TEST((Waited < 5s));
}

// Regression: after a power loss a primary had no free connection for the
// position call and was replaced although it was healthy.
BOOST_AUTO_TEST_CASE(KeepsPrimaryWithoutFreeConnections) {
  m_Servers[S1].m_IsFull = true;
  for (int Round = 0; Round < 5; ++Round) {
    report(ControlSessionId(1), SuspicionKind::ConnectRefused);
    run(100ms);
  }
  BOOST_TEST(isPrimary(S1));
}

BOOST_AUTO_TEST_CASE(NewLeaderWaitsForPromotionsInFlight) {
  apply(EndTerm{TheGroup, Term(2)});
  m_Leader.lostLeadership(m_Now);
  m_Leader.becameLeader(m_Now);
  run(1400ms);
  BOOST_TEST(m_Promoted.empty());
  run(1s);
  BOOST_TEST(!m_Promoted.empty());
}

// Guards against two primaries: the successor of a primary that is cut off
// crashes, and the old primary, which still believes that it leads, was
// appointed before the order had taken effect.
BOOST_AUTO_TEST_CASE(OldPrimaryIsNotAppointedBeforeItsPromotion) {
  m_Servers[S2].m_Point.m_Position = LogPosition(150);
  apply(EndTerm{TheGroup, Term(2)});
  runUntil([&] { return isPrimary(S2); });
  // S1 has not learned of it.
  m_Servers[S1].m_Role = BackendRole::Primary;
  m_Servers[S1].m_Term = Term(7);
  m_Servers[S2].m_Answers = false;
  m_Servers[S2].m_Announces = false;
  m_Servers[S3].m_Answers = false;
  m_Servers[S3].m_Announces = false;
  apply(EndTerm{TheGroup, Term(3)});
  runUntil([&] { return m_Promoted.back() == S1; });
  run(m_Servers[S1].m_PromotionTime - 50ms);
  BOOST_TEST(!group().m_Primary.has_value());
  BOOST_TEST((runUntil([&] { return isPrimary(S1); }) < 200ms));
  BOOST_TEST((group().m_ServerTerm == Term(9)));
}

// Guards against a comparison with an answer from before an order that took
// effect unnoticed: its server was then appointed although another one had been
// promoted since.
BOOST_AUTO_TEST_CASE(AnswerFromBeforeEarlierOrderIsNoBase) {
  m_LosesPromotionAnswers = true;
  m_Servers[S1].m_Answers = false;
  m_Servers[S1].m_Announces = false;
  m_Servers[S2].m_Point.m_Position = LogPosition(150);
  apply(EndTerm{TheGroup, Term(2)});
  runUntil([&] { return !m_Promoted.empty(); });
  m_Servers[S2].m_Answers = false;
  runUntil([&] { return m_Promoted.back() == S3; });
  m_Servers[S3].m_Answers = false;
  m_Servers[S3].m_Announces = false;
  run(settings().m_PromoteTimeout + settings().m_PromotionInFlight + 100ms);
  BOOST_TEST((m_Servers[S3].m_Term == Term(9)));
  // S2 has led term 8 since the first order and has not learned of S3.
  m_Servers[S2].m_Role = BackendRole::Primary;
  m_Servers[S2].m_Term = Term(8);
  m_Servers[S2].m_Answers = true;
  runUntil([&] { return isPrimary(S2); });
  BOOST_TEST((group().m_ServerTerm == Term(10)));
}

// A server whose promotion the previous leader has ordered is appointed at
// once, although the order to it changes nothing any more.
BOOST_AUTO_TEST_CASE(NewLeaderAppointsServerThatWasPromotedMeanwhile) {
  m_Servers[S1].m_Answers = false;
  m_Servers[S1].m_Announces = false;
  m_Servers[S2].m_Point.m_Position = LogPosition(150);
  apply(EndTerm{TheGroup, Term(2)});
  runUntil([&] { return !m_Promoted.empty(); });
  m_Leader.lostLeadership(m_Now);
  run(400ms);
  BOOST_TEST((m_Servers[S2].m_Role == BackendRole::Primary));
  m_Leader.becameLeader(m_Now);
  BOOST_TEST((runUntil([&] { return isPrimary(S2); }) <
              settings().m_PromotionInFlight + 500ms));
}

// Guards against a first primary that another server has replaced before this
// control log knew the group.
BOOST_AUTO_TEST_CASE(FirstPrimaryIsThatOfNewestTerm) {
  m_Leader.lostLeadership(m_Now);
  m_State.importData(ControlState().exportData());
  for (std::uint64_t Proxy = 1; Proxy <= m_Proxies; ++Proxy)
    openProxy(Proxy);
  apply(ReplaceCatalogue{
      CatalogueVersion(1), "{}", {}, {{TheGroup, 30, m_SyncReplicas}}, {}});
  m_Servers[S2].m_Role = BackendRole::Primary;
  m_Servers[S2].m_Term = Term(8);
  m_Leader.becameLeader(m_Now);
  run(3s);
  BOOST_TEST(isPrimary(S2));
}

BOOST_AUTO_TEST_CASE(IgnoresOutdatedAnnouncement) {
  ServerAnnouncement Late = announcementOf(S1);
  Late.m_Leaving = true;
  Late.m_Incarnation = 1;
  Late.m_Sequence = 1;
  m_Leader.announcementReceived(Late, m_Now);
  run(500ms);
  BOOST_TEST(!group().m_Servers.at(S1).m_Leaving);
}

BOOST_AUTO_TEST_CASE(EndedServerGetsNoRequests) {
  ServerAnnouncement Ended;
  Ended.m_Server = S2;
  Ended.m_HasEnded = true;
  m_Leader.announcementReceived(Ended, m_Now);
  takeActions();
  BOOST_TEST(!group().m_Servers.at(S2).m_Announced);
  BOOST_TEST(group().m_Servers.at(S2).m_Leaving);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a shortage of connections when all entry hosts restart at
// once: the shares of the sessions of their earlier runs must be free before
// those leases expire.

BOOST_FIXTURE_TEST_CASE(RestartedHostEndsSessionOfEarlierRun, Fixture) {
  const std::uint32_t Before =
      m_State.shares().share(TheGroup, S1, ControlSessionId(1));
  BOOST_TEST(Before > 0U);
  const auto Open = [&](std::uint64_t Run) {
    const OpenSession Command{HostId("h1"), Incarnation(Run),
                              FailureDomainId("z"), "10.0.0.1", 1};
    ControlResult Result = m_State.apply(Command);
    m_Leader.applied(Command, Result, m_Now);
    return Result;
  };
  BOOST_TEST((Open(2).m_EndedSession == ControlSessionId(1)));
  BOOST_TEST(m_State.sessions().find(ControlSessionId(1)) == nullptr);
  BOOST_TEST(m_State.shares().share(TheGroup, S1, ControlSessionId(1)) == 0U);
  // A late OpenSession of the earlier run must not end the new session.
  BOOST_TEST(!Open(1).ok());
  // It gets a share once a renewal has said that it serves the group.
  run(600ms);
  BOOST_TEST(!m_State.shares().holds(TheGroup, ControlSessionId(3)));
  renew(ControlSessionId(3));
  run(600ms);
  BOOST_TEST(m_State.shares().share(TheGroup, S1, ControlSessionId(3)) > 0U);
}

// Guards against a shortage of connections after all hosts lose power: the
// servers still count the lost connections, so the unused rest must be enough
// for the restarted hosts.

namespace {
struct ReserveFixture : Fixture {
  ReserveFixture() : DelegatedFixture(reserving()) {}
  static ControlLeaderSettings reserving() {
    ControlLeaderSettings Settings = settings();
    Settings.m_ShareReservePercent = 50;
    return Settings;
  }
};
} // namespace

BOOST_FIXTURE_TEST_CASE(ReservesHalfOfConnectionsForRestarts, ReserveFixture) {
  const std::uint32_t Budget = m_State.shares().budget(30);
  std::uint32_t Shared = 0;
  for (const std::uint64_t Session : {1U, 2U})
    Shared += m_State.shares().share(TheGroup, S1, ControlSessionId(Session));
  BOOST_TEST(Shared >= 4U);
  BOOST_TEST(Shared * 2 <= Budget + 1);
}

// Most hosts lose contact with control, so that all callers use the few
// remaining hosts, which then need the connections of the others.

namespace {
struct FewHostsFixture : Fixture {
  FewHostsFixture() : DelegatedFixture(withCeiling()) {}
  static ControlLeaderSettings withCeiling() {
    ControlLeaderSettings Settings = settings();
    Settings.m_ShareCeiling = 5;
    Settings.m_ShareReservePercent = 25;
    return Settings;
  }
  std::uint32_t share(std::uint64_t Session) const {
    return m_State.shares().share(TheGroup, S1, ControlSessionId(Session));
  }
};
} // namespace

BOOST_FIXTURE_TEST_CASE(RemainingHostsGetConnectionsOfLostHosts,
                        FewHostsFixture) {
  // Each has half of the connections that are not reserved.
  const std::uint32_t Half = share(1);
  BOOST_TEST(Half == share(2));
  BOOST_TEST(Half > withCeiling().m_ShareCeiling);
  apply(EndSession{ControlSessionId(2)});
  // A session that reports no demand keeps its share.
  run(2s);
  BOOST_TEST(share(1) == Half);
  m_Demands[1] = {{TheGroup, S1, 16}};
  run(2s);
  BOOST_TEST(share(1) >= 16U);
  // Its share stays until other sessions need the connections.
  m_Demands[1] = {};
  run(2s);
  BOOST_TEST(share(1) >= 16U);
}

// A primary stops answering. Proxies notice it by unanswered statements, long
// before their new connections time out.

BOOST_FIXTURE_TEST_CASE(SlowAnswerReportOnlyTriggersPositionCall, Fixture) {
  // The server answers the position call: nothing happens, however many proxies
  // report a delay.
  for (const std::uint64_t Session : {1U, 2U})
    report(ControlSessionId(Session), SuspicionKind::SlowAnswer);
  run(2s);
  BOOST_TEST(isPrimary(S1));
  // It does not answer: the position call has already failed when the evidence
  // arrives.
  m_Servers[S1].m_Answers = false;
  report(ControlSessionId(1), SuspicionKind::SlowAnswer);
  run(600ms);
  BOOST_TEST(isPrimary(S1));
  for (const std::uint64_t Session : {1U, 2U})
    report(ControlSessionId(Session), SuspicionKind::Silent);
  // A later SlowAnswer report does not replace the evidence.
  report(ControlSessionId(1), SuspicionKind::SlowAnswer);
  run(100ms);
  BOOST_TEST(!isPrimary(S1));
}

// Replacement of the whole catalogue.

BOOST_AUTO_TEST_CASE(KeepsHighestCatalogueVersion) {
  ControlState State;
  const auto Replace = [&](std::uint64_t Version, const char *Document,
                           const std::vector<const char *> &Names) {
    ReplaceCatalogue Command;
    Command.m_Version = CatalogueVersion(Version);
    Command.m_Document = Document;
    for (const char *Name : Names) {
      CatalogueEntry Entry;
      Entry.m_Name = EntryName(Name);
      Entry.m_Group = TheGroup;
      Command.m_Entries.push_back(Entry);
    }
    return State.apply(Command);
  };
  BOOST_TEST(Replace(5, "five", {"a", "b"}).ok());
  const Revision First = State.catalogue().revision();
  // The same again, an older version, and other content for the same version.
  BOOST_TEST(Replace(5, "five", {"a", "b"}).ok());
  BOOST_TEST(Replace(4, "four", {"x"}).ok());
  BOOST_TEST(Replace(5, "other", {"y"}).ok());
  BOOST_TEST((State.catalogue().revision() == First));
  BOOST_TEST(State.catalogue().document() == "five");
  BOOST_TEST(Replace(9, "nine", {"b", "c"}).ok());
  const CatalogueDelta Delta = State.catalogue().deltaSince(First);
  BOOST_TEST(Delta.m_Items.size() == 1U); // b has not changed
  BOOST_TEST(Delta.m_Deletions.size() == 1U);
  ControlState Copy;
  Copy.importData(State.exportData());
  BOOST_TEST(Copy.catalogue().document() == "nine");
  BOOST_TEST((Copy.catalogue().version() == CatalogueVersion(9)));
}

} // namespace ragwortmux::test
