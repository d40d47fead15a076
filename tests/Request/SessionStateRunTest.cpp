#include "SessionFixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <string>

/// \file
/// Generated runs of a SessionCore before simulated servers that keep the
/// session of each connection and fail, lose or delay answers to everything,
/// with and without effect.

namespace ragwortmux::test {

namespace {

/// What a server does with a message.
enum class Fate {
  Done,         ///< Takes effect and is answered.
  FailedAfter,  ///< Takes effect and is answered as failed.
  FailedBefore, ///< Has no effect and is answered as failed.
  Refused,      ///< Has no effect and is answered as not run.
  LostAfter,    ///< Takes effect; the connection is lost.
  LostBefore,   ///< Has no effect; the connection is lost.
  Unanswered,   ///< Takes effect and is never answered.
};

/// The session that a server keeps for one connection.
struct ServerSession final {
  std::map<std::string, std::string> m_Values;   ///< Session values.
  std::map<std::string, std::string> m_Prepared; ///< Definitions by name.
  std::uint64_t m_Transaction = 0; ///< Caller of the open transaction; 0: none.

  TransactionStatus status() const { return m_Transaction == 0 ? Idle : Open; }
};

/// A caller: its session as acknowledged, and its statement under way.
struct RunCaller final {
  SessionState m_State;         ///< Values and prepared statements.
  bool m_IsWaiting = false;     ///< A statement is under way.
  bool m_InTransaction = false; ///< As the last answer said.
};

/// A statement as its caller sent it.
struct Expectation final {
  std::uint64_t m_Caller = 0;   ///< Its caller.
  SessionState m_State;         ///< Session of its caller.
  std::string m_Definition;     ///< Execute: the prepared statement.
  bool m_InTransaction = false; ///< Sent in a transaction.
  bool m_HasLeft = false;       ///< The caller has left.
};

class StateRun final : public SessionFixture {
public:
  explicit StateRun(std::uint32_t Seed) : m_Random(Seed) {
    while (m_LastCaller < Callers)
      m_Callers[++m_LastCaller];
  }

  void run() {
    constexpr int Steps = 600;
    for (int Step = 0; Step < Steps; ++Step) {
      takeAnswers();
      performStep();
      openAll();
      extendLease(seconds(60));
    }
  }

  int runs() const { return m_RunCount; } ///< Statements that ran.
  const std::string &failure() const { return m_Failure; } ///< Empty: none.

private:
  static constexpr std::uint64_t Callers = 6;

  std::uint64_t draw(std::uint64_t Limit) { return m_Random() % Limit; }

  void fail(const std::string &What) {
    if (m_Failure.empty())
      m_Failure = What;
  }

  void takeAnswers() {
    while (!m_Answers.empty()) {
      const SessionAnswer Answer = nextAnswer();
      const auto Found = m_Callers.find(Answer.m_Caller.value());
      if (Found == m_Callers.end()) {
        fail("a caller that has left is answered");
        continue;
      }
      RunCaller &Caller = Found->second;
      Caller.m_IsWaiting = false;
      Caller.m_InTransaction = Answer.m_Status != Idle;
    }
  }

  void performStep() {
    switch (draw(14)) {
    case 0:
    case 1:
    case 2:
      submitSome();
      break;
    case 3:
      if (draw(6) == 0)
        leave();
      break;
    case 4:
      if (draw(4) == 0)
        changeState();
      break;
    case 5:
      advanceTime(milliseconds(draw(10) == 0 ? 15100 : draw(60)));
      break;
    default:
      serveSome();
      break;
    }
  }

  void changeState() {
    RunCaller &Caller = drawCaller()->second;
    if (Caller.m_IsWaiting)
      return;
    const std::string Name = draw(2) == 0 ? "depot" : "desk";
    Caller.m_State.m_Values[Name] = std::to_string(draw(4));
  }

  /// A caller leaves, and another one comes.
  void leave() {
    const auto Leaving = drawCaller();
    for (auto &[Id, Sent] : m_Expected)
      Sent.m_HasLeft = Sent.m_HasLeft || Sent.m_Caller == Leaving->first;
    disconnect(Leaving->first);
    m_Callers.erase(Leaving);
    m_Callers[++m_LastCaller];
  }

  std::map<std::uint64_t, RunCaller>::iterator drawCaller() {
    return std::next(m_Callers.begin(),
                     static_cast<std::ptrdiff_t>(draw(m_Callers.size())));
  }

  void submitSome() {
    auto &[Number, Caller] = *drawCaller();
    if (std::exchange(Caller.m_IsWaiting, true))
      return;
    const std::vector<StatementKind> Inside = {
        StatementKind::Read, StatementKind::Write, StatementKind::Execute,
        StatementKind::Commit, StatementKind::Rollback};
    const std::vector<StatementKind> Outside = {
        StatementKind::Read, StatementKind::Write, StatementKind::Execute,
        StatementKind::Begin};
    const StatementKind Kind = Caller.m_InTransaction
                                   ? Inside[draw(Inside.size())]
                                   : Outside[draw(Outside.size())];
    SessionRequest Request = makeRequest(Kind, TrafficClass::PrimarySession,
                                         Kind == StatementKind::Write, Number);
    Request.m_Statement.m_Id =
        StatementId(std::to_string(Request.m_Id.value()));
    Request.m_State = std::make_shared<SessionState>(Caller.m_State);
    Expectation &Sent = m_Expected[Request.m_Statement.m_Id];
    Sent.m_Caller = Number;
    Sent.m_State = Caller.m_State;
    Sent.m_InTransaction = Caller.m_InTransaction;
    if (Kind == StatementKind::Execute) {
      Sent.m_Definition = "READ q" + std::to_string(draw(5));
      Request.m_Prepared = PreparedStatement{Sent.m_Definition, false};
    }
    submitRequest(std::move(Request));
  }

  /// A server handles the oldest message of one of its kinds.
  void serveSome() {
    switch (draw(3)) {
    case 0:
      if (!m_Probes.empty()) {
        const ConnectionId Connection = m_Probes.front();
        m_Probes.pop_front();
        serveSteps(Connection, {{SessionStep::Kind::Discard, "", ""}});
      }
      break;
    case 1:
      if (!m_SetUps.empty()) {
        const SetUpSession SetUp = m_SetUps.front();
        m_SetUps.pop_front();
        serveSteps(SetUp.m_Connection, SetUp.m_Steps);
      }
      break;
    default:
      if (!m_Runs.empty())
        serveStatement(nextRunning());
      break;
    }
  }

  Fate drawFate() {
    constexpr Fate Faults[] = {Fate::FailedAfter, Fate::FailedBefore,
                               Fate::Refused,     Fate::LostAfter,
                               Fate::LostBefore,  Fate::Unanswered};
    return draw(4) == 0 ? Faults[draw(std::size(Faults))] : Fate::Done;
  }

  static bool takesEffect(Fate Drawn) {
    return Drawn == Fate::Done || Drawn == Fate::FailedAfter ||
           Drawn == Fate::LostAfter || Drawn == Fate::Unanswered;
  }

  static StatementOutcome outcomeOf(Fate Drawn) {
    if (Drawn == Fate::Refused)
      return StatementOutcome::Busy;
    return Drawn == Fate::Done ? StatementOutcome::Done
                               : StatementOutcome::Failed;
  }

  void serveSteps(ConnectionId Connection,
                  const std::vector<SessionStep> &Steps) {
    if (m_Closed.contains(Connection))
      return;
    ServerSession &Session = m_ServerSessions[Connection];
    StatementOutcome Outcome = StatementOutcome::Done;
    for (const SessionStep &Step : Steps) {
      const Fate Drawn = drawFate();
      if (takesEffect(Drawn))
        applyStep(Session, Step);
      if (endsConnection(Connection, Drawn) || Drawn == Fate::Unanswered)
        return;
      if (Drawn != Fate::Done)
        Outcome = StatementOutcome::SetUpFailed;
    }
    answer(Connection, Outcome);
  }

  static void applyStep(ServerSession &Session, const SessionStep &Step) {
    switch (Step.m_Kind) {
    case SessionStep::Kind::Discard:
      Session.m_Values.clear();
      Session.m_Prepared.clear();
      break;
    case SessionStep::Kind::SetValue:
      Session.m_Values[Step.m_Name] = Step.m_Text;
      break;
    case SessionStep::Kind::Prepare:
      Session.m_Prepared[Step.m_Name] = Step.m_Text;
      break;
    }
  }

  bool endsConnection(ConnectionId Connection, Fate Drawn) {
    if (Drawn != Fate::LostAfter && Drawn != Fate::LostBefore)
      return false;
    m_ServerSessions.erase(Connection);
    m_Closed.insert(Connection);
    m_Core.connectionLost(m_Now, Connection, m_Actions);
    collectActions();
    return true;
  }

  void answer(ConnectionId Connection, StatementOutcome Outcome) {
    StatementReply Reply;
    Reply.m_Outcome = Outcome;
    Reply.m_Status = m_ServerSessions[Connection].status();
    Reply.m_Point = point(10);
    Reply.m_Body = std::make_shared<const std::string>("row");
    const std::size_t SentBefore = m_Runs.size();
    m_Core.statementAnswered(m_Now, Connection, Reply, m_Actions);
    collectActions();
    for (std::size_t Each = SentBefore; Each < m_Runs.size(); ++Each)
      checkCallerIsThere(m_Runs[Each]);
  }

  void checkCallerIsThere(const RunStatement &Run) {
    if (!Run.m_IsInternal && m_Expected.at(Run.m_Statement.m_Id).m_HasLeft)
      fail("statement " + Run.m_Statement.m_Id.value() +
           " is sent after its caller has left");
  }

  void serveStatement(const RunStatement &Run) {
    if (m_Closed.contains(Run.m_Connection))
      return;
    ServerSession &Session = m_ServerSessions[Run.m_Connection];
    if (Run.m_IsInternal) {
      const Fate Drawn = drawFate();
      if (takesEffect(Drawn))
        Session.m_Transaction = 0;
      finishStatement(Run, Drawn);
      return;
    }
    const StatementKind Kind = Run.m_Statement.m_Kind;
    const Expectation &Sent = m_Expected.at(Run.m_Statement.m_Id);
    const Fate Prepared = Run.m_Prepare ? drawFate() : Fate::Done;
    if (Run.m_Prepare && takesEffect(Prepared))
      applyStep(Session, *Run.m_Prepare);
    if (endsConnection(Run.m_Connection, Prepared) ||
        Prepared == Fate::Unanswered)
      return;
    if (Kind == StatementKind::Execute &&
        !Session.m_Prepared.contains(Run.m_PreparedName)) {
      if (Prepared == Fate::Done)
        fail("an unknown prepared statement is executed");
      answer(Run.m_Connection, StatementOutcome::SetUpFailed);
      return;
    }
    check(Run, Sent, Session);
    ++m_RunCount;
    const Fate Drawn = drawFate();
    if (takesEffect(Drawn)) {
      if (Kind == StatementKind::Begin)
        Session.m_Transaction = Sent.m_Caller;
      else if (Kind == StatementKind::Commit || Kind == StatementKind::Rollback)
        Session.m_Transaction = 0;
    }
    if (Drawn == Fate::Refused && Prepared != Fate::Done)
      answer(Run.m_Connection, StatementOutcome::SetUpFailed);
    else
      finishStatement(Run, Drawn);
  }

  void finishStatement(const RunStatement &Run, Fate Drawn) {
    if (!endsConnection(Run.m_Connection, Drawn) && Drawn != Fate::Unanswered)
      answer(Run.m_Connection, outcomeOf(Drawn));
  }

  void check(const RunStatement &Run, const Expectation &Sent,
             const ServerSession &Session) {
    const std::string At = "statement " + Run.m_Statement.m_Id.value() +
                           " of caller " + std::to_string(Sent.m_Caller);
    const bool IsRollback = Run.m_Statement.m_Kind == StatementKind::Rollback;
    if (!IsRollback && Session.m_Values != Sent.m_State.m_Values)
      fail(At + " runs with other session values");
    if (Run.m_Statement.m_Kind == StatementKind::Execute &&
        Session.m_Prepared.at(Run.m_PreparedName) != Sent.m_Definition)
      fail(At + " runs another prepared statement");
    const std::uint64_t Transaction = Sent.m_InTransaction ? Sent.m_Caller : 0;
    if (Session.m_Transaction != Transaction)
      fail(At + " runs in another transaction");
  }

  std::mt19937 m_Random; ///< The only source of randomness.
  std::map<std::uint64_t, RunCaller> m_Callers; ///< By connection.
  std::uint64_t m_LastCaller = 0; ///< Last connection of a caller.
  std::map<StatementId, Expectation> m_Expected;
  std::map<ConnectionId, ServerSession> m_ServerSessions;
  int m_RunCount = 0;
  std::string m_Failure;
};

} // namespace

BOOST_AUTO_TEST_SUITE(SessionStateRunTest)

// Guards against statements that run with the session values, the prepared
// statements or in the transaction of another caller, whatever the servers fail
// to do or to say.
BOOST_DATA_TEST_CASE(StatementsRunInTheirCallersSession,
                     boost::unit_test::data::xrange(10), Block) {
  constexpr std::uint32_t SeedsPerCase = 30;
  int Runs = 0;
  for (std::uint32_t Each = 0; Each < SeedsPerCase; ++Each) {
    const std::uint32_t Seed =
        1 + static_cast<std::uint32_t>(Block) * SeedsPerCase + Each;
    StateRun Run(Seed);
    Run.run();
    BOOST_CHECK_MESSAGE(Run.failure().empty(),
                        "seed " << Seed << ": " << Run.failure());
    Runs += Run.runs();
  }
  // Much runs in spite of the faults.
  BOOST_CHECK_GT(Runs, static_cast<int>(SeedsPerCase) * 30);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ragwortmux::test
