#include "ragwortmux/Process/Entry/SessionDriver.h"
#include "ragwortmux/Process/Loop/IoLoop.h"
#include "ragwortmux/Process/Loop/SystemClock.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <vector>

using namespace ragwortmux;

namespace {

using std::chrono::milliseconds;

const ServerId Primary("s1");
const CallerConnectionId Caller(1);

/// A connection that opens at once and whose statements are never answered.
class SilentConnection final : public StatementConnection {
public:
  void setUp(const std::vector<SessionStep> & /*Steps*/) override {}
  void run(const RunStatement & /*Statement*/) override {}
  void probe() override {}
};

struct Fixture {
  Fixture() : m_Driver(m_Loop, GroupId("g"), SessionCoreSettings(), hooks()) {}

  SessionDriverHooks hooks() {
    SessionDriverHooks Hooks;
    Hooks.m_Open = [this](const StatementEndpoint &,
                          const StatementConnectionHooks &Connection) {
      m_Loop.after(Duration(0), Connection.m_Opened);
      return std::make_unique<SilentConnection>();
    };
    Hooks.m_Answer = [](const SessionAnswer &) {};
    Hooks.m_ReportSuspicion = [](const ServerId &, SuspicionKind) {};
    Hooks.m_Opened = [](const ServerId &) {};
    Hooks.m_RevisionConfirmed = [this] { ++m_Confirmations; };
    Hooks.m_DecisionMade = [this](const SessionDecisionRecord &Record) {
      m_Sent += Record.m_Decision == SessionDecision::Sent ? 1 : 0;
    };
    return Hooks;
  }

  void applyView(std::uint64_t Number, std::uint64_t InTerm) {
    GroupView View;
    View.m_Group = GroupId("g");
    View.m_Revision = Revision(Number);
    View.m_Term = Term(InTerm);
    View.m_Primary = Primary;
    ServerView Server;
    Server.m_Server = Primary;
    Server.m_Announced = true;
    Server.m_ConnectionShare = 2;
    View.m_Servers.push_back(Server);
    m_Driver.applyView(View);
  }

  void submitWrite() {
    const auto Entry = std::make_shared<CatalogueEntry>();
    Entry->m_Group = GroupId("g");
    Entry->m_Class = TrafficClass::PrimarySession;
    SessionRequest Request;
    Request.m_Id = RequestId(1);
    Request.m_Caller = Caller;
    Request.m_Entry = Entry;
    Request.m_Statement.m_Kind = StatementKind::Write;
    Request.m_Statement.m_Writes = true;
    Request.m_State = std::make_shared<SessionState>();
    Request.m_Arrived = monotonicNow();
    m_Driver.submit(std::move(Request));
  }

  /// Runs the event loop for \p Time; can be called once.
  void runFor(Duration Time) {
    m_Loop.after(Time, [this] { m_Loop.stop(); });
    m_Loop.run();
  }

  IoLoop m_Loop;
  int m_Confirmations = 0; ///< Calls of the hook that renews the lease.
  int m_Sent = 0;          ///< Statements that were sent.
  SessionDriver m_Driver;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SessionDriverTest, Fixture)

BOOST_AUTO_TEST_CASE(RecordConfirmedAtOnceNeedsNoRenewal) {
  for (std::uint64_t Number = 1; Number <= 20; ++Number) {
    applyView(Number, 1 + Number / 5);
    BOOST_TEST((m_Driver.core().confirmedRevision() == Revision(Number)));
  }
  runFor(milliseconds(20));
  BOOST_TEST(m_Confirmations == 0);
}

BOOST_AUTO_TEST_CASE(RecordConfirmedLaterIsReportedOnce) {
  applyView(1, 1);
  m_Driver.setLease(monotonicNow() + std::chrono::seconds(10));
  submitWrite();
  m_Loop.after(milliseconds(50), [this] {
    BOOST_TEST(m_Sent == 1);
    // The write under way delays the confirmation of the end of its term.
    applyView(2, 2);
    BOOST_TEST((m_Driver.core().confirmedRevision() == Revision(1)));
    BOOST_TEST(m_Confirmations == 0);
  });
  runFor(milliseconds(500));
  BOOST_TEST((m_Driver.core().confirmedRevision() == Revision(2)));
  BOOST_TEST(m_Confirmations == 1);
}

BOOST_AUTO_TEST_CASE(ChangeOfControlSessionNeedsNoRenewal) {
  applyView(1, 1);
  m_Driver.controlSessionChanged();
  BOOST_TEST((m_Driver.core().confirmedRevision() == Revision()));
  applyView(1, 1);
  BOOST_TEST((m_Driver.core().confirmedRevision() == Revision(1)));
  runFor(milliseconds(20));
  BOOST_TEST(m_Confirmations == 0);
}

BOOST_AUTO_TEST_SUITE_END()
