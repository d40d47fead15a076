#include "StateBuilder.h"

#include <boost/test/unit_test.hpp>

using namespace ragwortmux;
using namespace ragwortmux::test;

namespace {

const HostId Home("home");

OpenSession opened(std::uint64_t Run, const char *Address) {
  return {Home, Incarnation(Run), FailureDomainId("z"), Address, 7000};
}

/// What becomes of the lists when a listed host opens a session again.
struct ReopenCase final {
  const char *m_Name;    ///< Name in messages.
  bool m_IsOpenAtChange; ///< Its session is open when the list is committed.
  const char *m_Address; ///< Its new address.
  bool m_Raises;         ///< The revision of the lists rises.
};

constexpr ReopenCase ReopenCases[] = {
    {"same address", true, "10.0.0.1", false},
    {"other address", true, "10.0.0.2", true},
    {"without an address until then", false, "10.0.0.1", true},
};

} // namespace

BOOST_AUTO_TEST_SUITE(SessionHomeAddresses)

BOOST_AUTO_TEST_CASE(ListedHostKeepsAddressWithoutSession) {
  for (const ReopenCase &Each : ReopenCases) {
    BOOST_TEST_CONTEXT(Each.m_Name) {
      ControlState State;
      const ControlSessionId Session =
          State.apply(opened(1, "10.0.0.1")).m_Session;
      if (!Each.m_IsOpenAtChange)
        State.apply(EndSession{Session});
      State.apply(SetSessionHomes{Revision(), {Home}, false});
      State.apply(EndSession{Session});
      BOOST_TEST(State.homes().m_Addresses.contains(Home) ==
                 Each.m_IsOpenAtChange);
      const Revision Before = State.homes().m_Revision;
      State.apply(opened(2, Each.m_Address));
      BOOST_TEST((State.homes().m_Revision > Before) == Each.m_Raises);
      BOOST_TEST(State.homes().m_Addresses.at(Home).m_Address ==
                 Each.m_Address);
    }
  }
}

BOOST_AUTO_TEST_CASE(OnlyListedHostsHaveAddresses) {
  ControlState State;
  State.apply(opened(1, "10.0.0.1"));
  State.apply(openSession("other"));
  BOOST_TEST(State.homes().m_Addresses.empty());
  const std::vector<HostId> Lists[] = {{Home}, {HostId("other")}};
  for (const std::vector<HostId> &List : Lists) {
    State.apply(SetSessionHomes{State.homes().m_Revision, List, false});
    State.apply(SetSessionHomes{State.homes().m_Revision, List, true});
    BOOST_TEST(State.homes().m_Addresses.size() == 1U);
    BOOST_TEST(State.homes().m_Addresses.contains(List.front()));
  }
}

BOOST_AUTO_TEST_CASE(SnapshotWithoutAddressesTakesThemFromSessions) {
  ControlState State;
  State.apply(opened(1, "10.0.0.1"));
  State.apply(SetSessionHomes{Revision(), {Home}, false});
  const ControlStateData Complete = State.exportData();
  ControlStateData Earlier = Complete;
  Earlier.m_Homes.m_Addresses.clear();
  ControlState Imported;
  Imported.importData(Earlier);
  BOOST_TEST((Imported.exportData() == Complete));
}

BOOST_AUTO_TEST_SUITE_END()
