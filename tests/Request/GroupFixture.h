#ifndef TESTS_REQUEST_GROUPFIXTURE_H
#define TESTS_REQUEST_GROUPFIXTURE_H

#include "ragwortmux/Request/GroupCore.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace ragwortmux {

/// A GroupCore with fake backend servers, ledger and session homes. The servers
/// are s1 (primary), s2 and s3, all in sync unless a test changes that.
class GroupFixture {
public:
  GroupFixture() : GroupFixture(GroupSettings()) {}
  explicit GroupFixture(GroupSettings Settings)
      : m_Core(GroupId("g"), withPrefix(std::move(Settings))) {
    m_View.m_Group = GroupId("g");
    m_View.m_Primary = ServerId("s1");
    for (const char *Name : {"s1", "s2", "s3"}) {
      ServerView Server;
      Server.m_Server = ServerId(Name);
      Server.m_Sync = SyncState::InSync;
      Server.m_ConnectionShare = 5;
      Server.m_Slots = 3;
      m_View.m_Servers.push_back(Server);
    }
    setView(1);
    lease(std::chrono::seconds(60));
  }

  // Time and environment.
  void wait(Duration Time) {
    const Instant End = m_Now + Time;
    for (auto At = m_Core.nextDeadline(); At && *At <= End;
         At = m_Core.nextDeadline()) {
      m_Now = std::max(m_Now, *At);
      m_Core.tick(m_Now, m_Actions);
      performActions();
      BOOST_REQUIRE_MESSAGE(++m_Ticks < 100000, "tick() leaves a timer due");
    }
    m_Now = End;
  }
  void setView(std::uint64_t NewTerm) {
    m_View.m_Term = Term(NewTerm);
    m_View.m_Revision = Revision(m_View.m_Revision.value() + 1);
    m_Core.viewChanged(m_Now, m_View, m_Actions);
    performActions();
  }
  /// Ends the term and appoints \p Primary in the next one, if given.
  void changePrimary(std::uint64_t NewTerm, const char *Primary) {
    m_View.m_Primary.reset();
    setView(NewTerm);
    if (!Primary)
      return;
    m_View.m_Primary = ServerId(Primary);
    setView(NewTerm);
  }
  void lease(Duration For) {
    m_LeaseExpiry = m_Now + For;
    m_Core.leaseExtended(m_Now, m_LeaseExpiry, m_Actions);
    performActions();
  }
  /// Each named server reports \p Position of \p InTerm now.
  void sample(std::uint64_t InTerm, std::uint64_t Position,
              const std::vector<const char *> &Servers) {
    for (const char *Name : Servers) {
      m_Core.positionSampled(m_Now, ServerId(Name), point(InTerm, Position),
                             m_View.m_Primary == ServerId(Name), m_Now,
                             m_Actions);
      performActions();
    }
  }

  // Requests.
  static LogPoint point(std::uint64_t InTerm, std::uint64_t Position) {
    return {Term(InTerm), LogPosition(Position)};
  }
  GroupRequest makeRequest(TrafficClass Class, const char *Owner = "o") {
    auto Entry = std::make_shared<CatalogueEntry>();
    Entry->m_Name =
        EntryName(std::string(Owner) + std::to_string(static_cast<int>(Class)));
    Entry->m_Group = GroupId("g");
    Entry->m_Owner = OwnerId(Owner);
    Entry->m_Class = Class;
    Entry->m_Limits = m_Limits;
    GroupRequest Request;
    Request.m_Id = RequestId(++m_LastRequest);
    Request.m_Caller = CallerConnectionId(m_LastRequest);
    Request.m_Entry = std::move(Entry);
    Request.m_Sql = "SQL";
    Request.m_Arrived = m_Now;
    return Request;
  }
  RequestId submit(GroupRequest Request) {
    const RequestId Id = Request.m_Id;
    m_Core.submit(m_Now, std::move(Request), m_Actions);
    performActions();
    return Id;
  }
  RequestId write() { return submit(makeRequest(TrafficClass::Booking)); }
  RequestId keyedWrite() {
    GroupRequest Request = makeRequest(TrafficClass::Booking);
    Request.m_Key = RequestKey("key");
    return submit(std::move(Request));
  }
  void callerDisconnected(std::uint64_t Caller) {
    m_Core.callerDisconnected(m_Now, CallerConnectionId(Caller), m_Actions);
    performActions();
  }

  // Backend servers.
  /// Connection on which the newest unanswered statement runs; 0 if none.
  std::uint64_t running() const {
    return m_Statements.empty() ? 0 : m_Statements.back().m_Connection.value();
  }
  std::string serverOf(std::uint64_t Connection) const {
    const auto Found = m_Open.find(ConnectionId(Connection));
    return Found == m_Open.end() ? "" : Found->second.m_Server.value();
  }
  std::string runsAt() const { return serverOf(running()); }
  BackendAnswer ok(std::uint64_t InTerm, std::uint64_t Position,
                   TransactionStatus Status = TransactionStatus::Idle) {
    BackendAnswer Result;
    Result.m_Status = Status;
    Result.m_Point = point(InTerm, Position);
    Result.m_Body = std::make_shared<const std::string>("body");
    return Result;
  }
  static BackendAnswer
  error(const char *SqlState,
        TransactionStatus Status = TransactionStatus::Idle) {
    BackendAnswer Result;
    Result.m_Ok = false;
    Result.m_SqlState = SqlState;
    Result.m_Status = Status;
    Result.m_Body = std::make_shared<const std::string>(SqlState);
    return Result;
  }
  void answerOn(std::uint64_t Connection, BackendAnswer Result) {
    std::erase_if(m_Statements, [Connection](const SendStatement &Sent) {
      return Sent.m_Connection.value() == Connection;
    });
    m_Core.statementAnswered(m_Now, ConnectionId(Connection), std::move(Result),
                             m_Actions);
    performActions();
  }
  void answer(BackendAnswer Result) { answerOn(running(), std::move(Result)); }
  void loseConnection(std::uint64_t Connection) {
    m_Open.erase(ConnectionId(Connection));
    std::erase_if(m_Statements, [Connection](const SendStatement &Sent) {
      return Sent.m_Connection.value() == Connection;
    });
    m_Core.connectionLost(m_Now, ConnectionId(Connection), m_Actions);
    performActions();
  }
  void endAttempt(AttemptOutcome Outcome, std::uint64_t InTerm,
                  std::uint64_t Position) {
    BOOST_REQUIRE(!m_EndAttempts.empty());
    const RequestId Request = m_EndAttempts.front().m_Request;
    m_EndAttempts.erase(m_EndAttempts.begin());
    m_Core.attemptEnded(m_Now, Request, Outcome, point(InTerm, Position),
                        m_Actions);
    performActions();
  }
  void reserve(RequestId Request, const ReserveResult &Result) {
    m_Core.keyReserved(m_Now, Request, Result, m_Actions);
    performActions();
  }
  static ReserveResult reserveResult(ReserveStatus Status) {
    ReserveResult Result;
    Result.m_Status = Status;
    return Result;
  }

  // Answers to the callers.
  bool isAnswered(RequestId Request) const {
    return m_Answers.contains(Request);
  }
  ResultCode code(RequestId Request) const {
    BOOST_REQUIRE_MESSAGE(isAnswered(Request), "request was not answered");
    return m_Answers.at(Request).m_Code;
  }
  std::string body(RequestId Request) const {
    BOOST_REQUIRE(isAnswered(Request));
    const AnswerBody &Body = m_Answers.at(Request).m_Body;
    return Body ? *Body : "";
  }

  Instant m_Now{std::chrono::hours(1)};
  EntryLimits m_Limits;
  GroupView m_View;
  GroupCore m_Core;
  GroupActions m_Actions;
  std::set<std::string>
      m_UnresponsiveServers; ///< Servers that accept no new connections and
                             ///< answer no probes.
  std::set<std::uint64_t>
      m_UnresponsiveConnections; ///< Connections that answer no probes.
  bool m_AutoLedger = true;      ///< The ledger reserves and records at once.
  std::function<void(const Answer &)> m_OnAnswer;
  std::function<ReserveResult(const ReserveRequestKey &)> m_OnReserve;
  std::function<bool(const RecordKeyOutcome &)> m_OnRecord;
  std::function<void(const SendStatement &)> m_OnSend;
  std::function<void(ConnectionId, bool)>
      m_OnClose; ///< Called with true if a statement was running.
  Instant m_LeaseExpiry;
  bool m_AutoHomes = true; ///< The session homes answer at once.
  std::map<ConnectionId, OpenConnection> m_Open;
  std::vector<SendStatement> m_Statements; ///< Not answered yet.
  std::size_t m_Sent = 0; ///< Number of request statements sent.
  std::map<RequestId, Answer> m_Answers;
  std::vector<ReserveRequestKey> m_Reserves;
  std::vector<RecordKeyOutcome> m_Records;
  std::vector<EndAttempt> m_EndAttempts; ///< Not answered yet.
  std::vector<StoreSessionPoint> m_PointStores;
  std::vector<FindSessionPoint> m_PointLookups;
  std::vector<CloseCaller> m_ClosedCallers;
  std::vector<ReportSuspicion> m_Suspicions;
  std::map<SessionName, std::optional<LogPoint>> m_Homes;

private:
  static GroupSettings withPrefix(GroupSettings Settings) {
    Settings.m_AttemptPrefix = "host";
    return Settings;
  }

  void performActions() {
    while (!m_Actions.empty()) {
      GroupActions Batch;
      Batch.swap(m_Actions);
      for (const GroupAction &Action : Batch)
        std::visit([this](const auto &Item) { perform(Item); }, Action);
    }
  }
  void perform(const OpenConnection &Action) {
    m_Open[Action.m_Connection] = Action;
    if (!m_UnresponsiveServers.contains(Action.m_Server.value()))
      m_Core.connectionOpened(m_Now, Action.m_Connection, m_Actions);
  }
  void perform(const CloseConnection &Action) {
    m_Open.erase(Action.m_Connection);
    const auto Cut =
        std::erase_if(m_Statements, [&](const SendStatement &Sent) {
          return Sent.m_Connection == Action.m_Connection;
        });
    if (m_OnClose)
      m_OnClose(Action.m_Connection, Cut > 0);
    m_Core.connectionClosed(m_Now, Action.m_Connection, m_Actions);
  }
  void perform(const SendStatement &Action) {
    if (Action.m_Sql != "SQL") {
      if (!m_UnresponsiveServers.contains(
              serverOf(Action.m_Connection.value())) &&
          !m_UnresponsiveConnections.contains(Action.m_Connection.value()))
        m_Core.statementAnswered(m_Now, Action.m_Connection, BackendAnswer(),
                                 m_Actions);
      return;
    }
    ++m_Sent;
    if (m_OnSend)
      m_OnSend(Action);
    for (const SendStatement &Sent : m_Statements)
      BOOST_REQUIRE(Sent.m_Connection != Action.m_Connection);
    m_Statements.push_back(Action);
  }
  void perform(const Answer &Action) {
    BOOST_REQUIRE_MESSAGE(!isAnswered(Action.m_Request),
                          "request was answered twice");
    // Nothing may be acknowledged for an ended term or after the lease.
    if (Action.m_NeedsLease) {
      BOOST_REQUIRE((*Action.m_NeedsLease == m_View.m_Term));
      BOOST_REQUIRE((m_Now < m_LeaseExpiry));
    }
    m_Answers.emplace(Action.m_Request, Action);
    if (m_OnAnswer)
      m_OnAnswer(Action);
  }
  void perform(const ReserveRequestKey &Action) {
    m_Reserves.push_back(Action);
    if (m_AutoLedger)
      m_Core.keyReserved(m_Now, Action.m_Request,
                         m_OnReserve ? m_OnReserve(Action)
                                     : reserveResult(ReserveStatus::Reserved),
                         m_Actions);
  }
  void perform(const RecordKeyOutcome &Action) {
    m_Records.push_back(Action);
    const bool Recorded = !m_OnRecord || m_OnRecord(Action);
    if (m_AutoLedger)
      m_Core.outcomeRecorded(m_Now, Action.m_Request, Recorded, m_Actions);
  }
  void perform(const FindSessionPoint &Action) {
    m_PointLookups.push_back(Action);
    if (!m_AutoHomes)
      return;
    const auto Found = m_Homes.find(Action.m_Session);
    const bool Known = Found != m_Homes.end();
    m_Core.sessionPointFound(m_Now, Action.m_Request,
                             Known ? Found->second : std::nullopt, Known,
                             m_Actions);
  }
  void perform(const StoreSessionPoint &Action) {
    m_PointStores.push_back(Action);
    if (!m_AutoHomes)
      return;
    m_Homes[Action.m_Session] = Action.m_Point;
    if (Action.m_Request)
      m_Core.sessionPointStored(m_Now, *Action.m_Request, true, m_Actions);
  }
  void perform(const EndAttempt &Action) { m_EndAttempts.push_back(Action); }
  void perform(const CloseCaller &Action) { m_ClosedCallers.push_back(Action); }
  void perform(const ReportSuspicion &Action) {
    m_Suspicions.push_back(Action);
  }
  void perform(const CancelStatement & /*Action*/) {}
  void perform(const StartPositionMonitor & /*Action*/) {}
  void perform(const StopPositionMonitor & /*Action*/) {}

  std::uint64_t m_LastRequest = 0;
  int m_Ticks = 0;
};

} // namespace ragwortmux

#endif // TESTS_REQUEST_GROUPFIXTURE_H
