#include "SessionFixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <string>

namespace ragwortmux::test {

namespace {

/// One server for writes with 5 slots and connections; statements have a
/// deadline of 1 s.
class SheddingCore {
public:
  explicit SheddingCore(
      const std::function<void(SessionCoreSettings &)> &Change,
      bool UsesWorkspaces = false)
      : m_Core(Group, settings(Change)) {
    m_Core.setUsesWorkspaces(UsesWorkspaces);
    m_Core.leaseExtended(m_Now, m_Now + seconds(100), m_Actions);
    setSlots(5);
  }

  void setSlots(std::uint32_t Slots) {
    GroupView View;
    View.m_Group = Group;
    View.m_Revision = Revision(++m_Revision);
    View.m_Term = Term(1);
    View.m_Primary = S1;
    ServerView Server;
    Server.m_Server = S1;
    Server.m_ConnectionShare = 5;
    Server.m_Slots = Slots;
    View.m_Servers.push_back(Server);
    m_Core.viewChanged(m_Now, View, m_Actions);
    collect();
  }

  RequestId submit(StatementKind Kind = StatementKind::Write,
                   const WorkspaceId &Workspace = WorkspaceId(),
                   std::uint32_t Priority = 0, std::size_t Bytes = 1,
                   std::uint64_t Caller = 0) {
    auto Entry = std::make_shared<CatalogueEntry>();
    Entry->m_Class = TrafficClass::PrimarySession;
    Entry->m_Limits.m_RequestDeadline = seconds(1);
    Entry->m_Limits.m_Priority = Priority;
    Entry->m_Limits.m_TransactionIdle = milliseconds(300);
    SessionRequest Request;
    Request.m_Id = RequestId(++m_LastRequest);
    Request.m_Caller =
        CallerConnectionId(Caller > 0 ? Caller : 1000 + m_LastRequest);
    Request.m_Entry = Entry;
    Request.m_Workspace = Workspace;
    Request.m_Statement.m_Kind = Kind;
    Request.m_Statement.m_Writes = Kind == StatementKind::Write;
    Request.m_Statement.m_Text.resize(Bytes);
    Request.m_State = std::make_shared<SessionState>();
    Request.m_Arrived = m_Now;
    m_Core.submit(m_Now, Request, m_Actions);
    collect();
    return Request.m_Id;
  }
  void reply(const RunStatement &Run,
             TransactionStatus Status = TransactionStatus::Idle) {
    StatementReply Reply;
    Reply.m_Status = Status;
    m_Core.statementAnswered(m_Now, Run.m_Connection, Reply, m_Actions);
    collect();
  }
  void lose(ConnectionId Connection) {
    m_Core.connectionLost(m_Now, Connection, m_Actions);
    collect();
  }
  /// Statements arrive and take 50 ms each, five at a time.
  void serve(int Rounds) {
    for (int Round = 0; Round < Rounds; ++Round) {
      while (m_Runs.size() < 5)
        submit();
      advance(milliseconds(50));
      for (const RunStatement &Run : std::exchange(m_Runs, {}))
        reply(Run);
    }
  }
  void advance(Duration Length) {
    const Instant End = m_Now + Length;
    while (const auto Next = m_Core.nextDeadline()) {
      const Instant At = std::max(*Next, m_Now + milliseconds(1));
      if (At > End)
        break;
      m_Now = At;
      m_Core.tick(m_Now, m_Actions);
      collect();
    }
    m_Now = std::max(m_Now, End);
  }
  std::size_t count(ResultCode Code) const {
    return static_cast<std::size_t>(std::ranges::count(
        m_Answers, Code, [](const auto &Each) { return Each.second; }));
  }
  bool isRefused(RequestId Id) const {
    const auto Found = m_Answers.find(Id);
    return Found != m_Answers.end() &&
           Found->second == ResultCode::NotRunQueueFull;
  }

  Instant m_Now{seconds(100)};
  SessionCore m_Core;
  std::vector<RunStatement> m_Runs;
  std::map<RequestId, ResultCode> m_Answers;
  std::vector<ShedReason> m_Reasons; ///< Of the records of refusals.

private:
  static SessionCoreSettings
  settings(const std::function<void(SessionCoreSettings &)> &Change) {
    SessionCoreSettings Settings;
    Settings.m_ShedLoad = true;
    Change(Settings);
    return Settings;
  }
  void collect() {
    while (!m_Actions.empty()) {
      for (const SessionAction &Action : std::exchange(m_Actions, {})) {
        if (const auto *Opening = std::get_if<OpenSessionConnection>(&Action))
          m_Core.connectionOpened(m_Now, Opening->m_Connection, m_Actions);
        else if (const auto *Run = std::get_if<RunStatement>(&Action))
          m_Runs.push_back(*Run);
        else if (const auto *Answer = std::get_if<SessionAnswer>(&Action))
          m_Answers[Answer->m_Request] = Answer->m_Code;
        else if (const auto *Record =
                     std::get_if<SessionDecisionRecord>(&Action);
                 Record && Record->m_Shed != ShedReason::None)
          m_Reasons.push_back(Record->m_Shed);
      }
    }
  }

  SessionActions m_Actions;
  std::uint64_t m_Revision = 0;
  std::uint64_t m_LastRequest = 0;
};

const std::function<void(SessionCoreSettings &)> NoChange =
    [](SessionCoreSettings &) {};

} // namespace

BOOST_AUTO_TEST_SUITE(SheddingTest)

// Guards against statements that wait until their deadline for nothing, and
// against a refusal that nobody asked for.
BOOST_DATA_TEST_CASE(OnlyStatementsThatCannotBeServedAreRefused,
                     boost::unit_test::data::make({false, true}), ShedsLoad) {
  SheddingCore Core(
      [&](SessionCoreSettings &Settings) { Settings.m_ShedLoad = ShedsLoad; });
  Core.serve(10);
  // 100 statements a second are served, so about 125 are with the margin.
  for (int Index = 0; Index < 300; ++Index)
    Core.submit();
  const std::size_t Refused = Core.count(ResultCode::NotRunQueueFull);
  BOOST_TEST((Refused > 0) == ShedsLoad);
  if (!ShedsLoad)
    return;
  BOOST_TEST(Core.m_Core.waiting() >= 100U);
  BOOST_TEST(Core.m_Core.waiting() <= 150U);
  BOOST_TEST((Core.m_Reasons ==
              std::vector<ShedReason>(Refused, ShedReason::Deadline)));
}

// Guards against refusals on no observations: a host that has just started, or
// callers that all reconnect at once.
BOOST_AUTO_TEST_CASE(NothingIsRefusedWithoutObservations) {
  SheddingCore Core(NoChange);
  for (int Index = 0; Index < 300; ++Index)
    Core.submit();
  BOOST_TEST(Core.count(ResultCode::NotRunQueueFull) == 0U);
}

// Guards against a statement that waits behind others of a higher priority
// until its deadline.
BOOST_AUTO_TEST_CASE(WaitingStatementIsRefusedOnceItsTurnIsTooFarAway) {
  SheddingCore Core(NoChange);
  Core.serve(10);
  for (int Index = 0; Index < 5; ++Index)
    Core.submit();
  const RequestId Low = Core.submit(StatementKind::Write, WorkspaceId(), 1);
  BOOST_TEST(!Core.isRefused(Low));
  for (int Index = 0; Index < 110; ++Index)
    Core.submit();
  BOOST_TEST(!Core.isRefused(Low));
  Core.advance(milliseconds(400));
  BOOST_TEST(Core.isRefused(Low));
}

// Guards against a core that does not pass the priority on to its queue.
BOOST_AUTO_TEST_CASE(HigherPriorityIsSentFirst) {
  SheddingCore Core(NoChange);
  while (Core.m_Runs.size() < 5)
    Core.submit();
  const RequestId Low = Core.submit(StatementKind::Write, WorkspaceId(), 1);
  const RequestId High = Core.submit();
  for (const RequestId Expected : {High, Low}) {
    Core.reply(Core.m_Runs.at(0));
    Core.reply(Core.m_Runs.back());
    Core.m_Runs.erase(Core.m_Runs.begin());
    BOOST_TEST((Core.m_Answers.at(Expected) == ResultCode::Ok));
    BOOST_TEST(Core.m_Answers.contains(Low) == (Expected == Low));
  }
}

// Guards against a queue without bounds.
BOOST_AUTO_TEST_CASE(QueueIsBoundedInNumberAndBytes) {
  for (const bool ByBytes : {false, true}) {
    SheddingCore Core([&](SessionCoreSettings &Settings) {
      Settings.m_MaxQueued = ByBytes ? 1000 : 20;
      Settings.m_MaxQueuedBytes = ByBytes ? 2000 : 1'000'000;
    });
    for (int Index = 0; Index < 30; ++Index)
      Core.submit(StatementKind::Write, WorkspaceId(), 1, 100);
    BOOST_TEST(Core.m_Core.waiting() == 20U);
    BOOST_TEST(Core.count(ResultCode::NotRunQueueFull) == 5U);
    BOOST_TEST((Core.m_Reasons.front() ==
                (ByBytes ? ShedReason::Bytes : ShedReason::Count)));
    // A statement of a higher priority takes the place of another.
    const RequestId High =
        Core.submit(StatementKind::Write, WorkspaceId(), 0, 100);
    BOOST_TEST(!Core.isRefused(High));
    BOOST_TEST(Core.m_Core.waiting() == 20U);
  }
}

// Guards against a workspace whose backlog leaves the others no room.
BOOST_AUTO_TEST_CASE(WorkspaceLeavesRoomInQueue) {
  SheddingCore Core(
      [](SessionCoreSettings &Settings) { Settings.m_MaxQueued = 100; }, true);
  for (int Index = 0; Index < 200; ++Index)
    Core.submit(StatementKind::Write, WorkspaceId("large"));
  BOOST_TEST(Core.m_Core.waiting() <= 50U);
  for (int Index = 0; Index < 20; ++Index)
    BOOST_TEST(!Core.isRefused(
        Core.submit(StatementKind::Write, WorkspaceId("small"))));
}

// Guards against a commit or rollback that waits behind new statements.
BOOST_AUTO_TEST_CASE(TransactionGoesOnBesideBacklog) {
  for (const StatementKind Kind :
       {StatementKind::Commit, StatementKind::Rollback}) {
    for (const bool UsesWorkspaces : {false, true}) {
      SheddingCore Core(NoChange, UsesWorkspaces);
      Core.submit(StatementKind::Begin, WorkspaceId(), 5, 1, 7);
      Core.reply(Core.m_Runs.at(0), Open);
      Core.m_Runs.clear();
      for (int Index = 0; Index < 50; ++Index)
        Core.submit();
      const std::size_t Running = Core.m_Runs.size();
      Core.submit(Kind, WorkspaceId(), 5, 1, 7);
      BOOST_REQUIRE(Core.m_Runs.size() == Running + 1);
      BOOST_TEST((Core.m_Runs.back().m_Statement.m_Kind == Kind));
    }
  }
}

// Guards against callers that sit idle in transactions and keep all connections
// to the primary beyond the limit of their entry, which is 300 ms.
BOOST_AUTO_TEST_CASE(IdleTransactionsEndWithinTheirLimit) {
  SheddingCore Core(NoChange);
  for (std::uint64_t Caller = 1; Caller <= 5; ++Caller)
    Core.submit(StatementKind::Begin, WorkspaceId(), 0, 1, Caller);
  for (const RunStatement &Run : std::exchange(Core.m_Runs, {}))
    Core.reply(Run, Open);
  const RequestId Waiting = Core.submit();
  BOOST_TEST(Core.m_Runs.empty());
  Core.advance(milliseconds(299));
  BOOST_TEST(Core.m_Runs.empty());
  Core.advance(milliseconds(2));
  BOOST_REQUIRE(Core.m_Runs.size() == 1U);
  Core.reply(Core.m_Runs.front());
  BOOST_TEST((Core.m_Answers.at(Waiting) == ResultCode::Ok));
  BOOST_TEST(
      (Core.m_Answers.at(Core.submit(StatementKind::Commit, WorkspaceId(), 0, 1,
                                     1)) == ResultCode::NotRunRolledBack));
}

// Guards against a server that loses answers and gets each read up to 8 times,
// and against a workspace that uses up the retries of another.
BOOST_AUTO_TEST_CASE(LostAnswersDoNotMultiplyLoad) {
  SheddingCore Core(NoChange, true);
  const WorkspaceId Unlucky("unlucky");
  std::size_t Sent = 0;
  for (int Index = 0; Index < 200; ++Index) {
    Core.submit(StatementKind::Read, Unlucky);
    while (!Core.m_Runs.empty()) {
      ++Sent;
      const ConnectionId Lost = Core.m_Runs.back().m_Connection;
      Core.m_Runs.pop_back();
      Core.lose(Lost);
    }
  }
  BOOST_TEST(Sent <= 245U); // 200, a fifth of them, 4 saved
  const RequestId Other =
      Core.submit(StatementKind::Read, WorkspaceId("other"));
  const ConnectionId Lost = Core.m_Runs.back().m_Connection;
  Core.m_Runs.clear();
  Core.lose(Lost);
  BOOST_REQUIRE(Core.m_Runs.size() == 1U);
  Core.reply(Core.m_Runs.front());
  BOOST_TEST((Core.m_Answers.at(Other) == ResultCode::Ok));
}

// Guards against statements beyond a server's slots, which it refuses, so that
// luck and not the queue decides who gets the next free one.
BOOST_AUTO_TEST_CASE(ServerGetsNoMoreStatementsThanSlots) {
  SheddingCore Core(NoChange, true);
  Core.setSlots(2);
  for (const char *Workspace : {"w1", "w2", "w3", "w4"})
    Core.submit(StatementKind::Write, WorkspaceId(Workspace));
  BOOST_TEST(Core.m_Runs.size() == 2U);
  Core.reply(Core.m_Runs.at(0));
  BOOST_TEST(Core.m_Runs.size() == 3U);
  Core.lose(Core.m_Runs.at(1).m_Connection);
  BOOST_TEST(Core.m_Runs.size() == 4U);
}

// Guards against lost answers that use up a server's slots until the deadlines
// of their statements.
BOOST_AUTO_TEST_CASE(StatementWithoutAnswerFreesItsSlot) {
  SheddingCore Core(NoChange, true);
  Core.setSlots(2);
  for (const char *Workspace : {"w1", "w2", "w3"})
    Core.submit(StatementKind::Write, WorkspaceId(Workspace));
  Core.advance(milliseconds(399));
  BOOST_TEST(Core.m_Runs.size() == 2U);
  Core.advance(milliseconds(1));
  BOOST_TEST(Core.m_Runs.size() == 3U);
  // Their answers are counted once.
  for (const RunStatement &Run : std::exchange(Core.m_Runs, {}))
    Core.reply(Run);
  for (const char *Workspace : {"w1", "w2", "w3"})
    Core.submit(StatementKind::Write, WorkspaceId(Workspace));
  BOOST_TEST(Core.m_Runs.size() == 2U);
}

// Guards against a refusal that says a read has not run although its answer was
// lost.
BOOST_FIXTURE_TEST_CASE(ReadWithoutAnswerIsNeverCalledNotRun, SessionFixture) {
  sample(1);
  submit(StatementKind::Read, TrafficClass::AgedSession);
  const RunStatement Lost = nextRunning();
  m_Core.connectionLost(m_Now, Lost.m_Connection, m_Actions);
  collectActions();
  for (int Try = 0; Try < 100 && m_Answers.empty(); ++Try) {
    openAll();
    while (!m_Runs.empty())
      reply(nextRunning(), StatementOutcome::Busy, Idle, std::nullopt);
    advanceTime(milliseconds(20));
  }
  BOOST_TEST((nextAnswer().m_Code == ResultCode::OutcomeUnknown));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ragwortmux::test
