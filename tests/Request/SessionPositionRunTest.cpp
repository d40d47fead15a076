#include "SessionFixture.h"

#include "ragwortmux/Request/CallerSession.h"

#include <random>

namespace ragwortmux::test {

namespace {

constexpr std::uint64_t Callers = 4;

/// Sessions that write and read at random in a group whose servers answer late,
/// without a position, or not at all, and whose replicas lag.
struct PositionRun : SessionFixture {
  explicit PositionRun(unsigned Seed) : m_Random(Seed) {}

  /// True with a probability of one in \p Count.
  bool oneIn(unsigned Count) { return m_Random() % Count == 0; }

  void play(int Steps) {
    for (int Step = 0; Step < Steps; ++Step) {
      advanceTime(milliseconds(5));
      extendLease(seconds(10));
      openAll();
      for (const ServerId &Replica : {S2, S3}) {
        if (oneIn(8))
          m_Logs[Replica] = m_Logs[S1];
      }
      submitNext(1 + m_Random() % Callers);
      if (!m_Runs.empty() && !oneIn(3))
        answerNext();
      takeAnswers();
    }
  }

  void submitNext(std::uint64_t Caller) {
    if (m_Waiting.contains(Caller))
      return;
    CallerSession &Session = m_Sessions[Caller];
    const bool IsOpen = Session.status() == Open;
    using Kind = StatementKind;
    const Kind Outside[] = {Kind::Read, Kind::Read, Kind::Write, Kind::Begin,
                            Kind::BeginRead};
    const Kind Inside[] = {Kind::Read, Kind::Write, Kind::Commit,
                           Kind::Rollback};
    Kind Next = IsOpen ? Inside[m_Random() % 4] : Outside[m_Random() % 5];
    if (IsOpen && m_ReadOnly.contains(Caller) && Next == Kind::Write)
      Next = Kind::Read;
    if (!IsOpen)
      m_ReadOnly.erase(Caller);
    if (Next == Kind::BeginRead)
      m_ReadOnly.insert(Caller);
    SessionRequest Request = makeRequest(Next, TrafficClass::OwnWritesSession,
                                         Next == Kind::Write, Caller);
    if (Session.answerLocally(Request.m_Statement))
      return;
    Request.m_LastWrite = Session.lastWrite(Group);
    m_Waiting[Caller] = Request.m_Id;
    m_Kinds[Request.m_Id] = Next;
    m_CallerOf[Request.m_Id] = Caller;
    submitRequest(std::move(Request));
  }

  void answerNext() {
    const RunStatement Run = nextRunning();
    const ServerId Server = serverOf(Run);
    if (m_Closed.contains(Run.m_Connection))
      return;
    if (oneIn(25)) {
      m_Core.connectionLost(m_Now, Run.m_Connection, m_Actions);
      collectActions();
      return;
    }
    std::uint64_t &Log = m_Logs[Server];
    if (Run.m_Floor && Run.m_Floor->m_Position.value() > Log) {
      reply(Run, StatementOutcome::Behind, Idle, point(Log));
      return;
    }
    const StatementKind Kind = Run.m_Statement.m_Kind;
    bool &IsOpen = m_IsOpen[Run.m_Connection];
    bool &HasWritten = m_HasWritten[Run.m_Connection];
    const bool IsWrite = Kind == StatementKind::Write;
    IsOpen = isBegin(Kind) || (IsOpen && Kind != StatementKind::Commit &&
                               Kind != StatementKind::Rollback);
    const bool Commits =
        (IsWrite && !IsOpen) || (Kind == StatementKind::Commit && HasWritten);
    HasWritten = IsOpen && (HasWritten || IsWrite);
    if (Commits)
      ++Log;
    m_Seen = Log;
    const bool HasPoint = !oneIn(2);
    reply(Run, StatementOutcome::Done, IsOpen ? Open : Idle,
          HasPoint ? std::optional(point(Log)) : std::nullopt);
    for (const SessionAnswer &Answer : m_Answers)
      check(Answer, Commits);
  }

  /// Checks that a read has seen the writes of its session. Reads inside of a
  /// transaction run on the connection of its BEGIN, whose floor holds for
  /// them.
  void check(const SessionAnswer &Answer, bool Commits) {
    if (Answer.m_Code != ResultCode::Ok)
      return;
    const std::uint64_t Caller = m_CallerOf.at(Answer.m_Request);
    const StatementKind Kind = m_Kinds.at(Answer.m_Request);
    if (Commits) {
      m_Acknowledged[Caller] = m_Seen;
    } else if (Kind == StatementKind::Read && Answer.m_Status == Idle) {
      ++m_Reads;
      m_StaleReads += m_Seen < m_Acknowledged[Caller] ? 1 : 0;
    }
  }

  void takeAnswers() {
    for (const SessionAnswer &Answer : std::exchange(m_Answers, {})) {
      const std::uint64_t Caller = m_CallerOf.at(Answer.m_Request);
      m_Sessions[Caller].answered(Answer);
      m_Waiting.erase(Caller);
    }
  }

  std::mt19937 m_Random;
  std::map<ServerId, std::uint64_t> m_Logs; ///< Last position of each server.
  std::map<std::uint64_t, CallerSession> m_Sessions;
  std::map<std::uint64_t, RequestId> m_Waiting; ///< Without an answer.
  std::set<std::uint64_t> m_ReadOnly;           ///< In a read-only transaction.
  std::map<RequestId, StatementKind> m_Kinds;
  std::map<RequestId, std::uint64_t> m_CallerOf;
  std::map<ConnectionId, bool> m_IsOpen;
  std::map<ConnectionId, bool> m_HasWritten;
  std::map<std::uint64_t, std::uint64_t>
      m_Acknowledged;       ///< Last acknowledged write of each session.
  std::uint64_t m_Seen = 0; ///< Log of the server that answered last.
  std::size_t m_Reads = 0;
  std::size_t m_StaleReads = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(SessionPositionRunTest)

// Guards against reads without the session's own writes, whatever the answers
// tell of their positions.
BOOST_AUTO_TEST_CASE(ReadsSeeOwnWrites) {
  constexpr unsigned Seeds = 100;
  std::size_t Reads = 0;
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
    PositionRun Run(Seed);
    Run.play(1500);
    BOOST_TEST(Run.m_StaleReads == 0U, "seed " << Seed);
    Reads += Run.m_Reads;
  }
  BOOST_TEST(Reads > 20 * Seeds);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ragwortmux::test
