#include "ragwortmux/Connection/ChooseGroupHosts.h"
#include "ragwortmux/Request/RelayCore.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

namespace ragwortmux {

namespace {

using std::chrono::milliseconds;

const FailureDomainId Domain("near");
const GroupId Group("g");
const CallerConnectionId Caller(7);
constexpr Duration Deadline = milliseconds(1000);

Instant after(int Milliseconds) { return Instant(milliseconds(Milliseconds)); }

/// Nine hosts of one failure domain, and one of another.
std::vector<HomeCandidate> manyHosts() {
  std::vector<HomeCandidate> Hosts = {{HostId("far"), FailureDomainId("far")}};
  for (int Number = 0; Number < 9; ++Number)
    Hosts.push_back({HostId("h" + std::to_string(Number)), Domain});
  return Hosts;
}

std::vector<HostId> servingHosts() {
  return chooseGroupHosts(Group, Domain, manyHosts());
}

bool isServingHost(const HostId &Host) {
  const auto Hosts = servingHosts();
  return std::find(Hosts.begin(), Hosts.end(), Host) != Hosts.end();
}

/// A host of the failure domain that does not serve Group.
HostId relayingHost() {
  const auto All = manyHosts();
  const auto Found =
      std::find_if(All.begin(), All.end(), [](const HomeCandidate &Each) {
        return Each.m_Domain == Domain && !isServingHost(Each.m_Host);
      });
  return Found->m_Host;
}

RelayRouterSettings routerSettings(const HostId &Host) {
  RelayRouterSettings Settings;
  Settings.m_Host = Host;
  Settings.m_Domain = Domain;
  return Settings;
}

/// A RelayCore of a host that does not serve Group.
struct Fixture {
  Fixture() : m_Core(coreSettings()) { m_Core.router().setHosts(manyHosts()); }

  RelayCoreSettings coreSettings() {
    RelayCoreSettings Settings;
    Settings.m_Router = routerSettings(relayingHost());
    Settings.m_Router.m_IsReachable = [this](const HostId &Host) {
      return !m_Unreachable.contains(Host);
    };
    return Settings;
  }

  /// Submits a statement of \p By that arrived at \p At.
  RequestId submit(int At, StatementKind Kind, bool Writes = false,
                   CallerConnectionId By = Caller) {
    const auto Entry = std::make_shared<CatalogueEntry>();
    Entry->m_Name = EntryName("e");
    Entry->m_Group = Group;
    Entry->m_Limits.m_RequestDeadline = Deadline;
    SessionRequest Request;
    Request.m_Id = RequestId(++m_LastRequest);
    Request.m_Caller = By;
    Request.m_Entry = Entry;
    Request.m_Statement.m_Kind = Kind;
    Request.m_Statement.m_Writes = Writes;
    Request.m_State = std::make_shared<SessionState>();
    Request.m_Arrived = after(At);
    m_Actions.clear();
    m_Core.submit(after(At), Request, m_Actions);
    return Request.m_Id;
  }

  /// The host to which the last event relayed a statement; empty if none.
  HostId relayedTo() const {
    const auto *Sent = find<RelayStatement>();
    return Sent == nullptr ? HostId() : Sent->m_Host;
  }

  /// The answer of the last event; null if none.
  const SessionAnswer *answer() const { return find<SessionAnswer>(); }

  void reply(int At, const HostId &Host, ResultCode Code,
             TransactionStatus Status = TransactionStatus::Idle) {
    SessionAnswer Reply;
    Reply.m_Code = Code;
    Reply.m_Status = Status;
    m_Actions.clear();
    m_Core.answered(after(At), Host, RequestId(m_LastRequest), Reply,
                    m_Actions);
  }

  void loseAnswer(int At, const HostId &Host) {
    m_Actions.clear();
    m_Core.answered(after(At), Host, RequestId(m_LastRequest), std::nullopt,
                    m_Actions);
  }

  /// Opens a transaction of Caller; returns its host.
  HostId begin() {
    submit(0, StatementKind::Begin);
    HostId Host = relayedTo();
    reply(1, Host, ResultCode::Ok, TransactionStatus::InTransaction);
    return Host;
  }

  template <typename Action> const Action *find() const {
    for (const RelayAction &Each : m_Actions) {
      if (const auto *Found = std::get_if<Action>(&Each))
        return Found;
    }
    return nullptr;
  }

  /// Number of actions of one type of the last event.
  template <typename Action> std::ptrdiff_t count() const {
    return std::count_if(m_Actions.begin(), m_Actions.end(),
                         [](const RelayAction &Each) {
                           return std::holds_alternative<Action>(Each);
                         });
  }

  std::set<HostId> m_Unreachable; ///< Hosts that cannot be connected to.
  std::uint64_t m_LastRequest = 0;
  RelayActions m_Actions; ///< Actions of the last event.
  RelayCore m_Core;
};

} // namespace

BOOST_AUTO_TEST_SUITE(RelayRouterTest)

BOOST_AUTO_TEST_CASE(ServesAllGroupsOnlyWithoutOtherHostsInDomain) {
  const std::vector<HomeCandidate> Own = {{HostId("h0"), Domain}};
  const std::vector<HomeCandidate> Far = {
      {HostId("f"), FailureDomainId("far")}};
  const std::vector<HomeCandidate> Four = {{HostId("h0"), Domain},
                                           {HostId("h1"), Domain},
                                           {HostId("h2"), Domain},
                                           {HostId("h3"), Domain}};
  const std::set<GroupId> Known = {Group, GroupId("other")};
  const struct {
    const char *m_Name;
    std::optional<std::vector<HomeCandidate>> m_Hosts;
    std::optional<std::set<GroupId>> m_Served;
  } Cases[] = {{"hosts unknown", std::nullopt, std::set<GroupId>()},
               {"empty list", std::vector<HomeCandidate>(), std::nullopt},
               {"only this host", Own, std::nullopt},
               {"only other domains", Far, std::nullopt},
               {"four hosts", Four, Known}};
  for (const auto &Case : Cases) {
    BOOST_TEST_CONTEXT(Case.m_Name) {
      RelayRouter Router(routerSettings(HostId("h0")));
      Router.setGroups(Known);
      if (Case.m_Hosts)
        Router.setHosts(*Case.m_Hosts);
      BOOST_TEST((Router.servedGroups() == Case.m_Served));
      // Without other hosts, statements run here.
      BOOST_TEST(Router.isServing(Group));
    }
  }
}

BOOST_AUTO_TEST_CASE(OnlyChosenHostsServeGroup) {
  for (const HomeCandidate &Each : manyHosts()) {
    if (Each.m_Domain != Domain)
      continue;
    RelayRouter Router(routerSettings(Each.m_Host));
    Router.setHosts(manyHosts());
    BOOST_TEST(Router.isServing(Group) == isServingHost(Each.m_Host));
    Router.setGroups({Group});
    BOOST_TEST(Router.servedGroups()->contains(Group) ==
               isServingHost(Each.m_Host));
  }
}

BOOST_AUTO_TEST_CASE(SpreadsCallersOverServingHosts) {
  RelayRouter Router(routerSettings(relayingHost()));
  Router.setHosts(manyHosts());
  Router.setGroups({Group});
  std::map<HostId, int> Chosen;
  for (std::uint64_t Number = 0; Number < 40; ++Number)
    ++Chosen[*Router.choose(after(0), Group, CallerConnectionId(Number), {},
                            {})];
  BOOST_TEST(Chosen.size() == MaxGroupHostsPerDomain);
  for (const auto &[Host, Callers] : Chosen) {
    BOOST_TEST(isServingHost(Host));
    BOOST_TEST(Callers >= 9);
    BOOST_TEST(Callers <= 11);
  }
}

// Guards against connections of a workspace at every serving host, of which
// each is then used too seldom to be kept.
BOOST_AUTO_TEST_CASE(CallersOfWorkspaceShareServingHost) {
  std::map<HostId, int> Workspaces;
  for (int Number = 0; Number < 100; ++Number) {
    const WorkspaceId Each("w" + std::to_string(Number));
    std::set<HostId> Chosen;
    for (const std::uint64_t Caller : {1, 2, 3, 4, 5}) {
      RelayRouter Router(routerSettings(relayingHost()));
      Router.setHosts(manyHosts());
      Router.setGroups({Group});
      Chosen.insert(*Router.choose(after(0), Group, CallerConnectionId(Caller),
                                   Each, {}));
    }
    BOOST_TEST(Chosen.size() == 1U);
    ++Workspaces[*Chosen.begin()];
  }
  BOOST_TEST(Workspaces.size() == MaxGroupHostsPerDomain);
  for (const auto &[Host, Count] : Workspaces)
    BOOST_TEST(Count >= 10);
}

// Guards against a workspace without service while its host has failed.
BOOST_AUTO_TEST_CASE(WorkspaceOfFailedHostMovesToAnother) {
  RelayRouter Router(routerSettings(relayingHost()));
  Router.setHosts(manyHosts());
  Router.setGroups({Group});
  const WorkspaceId Workspace("w");
  const HostId First = *Router.choose(after(0), Group, Caller, Workspace, {});
  Router.hostFailed(after(0), First);
  BOOST_TEST((Router.choose(after(1), Group, Caller, Workspace, {}) != First));
  BOOST_TEST(
      (Router.choose(after(501), Group, Caller, Workspace, {}) == First));
}

BOOST_AUTO_TEST_CASE(ServingHostsPerDomainAreLimitedBySettings) {
  RelayRouterSettings Settings = routerSettings(relayingHost());
  Settings.m_HostsPerDomain = 2;
  RelayRouter Router(Settings);
  Router.setHosts(manyHosts());
  Router.setGroups({Group});
  std::set<HostId> Chosen;
  for (std::uint64_t Number = 0; Number < 40; ++Number)
    Chosen.insert(
        *Router.choose(after(0), Group, CallerConnectionId(Number), {}, {}));
  BOOST_TEST(Chosen.size() == 2U);
}

// Guards against an overload of the hosts that happen to serve many groups.
BOOST_AUTO_TEST_CASE(HostOfManyGroupsGetsFewerCallersOfEach) {
  constexpr int HostCount = 26;
  std::vector<HomeCandidate> Hosts;
  Hosts.reserve(HostCount);
  for (int Number = 0; Number < HostCount; ++Number)
    Hosts.push_back({HostId("h" + std::to_string(Number)), Domain});
  std::set<GroupId> Groups;
  for (int Number = 0; Number < 8; ++Number)
    Groups.insert(GroupId("g" + std::to_string(Number)));
  std::map<HostId, std::size_t> Counts;
  for (const GroupId &Each : Groups) {
    for (const HostId &Host : chooseGroupHosts(Each, Domain, Hosts))
      ++Counts[Host];
  }
  std::map<HostId, int> Callers;
  constexpr int CallersPerGroup = 100;
  RelayRouter Router(routerSettings(HostId("h0")));
  Router.setHosts(Hosts);
  Router.setGroups(Groups);
  for (const GroupId &Each : Groups) {
    for (std::uint64_t Number = 0; Number < CallersPerGroup; ++Number)
      ++Callers[*Router.choose(after(0), Each, CallerConnectionId(Number), {},
                               {})];
  }
  for (const auto &[Host, Count] : Counts) {
    if (Count < 3)
      continue;
    // An equal share of each group would be 25 callers a group.
    BOOST_TEST(Callers[Host] < 20 * static_cast<int>(Count));
  }
  const auto Most = std::max_element(Callers.begin(), Callers.end(),
                                     [](const auto &Left, const auto &Right) {
                                       return Left.second < Right.second;
                                     });
  BOOST_TEST_MESSAGE("most callers of a host: " << Most->second);
  BOOST_TEST(Most->second < 70);
}

BOOST_AUTO_TEST_CASE(PausedHostIsUsedOnlyWithoutAnother) {
  RelayRouter Router(routerSettings(relayingHost()));
  Router.setHosts(manyHosts());
  const HostId First = *Router.choose(after(0), Group, Caller, {}, {});
  Router.hostFailed(after(0), First);
  BOOST_TEST((Router.choose(after(1), Group, Caller, {}, {}) != First));
  BOOST_TEST((Router.choose(after(500), Group, Caller, {}, {}) == First));
  Router.hostFailed(after(500), First);
  Router.hostAnswered(First);
  BOOST_TEST((Router.choose(after(501), Group, Caller, {}, {}) == First));
  for (const HostId &Host : servingHosts())
    Router.hostFailed(after(600), Host);
  BOOST_TEST((Router.choose(after(601), Group, Caller, {}, {}) == First));
  BOOST_TEST(!Router.choose(after(601), Group, Caller, {}, servingHosts()));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(RelayCoreTest, Fixture)

BOOST_AUTO_TEST_CASE(ForwardsAnswerWithOwnIds) {
  const RequestId Request = submit(0, StatementKind::Read);
  const HostId Host = relayedTo();
  BOOST_TEST(isServingHost(Host));
  BOOST_TEST(m_Core.isUsing(Host));
  SessionAnswer Reply;
  Reply.m_Request = RequestId(999);
  Reply.m_Caller = CallerConnectionId(999);
  Reply.m_Point = LogPoint{Term(1), LogPosition(5)};
  Reply.m_Written = Reply.m_Point;
  Reply.m_IsWriteUnplaced = true;
  Reply.m_PrimaryPoint = Reply.m_Point;
  m_Actions.clear();
  m_Core.answered(after(1), HostId("other"), Request, Reply, m_Actions);
  BOOST_TEST(m_Actions.empty());
  m_Core.answered(after(1), Host, Request, Reply, m_Actions);
  BOOST_REQUIRE(answer() != nullptr);
  BOOST_TEST((answer()->m_Request == Request));
  BOOST_TEST((answer()->m_Caller == Caller));
  BOOST_TEST((answer()->m_Group == Group));
  BOOST_TEST((answer()->m_Written == Reply.m_Written));
  BOOST_TEST(answer()->m_IsWriteUnplaced);
  BOOST_TEST((answer()->m_PrimaryPoint == Reply.m_PrimaryPoint));
  BOOST_TEST(m_Core.pending() == 0U);
  BOOST_TEST(!m_Core.isUsing(Host));
}

BOOST_AUTO_TEST_CASE(StatementsOfTransactionStayAtItsHost) {
  const HostId Host = begin();
  BOOST_TEST((m_Core.transactionGroup(Caller) == Group));
  m_Core.router().hostFailed(after(2), Host);
  m_Core.drain();
  submit(3, StatementKind::Write, true);
  BOOST_TEST((relayedTo() == Host));
  reply(4, Host, ResultCode::RanFailed, TransactionStatus::Failed);
  submit(5, StatementKind::Rollback);
  BOOST_TEST((relayedTo() == Host));
  reply(6, Host, ResultCode::Ok);
  BOOST_TEST(!m_Core.transactionGroup(Caller));
  BOOST_TEST(m_Core.openTransactions() == 0U);
}

BOOST_AUTO_TEST_CASE(MissingAnswerEndsStatementOrTriesNextHost) {
  enum class Start { None, Transaction, WritingTransaction };
  const struct {
    const char *m_Name;
    Start m_Start;
    StatementKind m_Kind;
    bool m_Writes;
    std::optional<ResultCode> m_Code; ///< None: the next host gets it.
  } Cases[] = {
      {"read", Start::None, StatementKind::Read, false, std::nullopt},
      {"begin", Start::None, StatementKind::Begin, false, std::nullopt},
      {"begin read", Start::None, StatementKind::BeginRead, false,
       std::nullopt},
      {"execute of a read", Start::None, StatementKind::Execute, false,
       std::nullopt},
      {"write", Start::None, StatementKind::Write, true,
       ResultCode::OutcomeUnknown},
      {"execute of a write", Start::None, StatementKind::Execute, true,
       ResultCode::OutcomeUnknown},
      {"read in transaction", Start::Transaction, StatementKind::Read, false,
       ResultCode::NotRunRolledBack},
      {"write in transaction", Start::Transaction, StatementKind::Write, true,
       ResultCode::NotRunRolledBack},
      {"commit without a write", Start::Transaction, StatementKind::Commit,
       false, ResultCode::NotRunRolledBack},
      {"commit", Start::WritingTransaction, StatementKind::Commit, false,
       ResultCode::OutcomeUnknown},
      {"rollback", Start::WritingTransaction, StatementKind::Rollback, false,
       ResultCode::NotRunRolledBack}};
  for (const auto &Case : Cases) {
    BOOST_TEST_CONTEXT(Case.m_Name) {
      Fixture Each;
      if (Case.m_Start != Start::None)
        Each.begin();
      if (Case.m_Start == Start::WritingTransaction) {
        Each.submit(2, StatementKind::Write, true);
        Each.reply(3, Each.relayedTo(), ResultCode::Ok,
                   TransactionStatus::InTransaction);
      }
      Each.submit(4, Case.m_Kind, Case.m_Writes);
      const HostId First = Each.relayedTo();
      Each.loseAnswer(5, First);
      // The release comes first: it must not end what follows it.
      const bool IsReleased =
          !Each.m_Actions.empty() &&
          std::holds_alternative<ReleaseRelayedCaller>(Each.m_Actions.front());
      BOOST_TEST(IsReleased ==
                 (Case.m_Start != Start::None || isBegin(Case.m_Kind)));
      if (IsReleased)
        BOOST_TEST((Each.find<ReleaseRelayedCaller>()->m_Host == First));
      BOOST_TEST(Each.count<ReleaseRelayedCaller>() == (IsReleased ? 1 : 0));
      BOOST_TEST((Each.answer() != nullptr) == Case.m_Code.has_value());
      BOOST_TEST(Each.m_Core.openTransactions() == 0U);
      if (Case.m_Code) {
        BOOST_TEST((Each.answer()->m_Code == *Case.m_Code));
        BOOST_TEST((Each.answer()->m_Status == TransactionStatus::Idle));
        BOOST_TEST((Each.relayedTo() == HostId()));
        continue;
      }
      BOOST_TEST((Each.relayedTo() != First));
      BOOST_TEST(isServingHost(Each.relayedTo()));
    }
  }
}

BOOST_AUTO_TEST_CASE(RepeatsEndAtDeadlineAndAfterMaxTries) {
  const struct {
    StatementKind m_Kind;
    int m_Step; ///< Milliseconds between two losses.
    int m_Tries;
    ResultCode m_Code;
  } Cases[] = {{StatementKind::Read, 1, 4, ResultCode::OutcomeUnknown},
               {StatementKind::Begin, 1, 4, ResultCode::NotRunRolledBack},
               {StatementKind::Read, 1000, 1, ResultCode::OutcomeUnknown},
               {StatementKind::Read, 600, 2, ResultCode::OutcomeUnknown}};
  for (const auto &Case : Cases) {
    Fixture Each;
    Each.submit(0, Case.m_Kind);
    int Tries = 0;
    while (Each.relayedTo() != HostId()) {
      ++Tries;
      Each.loseAnswer(Tries * Case.m_Step, Each.relayedTo());
    }
    BOOST_TEST(Tries == Case.m_Tries);
    BOOST_REQUIRE(Each.answer() != nullptr);
    BOOST_TEST((Each.answer()->m_Code == Case.m_Code));
  }
}

BOOST_AUTO_TEST_CASE(RefusalThatAnotherHostMayAvoidIsTriedAtEachHost) {
  const struct {
    ResultCode m_Code;
    bool m_IsTried;
  } Cases[] = {{ResultCode::NotRunDraining, true},
               {ResultCode::NotRunNoLease, true},
               {ResultCode::NotRunNoConnection, true},
               {ResultCode::NotRunCatalogueDiffers, true},
               {ResultCode::NotRunDeadline, false},
               {ResultCode::NotRunQueueFull, false},
               {ResultCode::NotRunNoPrimary, false},
               {ResultCode::RanFailed, false},
               {ResultCode::OutcomeUnknown, false}};
  for (const auto &Case : Cases) {
    BOOST_TEST_CONTEXT(resultCodeInfo(Case.m_Code).m_Name) {
      Fixture Each;
      Each.submit(0, StatementKind::Write, true);
      const HostId First = Each.relayedTo();
      Each.reply(1, First, Case.m_Code);
      BOOST_TEST((Each.relayedTo() != HostId()) == Case.m_IsTried);
      BOOST_TEST((Each.answer() == nullptr) == Case.m_IsTried);
      if (!Case.m_IsTried)
        continue;
      std::set<HostId> Tried = {First};
      while (Each.relayedTo() != HostId()) {
        const HostId Next = Each.relayedTo();
        BOOST_TEST(isServingHost(Next));
        BOOST_REQUIRE(Tried.insert(Next).second);
        BOOST_TEST(Each.answer() == nullptr);
        Each.reply(2, Next, Case.m_Code);
      }
      BOOST_TEST(Tried.size() == servingHosts().size());
      BOOST_REQUIRE(Each.answer() != nullptr);
      BOOST_TEST((Each.answer()->m_Code == Case.m_Code));
    }
  }
}

// Guards against a write that reaches a draining host as its process ends:
// answers in the host's open transactions made it look ready for new ones.
BOOST_AUTO_TEST_CASE(DrainingHostGetsNoNewStatementsWhileOthersCanRunThem) {
  const HostId Draining = begin();
  CallerConnectionId Other(Caller.value() + 1);
  while (m_Core.router().choose(after(2), Group, Other, {}, {}) != Draining)
    Other = CallerConnectionId(Other.value() + 1);
  submit(3, StatementKind::Write, true, Other);
  reply(4, Draining, ResultCode::NotRunDraining);
  reply(5, relayedTo(), ResultCode::Ok);
  for (const int At : {100, 400, 700, 3000}) {
    submit(At, StatementKind::Read);
    reply(At + 1, Draining, ResultCode::Ok, TransactionStatus::InTransaction);
    submit(At + 2, StatementKind::Write, true, Other);
    BOOST_TEST((relayedTo() != Draining));
    reply(At + 3, relayedTo(), ResultCode::Ok);
  }
  // Its next process serves again.
  m_Core.hostLost(after(4000), Draining);
  submit(6000, StatementKind::Write, true, Other);
  BOOST_TEST((relayedTo() == Draining));
}

// Hosts get a change of the catalogue at slightly different times. Avoiding
// those that have refused meanwhile would move all callers to the others.
BOOST_AUTO_TEST_CASE(HostWithAnotherCatalogueIsNotAvoidedLater) {
  const struct {
    ResultCode m_Code;
    bool m_IsAvoided;
  } Cases[] = {{ResultCode::NotRunCatalogueDiffers, false},
               {ResultCode::NotRunNoLease, true}};
  for (const auto &Case : Cases) {
    BOOST_TEST_CONTEXT(resultCodeInfo(Case.m_Code).m_Name) {
      Fixture Each;
      Each.submit(0, StatementKind::Read);
      const HostId First = Each.relayedTo();
      Each.reply(1, First, Case.m_Code);
      Each.reply(2, Each.relayedTo(), ResultCode::Ok);
      Each.submit(3, StatementKind::Read);
      BOOST_TEST((Each.relayedTo() != First) == Case.m_IsAvoided);
    }
  }
}

// Guards against a refusal of what two of the four serving hosts could run.
BOOST_AUTO_TEST_CASE(TwoDrainingHostsDoNotRefuseCaller) {
  submit(0, StatementKind::Write, true);
  reply(1, relayedTo(), ResultCode::NotRunDraining);
  reply(2, relayedTo(), ResultCode::NotRunNoLease);
  const HostId Third = relayedTo();
  BOOST_REQUIRE((Third != HostId()));
  reply(3, Third, ResultCode::Ok);
  BOOST_REQUIRE(answer() != nullptr);
  BOOST_TEST((answer()->m_Code == ResultCode::Ok));
}

BOOST_AUTO_TEST_CASE(RefusalsAreTriedElsewhereOnlyBeforeDeadline) {
  submit(0, StatementKind::Write, true);
  reply(400, relayedTo(), ResultCode::NotRunNoLease);
  reply(800, relayedTo(), ResultCode::NotRunNoLease);
  BOOST_TEST((relayedTo() != HostId()));
  reply(1200, relayedTo(), ResultCode::NotRunNoLease);
  BOOST_TEST((relayedTo() == HostId()));
  BOOST_REQUIRE(answer() != nullptr);
  BOOST_TEST((answer()->m_Code == ResultCode::NotRunNoLease));
}

BOOST_AUTO_TEST_CASE(RefusingHostIsPausedUnlessStatementWasLate) {
  const struct {
    int m_RepliedAt;
    bool m_IsPaused;
  } Cases[] = {{999, true}, {1000, false}};
  for (const auto &Case : Cases) {
    Fixture Each;
    Each.submit(0, StatementKind::Read);
    const HostId First = Each.relayedTo();
    Each.reply(Case.m_RepliedAt, First, ResultCode::NotRunNoConnection);
    Each.submit(1001, StatementKind::Read);
    BOOST_TEST((Each.relayedTo() != First) == Case.m_IsPaused);
  }
}

// A call may fail, or its answer be unreadable, while the connection stays. The
// caller is told that its transaction was rolled back, so the host must roll it
// back: the caller's next statement at that host would run inside it.
BOOST_AUTO_TEST_CASE(MissingAnswerInTransactionReleasesCaller) {
  const HostId Host = begin();
  submit(2, StatementKind::Write, true);
  loseAnswer(3, Host);
  BOOST_REQUIRE(answer() != nullptr);
  BOOST_TEST((answer()->m_Code == ResultCode::NotRunRolledBack));
  const auto *Released = find<ReleaseRelayedCaller>();
  BOOST_REQUIRE(Released != nullptr);
  BOOST_TEST((Released->m_Host == Host));
}

// Guards against a statement that is never answered, or answered twice.
BOOST_AUTO_TEST_CASE(EachStatementIsAnsweredOnce) {
  std::mt19937 Random(20); // NOLINT(cert-msc32-c,cert-msc51-cpp)
  const auto Choose = [&](std::uint32_t Count) { return Random() % Count; };
  const StatementKind Kinds[] = {StatementKind::Read, StatementKind::Write,
                                 StatementKind::Begin, StatementKind::Commit};
  const ResultCode Codes[] = {ResultCode::Ok, ResultCode::NotRunNoLease,
                              ResultCode::NotRunDeadline,
                              ResultCode::RanFailed};
  int At = 0;
  for (int Run = 0; Run < 5000; ++Run) {
    At += static_cast<int>(Choose(300));
    const StatementKind Kind = Kinds[Choose(4)];
    const RequestId Id = submit(At, Kind, Kind == StatementKind::Write);
    std::size_t Answers = 0;
    const auto Count = [&] {
      for (const RelayAction &Each : m_Actions)
        Answers += std::holds_alternative<SessionAnswer>(Each) ? 1 : 0;
    };
    Count();
    for (int Step = 0; Step < 4; ++Step) {
      const HostId Host = relayedTo();
      const std::uint32_t Event = Choose(6);
      m_Actions.clear();
      if (Event == 0)
        loseAnswer(At, Host);
      else if (Event == 1)
        m_Core.hostLost(after(At), Host);
      else if (Event == 2)
        reply(At, Host, ResultCode::Ok, TransactionStatus::InTransaction);
      else
        reply(At, Host, Codes[Choose(4)]);
      Count();
    }
    m_Actions.clear();
    m_Core.expire(after(At + 1100), Id, m_Actions);
    Count();
    BOOST_TEST(Answers == 1U);
    BOOST_TEST(m_Core.pending() == 0U);
    BOOST_TEST(m_Core.openTransactions() <= 1U);
  }
}

BOOST_AUTO_TEST_CASE(RefusedStatementOfTransactionIsNotTriedElsewhere) {
  const HostId Host = begin();
  submit(2, StatementKind::Read);
  reply(3, Host, ResultCode::NotRunNoConnection);
  BOOST_REQUIRE(answer() != nullptr);
  BOOST_TEST((answer()->m_Code == ResultCode::NotRunNoConnection));
  BOOST_TEST(m_Core.openTransactions() == 0U);
  // The host may still have the transaction.
  const auto *Release = find<ReleaseRelayedCaller>();
  BOOST_REQUIRE(Release != nullptr);
  BOOST_TEST((Release->m_Host == Host));
}

BOOST_AUTO_TEST_CASE(RefusesAtOnceWithoutReachableHost) {
  for (const HostId &Host : servingHosts())
    m_Unreachable.insert(Host);
  submit(0, StatementKind::Read);
  BOOST_REQUIRE(answer() != nullptr);
  BOOST_TEST((answer()->m_Code == ResultCode::NotRunNoConnection));
  BOOST_TEST((relayedTo() == HostId()));
}

BOOST_AUTO_TEST_CASE(SilentHostNeverLeavesCallerWithoutAnswer) {
  const struct {
    bool m_InTransaction;
    StatementKind m_Kind;
    bool m_Writes;
    ResultCode m_Code;
  } Cases[] = {
      {false, StatementKind::Read, false, ResultCode::OutcomeUnknown},
      {false, StatementKind::Write, true, ResultCode::OutcomeUnknown},
      {false, StatementKind::Begin, false, ResultCode::NotRunRolledBack},
      {true, StatementKind::Write, true, ResultCode::NotRunRolledBack},
      {true, StatementKind::Commit, false, ResultCode::NotRunRolledBack}};
  for (const auto &Case : Cases) {
    Fixture Each;
    if (Case.m_InTransaction)
      Each.begin();
    const RequestId Request = Each.submit(2, Case.m_Kind, Case.m_Writes);
    const auto *Sent = Each.find<RelayStatement>();
    BOOST_REQUIRE(Sent != nullptr);
    const HostId Host = Sent->m_Host;
    const Instant Expiry = Each.m_Core.expiry(Sent->m_Request);
    BOOST_TEST((Expiry > after(2) + Deadline));
    BOOST_TEST((Expiry <= after(102) + Deadline));
    Each.m_Actions.clear();
    Each.m_Core.expire(Expiry, Request, Each.m_Actions);
    BOOST_REQUIRE(Each.answer() != nullptr);
    BOOST_TEST((Each.answer()->m_Code == Case.m_Code));
    // The host rolls back what it may have begun.
    const auto *Release = Each.find<ReleaseRelayedCaller>();
    BOOST_REQUIRE(Release != nullptr);
    BOOST_TEST((Release->m_Host == Host));
    // Neither a second expiry nor a late answer has an effect.
    Each.m_Actions.clear();
    Each.m_Core.expire(Expiry, Request, Each.m_Actions);
    BOOST_TEST(Each.m_Actions.empty());
    Each.reply(1200, Host, ResultCode::Ok, TransactionStatus::InTransaction);
    BOOST_TEST(Each.m_Actions.empty());
    BOOST_TEST(Each.m_Core.openTransactions() == 0U);
  }
}

BOOST_AUTO_TEST_CASE(LostConnectionRollsIdleTransactionBack) {
  const struct {
    StatementKind m_Kind;
    ResultCode m_Code;
  } Cases[] = {{StatementKind::Read, ResultCode::NotRunRolledBack},
               {StatementKind::Commit, ResultCode::NotRunRolledBack},
               {StatementKind::Rollback, ResultCode::Ok}};
  for (const auto &Case : Cases) {
    Fixture Each;
    Each.m_Core.hostLost(after(2), Each.begin());
    Each.submit(3, Case.m_Kind);
    BOOST_REQUIRE(Each.answer() != nullptr);
    BOOST_TEST((Each.answer()->m_Code == Case.m_Code));
    BOOST_TEST((Each.answer()->m_Status == TransactionStatus::Idle));
    BOOST_TEST((Each.relayedTo() == HostId()));
    // The next transaction begins at another host.
    Each.submit(4, StatementKind::Begin);
    BOOST_TEST((Each.relayedTo() != HostId()));
  }
}

BOOST_AUTO_TEST_CASE(DisconnectedCallerIsReleasedAtItsHost) {
  for (const bool InTransaction : {false, true}) {
    Fixture Each;
    if (InTransaction)
      Each.begin();
    else
      Each.submit(0, StatementKind::Read);
    Each.m_Actions.clear();
    Each.m_Core.callerDisconnected(Caller, Each.m_Actions);
    BOOST_TEST(Each.m_Actions.size() == 1U);
    BOOST_TEST(Each.find<ReleaseRelayedCaller>() != nullptr);
    BOOST_TEST(Each.m_Core.pending() == 0U);
    BOOST_TEST(Each.m_Core.openTransactions() == 0U);
  }
}

BOOST_AUTO_TEST_CASE(DrainRefusesNewAndEndsIdleTransactions) {
  const HostId Host = begin();
  m_Core.drain();
  m_Actions.clear();
  m_Core.endTransactions(m_Actions);
  BOOST_REQUIRE(find<ReleaseRelayedCaller>() != nullptr);
  BOOST_TEST((find<ReleaseRelayedCaller>()->m_Host == Host));
  submit(3, StatementKind::Commit);
  BOOST_TEST((answer()->m_Code == ResultCode::NotRunRolledBack));
  submit(4, StatementKind::Begin);
  BOOST_TEST((answer()->m_Code == ResultCode::NotRunDraining));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ragwortmux
