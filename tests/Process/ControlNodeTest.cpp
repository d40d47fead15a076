#include "ragwortmux/Process/Control/ControlNode.h"
#include "tests/Log/FakeDisk.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace ragwortmux;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char *Address = "127.0.0.1:1";
constexpr std::size_t MaxApplyEntries = 64;

/// The only voter of a control log, which leads it.
struct LeadingNode {
  LeadingNode() {
    restart();
    PeerIdentity Self;
    Self.m_Voter = VoterId(m_Node->identify().m_Voter);
    Self.m_Address = Address;
    Self.m_IsListed = true;
    m_Node->peersIdentified(m_Now, {Self}, true);
    advance(seconds(2));
    BOOST_REQUIRE(m_IsLeader);
  }

  /// Ends the process, if there is one, and starts it with its data folder.
  void restart() {
    m_Node = nullptr;
    m_IsLeader = false;
    LogStorageSettings Storage;
    Storage.m_ClusterName = "test";
    Storage.m_Random = [this] { return ++m_Random; };
    ControlNodeSettings Settings;
    Settings.m_Address = Address;
    Settings.m_Bootstrap = true;
    Settings.m_Log.m_Random = [this] { return ++m_Random; };
    Settings.m_Log.m_MaxApplyEntries = MaxApplyEntries;
    Settings.m_Limiter = m_Limits;
    ControlNodeHooks Hooks;
    Hooks.m_SendLog = [](const std::string &, const LogEnvelope &) {};
    Hooks.m_Push = [this](ControlSessionId Session,
                          const ControlUpdate &Update) {
      m_Pushed.push_back(Update);
      if (Update.m_Homes)
        m_Homes[Session] = *Update.m_Homes;
    };
    Hooks.m_CallBackend = [](const CallBackend &) {};
    Hooks.m_WriteTimeline = [](const std::string &) {};
    Hooks.m_LeadershipChanged = [this](bool Leads) { m_IsLeader = Leads; };
    m_Node = std::make_unique<ControlNode>(
        std::move(Settings),
        std::make_unique<LogStorage>(std::move(Storage),
                                     std::make_unique<FakeFileSystem>(m_Disk)),
        std::move(Hooks));
    BOOST_REQUIRE(m_Node->open(m_Now));
  }

  void advance(Duration Length) {
    for (const Instant End = m_Now + Length; m_Now < End;
         m_Now += milliseconds(10))
      m_Node->tick(m_Now, WallTime(milliseconds(1)));
  }

  /// Opens the session of the host's run; 0 if that is refused.
  ControlSessionId open(std::uint64_t Run, const std::string &Host = "h") {
    ControlSessionId Session;
    m_Node->openSession(m_Now,
                        {HostId(Host), Incarnation(Run), FailureDomainId("d"),
                         "10.0.0.1", 7000},
                        [&](const OpenSessionReply &Reply) {
                          if (Reply.m_Status.ok())
                            Session = Reply.m_Session;
                        });
    return Session;
  }

  /// Renews the lease of \p Session, which has the newest session homes that
  /// renewals have brought it; true if it is granted.
  bool renew(ControlSessionId Session) {
    bool Granted = false;
    m_LastCatalogue.reset();
    LeaseRenewal Renewal;
    Renewal.m_Session = Session;
    Renewal.m_Sequence = ++m_Sequence;
    Renewal.m_Homes = m_Homes[Session].m_Revision;
    m_Node->renew(m_Now, Renewal, [&](const RenewReply &Reply) {
      Granted = Reply.m_Status.ok() && Reply.m_Lease > Duration(0);
      if (Reply.m_Update.m_Homes)
        m_Homes[Session] = *Reply.m_Update.m_Homes;
      m_LastCatalogue = Reply.m_Update.m_Catalogue;
    });
    advance(milliseconds(100));
    return Granted;
  }

  void replaceCatalogue(std::uint64_t Version, std::size_t Bytes = 0) {
    ReplaceCatalogue Command;
    Command.m_Version = CatalogueVersion(Version);
    Command.m_Document = std::to_string(Version) + std::string(Bytes, ' ');
    m_Node->command(m_Now, Command, [](const CommandReply &) {});
  }

  Instant m_Now{std::chrono::hours(1)};
  WorkspaceLimiterSettings m_Limits; ///< Used by the next restart().
  std::uint64_t m_Random = 0;
  std::uint64_t m_Sequence = 0;
  bool m_IsLeader = false;
  std::vector<ControlUpdate> m_Pushed;
  std::map<ControlSessionId, SessionHomesView>
      m_Homes; ///< Newest session homes of each session.
  std::optional<CatalogueDelta>
      m_LastCatalogue; ///< What the last renewal has brought.
  std::shared_ptr<FakeDisk> m_Disk = std::make_shared<FakeDisk>();
  std::unique_ptr<ControlNode> m_Node;
};

ServerAnnouncement announcement(const std::string &Group) {
  ServerAnnouncement Announcement;
  Announcement.m_Group = GroupId(Group);
  Announcement.m_Server = ServerId("s");
  Announcement.m_Domain = FailureDomainId("d");
  Announcement.m_Address = "10.0.0.2";
  Announcement.m_Port = 5432;
  Announcement.m_ConnectionLimit = 35;
  return Announcement;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ControlNodeTest)

// Guards against permits beyond a limit after a restart of the leader, for a
// session that has ended, or where limits are not enforced.
BOOST_AUTO_TEST_CASE(PermitsAreIssuedByTheLeaderToOpenSessions) {
  LeadingNode Leader;
  const auto Take = [&](ControlSessionId Session, std::uint32_t Needed) {
    std::optional<TakePermitsReply> Taken;
    Leader.m_Node->takePermits(
        Leader.m_Now, Session, {{WorkspaceId("w"), Needed, 0}},
        [&](const TakePermitsReply &Reply) { Taken = Reply; });
    BOOST_REQUIRE(Taken);
    return *Taken;
  };
  const ControlSessionId Session = Leader.open(1);
  BOOST_TEST((Take(Session, 1).m_Grants.m_Validity == Duration(0)));

  PutWorkspace Put;
  Put.m_Change = ChangeId("c");
  Put.m_Workspace.m_Name = WorkspaceId("w");
  Put.m_Workspace.m_Limit = {10, 5};
  Leader.m_Node->command(Leader.m_Now, Put, [](const CommandReply &Reply) {
    BOOST_TEST(Reply.m_Result.ok());
  });
  Leader.m_Limits.m_Window = seconds(5);
  Leader.m_Limits.m_Overage = 1000;
  Leader.m_Limits.m_Slack = 20;
  Leader.restart();
  BOOST_TEST((Take(Session, 1).m_Status.m_Code == ResultCode::NotLeader));
  Leader.advance(seconds(10));
  BOOST_REQUIRE(Leader.m_IsLeader);
  const ControlSessionId Again = Leader.open(2);
  const TakePermitsReply First = Take(Again, 100);
  BOOST_REQUIRE(First.m_Grants.m_Grants.size() == 1U);
  const PermitGrant Grant = First.m_Grants.m_Grants.front();
  BOOST_TEST(Grant.m_Permits > 15U);
  BOOST_TEST(Grant.m_Permits < 80U);
  BOOST_TEST((Grant.m_RetryAfter > Duration(0)));
  BOOST_TEST(Take(Again, 1).m_Grants.m_Grants.front().m_Permits == 0U);
  BOOST_TEST((Take(ControlSessionId(999), 1).m_Status.m_Code ==
              ResultCode::Unauthorized));

  Leader.restart();
  Leader.advance(milliseconds(2000));
  BOOST_REQUIRE(Leader.m_IsLeader);
  const TakePermitsReply AfterRestart = Take(Leader.open(2), 100);
  BOOST_REQUIRE(AfterRestart.m_Grants.m_Grants.size() == 1U);
  BOOST_TEST(AfterRestart.m_Grants.m_Grants.front().m_Permits <= 20U);
}

// After a cut many hosts open new sessions at once. A write to the disk for
// each of them held up the log's messages until the leader lost its quorum.
BOOST_AUTO_TEST_CASE(OpeningsInOneBatchShareWrites) {
  static constexpr std::uint64_t Hosts = 50;
  const auto OperationsFor = [](bool IsBatch) {
    LeadingNode Leader;
    std::vector<ControlSessionId> Opened;
    const std::uint64_t Before = Leader.m_Disk->operationCount();
    if (IsBatch)
      Leader.m_Node->beginBatch();
    for (std::uint64_t Host = 0; Host < Hosts; ++Host) {
      const std::string Name = "h" + std::to_string(Host);
      Leader.m_Node->openSession(Leader.m_Now,
                                 {HostId(Name), Incarnation(1),
                                  FailureDomainId("d"), "10.0.0.1", 7000},
                                 [&](const OpenSessionReply &Reply) {
                                   BOOST_TEST(Reply.m_Status.ok());
                                   Opened.push_back(Reply.m_Session);
                                 });
    }
    BOOST_TEST(Opened.size() == (IsBatch ? 0U : Hosts));
    if (IsBatch)
      Leader.m_Node->endBatch(Leader.m_Now);
    BOOST_TEST(Opened.size() == Hosts);
    return Leader.m_Disk->operationCount() - Before;
  };
  const std::uint64_t One = OperationsFor(false) / Hosts;
  BOOST_TEST(OperationsFor(true) <= 2 * One);
}

// A leader that applied its whole log at once after a restart sent no
// heartbeats meanwhile and lost its quorum, and so did each host after it.
BOOST_AUTO_TEST_CASE(RestartAppliesLogInParts) {
  constexpr std::uint64_t Hosts = 4 * MaxApplyEntries;
  LeadingNode Leader;
  for (std::uint64_t Host = 0; Host < Hosts; ++Host)
    BOOST_REQUIRE(
        (Leader.open(1, "h" + std::to_string(Host)) != ControlSessionId()));
  Leader.restart();
  std::size_t Largest = 0;
  for (const Instant End = Leader.m_Now + seconds(5);
       !Leader.m_IsLeader && Leader.m_Now < End;) {
    const std::size_t Before = Leader.m_Node->state().sessions().size();
    Leader.advance(milliseconds(10));
    const std::size_t Applied =
        Leader.m_Node->state().sessions().size() - Before;
    Largest = std::max(Largest, Applied);
  }
  BOOST_TEST(Leader.m_IsLeader);
  BOOST_TEST(Leader.m_Node->state().sessions().size() == Hosts);
  BOOST_TEST(Largest <= MaxApplyEntries);
}

// Each change of a large catalogue is an entry as large as the catalogue. The
// log was limited in entries only, and some hundred changes took a host over
// its memory.
BOOST_AUTO_TEST_CASE(LargeChangesAreCompactedByBytes) {
  constexpr std::uint64_t Changes = 300;
  constexpr std::size_t Bytes = std::size_t{1} << 20;
  constexpr std::size_t MostBytes = std::size_t{16} << 20;
  LeadingNode Leader;
  std::size_t Largest = 0;
  for (std::uint64_t Version = 1; Version <= Changes; ++Version) {
    Leader.replaceCatalogue(Version, Bytes);
    Leader.advance(milliseconds(10));
    Largest = std::max(Largest, Leader.m_Node->logBytes());
  }
  BOOST_TEST(Largest <= MostBytes);
  BOOST_TEST(Largest >= Bytes);
  BOOST_TEST((Leader.m_Node->state().catalogue().version() ==
              CatalogueVersion(Changes)));
  Leader.restart();
  Leader.advance(seconds(2));
  BOOST_TEST((Leader.m_Node->state().catalogue().version() ==
              CatalogueVersion(Changes)));
  BOOST_TEST(Leader.m_Node->logBytes() <= MostBytes);
}

// After a change of leader all entry hosts open their sessions again; one log
// entry for each of them delayed the renewals behind them.
BOOST_AUTO_TEST_CASE(ReopeningOpenSessionWritesNoLogEntry) {
  LeadingNode Leader;
  const ControlSessionId Session = Leader.open(2);
  BOOST_REQUIRE((Session != ControlSessionId()));
  BOOST_REQUIRE(Leader.renew(Session));
  // A log entry could not be written now.
  Leader.m_Disk->injectFailure(0, false);
  BOOST_TEST((Leader.open(2) == Session));
  BOOST_TEST(!Leader.m_Node->hasFailed());
  Leader.m_Disk->clearFault();
  BOOST_TEST(Leader.renew(Session));
  // Another run of the host needs an entry; an earlier one is refused.
  const ControlSessionId Next = Leader.open(3);
  BOOST_TEST((Next > Session));
  BOOST_TEST((Leader.open(2) == ControlSessionId()));
  BOOST_TEST(!Leader.renew(Session));
}

// Each push is a call to the entry process of its own, so the records of one
// step must share it.
BOOST_AUTO_TEST_CASE(RecordsOfOneStepAreOnePush) {
  LeadingNode Leader;
  const ControlSessionId Session = Leader.open(1);
  BOOST_REQUIRE(Leader.renew(Session));
  Leader.advance(seconds(1));
  Leader.m_Pushed.clear();
  Leader.m_Node->report(Leader.m_Now, {announcement("g1"), announcement("g2")},
                        {}, [](const ControlStatus &) {});
  BOOST_REQUIRE(Leader.m_Pushed.size() == 1U);
  BOOST_TEST(Leader.m_Pushed[0].m_Views.size() == 2U);
}

// Entry hosts that were down for longer than a lease restart one after the
// other. One that opens its session before the others must get their addresses
// too: an entry host that knows no other serves every group.
BOOST_AUTO_TEST_CASE(HostsThatRestartTogetherLearnOfEachOther) {
  LeadingNode Leader;
  const auto RenewAll = [&](const std::vector<ControlSessionId> &Sessions,
                            int Rounds) {
    for (int Round = 0; Round < Rounds; ++Round) {
      for (const ControlSessionId Session : Sessions)
        BOOST_REQUIRE(Leader.renew(Session));
    }
  };
  const std::vector<ControlSessionId> Before = {Leader.open(1, "h1"),
                                                Leader.open(1, "h2")};
  // The list of both hosts is prepared and comes into force.
  RenewAll(Before, 40);
  BOOST_REQUIRE(Leader.m_Homes[Before[0]].m_Active.size() == 2U);
  BOOST_REQUIRE(Leader.m_Homes[Before[1]].m_Active.size() == 2U);
  // Both hosts are down until their sessions have ended.
  Leader.advance(milliseconds(1700));
  const ControlSessionId First = Leader.open(2, "h1");
  BOOST_REQUIRE(Leader.renew(First));
  const ControlSessionId Second = Leader.open(2, "h2");
  RenewAll({First, Second}, 50);
  BOOST_TEST(Leader.m_Homes[Second].m_Active.size() == 2U);
  BOOST_TEST(Leader.m_Homes[First].m_Active.size() == 2U);
}

// A host opens its session again because its connection has failed, and with it
// whatever was on its way. It must not wait for the timeout of that.
BOOST_AUTO_TEST_CASE(ReopenedSessionGetsUnconfirmedCatalogueWithItsRenewal) {
  LeadingNode Leader;
  const ControlSessionId Session = Leader.open(1);
  BOOST_REQUIRE(Leader.renew(Session));
  Leader.m_Pushed.clear();
  Leader.replaceCatalogue(2);
  BOOST_REQUIRE(!Leader.m_Pushed.empty());
  BOOST_REQUIRE((Leader.open(1) == Session));
  BOOST_TEST(Leader.renew(Session));
  BOOST_TEST(Leader.m_LastCatalogue.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
