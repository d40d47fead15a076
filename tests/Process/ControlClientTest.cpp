#include "ragwortmux/Process/Entry/ControlClient.h"
#include "ragwortmux/Process/Loop/IoLoop.h"
#include "ragwortmux/Process/Peers/RpcServer.h"
#include "ragwortmux/Process/Support/Secret.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>
#include <vector>

using namespace ragwortmux;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const char *const Loopback = "127.0.0.1";
/// Longer than a case runs, so that only additional renewals are counted.
constexpr Duration RenewalInterval = seconds(30);

/// A control client and a control host that grants its renewals.
struct Pair final {
  explicit Pair(Duration CallTimeout = seconds(5))
      : m_Key("one-key-of-the-cluster") {
    RpcServerHooks Hooks;
    Hooks.m_OpenSession = [this](const EntryAddress &, Incarnation,
                                 const UpdateListener &Listener,
                                 const auto &Respond) {
      m_Listener = Listener;
      Respond({{}, ControlSessionId(++m_Sessions)});
    };
    Hooks.m_Renew = [this](const LeaseRenewal &Renewal, const auto &Respond) {
      ++m_Renewals;
      m_Served = Renewal.m_ServedGroups;
      if (m_HoldsFirstReply && m_Renewals == 1) {
        m_HeldReply = Respond;
      } else if (Renewal.m_Session == m_EndedSession) {
        Respond({{ResultCode::Unauthorized, "", ""}, Duration(0), {}});
      } else {
        Respond({{}, seconds(60), {}});
      }
    };
    Hooks.m_Report = [this](const auto &, const auto &, const auto &Respond) {
      m_HeldReports.push_back(Respond);
    };
    m_Server = std::make_unique<RpcServer>(m_Loop, m_Key, std::move(Hooks));
    ControlClientSettings Settings;
    Settings.m_Self = {HostId("h"), FailureDomainId("d"), Loopback, 1};
    Settings.m_Incarnation = Incarnation(1);
    Settings.m_ControlPeers = {
        {HostId("c"), {Loopback, m_Server->listen(Loopback, 0)}}};
    Settings.m_RenewalInterval = RenewalInterval;
    Settings.m_CallTimeout = CallTimeout;
    m_Client =
        std::make_unique<ControlClient>(m_Loop, m_Key, Settings, clientHooks());
  }

  ControlClientHooks clientHooks() {
    ControlClientHooks Hooks;
    Hooks.m_Update = [this](const ControlUpdate &Update) {
      m_Catalogues += Update.m_Catalogue ? 1 : 0;
    };
    Hooks.m_Confirmation = [] { return Confirmation(); };
    Hooks.m_Demand = [] { return std::vector<ShareDemand>(); };
    Hooks.m_ServedGroups = [this] { return m_Serves; };
    Hooks.m_LeaseExtended = [this](Instant) { ++m_Extensions; };
    Hooks.m_SessionOpened = [](ControlSessionId, bool) {};
    return Hooks;
  }

  void run(Duration Length) {
    m_Loop.timer().afterDelay(toKj(Length)).wait(m_Loop.waitScope());
  }

  IoLoop m_Loop;
  Secret m_Key;
  std::optional<std::set<GroupId>> m_Serves;
  std::optional<std::set<GroupId>> m_Served; ///< As received.
  unsigned m_Renewals = 0;                   ///< Renewals received.
  std::uint64_t m_Sessions = 0;    ///< Sessions opened; also the newest id.
  unsigned m_Catalogues = 0;       ///< Catalogues that the client applied.
  unsigned m_Extensions = 0;       ///< Times that the lease was extended.
  UpdateListener m_Listener;       ///< Pushes to the client.
  ControlSessionId m_EndedSession; ///< Its renewals are refused.
  bool m_HoldsFirstReply = false;  ///< The first renewal is answered later.
  std::function<void(RenewReply)> m_HeldReply; ///< Answers that renewal.
  std::vector<std::function<void(ControlStatus)>>
      m_HeldReports; ///< Would answer the reports.
  std::unique_ptr<RpcServer> m_Server;
  std::unique_ptr<ControlClient> m_Client;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ControlClientTest)

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

// Guards against a late reply of an earlier session, whose group records would
// count as current under the new one.
BOOST_AUTO_TEST_CASE(LateReplyOfEarlierSessionIsNotApplied) {
  for (const bool HasChanged : {false, true}) {
    BOOST_TEST_CONTEXT("session has changed: " << HasChanged) {
      Pair Control;
      Control.m_HoldsFirstReply = true;
      Control.m_EndedSession = ControlSessionId(HasChanged ? 1 : 0);
      Control.m_Client->start();
      Control.run(milliseconds(300));
      BOOST_REQUIRE(Control.m_HeldReply);
      Control.m_Client->renewNow();
      Control.run(milliseconds(300));
      BOOST_REQUIRE_EQUAL(Control.m_Sessions, HasChanged ? 2U : 1U);
      RenewReply Late;
      Late.m_Lease = seconds(60);
      Late.m_Update.m_Catalogue.emplace();
      Control.m_HeldReply(Late);
      Control.run(milliseconds(300));
      BOOST_TEST(Control.m_Catalogues == (HasChanged ? 0U : 1U));
    }
  }
}

// A call without an answer ends the connection, and control pushes over that.
// Without a new session it would push into the void while renewals succeed.
BOOST_AUTO_TEST_CASE(UnansweredReportOpensSessionAgain) {
  Pair Control(milliseconds(300));
  Control.m_Client->start();
  Control.run(milliseconds(300));
  BOOST_REQUIRE_EQUAL(Control.m_Sessions, 1U);
  Control.m_Client->reportSuspicion(GroupId("g"), ServerId("s"),
                                    SuspicionKind::Silent);
  Control.run(milliseconds(200));
  BOOST_REQUIRE_EQUAL(Control.m_HeldReports.size(), 1U);
  Control.run(seconds(1));
  BOOST_TEST(Control.m_Sessions == 2U);
}

// On a slow link a large update takes longer than a call may take. If the
// renewal behind it ends the connection, the update is sent again over the next
// one, without end, and the host never gets a lease.
BOOST_AUTO_TEST_CASE(RenewalBehindLargeUpdateIsWaitedFor) {
  Pair Control(milliseconds(300));
  Control.m_HoldsFirstReply = true;
  Control.m_Client->start();
  Control.run(milliseconds(100));
  BOOST_REQUIRE(Control.m_HeldReply);
  for (int Part = 0; Part < 20; ++Part) {
    Control.m_Listener(ControlSessionId(1), ControlUpdate(),
                       [](const std::optional<Confirmation> &) {});
    Control.run(milliseconds(50));
  }
  RenewReply Late;
  Late.m_Lease = seconds(60);
  Control.m_HeldReply(Late);
  Control.run(milliseconds(200));
  BOOST_TEST(Control.m_Sessions == 1U);
  BOOST_TEST(Control.m_Extensions == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
