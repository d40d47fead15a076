#include "LeaderHarness.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace ragwortmux;
using namespace ragwortmux::test;

namespace {

/// Starts or ends one random fault.
void toggleRandomFault(LeaderHarness &Harness, std::mt19937 &Random) {
  auto Picked = Harness.m_Servers.begin();
  std::advance(Picked, Random() % Harness.m_Servers.size());
  FakeServer &Server = Picked->second;
  FakeProxy &Proxy = Harness.m_Proxies[Random() % Harness.m_Proxies.size()];
  switch (Random() % 8) {
  case 0:
    Server.m_Up = !Server.m_Up;
    break;
  case 1:
    Server.m_ReachesControl = !Server.m_ReachesControl;
    Server.m_Announces = Server.m_ReachesControl;
    break;
  case 2:
    Server.m_Announces = !Server.m_Announces;
    break;
  case 3:
    Server.m_Applies = !Server.m_Applies;
    break;
  case 4:
    Server.m_Leaving = !Server.m_Leaving;
    break;
  case 5:
    Proxy.m_ReachesControl = !Proxy.m_ReachesControl;
    break;
  case 6:
    Proxy.m_Confirms = !Proxy.m_Confirms;
    break;
  case 7:
    Harness.changeLeader();
    break;
  }
}

void clearFaults(LeaderHarness &Harness) {
  for (auto &[Id, Server] : Harness.m_Servers) {
    Server.m_Up = Server.m_ReachesControl = true;
    Server.m_Announces = Server.m_Applies = true;
    Server.m_Leaving = false;
  }
  for (FakeProxy &Proxy : Harness.m_Proxies)
    Proxy.m_ReachesControl = Proxy.m_Confirms = true;
}

} // namespace

// The harness checks throughout that no acknowledged write is lost and that no
// write of a replaced primary is acknowledged.
BOOST_AUTO_TEST_CASE(KeepsAcknowledgedWritesUnderRandomFaults,
                     *boost::unit_test::label("promise-2")) {
  std::uint64_t Changes = 0;
  for (unsigned Seed = 1; Seed <= 60; ++Seed) {
    BOOST_TEST_CONTEXT("seed " << Seed) {
      std::mt19937 Random(Seed);
      LeaderHarness Harness;
      const double Rates[] = {0.99, 1.0, 1.01};
      for (FakeProxy &Proxy : Harness.m_Proxies)
        Proxy.setClockRate(Rates[Random() % 3], Harness.m_Now);
      Harness.m_Delay = Duration(10ms) * (Random() % 4);
      for (unsigned Fault = 0; Fault < 40; ++Fault) {
        toggleRandomFault(Harness, Random);
        Harness.run(Duration(1ms) * (Random() % 600));
        if (Fault % 10 == 9)
          clearFaults(Harness);
      }
      clearFaults(Harness);
      Harness.runUntil([&] { return Harness.isInSync(); }, 40s);
      // In the end all servers must have the same log.
      Harness.run(1s);
      for (const auto &[Id, Server] : Harness.m_Servers)
        BOOST_TEST((Server.m_Point == Harness.primary().m_Point));
      Changes += Harness.group().m_Term.value() - 1;
    }
  }
  BOOST_TEST_MESSAGE(Changes << " changes of primary");
  BOOST_TEST(Changes > 60U);
}
