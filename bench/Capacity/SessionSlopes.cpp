#include "bench/Capacity/SessionSlopes.h"

#include "bench/Capacity/SlopeTable.h"
#include "bench/Capacity/TimedCall.h"
#include "ragwortmux/Request/SessionCore.h"

#include <deque>
#include <memory>
#include <utility>

namespace ragwortmux {

namespace {

constexpr std::uint32_t Statements = 3000;
constexpr std::uint32_t Connections = 5;
constexpr Duration Step = std::chrono::microseconds(100);
constexpr Duration Deadline = std::chrono::hours(1);

/// Drives a SessionCore with three fake servers that answer on answer().
class SessionCoreDriver final {
public:
  SessionCoreDriver() : m_Core(GroupId("g"), SessionCoreSettings()) {
    GroupView View;
    View.m_Group = GroupId("g");
    View.m_Revision = Revision(1);
    View.m_Term = Term(1);
    View.m_Primary = ServerId("s1");
    for (const char *Name : {"s1", "s2", "s3"}) {
      ServerView Server;
      Server.m_Server = ServerId(Name);
      Server.m_ConnectionShare = Connections;
      Server.m_Slots = Connections;
      View.m_Servers.push_back(Server);
    }
    m_Core.viewChanged(m_Now, View, m_Actions);
    m_Core.leaseExtended(m_Now, m_Now + Deadline, m_Actions);
    processActions();
    m_Entry = std::make_shared<CatalogueEntry>();
    m_Entry->m_Class = TrafficClass::OwnWritesSession;
    m_Entry->m_Limits.m_RequestDeadline = Deadline;
    m_Entry->m_Limits.m_MaxAge = Deadline;
  }

  /// Submits one read.
  void submit() {
    SessionRequest Request;
    Request.m_Id = RequestId(++m_LastRequest);
    Request.m_Caller = CallerConnectionId(m_LastRequest);
    Request.m_Entry = m_Entry;
    Request.m_Statement.m_Kind = StatementKind::Read;
    Request.m_State = m_State;
    Request.m_Arrived = m_Now;
    m_Core.submit(m_Now, std::move(Request), m_Actions);
    processActions();
  }

  /// Answers the oldest running statement.
  void answer() {
    const ConnectionId Connection = m_Running.front();
    m_Running.pop_front();
    StatementReply Reply;
    Reply.m_Status = TransactionStatus::Idle;
    Reply.m_Point = LogPoint{Term(1), LogPosition(1)};
    m_Core.statementAnswered(m_Now, Connection, Reply, m_Actions);
    processActions();
    m_Core.nextDeadline();
    m_Now += Step;
  }

  std::size_t waiting() const { return m_Core.waiting(); }

private:
  void processActions() {
    while (!m_Actions.empty()) {
      for (const SessionAction &Action : std::exchange(m_Actions, {})) {
        if (const auto *Open = std::get_if<OpenSessionConnection>(&Action))
          m_Core.connectionOpened(m_Now, Open->m_Connection, m_Actions);
        else if (const auto *Run = std::get_if<RunStatement>(&Action))
          m_Running.push_back(Run->m_Connection);
      }
    }
  }

  Instant m_Now{std::chrono::hours(1)};    ///< Simulated time.
  SessionCore m_Core;                      ///< Core under measurement.
  SessionActions m_Actions;                ///< Pending actions.
  std::shared_ptr<CatalogueEntry> m_Entry; ///< Entry of all requests.
  std::shared_ptr<const SessionState> m_State =
      std::make_shared<SessionState>(); ///< State of all callers.
  std::deque<ConnectionId> m_Running;   ///< Unanswered, oldest first.
  std::uint64_t m_LastRequest = 0;      ///< Id of the last request.
};

double measureMeanTime(std::uint32_t Waiting) {
  SessionCoreDriver Group;
  while (Group.waiting() < Waiting)
    Group.submit();
  const double Total = measureMicroseconds([&] {
    for (std::uint32_t Index = 0; Index < Statements; ++Index) {
      Group.submit();
      Group.answer();
    }
  });
  return Total / Statements;
}

} // namespace

void printSessionSlopes() {
  SlopeTable Times("SessionCore per statement by statements that wait",
                   "waiting", {"read, us"});
  for (const std::uint32_t Waiting : {0U, 50U, 100U, 200U, 400U})
    Times.add(Waiting, {measureMeanTime(Waiting)});
  Times.print();
}

} // namespace ragwortmux
