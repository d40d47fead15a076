#include "Cluster.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <set>

using namespace ragwortmux;

BOOST_AUTO_TEST_SUITE(PortReservationTest)

// Guards against "a cluster that did not start": a port that was free when it
// was chosen had become the local port of another test's connection.
BOOST_AUTO_TEST_CASE(ClusterPortsCannotBecomeLocalPortsOfConnections) {
  std::ifstream File("/proc/sys/net/ipv4/ip_local_port_range");
  unsigned First = 0;
  unsigned Last = 0;
  BOOST_REQUIRE(File >> First >> Last);
  const Cluster FirstCluster;
  const Cluster SecondCluster;
  std::set<unsigned> Ports;
  for (const Cluster *Each : {&FirstCluster, &SecondCluster}) {
    for (const unsigned Host : {0U, 1U, 2U}) {
      for (const unsigned Port : {Each->callerPort(Host), Each->httpPort(Host),
                                  Each->rpcPort(Host)}) {
        BOOST_TEST(!(Port >= First && Port <= Last));
        BOOST_TEST(Ports.insert(Port).second);
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
