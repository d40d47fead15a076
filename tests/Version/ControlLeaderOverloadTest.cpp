#include "FleetHarness.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

#include <set>
#include <string>
#include <vector>

using namespace ragwortmux;

namespace ragwortmux::test {

static std::ostream &operator<<(std::ostream &Stream, const FleetSize &Size) {
  return Stream << Size.m_Hosts << " hosts, " << Size.m_Groups << " groups";
}

} // namespace ragwortmux::test

using namespace ragwortmux::test;

namespace {

/// The sizes of the deployments.
const std::vector<FleetSize> Sizes = {{67, 3, 8, 60}, {195, 5, 20, 144}};

/// Traffic starts this long after the hosts do.
constexpr Duration TrafficStart = 14s;
/// Time that the sessions have to open, as seen on the grown deployments.
constexpr Duration OpeningTime = 100ms;

} // namespace

BOOST_AUTO_TEST_SUITE(ControlLeaderOverload)

// The harness fails as soon as the leader exceeds its share of a core, or
// control fills the link of an entry host.
BOOST_DATA_TEST_CASE(OpeningSessionsOfManyHostsKeepsWorkBounded,
                     boost::unit_test::data::make(Sizes), Size) {
  FleetHarness Fleet{Size};
  Fleet.openAll(OpeningTime);
  const Duration Taken =
      Fleet.runUntil([&] { return Fleet.isServing(); }, TrafficStart);
  const std::size_t Pushes = Fleet.counts().m_Pushes;
  Fleet.run(2s);
  // Nothing changes any more, so nothing is pushed.
  const std::size_t Settled = Fleet.counts().m_Pushes;
  Fleet.run(1s);
  BOOST_TEST(Fleet.counts().m_Pushes == Settled);
  const FleetCounts &Counts = Fleet.counts();
  BOOST_TEST_MESSAGE("serving after "
                     << Taken.count() << " us; " << Counts.m_Events
                     << " events, " << Pushes << " pushes then and "
                     << Counts.m_Pushes << " later, " << Counts.m_Confirmations
                     << " confirmations, " << Counts.m_Renewals << " renewals, "
                     << Counts.m_Proposals << " proposals, " << Counts.m_Bytes
                     << " bytes, " << Counts.m_Processor.count()
                     << " us of processor time, at most "
                     << Fleet.largestBusyTime().count()
                     << " us within the quorum check timeout");
}

// A list with one host alone made every host change its list 2 s later, and
// with it the groups that it serves.
BOOST_DATA_TEST_CASE(FirstSessionHomesNameAllHostsThatStartTogether,
                     boost::unit_test::data::make(Sizes), Size) {
  FleetHarness Fleet{Size};
  Fleet.openAll(OpeningTime);
  const Duration Taken = Fleet.runUntil(
      [&] { return !Fleet.state().homes().m_Active.empty(); }, TrafficStart);
  BOOST_TEST(Fleet.state().homes().m_Active.size() == Size.m_Hosts);
  BOOST_TEST((Taken <= OpeningTime + 500ms));
}

// The renewals tell a new leader what the sessions have. Pushing everything to
// everyone made it step down like the leader before it.
BOOST_DATA_TEST_CASE(NewLeaderPushesNothingThatSessionsHave,
                     boost::unit_test::data::make(Sizes), Size) {
  FleetHarness Fleet{Size};
  Fleet.openAll(OpeningTime);
  Fleet.runUntil([&] { return Fleet.isServing(); }, TrafficStart);
  Fleet.run(2s);
  const FleetCounts Before = Fleet.counts();
  Fleet.changeLeader();
  for (Duration Passed{0}; Passed < 2s; Passed += 100ms) {
    Fleet.run(100ms);
    BOOST_TEST(Fleet.isServing());
  }
  BOOST_TEST(Fleet.counts().m_Pushes == Before.m_Pushes);
  BOOST_TEST(Fleet.state().sessions().size() == Size.m_Hosts);
  BOOST_TEST_MESSAGE(Fleet.counts().m_Proposals - Before.m_Proposals
                     << " proposals, "
                     << Fleet.counts().m_Renewals - Before.m_Renewals
                     << " renewals, " << Fleet.counts().m_Bytes - Before.m_Bytes
                     << " bytes in 2 s");
}

// Hosts that are back before the list of session homes has changed must serve
// the groups of that list and no others, or all of them take part in all groups
// again, as before the set of a group's hosts was bounded.
BOOST_DATA_TEST_CASE(RestartOfAllHostsKeepsParticipantsBounded,
                     boost::unit_test::data::make(Sizes), Size) {
  for (const Duration Down : {500ms, 2000ms}) {
    BOOST_TEST_CONTEXT("down for " << Down.count() << " us") {
      FleetHarness Fleet{Size};
      Fleet.openAll(OpeningTime);
      Fleet.runUntil([&] { return Fleet.isServing(); }, TrafficStart);
      Fleet.run(2s);
      std::vector<std::set<GroupId>> Served;
      for (const FleetHost &Host : Fleet.hosts())
        Served.push_back(Host.m_Served);
      Fleet.restartAll(Down, OpeningTime);
      Fleet.run(10s);
      std::size_t Differing = 0;
      std::size_t Participations = 0;
      for (std::size_t Host = 0; Host < Served.size(); ++Host) {
        Differing += Fleet.hosts()[Host].m_Served == Served[Host] ? 0 : 1;
        for (std::uint32_t Group = 0; Group < Size.m_Groups; ++Group)
          Participations += Fleet.state().shares().holds(
                                GroupId("group-" + std::to_string(Group)),
                                Fleet.hosts()[Host].m_Session)
                                ? 1
                                : 0;
      }
      BOOST_TEST(Differing == 0U);
      BOOST_TEST(Participations == Size.m_Groups * Size.m_Domains * 4);
    }
  }
}

// A catalogue takes longer than m_PushRetry on the link of an entry host. What
// is still on its way must not be sent again: the copies delay the answers of
// the renewals behind them.
BOOST_DATA_TEST_CASE(CatalogueOnItsWayIsNotPushedAgain,
                     boost::unit_test::data::make(Sizes), Size) {
  FleetHarness Fleet{Size};
  Fleet.openAll(OpeningTime);
  Fleet.runUntil([&] { return Fleet.isServing(); }, TrafficStart);
  Fleet.run(2s);
  const std::size_t Before = Fleet.counts().m_Pushes;
  const std::size_t BytesBefore = Fleet.counts().m_Bytes;
  Fleet.replaceCatalogue(390);
  BOOST_TEST((Fleet.counts().m_Pushes - Before == Size.m_Hosts));
  for (Duration Passed{0}; Passed < 3s; Passed += 100ms) {
    Fleet.run(100ms);
    BOOST_TEST(Fleet.isServing());
  }
  BOOST_TEST(Fleet.counts().m_Pushes - Before == Size.m_Hosts);
  BOOST_TEST_MESSAGE((Fleet.counts().m_Bytes - BytesBefore) / Size.m_Hosts
                     << " bytes to each host in 3 s");
}

// Changes that follow each other faster than a host can confirm them must not
// make control send all that is unconfirmed with each of them.
BOOST_DATA_TEST_CASE(ChangesInSuccessionSendUnconfirmedOnesOnce,
                     boost::unit_test::data::make(Sizes), Size) {
  constexpr std::uint32_t Entries = 390;
  constexpr std::uint32_t Changes = 10;
  const auto BytesOf = [&](std::uint32_t Count) {
    FleetHarness Fleet{Size};
    Fleet.openAll(OpeningTime);
    Fleet.runUntil([&] { return Fleet.isServing(); }, TrafficStart);
    Fleet.run(2s);
    const std::size_t Before = Fleet.counts().m_Bytes;
    for (std::uint32_t Change = 0; Change < Count; ++Change) {
      Fleet.replaceCatalogue(Entries + Change);
      Fleet.run(20ms);
    }
    Fleet.run(2s);
    for (const FleetHost &Host : Fleet.hosts())
      BOOST_TEST((Host.m_Catalogue == Fleet.state().catalogue().revision()));
    return Fleet.counts().m_Bytes - Before;
  };
  const std::size_t Once = BytesOf(1);
  const std::size_t InSuccession = BytesOf(Changes);
  BOOST_TEST_MESSAGE(Once << " bytes for one change, " << InSuccession
                          << " for " << Changes);
  BOOST_TEST(InSuccession < 2 * Once);
}

// Hosts that were cut off from the leader for longer than a lease come back
// together. The ends and openings of their sessions must not use up the time in
// which the leader has to hear from a quorum.
BOOST_DATA_TEST_CASE(ReturnOfManyHostsKeepsWorkBounded,
                     boost::unit_test::data::make(Sizes), Size) {
  FleetHarness Fleet{Size};
  Fleet.openAll(OpeningTime);
  Fleet.runUntil([&] { return Fleet.isServing(); }, TrafficStart);
  Fleet.run(2s);
  const std::size_t Proposals = Fleet.counts().m_Proposals;
  const std::size_t Pushes = Fleet.counts().m_Pushes;
  Fleet.cutOff(Size.m_Hosts * 3 / 5, 7s, OpeningTime);
  Fleet.run(7s + OpeningTime);
  const Duration Taken = Fleet.runUntil([&] { return Fleet.isServing(); }, 5s);
  BOOST_TEST_MESSAGE("serving after "
                     << Taken.count() << " us; "
                     << Fleet.counts().m_Proposals - Proposals << " proposals, "
                     << Fleet.counts().m_Pushes - Pushes << " pushes, at most "
                     << Fleet.largestBusyTime().count()
                     << " us within the quorum check timeout");
}

// Shares move many times when hosts leave and come back. Each host gets the
// newest record once it has confirmed the one before, not each of them.
BOOST_DATA_TEST_CASE(SharesThatMoveDoNotOvertakeEachOther,
                     boost::unit_test::data::make(Sizes), Size) {
  FleetHarness Fleet{Size};
  Fleet.openAll(OpeningTime);
  Fleet.runUntil([&] { return Fleet.isServing(); }, TrafficStart);
  Fleet.cutOff(Size.m_Hosts / 5, 7s, OpeningTime);
  Fleet.run(7s + OpeningTime);
  Fleet.runUntil([&] { return Fleet.isServing(); }, 5s);
  BOOST_TEST(Fleet.counts().m_Overtaking == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
