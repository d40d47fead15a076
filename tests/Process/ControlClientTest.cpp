#include "ragwortmux/Process/Entry/ControlClient.h"
#include "ragwortmux/Process/Loop/IoLoop.h"
#include "ragwortmux/Process/Peers/RpcServer.h"
#include "ragwortmux/Process/Support/Secret.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>

using namespace ragwortmux;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const char *const Loopback = "127.0.0.1";
const ControlSessionId Session(7);
/// Longer than a case runs, so that only additional renewals are counted.
constexpr Duration RenewalInterval = seconds(30);

/// A control client and a control host that grants its renewals.
struct Pair final {
  Pair() : m_Key("one-key-of-the-cluster") {
    RpcServerHooks Hooks;
    Hooks.m_OpenSession = [this](const EntryAddress &, Incarnation,
                                 UpdateListener Listener, const auto &Respond) {
      m_Listener = std::move(Listener);
      Respond({{}, Session});
    };
    Hooks.m_Renew = [this](const LeaseRenewal &Renewal, const auto &Respond) {
      ++m_Renewals;
      m_Served = Renewal.m_ServedGroups;
      Respond({{}, seconds(60), {}});
    };
    m_Server = std::make_unique<RpcServer>(m_Loop, m_Key, std::move(Hooks));
    ControlClientSettings Settings;
    Settings.m_Self = {HostId("h"), FailureDomainId("d"), Loopback, 1};
    Settings.m_Incarnation = Incarnation(1);
    Settings.m_ControlPeers = {
        {HostId("c"), {Loopback, m_Server->listen(Loopback, 0)}}};
    Settings.m_RenewalInterval = RenewalInterval;
    Settings.m_CallTimeout = seconds(5);
    m_Client =
        std::make_unique<ControlClient>(m_Loop, m_Key, Settings, clientHooks());
  }

  ControlClientHooks clientHooks() {
    ControlClientHooks Hooks;
    Hooks.m_Update = [this](const ControlUpdate &Update) {
      if (!Update.m_Catalogue)
        return;
      const Revision New = Update.m_Catalogue->m_Revision;
      const auto Apply = [this, New] {
        m_Applied = New;
        if (m_ChangesServedGroups)
          m_Client->renewNow();
        else
          m_Client->revisionConfirmed();
      };
      if (m_AppliesLater)
        m_Loop.after(milliseconds(10), Apply);
      else
        Apply();
    };
    Hooks.m_Confirmation = [this] {
      Confirmation Confirmed;
      Confirmed.m_Catalogue = m_Applied;
      return Confirmed;
    };
    Hooks.m_Demand = [] { return std::vector<ShareDemand>(); };
    Hooks.m_ServedGroups = [this] { return m_Serves; };
    Hooks.m_LeaseExtended = [](Instant) {};
    Hooks.m_SessionOpened = [](ControlSessionId, bool) {};
    return Hooks;
  }

  void run(Duration Length) {
    m_Loop.timer().afterDelay(toKj(Length)).wait(m_Loop.waitScope());
  }

  IoLoop m_Loop;
  Secret m_Key;
  UpdateListener m_Listener;
  Revision m_Applied;
  bool m_AppliesLater = false;        ///< Updates take effect after the reply.
  bool m_ChangesServedGroups = false; ///< Updates change the served groups.
  std::optional<std::set<GroupId>> m_Serves;
  std::optional<std::set<GroupId>> m_Served; ///< As received.
  unsigned m_Renewals = 0;
  std::unique_ptr<RpcServer> m_Server;
  std::unique_ptr<ControlClient> m_Client;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ControlClientTest)

// Each pushed update cost the leader a renewal with its quorum round besides
// the reply that had confirmed it.
BOOST_AUTO_TEST_CASE(PushConfirmedByItsReplyCausesNoRenewal) {
  struct Case final {
    const char *m_Name;    ///< Description.
    bool m_AppliesLater;   ///< The update takes effect after the reply.
    bool m_ChangesGroups;  ///< The update changes the served groups.
    unsigned m_Renewals;   ///< Renewals besides the first one.
    std::uint64_t m_Reply; ///< Revision that the reply confirms.
  };
  for (const Case &Each :
       {Case{"applied at once", false, false, 0, 5},
        Case{"applied after the reply", true, false, 1, 0},
        Case{"changes the served groups", false, true, 1, 5}}) {
    BOOST_TEST_CONTEXT(Each.m_Name) {
      Pair Control;
      Control.m_AppliesLater = Each.m_AppliesLater;
      Control.m_ChangesServedGroups = Each.m_ChangesGroups;
      Control.m_Client->start();
      Control.run(milliseconds(500));
      BOOST_REQUIRE(Control.m_Listener);
      BOOST_REQUIRE_EQUAL(Control.m_Renewals, 1U);
      ControlUpdate Update;
      Update.m_Catalogue.emplace();
      Update.m_Catalogue->m_Revision = Revision(5);
      std::optional<Confirmation> Reply;
      Control.m_Listener(Session, Update,
                         [&](const std::optional<Confirmation> &Confirmed) {
                           Reply = Confirmed;
                         });
      Control.run(milliseconds(500));
      BOOST_REQUIRE(Reply.has_value());
      BOOST_TEST((Reply->m_Catalogue == Revision(Each.m_Reply)));
      BOOST_TEST(Control.m_Renewals == 1U + Each.m_Renewals);
    }
  }
}

BOOST_AUTO_TEST_CASE(RenewalNamesServedGroups) {
  const std::set<GroupId> Two = {GroupId("a"), GroupId("b")};
  for (const std::optional<std::set<GroupId>> &Each :
       {std::optional<std::set<GroupId>>(), std::optional(std::set<GroupId>()),
        std::optional(Two)}) {
    Pair Control;
    Control.m_Serves = Each;
    // Differs from what is to be received.
    Control.m_Served = {GroupId("other")};
    Control.m_Client->start();
    Control.run(milliseconds(500));
    BOOST_REQUIRE_EQUAL(Control.m_Renewals, 1U);
    BOOST_TEST((Control.m_Served == Each));
  }
}

BOOST_AUTO_TEST_SUITE_END()
