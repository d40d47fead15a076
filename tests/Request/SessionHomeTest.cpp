#include "ragwortmux/Connection/SessionHome.h"
#include "ragwortmux/Connection/ChooseHomes.h"
#include "ragwortmux/Connection/StableHash.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

namespace ragwortmux {

namespace {

const GroupId Group("g");
const Revision Homes(1);
const SessionName Clerk("clerk");

LogPoint at(std::uint64_t InTerm, std::uint64_t Position) {
  return {Term(InTerm), LogPosition(Position)};
}

bool keepsAll(const SessionName & /*Session*/) { return true; }

/// A session home at revision 1.
SessionHome makeHome(std::size_t MaxSessions = 100,
                     std::uint64_t Incarnation = 1) {
  SessionHome Home(SessionHomeSettings{Incarnation, MaxSessions});
  Home.setHomes(Homes, keepsAll);
  return Home;
}

BOOST_AUTO_TEST_SUITE(SessionHomes, *boost::unit_test::label("promise-1"))

BOOST_AUTO_TEST_CASE(NewerPointIsNotOverwritten) {
  SessionHome Home = makeHome();
  Home.store(Clerk, Group, at(1, 10), Homes);
  Home.store(Clerk, Group, at(1, 9), Homes);
  BOOST_TEST((Home.find(Clerk, Group, Homes).m_Point == at(1, 10)));
  // The point of a later term also covers the earlier term's position.
  Home.store(Clerk, Group, at(2, 9), Homes);
  BOOST_TEST((Home.find(Clerk, Group, Homes).m_Point == at(2, 10)));
  BOOST_TEST(!Home.find(Clerk, GroupId("h"), Homes).m_Point);
}

BOOST_AUTO_TEST_CASE(EvictedSessionIsUnknown) {
  SessionHome Home = makeHome(2);
  Home.store(Clerk, Group, at(1, 10), Homes);
  Home.store(SessionName("b"), Group, at(1, 11), Homes);
  Home.find(Clerk, Group, Homes);
  Home.store(SessionName("c"), Group, at(1, 12), Homes);
  BOOST_TEST(Home.size() == 2U);
  BOOST_TEST(Home.find(Clerk, Group, Homes).m_Point.has_value());
  BOOST_TEST(!Home.find(SessionName("b"), Group, Homes).m_Point);
}

BOOST_AUTO_TEST_CASE(EarlierReadDoesNotReplaceLostWrite) {
  // A lookup finds the session unknown; then a write is stored and lost again,
  // by eviction or by a restart of the process. The point of the earlier read
  // must not replace that of the write.
  for (const bool Restarts : {false, true}) {
    SessionHome Home = makeHome(1);
    const SessionTicket Ticket = Home.find(Clerk, Group, Homes).m_Ticket;
    Home.store(Clerk, Group, at(1, 20), Homes);
    if (Restarts)
      Home = makeHome(1, 2);
    else
      Home.store(SessionName("b"), Group, at(1, 21), Homes);
    BOOST_TEST(!Home.storeIfNotRemoved(Clerk, Group, at(1, 10), Homes, Ticket));
    BOOST_TEST(!Home.find(Clerk, Group, Homes).m_Point);
  }
  SessionHome Home = makeHome(1);
  const SessionTicket Ticket = Home.find(Clerk, Group, Homes).m_Ticket;
  BOOST_TEST(Home.storeIfNotRemoved(Clerk, Group, at(1, 10), Homes, Ticket));
}

BOOST_AUTO_TEST_CASE(ChangeOfHomesRemovesSessionsOfOtherHomes) {
  const auto KeepsNone = [](const SessionName &) { return false; };
  SessionHome Home = makeHome();
  Home.store(Clerk, Group, at(1, 10), Homes);
  Home.setHomes(Revision(2), keepsAll);
  BOOST_TEST(Home.find(Clerk, Group, Revision(2)).m_Point.has_value());
  Home.setHomes(Revision(3), KeepsNone);
  Home.setHomes(Revision(4), keepsAll);
  BOOST_TEST(!Home.find(Clerk, Group, Revision(4)).m_Point);
  // In a revision that was missed this host may not have been a home.
  Home.store(Clerk, Group, at(1, 10), Revision(4));
  Home.setHomes(Revision(6), keepsAll);
  BOOST_TEST(!Home.find(Clerk, Group, Revision(6)).m_Point);
}

BOOST_AUTO_TEST_CASE(CallersWithDistantRevisionAreRefused) {
  SessionHome Home = makeHome();
  Home.setHomes(Revision(2), keepsAll);
  Home.setHomes(Revision(3), keepsAll);
  for (const std::uint64_t CallerRevision : {1, 2, 3, 4, 5}) {
    const bool Near = CallerRevision >= 2 && CallerRevision <= 4;
    BOOST_TEST(Home.store(Clerk, Group, at(1, 10), Revision(CallerRevision)) ==
               Near);
    BOOST_TEST(
        Home.find(Clerk, Group, Revision(CallerRevision)).m_Point.has_value() ==
        Near);
  }
}

BOOST_AUTO_TEST_CASE(AnswersOfBothHomesAreRequired) {
  using Answer = std::optional<SessionLookup>;
  const Answer Known9 = SessionLookup{at(1, 9), {}};
  const Answer Known10 = SessionLookup{at(1, 10), {}};
  const Answer Unknown = SessionLookup{};
  const Answer Silent;
  const struct {
    std::vector<Answer> m_Answers;
    std::optional<LogPoint> m_Point;
  } Cases[] = {
      {{Known9, Known10}, at(1, 10)},
      {{Known9, Unknown}, std::nullopt},
      {{Known9, Silent}, std::nullopt},
      {{Known9}, at(1, 9)},
      {{}, std::nullopt},
  };
  for (const auto &Case : Cases)
    BOOST_TEST((SessionHome::combine(Case.m_Answers) == Case.m_Point));
}

BOOST_AUTO_TEST_CASE(HomesAreTwoHostsInTwoDomains) {
  std::vector<HomeCandidate> Hosts;
  Hosts.reserve(9);
  for (int Index = 0; Index < 9; ++Index)
    Hosts.push_back({HostId("host" + std::to_string(Index)),
                     FailureDomainId("domain" + std::to_string(Index % 3))});
  const std::vector<HomeCandidate> Fewer(Hosts.begin(), Hosts.end() - 1);
  std::map<HostId, int> Load;
  int Moved = 0;
  for (int Index = 0; Index < 900; ++Index) {
    const SessionName Session("session" + std::to_string(Index));
    const std::vector<HostId> Chosen = chooseHomes(Session, Hosts);
    BOOST_REQUIRE(Chosen.size() == 2);
    BOOST_TEST(Chosen[0].value().back() % 3 != Chosen[1].value().back() % 3);
    ++Load[Chosen[0]];
    const bool HadRemovedHost =
        Chosen[0] == Hosts.back().m_Host || Chosen[1] == Hosts.back().m_Host;
    if (chooseHomes(Session, Fewer) != Chosen) {
      BOOST_TEST(HadRemovedHost);
      ++Moved;
    }
  }
  for (const auto &[Host, Count] : Load)
    BOOST_TEST((Count > 60 && Count < 140)); // 100 each on average
  BOOST_TEST((Moved > 0 && Moved < 300));
  // The hash must be the same on all hosts and in all versions.
  BOOST_TEST(stableHash("host", "session") == 10653066383396648528ULL);
}

BOOST_AUTO_TEST_CASE(FewHostsAreAllChosen) {
  const HomeCandidate Hosts[] = {{HostId("a"), FailureDomainId("d")},
                                 {HostId("b"), FailureDomainId("d")}};
  BOOST_TEST(chooseHomes(Clerk, {}).empty());
  BOOST_TEST(chooseHomes(Clerk, std::span(Hosts, 1)).size() == 1U);
  BOOST_TEST(chooseHomes(Clerk, Hosts).size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace

} // namespace ragwortmux
