#include "ragwortmux/Process/Entry/GroupDriver.h"

#include "ragwortmux/Process/Loop/IoLoop.h"
#include "ragwortmux/Process/Loop/SystemClock.h"
#include "ragwortmux/Process/Support/Log.h"

#include <algorithm>
#include <utility>

namespace ragwortmux {

namespace {

/// SQLSTATE of a server at its connection limit. Also reported to the core if
/// the connection share is used up, which is such a limit too.
constexpr const char *SqlStateTooManyConnections = "53300";
/// Minimum delay until the next tick of a group.
constexpr Duration MinTick = std::chrono::milliseconds(1);
/// Size limit of the answer to the statement that sets an attempt's tag.
constexpr std::size_t MaxTagAnswerBytes = 1024;

BackendAnswer toBackendAnswer(StatementResult Result) {
  BackendAnswer Converted;
  Converted.m_Ok = Result.m_Ok;
  Converted.m_SqlState = std::move(Result.m_SqlState);
  Converted.m_Status = static_cast<TransactionStatus>(Result.m_Transaction);
  Converted.m_Point = Result.m_Point;
  Converted.m_Bytes = Result.m_Body->size();
  Converted.m_Body = std::move(Result.m_Body);
  Converted.m_Truncated = Result.m_Truncated;
  Converted.m_ChangesSession = Result.m_ChangesSession;
  return Converted;
}

AttemptOutcome toAttemptOutcome(const std::optional<StatementResult> &Result) {
  if (!Result || !Result->m_Ok || Result->m_FirstRow.empty()) {
    return AttemptOutcome::Failed;
  }
  const std::string &Text = Result->m_FirstRow.front();
  if (Text == "committed") {
    return AttemptOutcome::Committed;
  }
  return Text == "aborted" ? AttemptOutcome::Aborted : AttemptOutcome::Failed;
}

SuspicionKind toSuspicionKind(SuspicionCause Cause) {
  switch (Cause) {
  case SuspicionCause::ConnectRefused:
    return SuspicionKind::ConnectRefused;
  case SuspicionCause::Silent:
    return SuspicionKind::Silent;
  default:
    return SuspicionKind::Reset;
  }
}

} // namespace

GroupDriver::GroupDriver(IoLoop &Loop, ActorSystem &Actors, GroupId Group,
                         GroupDriverSettings Settings, GroupDriverHooks Hooks)
    : m_Loop(Loop), m_Actors(Actors), m_Group(std::move(Group)),
      m_Settings(std::move(Settings)), m_Hooks(std::move(Hooks)),
      m_CancelSender(Actors) {}

GroupDriver::~GroupDriver() = default;

void GroupDriver::start() {
  m_Actor = std::make_unique<GroupActor>(
      m_Actors, m_Group, m_Settings.m_Group,
      [this, Weak = weak_from_this()](GroupDecision Decision) {
        auto Shared = std::make_shared<GroupDecision>(std::move(Decision));
        m_Loop.post([Weak, Shared] {
          if (const auto Self = Weak.lock()) {
            Self->perform(std::move(*Shared));
          }
        });
      });
}

void GroupDriver::stop() {
  m_Stopped = true;
  for (auto &[Server, Monitor] : m_PositionMonitors) {
    Monitor->stop();
  }
  m_PositionMonitors.clear();
  m_Connections.clear();
}

void GroupDriver::applyView(const GroupView &View) {
  if (View.m_Revision <= m_View.m_Revision) {
    return;
  }
  m_View = View;
  send(ViewChangedEvent{View});
  updateConfirmedRevision();
}

void GroupDriver::extendLease(Instant ValidUntil) {
  m_LeaseExpiry = ValidUntil;
  send(LeaseExtendedEvent{ValidUntil});
}

bool GroupDriver::canAcknowledge(Term RequiredTerm, Instant Now) const {
  return m_View.m_Term == RequiredTerm && m_View.m_Primary &&
         Now < m_LeaseExpiry;
}

std::uint32_t GroupDriver::connectionCount(const ServerId &Server) const {
  std::uint32_t Count = 0;
  for (const auto &[Id, Connection] : m_Connections) {
    Count += Connection->m_Server == Server ? 1 : 0;
  }
  const auto Monitor = m_PositionMonitors.find(Server);
  if (Monitor != m_PositionMonitors.end() && Monitor->second->hasConnection()) {
    ++Count;
  }
  return Count;
}

void GroupDriver::perform(GroupDecision Decision) {
  if (m_Stopped) {
    return;
  }
  m_Drained = Decision.m_Drained;
  if (!Decision.m_Demand.empty()) {
    m_Demand = std::move(Decision.m_Demand);
  }
  for (const GroupAction &Action : Decision.m_Actions) {
    std::visit([this](const auto &Alternative) { performAction(Alternative); },
               Action);
  }
  updateConfirmedRevision();
  if (Decision.m_NextTick) {
    scheduleTick(*Decision.m_NextTick);
  }
}

void GroupDriver::performAction(const OpenConnection &Action) {
  const ConnectionId Id = Action.m_Connection;
  const ServerView *Server = findServer(Action.m_Server);
  // The group record may have changed since the core decided.
  if (Server == nullptr || !canOpenConnection(Action.m_Server)) {
    send(ConnectionFailedEvent{Id, SqlStateTooManyConnections});
    return;
  }
  BackendConnection::Hooks Callbacks;
  Callbacks.m_Opened = [this, Id] { send(ConnectionOpenedEvent{Id}); };
  Callbacks.m_Failed = [this, Id](const std::string &Reason,
                                  const std::string &SqlState) {
    logDebug(Part::Pool, "Could not open a connection: {}.", Reason);
    dropConnection(Id, ConnectionFailedEvent{Id, SqlState});
  };
  Callbacks.m_Lost = [this, Id](const std::string &Reason) {
    logDebug(Part::Pool, "Lost a connection: {}.", Reason);
    dropConnection(Id, ConnectionLostEvent{Id});
  };
  Callbacks.m_Answered = [this, Id](StatementResult Result) {
    statementAnswered(Id, std::move(Result));
  };
  auto Opening = std::make_unique<ConnectionState>();
  Opening->m_Server = Action.m_Server;
  Opening->m_Connection = BackendConnection::open(
      m_Loop, connectionSettings(*Server, Action.m_Term), Callbacks);
  m_Connections[Id] = std::move(Opening);
}

void GroupDriver::performAction(const CloseConnection &Action) {
  dropConnection(Action.m_Connection,
                 ConnectionClosedEvent{Action.m_Connection});
}

void GroupDriver::performAction(const SendStatement &Action) {
  logDebug(Part::Group, "Sending a statement on connection {}.",
           Action.m_Connection.value());
  const auto Found = m_Connections.find(Action.m_Connection);
  if (Found == m_Connections.end()) {
    return;
  }
  ConnectionState &Connection = *Found->second;
  Connection.m_PendingStatement = Action.m_Sql;
  Connection.m_AnswerLimit = Action.m_MaxAnswerBytes;
  if (!Action.m_Attempt) {
    sendPendingStatement(Action.m_Connection, Connection);
    return;
  }
  // The tag is set in a separate message beforehand, so that the answer to the
  // caller contains only the results of its own statement.
  Connection.m_Connection->execute("SET ragwortmux.attempt = '" +
                                       Action.m_Attempt->value() + "'",
                                   MaxTagAnswerBytes);
}

void GroupDriver::performAction(const CancelStatement &Action) {
  const auto Found = m_Connections.find(Action.m_Connection);
  if (Found == m_Connections.end()) {
    return;
  }
  if (const auto Request = Found->second->m_Connection->cancelRequest()) {
    m_CancelSender.send(Request);
  }
}

void GroupDriver::performAction(const Answer &Action) {
  logDebug(Part::Group, "Answering request {}: {}.", Action.m_Request.value(),
           resultCodeInfo(Action.m_Code).m_Name);
  m_Hooks.m_Answer(Action);
}

void GroupDriver::performAction(const ReserveRequestKey &Action) {
  logDebug(Part::Group, "Reserving {} for attempt {}.", Action.m_Key.value(),
           Action.m_Attempt.value());
  m_Hooks.m_ReserveKey(Action);
}

void GroupDriver::performAction(const RecordKeyOutcome &Action) {
  logDebug(Part::Group, "Recording {} for attempt {}.",
           resultCodeInfo(Action.m_Code).m_Name, Action.m_Attempt.value());
  m_Hooks.m_RecordOutcome(Action);
}

void GroupDriver::performAction(const EndAttempt &Action) {
  logDebug(Part::Group, "Ending attempt {} at {}.", Action.m_Attempt.value(),
           Action.m_Server.value());
  const auto Monitor = m_PositionMonitors.find(Action.m_Server);
  if (Monitor == m_PositionMonitors.end() || m_View.m_Term != Action.m_Term) {
    send(AttemptEndedEvent{Action.m_Request, AttemptOutcome::Failed, {}});
    return;
  }
  Monitor->second->call(
      "SELECT ragwortmux_end_attempt('" + Action.m_Attempt.value() + "')",
      [Weak = weak_from_this(),
       Action](const std::optional<StatementResult> &Result) {
        if (const auto Self = Weak.lock()) {
          Self->attemptEnded(Action, toAttemptOutcome(Result));
        }
      });
}

void GroupDriver::attemptEnded(const EndAttempt &Action,
                               AttemptOutcome Outcome) {
  logDebug(Part::Group, "Ended attempt {} at {}: outcome {}.",
           Action.m_Attempt.value(), Action.m_Server.value(),
           static_cast<int>(Outcome));
  const auto Monitor = m_PositionMonitors.find(Action.m_Server);
  if (Outcome != AttemptOutcome::Committed ||
      Monitor == m_PositionMonitors.end()) {
    send(AttemptEndedEvent{Action.m_Request, Outcome, {}});
    return;
  }
  // The commit is at or before the primary's current position.
  Monitor->second->call(
      "SELECT ragwortmux_position()",
      [Weak = weak_from_this(),
       Action](const std::optional<StatementResult> &Result) {
        const auto Self = Weak.lock();
        if (!Self) {
          return;
        }
        const auto Point = Result ? parseRowPoint(*Result) : std::nullopt;
        Self->send(AttemptEndedEvent{
            Action.m_Request,
            Point ? AttemptOutcome::Committed : AttemptOutcome::Failed, Point});
      });
}

void GroupDriver::performAction(const FindSessionPoint &Action) {
  logDebug(Part::Group, "Looking up the log position of session {}.",
           Action.m_Session.value());
  m_Hooks.m_FindPoint(Action);
}

void GroupDriver::performAction(const StoreSessionPoint &Action) {
  logDebug(Part::Group, "Storing the log position of session {}.",
           Action.m_Session.value());
  m_Hooks.m_StorePoint(Action);
}

void GroupDriver::performAction(const StartPositionMonitor &Action) {
  const ServerView *Server = findServer(Action.m_Server);
  if (Server == nullptr || m_PositionMonitors.contains(Action.m_Server)) {
    return;
  }
  PositionMonitor::Hooks Callbacks;
  const ServerId Id = Action.m_Server;
  Callbacks.m_Sampled = [this, Id](const LogPoint &Point, bool IsPrimary,
                                   Instant QuerySentAt) {
    send(PositionSampledEvent{Id, Point, IsPrimary, QuerySentAt});
  };
  Callbacks.m_Failed = [this, Id] { send(MonitorFailedEvent{Id}); };
  Callbacks.m_CanConnect = [this, Id] { return canOpenConnection(Id); };
  auto Monitor = std::make_shared<PositionMonitor>(
      m_Loop, connectionSettings(*Server, Term()), Callbacks);
  m_PositionMonitors[Action.m_Server] = Monitor;
  Monitor->start();
}

void GroupDriver::performAction(const StopPositionMonitor &Action) {
  const auto Found = m_PositionMonitors.find(Action.m_Server);
  if (Found == m_PositionMonitors.end()) {
    return;
  }
  const auto Monitor = Found->second;
  m_PositionMonitors.erase(Found);
  Monitor->stop();
}

void GroupDriver::performAction(const ReportSuspicion &Action) {
  m_Hooks.m_ReportSuspicion(Action.m_Server, toSuspicionKind(Action.m_Cause));
}

void GroupDriver::performAction(const CloseCaller &Action) {
  m_Hooks.m_CloseCaller(Action);
}

void GroupDriver::sendPendingStatement(ConnectionId,
                                       ConnectionState &Connection) {
  const std::string Sql =
      std::exchange(Connection.m_PendingStatement, std::string());
  Connection.m_Connection->execute(Sql, Connection.m_AnswerLimit);
}

void GroupDriver::dropConnection(ConnectionId Id, GroupEvent Event) {
  const auto Found = m_Connections.find(Id);
  if (Found != m_Connections.end()) {
    Found->second->m_Connection->close();
    m_Connections.erase(Found);
  }
  send(std::move(Event));
  updateConfirmedRevision();
}

void GroupDriver::statementAnswered(ConnectionId Id, StatementResult Result) {
  const auto Found = m_Connections.find(Id);
  if (Found == m_Connections.end()) {
    return;
  }
  ConnectionState &Connection = *Found->second;
  const bool IsTagAnswer = !Connection.m_PendingStatement.empty();
  if (IsTagAnswer && Result.m_Ok) {
    sendPendingStatement(Id, Connection);
    return;
  }
  Connection.m_PendingStatement.clear();
  BackendAnswer Answer = toBackendAnswer(std::move(Result));
  Answer.m_IsTagFailure = IsTagAnswer;
  send(StatementAnsweredEvent{Id, std::move(Answer)});
}

void GroupDriver::scheduleTick(Instant At) {
  const Instant Now = monotonicNow();
  const Instant Due = std::max(At, Now + MinTick);
  if (m_NextTick <= Due) {
    return;
  }
  m_NextTick = Due;
  m_Loop.after(Due - Now, [Weak = weak_from_this(), Due] {
    const auto Self = Weak.lock();
    // A tick that was scheduled for an earlier time replaces this one.
    if (!Self || Self->m_Stopped || Self->m_NextTick != Due) {
      return;
    }
    Self->m_NextTick = Instant::max();
    Self->send(TickEvent{});
  });
}

void GroupDriver::updateConfirmedRevision() {
  if (m_ConfirmedRevision == m_View.m_Revision) {
    return;
  }
  for (const ServerView &Server : m_View.m_Servers) {
    if (connectionCount(Server.m_Server) > Server.m_ConnectionShare) {
      return;
    }
  }
  m_ConfirmedRevision = m_View.m_Revision;
  m_Hooks.m_RevisionConfirmed();
}

const ServerView *GroupDriver::findServer(const ServerId &Server) const {
  const auto Found =
      std::ranges::find(m_View.m_Servers, Server, &ServerView::m_Server);
  return Found == m_View.m_Servers.end() ? nullptr : &*Found;
}

bool GroupDriver::canOpenConnection(const ServerId &Server) const {
  const ServerView *View = findServer(Server);
  return View != nullptr && connectionCount(Server) < View->m_ConnectionShare;
}

BackendConnectionSettings
GroupDriver::connectionSettings(const ServerView &Server,
                                Term ConnectionTerm) const {
  BackendConnectionSettings Settings;
  Settings.m_Address = Server.m_Address;
  Settings.m_Port = Server.m_Port;
  Settings.m_User = m_Settings.m_User;
  Settings.m_Database = m_Settings.m_Database;
  Settings.m_Term = ConnectionTerm;
  Settings.m_ConnectTimeout = m_Settings.m_ConnectTimeout;
  return Settings;
}

} // namespace ragwortmux
