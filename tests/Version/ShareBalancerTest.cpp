#include "LeaderHarness.h"

#include <boost/test/unit_test.hpp>

#include <numeric>
#include <random>

using namespace ragwortmux;
using namespace ragwortmux::test;

namespace {

const ServerId Server("s1");

std::vector<std::uint32_t> sharesOf(const LeaderHarness &Harness) {
  std::vector<std::uint32_t> Shares;
  for (const FakeProxy &Proxy : Harness.m_Proxies)
    Shares.push_back(
        Harness.m_State.shares().share(TheGroup, Server, Proxy.m_Session));
  return Shares;
}

void setDemand(LeaderHarness &Harness,
               const std::vector<std::uint32_t> &Demand) {
  for (std::size_t Index = 0; Index < Demand.size(); ++Index)
    Harness.m_Proxies[Index].m_Demand = {{TheGroup, Server, Demand[Index]}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(ShareMoves)

BOOST_AUTO_TEST_CASE(SharesFollowDemand) {
  struct Case final {
    const char *m_Name;                     ///< Name in messages.
    std::vector<std::uint32_t> m_Demand;    ///< Demand of the three proxies.
    std::vector<std::uint32_t> m_MinShares; ///< Minimum shares afterwards.
  };
  const Case Cases[] = {
      {"no demand reported", {}, {10, 10, 10}},
      {"high demand of one", {40, 0, 0}, {28, 2, 2}},
      {"high demand of two", {40, 40, 0}, {15, 15, 2}},
      {"low demand of all", {3, 4, 5}, {3, 4, 5}},
      {"demand of all above the budget", {40, 40, 40}, {10, 10, 10}},
  };
  for (const Case &Each : Cases) {
    BOOST_TEST_CONTEXT(Each.m_Name) {
      LeaderHarness Harness;
      setDemand(Harness, Each.m_Demand);
      Harness.run(3s);
      const auto Shares = sharesOf(Harness);
      for (std::size_t Index = 0; Index < Shares.size(); ++Index)
        BOOST_TEST(Shares[Index] >= Each.m_MinShares[Index]);
      BOOST_TEST(std::accumulate(Shares.begin(), Shares.end(), 0U) <= 32U);
      // Shares do not change while the demand is constant.
      const Revision Before = Harness.group().m_Revision;
      Harness.run(5s);
      BOOST_TEST((Harness.group().m_Revision == Before));
    }
  }
}

BOOST_AUTO_TEST_CASE(GrowthWaitsForConfirmationOrLeaseEnd) {
  LeaderHarness Harness;
  setDemand(Harness, {40, 0, 0});
  Harness.run(3s);
  BOOST_TEST(sharesOf(Harness)[0] == 28U);
  // The first proxy does not receive its smaller share.
  FakeProxy &Holder = Harness.m_Proxies[0];
  Holder.m_ReachesControl = false;
  Harness.m_Proxies[1].m_Demand = {{TheGroup, Server, 40}};
  Harness.run(900ms);
  BOOST_TEST(sharesOf(Harness)[1] == 2U);
  BOOST_TEST(Holder.acknowledges(Harness.m_Now).has_value());
  // When its lease has expired, it has closed its connections.
  Harness.run(1500ms);
  BOOST_TEST(!Holder.acknowledges(Harness.m_Now).has_value());
  BOOST_TEST(sharesOf(Harness)[1] >= 28U);
}

BOOST_AUTO_TEST_CASE(StaysWithinBudgetUnderRandomFaults) {
  for (unsigned Seed = 1; Seed <= 10; ++Seed) {
    std::mt19937 Random(Seed);
    LeaderHarness Harness;
    for (unsigned Round = 0; Round < 60; ++Round) {
      FakeProxy &Proxy = Harness.m_Proxies[Random() % 3];
      Proxy.m_Demand = {
          {TheGroup, Server, static_cast<std::uint32_t>(Random() % 40)}};
      if (Random() % 5 == 0)
        Proxy.m_ReachesControl = !Proxy.m_ReachesControl;
      if (Random() % 9 == 0)
        Harness.changeLeader();
      Harness.run(Duration(1ms) * (Random() % 900));
      // The sum that the proxies' own views allow must stay within the budget,
      // whatever the leader's state is.
      std::uint32_t Allowed = 0;
      for (const FakeProxy &Each : Harness.m_Proxies) {
        if (!Each.m_View || !Each.m_Lease.isValid(Each.local(Harness.m_Now)))
          continue;
        Allowed += Each.m_View->m_Servers[0].m_ConnectionShare;
      }
      BOOST_REQUIRE_LE(Allowed, 32U);
    }
  }
}

BOOST_AUTO_TEST_CASE(SessionHomesChangeInTwoSteps) {
  LeaderHarness Harness;
  const auto Homes = [&] { return Harness.m_State.homes(); };
  const std::vector<HostId> All = {HostId("h1"), HostId("h2"), HostId("h3")};
  Harness.runUntil([&] { return Homes().m_Active == All; });
  // A short absence of a host changes nothing.
  Harness.m_Proxies[2].m_ReachesControl = false;
  Harness.run(2s);
  BOOST_TEST((Homes().m_Active == All));
  Harness.runUntil([&] {
    return Homes().m_Active.size() == 2 && Homes().m_Preparing.empty();
  });
  // A joining host becomes active only after all sessions have confirmed the
  // prepared list.
  FakeProxy &Unconfirming = Harness.m_Proxies[0];
  Unconfirming.m_ConfirmsHomes = false;
  Harness.m_Proxies[2].m_ReachesControl = true;
  Harness.runUntil([&] { return Homes().m_Preparing == All; });
  Harness.run(500ms);
  BOOST_TEST(Homes().m_Active.size() == 2U);
  Unconfirming.m_ConfirmsHomes = true;
  Harness.runUntil([&] { return Homes().m_Active == All; });
}

BOOST_AUTO_TEST_SUITE_END()
