#ifndef TESTS_REQUEST_SESSIONFIXTURE_H
#define TESTS_REQUEST_SESSIONFIXTURE_H

#include "ragwortmux/Request/SessionCore.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace ragwortmux::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline const GroupId Group("g");
inline const ServerId S1("s1");
inline const ServerId S2("s2");
inline const ServerId S3("s3");

/// A SessionCore with a simulated clock and connections; records its actions.
struct SessionFixture {
  SessionFixture() : SessionFixture(seconds(10)) {}
  /// A lease of the length \p Lease; none if it is 0.
  explicit SessionFixture(Duration Lease) : SessionFixture(settings(), Lease) {}
  SessionFixture(const SessionCoreSettings &Settings, Duration Lease)
      : m_Core(Group, Settings) {
    applyView(1, S1);
    if (Lease > Duration(0))
      extendLease(Lease);
    openAll();
  }

  static SessionCoreSettings settings() {
    SessionCoreSettings Settings;
    Settings.m_Domain = FailureDomainId("near");
    return Settings;
  }

  void applyView(std::uint64_t InTerm, std::optional<ServerId> Primary,
                 std::uint32_t Share = 3) {
    GroupView View;
    View.m_Group = Group;
    View.m_Revision = Revision(++m_Revision);
    View.m_Term = Term(InTerm);
    View.m_Primary = std::move(Primary);
    for (const ServerId &Server : {S1, S2, S3}) {
      ServerView Each;
      Each.m_Server = Server;
      Each.m_Domain = FailureDomainId(Server == S2 ? "near" : "far");
      Each.m_Address = "10.0.0.1";
      Each.m_Port = 1;
      Each.m_ConnectionShare = Share;
      Each.m_Slots = 5;
      View.m_Servers.push_back(Each);
    }
    m_Core.viewChanged(m_Now, View, m_Actions);
    collectActions();
  }

  void extendLease(Duration Length) {
    m_Core.leaseExtended(m_Now, m_Now + Length, m_Actions);
    collectActions();
  }

  /// Control opens another session and grants a lease under it.
  void changeControlSession() {
    m_Core.controlSessionChanged(m_Now, m_Actions);
    collectActions();
    extendLease(seconds(10));
  }
  /// Control sends the newest record once more.
  void repeatView(std::uint64_t InTerm, std::optional<ServerId> Primary) {
    --m_Revision;
    applyView(InTerm, std::move(Primary));
  }

  /// Opens all requested connections.
  void openAll() {
    while (!m_Opening.empty()) {
      const OpenSessionConnection Next = m_Opening.front();
      m_Opening.pop_front();
      m_ServerOf[Next.m_Connection] = Next.m_Server;
      m_WorkspaceOf[Next.m_Connection] = Next.m_Workspace;
      m_Core.connectionOpened(m_Now, Next.m_Connection, m_Actions);
      collectActions();
    }
  }

  void advanceTime(Duration Length) {
    const Instant End = m_Now + Length;
    while (const auto Next = m_Core.nextDeadline()) {
      if (*Next > End)
        break;
      m_Now = std::max(*Next, m_Now + milliseconds(1));
      m_Core.tick(m_Now, m_Actions);
      collectActions();
    }
    m_Now = std::max(m_Now, End);
  }

  /// Submits a statement; returns its id.
  RequestId submit(StatementKind Kind, TrafficClass Class, bool Writes = false,
                   std::uint64_t Caller = 1,
                   std::optional<LogPoint> LastWrite = std::nullopt) {
    SessionRequest Request = makeRequest(Kind, Class, Writes, Caller);
    Request.m_LastWrite.m_Point = LastWrite;
    return submitRequest(std::move(Request));
  }

  /// A statement of a session without state; submitRequest() submits it.
  SessionRequest makeRequest(StatementKind Kind, TrafficClass Class,
                             bool Writes, std::uint64_t Caller) {
    auto Entry = std::make_shared<CatalogueEntry>();
    Entry->m_Name = EntryName("e");
    Entry->m_Group = Group;
    Entry->m_Class = Class;
    Entry->m_Limits.m_RequestDeadline = seconds(1);
    Entry->m_Limits.m_MaxAge = milliseconds(1500);
    Entry->m_Limits.m_TransactionIdle = seconds(3);
    SessionRequest Request;
    Request.m_Id = RequestId(++m_LastRequest);
    Request.m_Caller = CallerConnectionId(Caller);
    Request.m_Entry = Entry;
    Request.m_Workspace = m_Workspace;
    Request.m_Statement.m_Id = StatementId("x");
    Request.m_Statement.m_Kind = Kind;
    Request.m_Statement.m_Writes = Writes;
    Request.m_State = std::make_shared<SessionState>();
    Request.m_Arrived = m_Now;
    return Request;
  }

  RequestId submitRequest(SessionRequest Request) {
    const RequestId Id = Request.m_Id;
    m_Core.submit(m_Now, std::move(Request), m_Actions);
    collectActions();
    return Id;
  }

  /// Takes the oldest running statement; fails if there is none.
  RunStatement nextRunning() {
    BOOST_REQUIRE(!m_Runs.empty());
    RunStatement Next = m_Runs.front();
    m_Runs.pop_front();
    return Next;
  }
  ServerId serverOf(const RunStatement &Run) {
    return m_ServerOf.at(Run.m_Connection);
  }

  void reply(const RunStatement &Run, StatementOutcome Outcome,
             TransactionStatus Status, std::optional<LogPoint> Point) {
    StatementReply Reply;
    Reply.m_Outcome = Outcome;
    Reply.m_Status = Status;
    Reply.m_Point = Point;
    Reply.m_Body = std::make_shared<const std::string>("row");
    m_Core.statementAnswered(m_Now, Run.m_Connection, Reply, m_Actions);
    collectActions();
  }
  void replyDone(const RunStatement &Run, std::uint64_t Position,
                 TransactionStatus Status = TransactionStatus::Idle) {
    reply(Run, StatementOutcome::Done, Status, point(Position));
  }
  static LogPoint point(std::uint64_t Position, std::uint64_t InTerm = 5) {
    return {Term(InTerm), LogPosition(Position)};
  }

  /// The servers answer all probes.
  void answerProbes() {
    for (const ConnectionId Connection : std::exchange(m_Probes, {}))
      m_Core.statementAnswered(m_Now, Connection, {}, m_Actions);
    collectActions();
  }

  void disconnect(std::uint64_t Caller) {
    m_Core.callerDisconnected(m_Now, CallerConnectionId(Caller), m_Actions);
    collectActions();
  }

  /// Makes the primary report its position by a read that runs on it.
  void sample(std::uint64_t Position) {
    submit(StatementKind::Read, TrafficClass::PrimarySession, false, 99);
    replyDone(nextRunning(), Position);
    m_Answers.clear();
  }

  SessionAnswer nextAnswer() {
    BOOST_REQUIRE(!m_Answers.empty());
    SessionAnswer Next = m_Answers.front();
    m_Answers.pop_front();
    return Next;
  }

  void collectActions() {
    for (const SessionAction &Action : std::exchange(m_Actions, {})) {
      if (const auto *Open = std::get_if<OpenSessionConnection>(&Action))
        m_Opening.push_back(*Open);
      else if (const auto *Close = std::get_if<CloseSessionConnection>(&Action))
        m_Closed.insert(Close->m_Connection);
      else if (const auto *SetUp = std::get_if<SetUpSession>(&Action))
        m_SetUps.push_back(*SetUp);
      else if (const auto *Run = std::get_if<RunStatement>(&Action))
        m_Runs.push_back(*Run);
      else if (const auto *Probe = std::get_if<ProbeConnection>(&Action))
        m_Probes.push_back(Probe->m_Connection);
      else if (const auto *Answer = std::get_if<SessionAnswer>(&Action))
        m_Answers.push_back(*Answer);
      else if (const auto *Report = std::get_if<ReportServer>(&Action))
        m_Reports.push_back(*Report);
    }
  }

  Instant m_Now{seconds(100)};
  SessionCore m_Core;
  SessionActions m_Actions;
  std::uint64_t m_Revision = 0;
  std::uint64_t m_LastRequest = 0;
  std::deque<OpenSessionConnection> m_Opening;
  std::deque<SetUpSession> m_SetUps; ///< Set-ups without an answer.
  std::deque<RunStatement> m_Runs;
  std::deque<ConnectionId> m_Probes; ///< Probes without an answer.
  std::deque<SessionAnswer> m_Answers;
  std::vector<ReportServer> m_Reports;
  std::set<ConnectionId> m_Closed;
  std::map<ConnectionId, ServerId> m_ServerOf;
  std::map<ConnectionId, WorkspaceId> m_WorkspaceOf;
  WorkspaceId m_Workspace; ///< Workspace of submitted statements.
};

inline constexpr auto Idle = TransactionStatus::Idle;
inline constexpr auto Open = TransactionStatus::InTransaction;

} // namespace ragwortmux::test

#endif // TESTS_REQUEST_SESSIONFIXTURE_H
