#include "ragwortmux/Process/Entry/SessionEntryRole.h"
#include "ragwortmux/Process/Loop/IoLoop.h"
#include "ragwortmux/Process/Loop/SystemClock.h"
#include "ragwortmux/Process/Peers/RpcServer.h"
#include "ragwortmux/Process/Support/Metrics.h"
#include "ragwortmux/Process/Support/ProcessSettings.h"
#include "ragwortmux/Process/Support/Secret.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

using namespace ragwortmux;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const char *const Loopback = "127.0.0.1";
const GroupId Group("g");
const ServerId Primary("s1");
const RelayPeerId Peer(1);
constexpr Duration RenewalInterval = milliseconds(50);
constexpr Duration DrainTimeout = milliseconds(200);

/// The entry hosts that a record comes with. The role serves the group once it
/// knows that it is an entry host.
enum class Homes { Unknown, OnlyThisHost };

/// A connection that opens at once; the test answers its statements.
class ManualConnection final : public StatementConnection {
public:
  void setUp(const std::vector<SessionStep> & /*Steps*/) override {}
  void run(const RunStatement & /*Statement*/) override {}
  void probe() override {}
};

/// An entry role and a control host that grants its renewals.
struct Fixture {
  Fixture() : m_Settings(defaultSettings()) {
    RpcServerHooks Hooks;
    Hooks.m_OpenSession = [this](const EntryAddress &, Incarnation,
                                 UpdateListener Listener, const auto &Respond) {
      m_Listener = std::move(Listener);
      m_FirstConfirmed.reset();
      Respond({{}, m_Session});
    };
    Hooks.m_Renew = [this](const LeaseRenewal &Renewal, const auto &Respond) {
      if (Renewal.m_Session != m_Session) {
        Respond({{ResultCode::Unauthorized, "", ""}, {}, {}});
        return;
      }
      if (!m_FirstConfirmed)
        m_FirstConfirmed = Renewal.m_Confirmed;
      Respond({{}, seconds(60), {}});
    };
    m_Settings.m_ClusterKey = Secret("one-key-of-the-cluster");
    m_Server = std::make_unique<RpcServer>(m_Loop, m_Settings.m_ClusterKey,
                                           std::move(Hooks));
    m_Settings.m_Host = HostId("h");
    m_Settings.m_FailureDomain = FailureDomainId("d");
    m_Settings.m_Address = Loopback;
    m_Settings.m_ControlPeers = {
        {HostId("c"), {Loopback, m_Server->listen(Loopback, 0)}}};
    m_Settings.m_RenewalInterval = RenewalInterval;
    m_Settings.m_RequestTimeout = seconds(5);
    m_Settings.m_DrainTimeout = DrainTimeout;
    m_Role = std::make_unique<SessionEntryRole>(m_Loop, m_Settings, m_Metrics,
                                                roleHooks());
    m_Role->start();
    run(milliseconds(300));
    BOOST_REQUIRE(m_Listener);
    pushCatalogue(entry());
  }

  SessionEntryHooks roleHooks() {
    SessionEntryHooks Hooks;
    Hooks.m_Open = [this](const StatementEndpoint &,
                          const StatementConnectionHooks &Connection) {
      m_Connection = Connection;
      m_Loop.after(Duration(0), Connection.m_Opened);
      return std::make_unique<ManualConnection>();
    };
    Hooks.m_Answer = [this](const SessionAnswer &Answer) {
      m_Answers.push_back(Answer.m_Code);
    };
    Hooks.m_CloseIdleCallers = [] {};
    Hooks.m_CountCallers = [] { return std::size_t(0); };
    return Hooks;
  }

  /// Control knows another session than before.
  void changeSession() {
    m_Session = ControlSessionId(m_Session.value() + 1);
    run(milliseconds(500));
  }

  /// Relays a write to the role; returns its answer if there is one at once.
  std::optional<ResultCode> relayWrite() {
    std::optional<ResultCode> Code;
    m_Role->runRelayed(Peer, write(), [&Code](const SessionAnswer &Answer) {
      Code = Answer.m_Code;
    });
    const std::optional<ResultCode> AtOnce = Code;
    // Answers the statement if it is still under way.
    m_Role->relayClosed(Peer);
    return AtOnce;
  }

  /// Pushes the group's record and the list \p Known of entry hosts.
  void pushRecord(Homes Known = Homes::OnlyThisHost) {
    ControlUpdate Update;
    GroupView View;
    View.m_Group = Group;
    View.m_Revision = Revision(4);
    View.m_Term = Term(1);
    View.m_Primary = Primary;
    ServerView &Server = View.m_Servers.emplace_back();
    Server.m_Server = Primary;
    Server.m_ConnectionShare = 1;
    Update.m_Views.push_back(View);
    if (Known == Homes::OnlyThisHost) {
      SessionHomesView List;
      List.m_Revision = Revision(1);
      List.m_Active.push_back(
          {m_Settings.m_Host, m_Settings.m_FailureDomain, Loopback, 1});
      Update.m_Homes = std::make_shared<const SessionHomesView>(List);
    }
    m_Listener(m_Session, Update,
               [this](const auto &Confirmed) { m_PushConfirmed = Confirmed; });
    run(milliseconds(100));
  }

  /// Pushes the next revision of a catalogue with the only entry \p Entry.
  void pushCatalogue(const CatalogueEntry &Entry) {
    ControlUpdate Update;
    CatalogueDelta &Whole = Update.m_Catalogue.emplace();
    Whole.m_Revision = Revision(++m_Catalogue);
    Whole.m_IsWhole = true;
    Whole.m_Items.push_back({Whole.m_Revision, Entry});
    m_Listener(m_Session, Update, [](const auto &) {});
    run(milliseconds(100));
  }

  static CatalogueEntry entry() {
    CatalogueEntry Entry;
    Entry.m_Name = EntryName("e");
    Entry.m_Group = Group;
    Entry.m_Class = TrafficClass::PrimarySession;
    Entry.m_Limits.m_RequestDeadline = seconds(5);
    return Entry;
  }

  static SessionRequest write() {
    SessionRequest Request;
    Request.m_Id = RequestId(1);
    Request.m_Caller = CallerConnectionId(1);
    Request.m_Entry = std::make_shared<const CatalogueEntry>(entry());
    Request.m_Statement.m_Kind = StatementKind::Write;
    Request.m_Statement.m_Writes = true;
    Request.m_State = std::make_shared<SessionState>();
    Request.m_Arrived = monotonicNow();
    return Request;
  }

  void run(Duration Length) {
    m_Loop.timer().afterDelay(toKj(Length)).wait(m_Loop.waitScope());
  }

  ProcessSettings m_Settings;
  Metrics m_Metrics;
  ControlSessionId m_Session{7}; ///< The session that control knows.
  std::uint64_t m_Catalogue = 0; ///< Revision of the last pushed catalogue.
  IoLoop m_Loop;
  UpdateListener m_Listener;
  std::optional<std::map<GroupId, Revision>>
      m_FirstConfirmed; ///< With the first renewal of the session.
  std::optional<Confirmation> m_PushConfirmed; ///< In reply to the last push.
  std::optional<StatementConnectionHooks> m_Connection;
  std::vector<ResultCode> m_Answers;
  std::unique_ptr<RpcServer> m_Server;
  std::unique_ptr<SessionEntryRole> m_Role;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SessionEntryRoleTest, Fixture)

// Guards against an outdated record that a new session confirms, so that
// control never sends it again.
BOOST_AUTO_TEST_CASE(NewSessionConfirmsNoRecordOfPreviousOne) {
  pushRecord();
  BOOST_REQUIRE(m_PushConfirmed);
  BOOST_TEST((m_PushConfirmed->m_Groups.at(Group) == Revision(4)));
  changeSession();
  BOOST_REQUIRE(m_FirstConfirmed);
  BOOST_TEST(!m_FirstConfirmed->contains(Group));
  m_PushConfirmed.reset();
  pushRecord();
  BOOST_REQUIRE(m_PushConfirmed);
  BOOST_TEST((m_PushConfirmed->m_Groups.at(Group) == Revision(4)));
}

// Guards against a relayed statement that waits for its deadline, though other
// hosts serve its group.
BOOST_AUTO_TEST_CASE(RelayedStatementIsRefusedAtOnceByHostThatCannotRunIt) {
  BOOST_TEST((relayWrite() == ResultCode::NotRunNoConnection));
  pushRecord(Homes::Unknown);
  BOOST_TEST(!relayWrite().has_value());
  changeSession();
  BOOST_TEST((relayWrite() == ResultCode::NotRunNoConnection));
  pushRecord(Homes::OnlyThisHost);
  BOOST_TEST(!relayWrite().has_value());
}

// Guards against an older version of an entry that runs after a newer one,
// because the host that relays the statement has another catalogue.
BOOST_AUTO_TEST_CASE(RelayedStatementOfAnotherCatalogueIsRefused) {
  struct Row final {
    const char *m_Name;                          ///< What differs.
    std::function<void(CatalogueEntry &)> m_Set; ///< Changes the own entry.
    bool m_IsRefused;                            ///< The expected outcome.
  };
  const std::vector<Row> Rows = {
      {"nothing", [](CatalogueEntry &) {}, false},
      {"the entry is not in the catalogue",
       [](CatalogueEntry &Own) { Own.m_Name = EntryName("other"); }, true},
      {"the group", [](CatalogueEntry &Own) { Own.m_Group = GroupId("other"); },
       true},
      {"the deadline",
       [](CatalogueEntry &Own) { Own.m_Limits.m_RequestDeadline = seconds(4); },
       true}};
  pushRecord();
  for (const Row &Each : Rows) {
    BOOST_TEST_CONTEXT("differs: " << Each.m_Name) {
      CatalogueEntry Own = entry();
      Each.m_Set(Own);
      pushCatalogue(Own);
      const std::optional<ResultCode> Code = relayWrite();
      BOOST_TEST(Code.has_value() == Each.m_IsRefused);
      BOOST_TEST((!Code || isNotRun(*Code)));
    }
  }
}

// Guards against an acknowledgement after the end of the session, for which a
// change of primary no longer waits.
BOOST_AUTO_TEST_CASE(NothingIsAcknowledgedAfterEndOfSession) {
  pushRecord();
  m_Role->submit(write());
  run(milliseconds(50));
  BOOST_REQUIRE(m_Connection);
  m_Role->drain([] {});
  run(DrainTimeout + milliseconds(100));
  BOOST_REQUIRE(m_Answers.empty());
  StatementReply Reply;
  Reply.m_Outcome = StatementOutcome::Done;
  m_Connection->m_Answered(Reply);
  BOOST_REQUIRE_EQUAL(m_Answers.size(), 1U);
  BOOST_TEST((m_Answers.front() == ResultCode::OutcomeUnknownTermEnded));
}

BOOST_AUTO_TEST_SUITE_END()
