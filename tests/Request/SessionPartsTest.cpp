#include "ragwortmux/Connection/BackendSession.h"
#include "ragwortmux/Request/CallerSession.h"
#include "ragwortmux/Request/ChooseReadTarget.h"
#include "ragwortmux/Request/PositionHistory.h"
#include "ragwortmux/Request/ReplicaLag.h"
#include "ragwortmux/Request/SessionEvents.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <vector>

namespace ragwortmux {

namespace {

using std::chrono::milliseconds;
using Kind = SessionStep::Kind;

LogPoint at(std::uint64_t InTerm, std::uint64_t Position) {
  return {Term(InTerm), LogPosition(Position)};
}

Instant after(int Milliseconds) { return Instant(milliseconds(Milliseconds)); }

Statement statement(StatementKind Kind, std::string Name = "",
                    std::string Rest = "", bool Writes = false) {
  Statement Submitted;
  Submitted.m_Id = StatementId("id");
  Submitted.m_Kind = Kind;
  Submitted.m_Name = std::move(Name);
  Submitted.m_Rest = std::move(Rest);
  Submitted.m_Writes = Writes;
  return Submitted;
}

} // namespace

BOOST_AUTO_TEST_SUITE(SessionPartsTest)

// Replay of session state on a shared connection.

BOOST_AUTO_TEST_CASE(ReplaySetsConnectionToSessionState) {
  BackendSession Backend;
  const SessionState Empty;
  SessionState Tenant;
  Tenant.m_Values = {{"tenant", "7"}};
  SessionState Other;
  Other.m_Values = {{"tenant", "8"}, {"zone", "b"}};
  const struct {
    const SessionState *m_State;
    std::vector<SessionStep> m_Steps;
  } Cases[] = {
      {&Empty, {}},
      {&Tenant, {{Kind::SetValue, "tenant", "7"}}},
      {&Tenant, {}},
      {&Other,
       {{Kind::SetValue, "tenant", "8"}, {Kind::SetValue, "zone", "b"}}},
      // A single value cannot be unset, so all values are cleared.
      {&Tenant, {{Kind::Discard, "", ""}, {Kind::SetValue, "tenant", "7"}}},
      {&Empty, {{Kind::Discard, "", ""}}},
      {&Empty, {}},
  };
  for (const auto &Case : Cases) {
    const std::size_t Distance = Backend.stepCount(*Case.m_State, nullptr);
    const SessionPlan Plan = Backend.plan(*Case.m_State, nullptr);
    BOOST_TEST((Plan.m_Steps == Case.m_Steps));
    BOOST_TEST(Distance == Case.m_Steps.size());
  }
}

BOOST_AUTO_TEST_CASE(OnlyEqualDefinitionsSharePreparedName) {
  BackendSession Backend;
  const SessionState Empty;
  const PreparedStatement Read{"READ a", false};
  const PreparedStatement Write{"WRITE a", true};
  const std::string First = Backend.plan(Empty, &Read).m_PreparedName;
  const SessionPlan Again = Backend.plan(Empty, &Read);
  BOOST_TEST(Again.m_PreparedName == First);
  BOOST_TEST(Again.m_Steps.empty());
  BOOST_TEST(!Again.m_Prepare.has_value());
  BOOST_TEST(Backend.plan(Empty, &Write).m_PreparedName != First);
  // A name that was given away is not given to another definition, so that an
  // execution under it runs nothing unless its own preparation took effect.
  SessionState Tenant;
  Tenant.m_Values = {{"tenant", "7"}};
  Backend.plan(Tenant, nullptr);
  const SessionPlan AfterDiscard = Backend.plan(Empty, &Write);
  BOOST_REQUIRE(AfterDiscard.m_Steps.size() == 1U);
  BOOST_TEST(AfterDiscard.m_PreparedName == "p3");
}

BOOST_AUTO_TEST_CASE(DiscardRemovesPreparedStatements) {
  BackendSession Backend;
  const SessionState Empty;
  SessionState Tenant;
  Tenant.m_Values = {{"tenant", "7"}};
  const PreparedStatement Read{"READ a", false};
  Backend.plan(Tenant, &Read);
  const SessionPlan Plan = Backend.plan(Empty, &Read);
  BOOST_REQUIRE(Plan.m_Steps.size() == 1U);
  BOOST_TEST((Plan.m_Steps[0].m_Kind == Kind::Discard));
  BOOST_REQUIRE(Plan.m_Prepare.has_value());
  BOOST_TEST((Plan.m_Prepare->m_Kind == Kind::Prepare));
}

// Statements that a session answers without a backend server.

BOOST_AUTO_TEST_CASE(StatementsAnsweredWithoutServer) {
  struct Row final {
    TransactionStatus m_Status;
    Statement m_Submitted;
    std::optional<ResultCode> m_Code;
  };
  const auto Idle = TransactionStatus::Idle;
  const auto Open = TransactionStatus::InTransaction;
  const auto Failed = TransactionStatus::Failed;
  const std::vector<Row> Rows = {
      {Idle, statement(StatementKind::SetValue, "a", "1"), ResultCode::Ok},
      {Open, statement(StatementKind::SetValue, "a", "1"), ResultCode::Ok},
      {Failed, statement(StatementKind::SetValue, "a", "1"),
       ResultCode::NotRunBadRequest},
      {Idle, statement(StatementKind::Execute, "s"),
       ResultCode::NotRunUnknownStatement},
      {Idle, statement(StatementKind::Deallocate, "s"),
       ResultCode::NotRunUnknownStatement},
      {Idle, statement(StatementKind::Begin), std::nullopt},
      {Open, statement(StatementKind::Begin), ResultCode::NotRunBadRequest},
      {Failed, statement(StatementKind::Read), ResultCode::NotRunBadRequest},
      {Failed, statement(StatementKind::Commit), std::nullopt},
      {Failed, statement(StatementKind::Rollback), std::nullopt},
      {Idle, statement(StatementKind::Rollback), ResultCode::Ok},
      {Idle, statement(StatementKind::Commit), ResultCode::NotRunBadRequest},
      {Idle, statement(StatementKind::Read), std::nullopt},
      {Open, statement(StatementKind::Write), std::nullopt},
  };
  for (const Row &Each : Rows) {
    CallerSession Session;
    SessionAnswer Answer;
    Answer.m_Status = Each.m_Status;
    Session.answered(Answer);
    Statement Submitted = Each.m_Submitted;
    BOOST_TEST((Session.answerLocally(Submitted) == Each.m_Code));
  }
}

BOOST_AUTO_TEST_CASE(ExecuteUsesPreparedDefinition) {
  CallerSession Session;
  Statement Prepare = statement(StatementKind::Prepare, "s", "WRITE a", true);
  BOOST_TEST((Session.answerLocally(Prepare) == ResultCode::Ok));
  Statement Execute = statement(StatementKind::Execute, "s", "1 x");
  BOOST_TEST(!Session.answerLocally(Execute).has_value());
  BOOST_TEST(Execute.m_Writes);
}

BOOST_AUTO_TEST_CASE(RunningStatementKeepsItsSessionState) {
  CallerSession Session;
  const auto Before = Session.state();
  Statement Set = statement(StatementKind::SetValue, "a", "1");
  Session.answerLocally(Set);
  BOOST_TEST(Before->m_Values.empty());
  BOOST_TEST(Session.state()->m_Values.size() == 1U);
}

// Guards against a session that forgot its write to a group once it had written
// to another one, and then read at a replica without that write.
BOOST_AUTO_TEST_CASE(LastWriteOfEachGroupIsKept) {
  struct Write final {
    const char *m_Group;               ///< Group of the answered statement.
    std::optional<LogPoint> m_Written; ///< Position of its commit, if any.
  };
  struct Row final {
    std::vector<Write> m_Writes;   ///< Answers in order.
    std::optional<LogPoint> m_OfA; ///< Remembered for group a afterwards.
    std::optional<LogPoint> m_OfB; ///< Remembered for group b afterwards.
  };
  const std::vector<Row> Rows = {
      {{{"a", at(1, 5)}}, at(1, 5), std::nullopt},
      {{{"a", at(1, 5)}, {"b", at(1, 2)}}, at(1, 5), at(1, 2)},
      {{{"a", at(1, 5)}, {"b", at(1, 2)}, {"a", at(1, 7)}}, at(1, 7), at(1, 2)},
      {{{"a", at(1, 5)}, {"b", std::nullopt}}, at(1, 5), std::nullopt},
      {{{"a", at(1, 5)}, {"a", std::nullopt}}, at(1, 5), std::nullopt},
      {{{"a", at(1, 5)}, {"b", at(1, 9)}, {"a", at(2, 4)}}, at(2, 4), at(1, 9)},
      {{{"b", at(3, 1)}, {"a", at(1, 5)}, {"b", at(3, 2)}}, at(1, 5), at(3, 2)},
  };
  for (const Row &Each : Rows) {
    CallerSession Session;
    for (const Write &Answered : Each.m_Writes) {
      SessionAnswer Answer;
      Answer.m_Group = GroupId(Answered.m_Group);
      Answer.m_Written = Answered.m_Written;
      Session.answered(Answer);
    }
    BOOST_TEST((Session.lastWrite(GroupId("a")) == LastWrite{Each.m_OfA}));
    BOOST_TEST((Session.lastWrite(GroupId("b")) == LastWrite{Each.m_OfB}));
  }
}

// Guards against a session that took a write of an unknown position for none,
// and then read at a replica without that write.
BOOST_AUTO_TEST_CASE(WriteWithoutPositionIsRemembered) {
  const auto Written = [](std::optional<LogPoint> Point) {
    SessionAnswer Answer;
    Answer.m_Written = Point;
    Answer.m_PrimaryPoint = Point;
    Answer.m_IsWriteUnplaced = !Point;
    return Answer;
  };
  const auto Read = [](std::optional<LogPoint> PrimaryPoint) {
    SessionAnswer Answer;
    Answer.m_Point = at(1, 90);
    Answer.m_PrimaryPoint = PrimaryPoint;
    return Answer;
  };
  const auto Ended = [](ResultCode Code) {
    SessionAnswer Answer;
    Answer.m_Code = Code;
    return Answer;
  };
  using Kind = StatementKind;
  struct Step final {
    Kind m_Kind;            ///< The statement; a Write writes.
    SessionAnswer m_Answer; ///< Its answer.
  };
  struct Row final {
    const char *m_Name;        ///< Name in messages.
    std::vector<Step> m_Steps; ///< In order.
    LastWrite m_Last;          ///< Remembered afterwards.
  };
  const Step Unplaced{Kind::Write, Written({})};
  const std::vector<Row> Rows = {
      {"no position", {Unplaced}, {std::nullopt, true}},
      {"no position, earlier write",
       {{Kind::Write, Written(at(1, 5))}, Unplaced},
       {at(1, 5), true}},
      {"a later write",
       {Unplaced, {Kind::Write, Written(at(1, 7))}},
       {at(1, 7)}},
      {"a read at a replica", {Unplaced, {Kind::Read, Read({})}}, {{}, true}},
      {"a read at the primary",
       {Unplaced, {Kind::Read, Read(at(1, 8))}},
       {at(1, 8)}},
      {"a read at the primary without a write",
       {{Kind::Read, Read(at(1, 8))}},
       {}},
      {"a commit without a position",
       {{Kind::Commit, Written({})}},
       {std::nullopt, true}},
      {"an unknown outcome",
       {{Kind::Write, Ended(ResultCode::OutcomeUnknown)}},
       {std::nullopt, true}},
      {"a commit whose term has ended",
       {{Kind::Commit, Ended(ResultCode::OutcomeUnknownTermEnded)}},
       {std::nullopt, true}},
      {"a write that ran into its time limit",
       {{Kind::Write, Ended(ResultCode::RanTimedOut)}},
       {std::nullopt, true}},
      {"a write that was not run",
       {{Kind::Write, Ended(ResultCode::NotRunQueueFull)}},
       {}},
      {"a read with an unknown outcome",
       {{Kind::Read, Ended(ResultCode::OutcomeUnknown)}},
       {}},
      {"a read that is refused",
       {Unplaced, {Kind::Read, Ended(ResultCode::NotRunTooOld)}},
       {std::nullopt, true}},
  };
  for (const Row &Each : Rows) {
    CallerSession Session;
    for (const Step &Next : Each.m_Steps) {
      Statement Submitted;
      Submitted.m_Kind = Next.m_Kind;
      Submitted.m_Writes = Next.m_Kind == Kind::Write;
      SessionAnswer Begun;
      Begun.m_Status = TransactionStatus::InTransaction;
      if (Next.m_Kind == Kind::Commit)
        Session.answered(Begun);
      BOOST_TEST(!Session.answerLocally(Submitted).has_value());
      Session.answered(Next.m_Answer);
    }
    BOOST_TEST((Session.lastWrite(GroupId()) == Each.m_Last), Each.m_Name);
  }
}

// Positions of the primary.

BOOST_AUTO_TEST_CASE(OldestAllowedPositionIsReadFloor) {
  PositionHistory History;
  History.add(after(100), at(1, 10));
  History.add(after(200), at(1, 20));
  History.add(after(300), at(1, 30));
  const struct {
    int m_Since;
    std::optional<std::uint64_t> m_Position;
  } Cases[] = {{0, 10}, {100, 10}, {101, 20}, {300, 30}, {301, std::nullopt}};
  for (const auto &Case : Cases) {
    const auto *Found = History.oldestSince(after(Case.m_Since));
    BOOST_TEST((Found != nullptr) == Case.m_Position.has_value());
    if (Found != nullptr)
      BOOST_TEST(Found->m_Point.m_Position.value() == *Case.m_Position);
  }
}

BOOST_AUTO_TEST_CASE(OutOfOrderAnswerIsIgnored) {
  PositionHistory History;
  History.add(after(100), at(2, 10));
  History.add(after(200), at(2, 9));
  History.add(after(300), at(1, 99));
  BOOST_TEST((History.newest()->m_Point == at(2, 10)));
  History.clear();
  BOOST_TEST(History.newest() == nullptr);
}

BOOST_AUTO_TEST_CASE(NewestCoveredSampleGivesReplicaAge) {
  PositionHistory History;
  History.add(after(100), at(1, 10));
  History.add(after(200), at(1, 20));
  History.add(after(300), at(2, 5));
  const struct {
    LogPoint m_Applied;
    std::optional<Instant> m_Covered;
  } Cases[] = {{at(1, 9), std::nullopt},
               {at(1, 10), after(100)},
               {at(1, 25), after(200)},
               {at(2, 4), after(200)},
               {at(2, 5), after(300)}};
  for (const auto &Case : Cases) {
    const auto *Found = History.newestCovered(Case.m_Applied);
    BOOST_TEST((Found != nullptr) == Case.m_Covered.has_value());
    if (Found != nullptr)
      BOOST_TEST((Found->m_QuerySentAt == *Case.m_Covered));
  }
}

// Load pattern: replicas fall seconds behind. A read that needs newer data must
// not be sent to each of them first.

BOOST_AUTO_TEST_CASE(LaggingReplicaGetsFewReadsItCannotServe) {
  ReplicaLag Age;
  BOOST_TEST(Age.isWorthTrying(after(1000), after(1000)));
  Age.recordBehind(after(1000), after(400));
  int Tried = 0;
  for (int Now = 1000; Now < 2000; Now += 10) {
    if (!Age.isWorthTrying(after(Now), after(Now - 500)))
      continue;
    ++Tried;
    Age.recordBehind(after(Now), after(Now - 500));
  }
  BOOST_TEST(Tried <= 4); // one try per 250 ms
  BOOST_TEST(Age.isWorthTrying(after(2000), after(1000)));
  Age.recordCovered(after(2000), after(1950));
  BOOST_TEST(Age.isWorthTrying(after(2000), after(1990)));
}

// Load pattern: all hosts send reads to the slots of three servers.

struct TargetCase final {
  const char *m_Name;
  std::vector<ReadTarget> m_Targets;
  std::optional<ServerId> m_Expected;
};

std::ostream &operator<<(std::ostream &Stream, const TargetCase &Case) {
  return Stream << Case.m_Name;
}

ReadTarget target(const char *Server, bool IsNear, bool IsPrimary,
                  std::uint32_t Running, std::uint32_t Free = 1,
                  bool IsAllowed = true) {
  return {ServerId(Server), IsNear, IsPrimary, IsAllowed, Free, Running, 5};
}

const std::vector<TargetCase> TargetCases = {
    {"no servers", {}, std::nullopt},
    {"near server first",
     {target("far", false, false, 0), target("near", true, false, 0)},
     ServerId("near")},
    {"near server despite one more running statement",
     {target("far", false, false, 0), target("near", true, false, 1)},
     ServerId("near")},
    {"far server if the near one is loaded",
     {target("far", false, false, 0), target("near", true, false, 4)},
     ServerId("far")},
    {"far replica instead of a loaded near primary",
     {target("far", false, false, 0), target("near", true, true, 2)},
     ServerId("far")},
    {"no server without a free connection",
     {target("far", false, false, 3), target("near", true, false, 0, 0)},
     ServerId("far")},
    {"no server with too old data",
     {target("near", true, false, 0, 1, false)},
     std::nullopt},
};

BOOST_DATA_TEST_CASE(ChoosesServerForRead,
                     boost::unit_test::data::make(TargetCases), Case) {
  BOOST_TEST((chooseReadTarget(Case.m_Targets) == Case.m_Expected));
}

// Guards against session state whose memory is counted wrongly.
BOOST_AUTO_TEST_CASE(BytesOfSessionStateAreCounted) {
  CallerSession Session;
  const auto Run = [&](StatementKind Kind, const char *Name, const char *Rest) {
    Statement Submitted;
    Submitted.m_Kind = Kind;
    Submitted.m_Name = Name;
    Submitted.m_Rest = Rest;
    Session.answerLocally(Submitted);
    return Session.stateBytes();
  };
  BOOST_TEST(Run(StatementKind::SetValue, "a", "1234") == 5U);
  BOOST_TEST(Run(StatementKind::SetValue, "a", "12") == 3U);
  BOOST_TEST(Run(StatementKind::Prepare, "s1", "READ a") == 11U);
  BOOST_TEST(Run(StatementKind::Prepare, "s1", "READ") == 9U);
  BOOST_TEST(Run(StatementKind::Deallocate, "s2", "") == 9U);
  BOOST_TEST(Run(StatementKind::Deallocate, "s1", "") == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ragwortmux
