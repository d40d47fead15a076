#include "GroupFixture.h"

#include <random>

namespace ragwortmux {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Runs random callers, resends, faults and changes of primary against a model
/// of the servers and the ledger that knows which transactions committed.
class RandomRun final : public GroupFixture {
public:
  explicit RandomRun(unsigned Seed) : m_Random(Seed) {
    m_OnReserve = [this](const ReserveRequestKey &Action) {
      return reserveInLedger(Action);
    };
    m_OnRecord = [this](const RecordKeyOutcome &Action) {
      const bool IsLost = randomBelow(5) == 0; // on the way there or back
      if (IsLost && randomBelow(2) == 0)
        return false;
      LedgerRow &Row = m_Ledger[Action.m_Key];
      if (Row.m_Attempt != Action.m_Attempt || Row.m_Ran)
        return false;
      Row.m_Ran = !isNotRun(Action.m_Code);
      Row.m_Free = !Row.m_Ran;
      Row.m_Code = Action.m_Code;
      Row.m_Body = Action.m_Body;
      Row.m_Point = Action.m_Point;
      return !IsLost;
    };
    m_OnSend = [this](const SendStatement &Sent) {
      // A tag remains until a transaction ends or another tag replaces it.
      if (Sent.m_Attempt && *Sent.m_Attempt == AttemptId())
        m_Tags.erase(Sent.m_Connection);
      else if (Sent.m_Attempt)
        m_Tags[Sent.m_Connection] = *Sent.m_Attempt;
    };
    m_OnClose = [this](ConnectionId Connection, bool HadStatement) {
      const auto Found = m_Tags.find(Connection);
      if (Found == m_Tags.end())
        return;
      // The transaction that ran on it may still commit until its attempt is
      // ended.
      if (HadStatement)
        m_Undecided.insert(Found->second);
      m_Tags.erase(Found);
    };
    m_OnAnswer = [this](const Answer &Received) { checkAnswer(Received); };
  }

  void run(int Steps) {
    for (int Step = 0; Step < Steps; ++Step) {
      runRandomStep();
      checkPool();
    }
    finish();
  }

  std::map<ResultCode, int> m_Codes; ///< Number of answers by result code.

private:
  struct LedgerRow final {
    AttemptId m_Attempt;
    bool m_Free = true;
    bool m_HolderEnded = false;
    bool m_Ran = false;
    ResultCode m_Code = ResultCode::Ok;
    AnswerBody m_Body;
    std::optional<LogPoint> m_Point;
  };

  std::size_t randomBelow(std::size_t Limit) { return m_Random() % Limit; }

  ReserveResult reserveInLedger(const ReserveRequestKey &Action) {
    m_KeyOf[Action.m_Attempt] = Action.m_Key;
    const bool IsLost = randomBelow(8) == 0; // on the way there or back
    if (IsLost && randomBelow(2) == 0)
      return ReserveResult();
    const bool IsNew = !m_Ledger.contains(Action.m_Key);
    LedgerRow &Row = m_Ledger[Action.m_Key];
    if (IsNew && randomBelow(6) == 0) {
      // Another proxy, whose session has ended since, reserved the key.
      Row.m_Attempt = AttemptId("other/" + Action.m_Key.value());
      Row.m_Free = false;
      Row.m_HolderEnded = true;
      m_KeyOf[Row.m_Attempt] = Action.m_Key;
      m_Undecided.insert(Row.m_Attempt);
    }
    if (Row.m_HolderEnded && Action.m_Aborted == Row.m_Attempt)
      Row = LedgerRow();
    ReserveResult Result = reserveResult(ReserveStatus::InUse);
    Result.m_Attempt = Row.m_Attempt;
    if (Row.m_HolderEnded) {
      Result.m_Status = ReserveStatus::HeldByEndedSession;
    }
    if (Row.m_Ran) {
      Result.m_Status = ReserveStatus::Recorded;
      Result.m_Code = Row.m_Code;
      Result.m_Body = Row.m_Body;
      Result.m_Point = Row.m_Point;
    } else if (Row.m_Free || Row.m_Attempt == Action.m_Attempt) {
      Row.m_Attempt = Action.m_Attempt;
      Row.m_Free = false;
      Result.m_Status = ReserveStatus::Reserved;
    }
    return IsLost ? ReserveResult() : Result;
  }
  void commit(const AttemptId &Attempt, std::uint64_t Position) {
    const RequestKey Key = m_KeyOf.at(Attempt);
    const auto Found = m_Committed.find(Key);
    BOOST_REQUIRE_MESSAGE(Found == m_Committed.end() ||
                              Found->second.first == Attempt,
                          "two attempts of one key committed");
    m_Committed[Key] = {Attempt, Position};
  }
  void checkAnswer(const Answer &Received) {
    ++m_Codes[Received.m_Code];
    m_BusyCallers.erase(m_CallerByRequest[Received.m_Request]);
    if (Received.m_Status != TransactionStatus::Idle)
      m_CallersInTransaction.insert(m_CallerByRequest[Received.m_Request]);
    const auto Key = m_Keys.find(Received.m_Request);
    if (Key == m_Keys.end())
      return;
    m_Answered.push_back(Key->second);
    if (isNotRun(Received.m_Code))
      BOOST_REQUIRE_MESSAGE(!m_Committed.contains(Key->second),
                            "answered as not run, but it committed");
    if (Received.m_Code == ResultCode::RanAnswerLost ||
        Received.m_Code == ResultCode::RanEarlier) {
      BOOST_REQUIRE(m_Committed.contains(Key->second));
      m_Acknowledged.insert(Key->second);
    }
    if (Received.m_Code == ResultCode::Ok && Received.m_NeedsLease &&
        Received.m_Status == TransactionStatus::Idle) {
      BOOST_REQUIRE(m_Committed.contains(Key->second));
      m_Acknowledged.insert(Key->second);
    }
  }

  void runRandomStep() {
    switch (randomBelow(14)) {
    case 0:
    case 1:
    case 2:
      submitRandomRequest();
      break;
    case 3:
    case 4:
    case 5:
    case 6:
    case 7:
      answerRandomStatement();
      break;
    case 8:
    case 9:
      sampleAll();
      break;
    case 10:
      wait(milliseconds(randomBelow(200)));
      break;
    case 11:
      loseRandomConnection();
      break;
    case 12:
      if (randomBelow(20) == 0)
        changeGroup();
      else
        lease(milliseconds(randomBelow(4) * 200));
      break;
    case 13:
      disconnectCallers();
      break;
    }
    for (const AttemptId &Attempt : std::set(m_Undecided)) {
      if (randomBelow(10) != 0)
        continue;
      m_Undecided.erase(Attempt);
      commit(Attempt, ++m_Position);
    }
  }
  void submitRandomRequest() {
    const TrafficClass Classes[] = {TrafficClass::Booking, TrafficClass::Write,
                                    TrafficClass::SessionRead,
                                    TrafficClass::AgedRead};
    m_Limits.m_MaxAge = seconds(1);
    GroupRequest Request = makeRequest(Classes[randomBelow(4)]);
    // Some callers submit several requests, so that transactions continue.
    const std::uint64_t Caller = 90000 + randomBelow(5);
    if (randomBelow(2) == 0 && !m_BusyCallers.contains(Caller))
      Request.m_Caller = CallerConnectionId(Caller);
    m_BusyCallers.insert(Request.m_Caller.value());
    m_CallerByRequest[Request.m_Id] = Request.m_Caller.value();
    const bool IsWriteRequest = Request.m_Entry->m_Class <= TrafficClass::Write;
    if (IsWriteRequest && randomBelow(3) != 0 &&
        Request.m_Caller.value() < 90000) {
      const std::string New = "key" + std::to_string(Request.m_Id.value());
      Request.m_Key = RequestKey(New);
      if (!m_Answered.empty() && randomBelow(2) == 0) // a resend
        Request.m_Key = m_Answered[randomBelow(m_Answered.size())];
      m_Keys[Request.m_Id] = *Request.m_Key;
    }
    if (randomBelow(2) == 0)
      Request.m_Token = point(m_View.m_Term.value(), m_Position);
    submit(std::move(Request));
  }
  void answerRandomStatement() {
    if (m_Statements.empty())
      return;
    const SendStatement Sent = m_Statements[randomBelow(m_Statements.size())];
    const std::uint64_t Connection = Sent.m_Connection.value();
    const std::uint64_t InTerm = m_Open.at(Sent.m_Connection).m_Term.value();
    const bool Ends = randomBelow(6) != 0;
    const TransactionStatus Status =
        Ends ? TransactionStatus::Idle : TransactionStatus::InTransaction;
    const auto Running = m_Tags.find(Sent.m_Connection);
    const std::size_t Kind = randomBelow(12);
    const bool IsOk = Kind > 2;
    if (IsOk)
      ++m_Position;
    // A replica's answer reports its applied position.
    if (IsOk && InTerm == m_View.m_Term.value())
      m_Applied[serverOf(Connection)] = m_Position;
    const bool Refused = Kind == 0 || Kind == 2; // nothing was run
    if (Ends && !Refused && Running != m_Tags.end()) {
      if (IsOk && InTerm == m_View.m_Term.value())
        commit(Running->second, m_Position);
      m_Tags.erase(Running);
    }
    const char *Errors[] = {"53300", "23505", "72000"};
    if (IsOk)
      answerOn(Connection, ok(InTerm, m_Position, Status));
    else
      answerOn(Connection, error(Errors[Kind],
                                 Kind == 2 ? TransactionStatus::Idle : Status));
  }
  void sampleAll() {
    for (const char *Name : {"s1", "s2", "s3"}) {
      if (randomBelow(3) == 0)
        continue;
      m_Applied[Name] = m_Position;
      sample(m_View.m_Term.value(), m_Position, {Name});
    }
    while (!m_EndAttempts.empty() && randomBelow(3) != 0) {
      const EndAttempt Ending = m_EndAttempts.front();
      const bool IsCurrent = Ending.m_Term == m_View.m_Term;
      if (IsCurrent)
        m_Undecided.erase(Ending.m_Attempt);
      const auto Found = m_Committed.find(m_KeyOf.at(Ending.m_Attempt));
      const bool Committed =
          Found != m_Committed.end() && Found->second.first == Ending.m_Attempt;
      // A replaced primary reports either outcome.
      const bool Reported = IsCurrent ? Committed : randomBelow(2) == 0;
      const AttemptOutcome Outcome = randomBelow(6) == 0
                                         ? AttemptOutcome::Failed
                                     : Reported ? AttemptOutcome::Committed
                                                : AttemptOutcome::Aborted;
      endAttempt(Outcome, Ending.m_Term.value(), ++m_Position);
    }
  }
  void loseRandomConnection() {
    if (m_Statements.empty() || randomBelow(3) != 0)
      return;
    const ConnectionId Connection =
        m_Statements[randomBelow(m_Statements.size())].m_Connection;
    const auto Running = m_Tags.find(Connection);
    if (Running != m_Tags.end()) {
      m_Undecided.insert(Running->second);
      m_Tags.erase(Running);
    }
    loseConnection(Connection.value());
  }
  void changeGroup() {
    for (ServerView &Server : m_View.m_Servers) {
      Server.m_ConnectionShare = 3 + static_cast<std::uint32_t>(randomBelow(5));
      Server.m_Leaving = randomBelow(6) == 0;
    }
    // Commits that not all servers have applied may be lost; statements still
    // running on the old primary never become part of the next history.
    if (m_View.m_Primary)
      m_Applied[m_View.m_Primary->value()] = m_Position;
    const std::uint64_t Safe =
        std::min({m_Applied["s1"], m_Applied["s2"], m_Applied["s3"]});
    std::erase_if(m_Committed, [&](const auto &Pair) {
      return Pair.second.second > Safe && randomBelow(2) == 0;
    });
    m_Undecided.clear();
    m_Tags.clear();
    const char *Names[] = {"s1", "s2", "s3"};
    changePrimary(m_View.m_Term.value() + 1, Names[randomBelow(3)]);
  }
  void disconnectCallers() {
    const std::set<std::uint64_t> Leaving(std::move(m_CallersInTransaction));
    m_CallersInTransaction.clear();
    for (const std::uint64_t Caller : Leaving) {
      if (Caller < 90000 || randomBelow(2) == 0)
        callerDisconnected(Caller);
    }
  }
  void checkPool() {
    for (const ServerView &Server : m_View.m_Servers) {
      std::uint32_t Open = 1; // the position monitor
      for (const auto &[Id, Connection] : m_Open)
        Open += Connection.m_Server == Server.m_Server ? 1 : 0;
      const std::uint32_t Held = m_Core.connectionCount(Server.m_Server);
      BOOST_REQUIRE(Open == Held);
      // Connections above the share must have been open before it was reduced.
      std::uint32_t &Before = m_HeldBefore[Server.m_Server];
      BOOST_REQUIRE(Held <= std::max(Server.m_ConnectionShare, Before));
      Before = Held;
    }
  }
  /// Checks that each request of a caller that stayed connected is answered.
  void finish() {
    wait(seconds(60));
    for (std::uint64_t Caller = 90000; Caller < 90005; ++Caller)
      callerDisconnected(Caller);
    BOOST_TEST(m_Core.pendingRequests() == 0U);
    m_Core.drain(m_Now, m_Actions);
    BOOST_TEST(m_Core.isDrained());
    for (const RequestKey &Key : m_Acknowledged)
      BOOST_TEST(m_Committed.contains(Key));
  }

  std::mt19937 m_Random;
  std::uint64_t m_Position = 10;
  std::map<RequestKey, LedgerRow> m_Ledger;
  std::map<AttemptId, RequestKey> m_KeyOf;
  std::map<ConnectionId, AttemptId>
      m_Tags;                      ///< Attempt tags as the servers see them.
  std::set<AttemptId> m_Undecided; ///< Attempts whose connection was lost; they
                                   ///< may still commit.
  std::map<RequestKey, std::pair<AttemptId, std::uint64_t>>
      m_Committed; ///< Commits in the primary's history, with their position.
  std::set<RequestKey> m_Acknowledged;
  std::map<std::string, std::uint64_t> m_Applied;
  std::map<RequestId, RequestKey> m_Keys;
  std::vector<RequestKey> m_Answered; ///< Keys that may be resent.
  std::map<RequestId, std::uint64_t> m_CallerByRequest;
  std::set<std::uint64_t> m_BusyCallers; ///< Callers with a request under way.
  std::set<std::uint64_t>
      m_CallersInTransaction; ///< Callers with an open transaction.
  std::map<ServerId, std::uint32_t> m_HeldBefore;
};

BOOST_AUTO_TEST_CASE(RandomRunsKeepInvariants,
                     *boost::unit_test::label("promise-5") *
                         boost::unit_test::label("promise-6")) {
  std::map<ResultCode, int> Codes;
  for (unsigned Seed = 1; Seed <= 60; ++Seed) {
    BOOST_TEST_CONTEXT("seed " << Seed) {
      RandomRun Run(Seed);
      Run.run(2000);
      for (const auto &[Code, Count] : Run.m_Codes)
        Codes[Code] += Count;
    }
  }
  // The runs must cover the results that they are meant to test.
  for (const ResultCode Code :
       {ResultCode::Ok, ResultCode::NotRunRolledBack, ResultCode::RanAnswerLost,
        ResultCode::OutcomeUnknown, ResultCode::OutcomeUnknownTermEnded})
    BOOST_TEST(Codes[Code] > 10);
  for (const auto &[Code, Count] : Codes)
    BOOST_TEST_MESSAGE(resultCodeInfo(Code).m_Name << " " << Count);
}

} // namespace

} // namespace ragwortmux
