#include "ragwortmux/Connection/ChooseGroupHosts.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <string>

namespace ragwortmux {

namespace {

const FailureDomainId Near("near");
const FailureDomainId Far("far");

/// \p NearCount hosts in Near followed by \p FarCount hosts in Far.
std::vector<HomeCandidate> makeHosts(std::size_t NearCount,
                                     std::size_t FarCount) {
  std::vector<HomeCandidate> Hosts;
  for (std::size_t Index = 0; Index < NearCount; ++Index)
    Hosts.push_back({HostId("n" + std::to_string(Index)), Near});
  for (std::size_t Index = 0; Index < FarCount; ++Index)
    Hosts.push_back({HostId("f" + std::to_string(Index)), Far});
  return Hosts;
}

GroupId makeGroup(int Number) {
  return GroupId("group-" + std::to_string(Number));
}

bool contains(const std::vector<HostId> &Hosts, const HostId &Host) {
  return std::find(Hosts.begin(), Hosts.end(), Host) != Hosts.end();
}

} // namespace

BOOST_AUTO_TEST_SUITE(ChooseGroupHostsTest)

BOOST_AUTO_TEST_CASE(ChoosesAtMostFourHostsOfOneDomain) {
  const struct {
    std::size_t m_Near;
    std::size_t m_Far;
    std::size_t m_Expected;
  } Cases[] = {{0, 0, 0}, {0, 5, 0}, {1, 0, 1},
               {3, 9, 3}, {4, 4, 4}, {26, 26, 4}};
  for (const auto &Case : Cases) {
    BOOST_TEST_CONTEXT(Case.m_Near << " near, " << Case.m_Far << " far") {
      const auto Hosts = makeHosts(Case.m_Near, Case.m_Far);
      const auto Chosen = chooseGroupHosts(makeGroup(1), Near, Hosts);
      BOOST_TEST(Chosen.size() == Case.m_Expected);
      for (const HostId &Host : Chosen) {
        BOOST_TEST(Host.value().starts_with("n"));
        BOOST_TEST(std::count(Chosen.begin(), Chosen.end(), Host) == 1);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(OrderOfHostsDoesNotMatter) {
  auto Hosts = makeHosts(9, 9);
  const auto Chosen = chooseGroupHosts(makeGroup(1), Near, Hosts);
  std::reverse(Hosts.begin(), Hosts.end());
  BOOST_TEST((chooseGroupHosts(makeGroup(1), Near, Hosts) == Chosen));
}

BOOST_AUTO_TEST_CASE(ChangedHostChangesOnlyItsOwnGroups) {
  const auto All = makeHosts(9, 0);
  for (const HomeCandidate &Leaving : All) {
    auto Remaining = All;
    std::erase_if(Remaining, [&](const HomeCandidate &Host) {
      return Host.m_Host == Leaving.m_Host;
    });
    for (int Number = 0; Number < 100; ++Number) {
      const auto Before = chooseGroupHosts(makeGroup(Number), Near, All);
      const auto After = chooseGroupHosts(makeGroup(Number), Near, Remaining);
      if (!contains(Before, Leaving.m_Host)) {
        BOOST_TEST((Before == After));
        continue;
      }
      for (const HostId &Host : Before)
        BOOST_TEST((Host == Leaving.m_Host || contains(After, Host)));
    }
  }
}

BOOST_AUTO_TEST_CASE(GroupsAreSpreadOverHosts) {
  const auto Hosts = makeHosts(20, 0);
  constexpr int Groups = 1000;
  std::map<HostId, int> Served;
  std::map<HostId, int> Preferred;
  for (int Number = 0; Number < Groups; ++Number) {
    const auto Chosen = chooseGroupHosts(makeGroup(Number), Near, Hosts);
    ++Preferred[Chosen.front()];
    for (const HostId &Host : Chosen)
      ++Served[Host];
  }
  // On average a host serves 200 groups and is preferred by 50.
  for (const HomeCandidate &Host : Hosts) {
    BOOST_TEST(Served[Host.m_Host] > 140);
    BOOST_TEST(Served[Host.m_Host] < 260);
    BOOST_TEST(Preferred[Host.m_Host] > 25);
    BOOST_TEST(Preferred[Host.m_Host] < 85);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ragwortmux
