#include "ragwortmux/Process/Entry/GroupDriver.h"

#include "ragwortmux/Process/Loop/IoLoop.h"
#include "ragwortmux/Process/Loop/SystemClock.h"
#include "ragwortmux/Process/Support/Log.h"

#include <algorithm>
#include <utility>

namespace ragwortmux {

namespace {

/// What a server at its connection limit answers; the share is such a limit.
constexpr const char *SqlStateTooManyConnections = "53300";
/// Shortest time between two ticks of a group.
constexpr Duration MinTick = std::chrono::milliseconds(1);
/// Size limit of the answer to the tag of an attempt.
constexpr std::size_t MaxTagAnswerBytes = 1024;

BackendAnswer toBackendAnswer(StatementResult Result) {
  BackendAnswer Given;
  Given.m_Ok = Result.m_Ok;
  Given.m_SqlState = std::move(Result.m_SqlState);
  Given.m_Status = static_cast<TransactionStatus>(Result.m_Transaction);
  Given.m_Point = Result.m_Point;
  Given.m_Bytes = Result.m_Body->size();
  Given.m_Body = std::move(Result.m_Body);
  Given.m_Truncated = Result.m_Truncated;
  return Given;
}

AttemptOutcome toOutcome(const std::optional<StatementResult> &Result) {
  if (!Result || !Result->m_Ok || Result->m_FirstRow.empty()) {
    return AttemptOutcome::Failed;
  }
  const std::string &Text = Result->m_FirstRow.front();
  if (Text == "committed") {
    return AttemptOutcome::Committed;
  }
  return Text == "aborted" ? AttemptOutcome::Aborted : AttemptOutcome::Failed;
}

SuspicionKind toKind(SuspicionCause Cause) {
  switch (Cause) {
  case SuspicionCause::ConnectRefused:
    return SuspicionKind::Refused;
  case SuspicionCause::Silent:
    return SuspicionKind::Silent;
  default:
    return SuspicionKind::Reset;
  }
}

} // namespace

GroupDriver::GroupDriver(IoLoop &Loop, ActorHost &Actors, GroupId Group,
                         GroupDriverSettings Settings, GroupDriverHooks Hooks)
    : m_Loop(Loop), m_Actors(Actors), m_Group(std::move(Group)),
      m_Settings(std::move(Settings)), m_Hooks(std::move(Hooks)),
      m_Cancels(Actors) {}

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
  for (auto &[Server, Watch] : m_Watches) {
    Watch->stop();
  }
  m_Watches.clear();
  m_Connections.clear();
}

void GroupDriver::takeView(const GroupView &View) {
  if (View.m_Revision <= m_View.m_Revision) {
    return;
  }
  m_View = View;
  send(ViewChangedEvent{View});
  updateConfirmed();
}

void GroupDriver::extendLease(Instant ValidUntil) {
  m_LeaseUntil = ValidUntil;
  send(LeaseExtendedEvent{ValidUntil});
}

bool GroupDriver::mayAcknowledge(Term Needed, Instant Now) const {
  return m_View.m_Term == Needed && m_View.m_Primary && Now < m_LeaseUntil;
}

std::uint32_t GroupDriver::heldConnections(const ServerId &Server) const {
  std::uint32_t Count = 0;
  for (const auto &[Id, Connection] : m_Connections) {
    Count += Connection->m_Server == Server ? 1 : 0;
  }
  const auto Watch = m_Watches.find(Server);
  if (Watch != m_Watches.end() && Watch->second->holdsConnection()) {
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
    std::visit([this](const auto &One) { performOne(One); }, Action);
  }
  updateConfirmed();
  if (Decision.m_NextTick) {
    armTick(*Decision.m_NextTick);
  }
}

void GroupDriver::performOne(const OpenConnection &Action) {
  const ConnectionId Id = Action.m_Connection;
  const ServerView *Server = findServer(Action.m_Server);
  // The record may have changed since the core decided.
  if (Server == nullptr || !mayOpen(Action.m_Server)) {
    send(ConnectionFailedEvent{Id, SqlStateTooManyConnections});
    return;
  }
  BackendConnection::Hooks Callbacks;
  Callbacks.m_Opened = [this, Id] { send(ConnectionOpenedEvent{Id}); };
  Callbacks.m_Failed = [this, Id](const std::string &Reason,
                                  const std::string &SqlState) {
    logDebug(Part::Pool, "Could not open a connection: {}.", Reason);
    connectionGone(Id, ConnectionFailedEvent{Id, SqlState});
  };
  Callbacks.m_Lost = [this, Id](const std::string &Reason) {
    logDebug(Part::Pool, "Lost a connection: {}.", Reason);
    connectionGone(Id, ConnectionLostEvent{Id});
  };
  Callbacks.m_Answered = [this, Id](StatementResult Result) {
    statementAnswered(Id, std::move(Result));
  };
  auto Opening = std::make_unique<Held>();
  Opening->m_Server = Action.m_Server;
  Opening->m_Connection = BackendConnection::open(
      m_Loop, connectionSettings(*Server, Action.m_Term), Callbacks);
  m_Connections[Id] = std::move(Opening);
}

void GroupDriver::performOne(const CloseConnection &Action) {
  connectionGone(Action.m_Connection,
                 ConnectionClosedEvent{Action.m_Connection});
}

void GroupDriver::performOne(const SendStatement &Action) {
  logDebug(Part::Group, "Sending a statement on connection {}.",
           Action.m_Connection.value());
  const auto Found = m_Connections.find(Action.m_Connection);
  if (Found == m_Connections.end()) {
    return;
  }
  Held &Connection = *Found->second;
  Connection.m_Pending = Action.m_Sql;
  Connection.m_MaxBytes = Action.m_MaxAnswerBytes;
  if (!Action.m_Attempt) {
    runStatement(Action.m_Connection, Connection);
    return;
  }
  // The tag goes first, in a message of its own, so that the caller's answer
  // holds nothing but its own statement's.
  Connection.m_Connection->execute("SET ragwortmux.attempt = '" +
                                       Action.m_Attempt->value() + "'",
                                   MaxTagAnswerBytes);
}

void GroupDriver::performOne(const CancelStatement &Action) {
  const auto Found = m_Connections.find(Action.m_Connection);
  if (Found == m_Connections.end()) {
    return;
  }
  if (const auto Request = Found->second->m_Connection->cancelRequest()) {
    m_Cancels.send(Request);
  }
}

void GroupDriver::performOne(const Answer &Action) {
  logDebug(Part::Group, "Answering request {}: {}.", Action.m_Request.value(),
           resultCodeInfo(Action.m_Code).m_Name);
  m_Hooks.m_Answer(Action);
}

void GroupDriver::performOne(const ReserveRequestKey &Action) {
  logDebug(Part::Group, "Reserving {} for attempt {}.", Action.m_Key.value(),
           Action.m_Attempt.value());
  m_Hooks.m_ReserveKey(Action);
}

void GroupDriver::performOne(const RecordKeyOutcome &Action) {
  logDebug(Part::Group, "Recording {} for attempt {}.",
           resultCodeInfo(Action.m_Code).m_Name, Action.m_Attempt.value());
  m_Hooks.m_RecordOutcome(Action);
}

void GroupDriver::performOne(const EndAttempt &Action) {
  logDebug(Part::Group, "Ending attempt {} at {}.", Action.m_Attempt.value(),
           Action.m_Server.value());
  const auto Watch = m_Watches.find(Action.m_Server);
  if (Watch == m_Watches.end() || m_View.m_Term != Action.m_Term) {
    send(AttemptEndedEvent{Action.m_Request, AttemptOutcome::Failed, {}});
    return;
  }
  Watch->second->call("SELECT ragwortmux_end_attempt('" +
                          Action.m_Attempt.value() + "')",
                      [Weak = weak_from_this(),
                       Action](const std::optional<StatementResult> &Result) {
                        if (const auto Self = Weak.lock()) {
                          Self->attemptEnded(Action, toOutcome(Result));
                        }
                      });
}

void GroupDriver::attemptEnded(const EndAttempt &Action,
                               AttemptOutcome Outcome) {
  logDebug(Part::Group, "Ended attempt {} at {}: outcome {}.",
           Action.m_Attempt.value(), Action.m_Server.value(),
           static_cast<int>(Outcome));
  const auto Watch = m_Watches.find(Action.m_Server);
  if (Outcome != AttemptOutcome::Committed || Watch == m_Watches.end()) {
    send(AttemptEndedEvent{Action.m_Request, Outcome, {}});
    return;
  }
  // The commit lies at or before the primary's position from now on.
  Watch->second->call(
      "SELECT ragwortmux_position()",
      [Weak = weak_from_this(),
       Action](const std::optional<StatementResult> &Result) {
        const auto Self = Weak.lock();
        if (!Self) {
          return;
        }
        const auto Point = Result ? rowPoint(*Result) : std::nullopt;
        Self->send(AttemptEndedEvent{
            Action.m_Request,
            Point ? AttemptOutcome::Committed : AttemptOutcome::Failed, Point});
      });
}

void GroupDriver::performOne(const FindSessionPoint &Action) {
  logDebug(Part::Group, "Looking up the point of session {}.",
           Action.m_Session.value());
  m_Hooks.m_FindPoint(Action);
}

void GroupDriver::performOne(const StoreSessionPoint &Action) {
  logDebug(Part::Group, "Storing the point of session {}.",
           Action.m_Session.value());
  m_Hooks.m_StorePoint(Action);
}

void GroupDriver::performOne(const StartPositionMonitor &Action) {
  const ServerView *Server = findServer(Action.m_Server);
  if (Server == nullptr || m_Watches.contains(Action.m_Server)) {
    return;
  }
  PositionWatch::Hooks Callbacks;
  const ServerId Id = Action.m_Server;
  Callbacks.m_Sampled = [this, Id](const LogPoint &Point, bool IsPrimary,
                                   Instant AskedAt) {
    send(PositionSampledEvent{Id, Point, IsPrimary, AskedAt});
  };
  Callbacks.m_Failed = [this, Id] { send(WatchFailedEvent{Id}); };
  Callbacks.m_MayConnect = [this, Id] { return mayOpen(Id); };
  auto Watch = std::make_shared<PositionWatch>(
      m_Loop, connectionSettings(*Server, Term()), Callbacks);
  m_Watches[Action.m_Server] = Watch;
  Watch->start();
}

void GroupDriver::performOne(const StopPositionMonitor &Action) {
  const auto Found = m_Watches.find(Action.m_Server);
  if (Found == m_Watches.end()) {
    return;
  }
  const auto Watch = Found->second;
  m_Watches.erase(Found);
  Watch->stop();
}

void GroupDriver::performOne(const ReportSuspicion &Action) {
  m_Hooks.m_Suspect(Action.m_Server, toKind(Action.m_Kind));
}

void GroupDriver::performOne(const CloseCaller &Action) {
  m_Hooks.m_CloseCaller(Action);
}

void GroupDriver::runStatement(ConnectionId, Held &Connection) {
  const std::string Sql = std::exchange(Connection.m_Pending, std::string());
  Connection.m_Connection->execute(Sql, Connection.m_MaxBytes);
}

void GroupDriver::connectionGone(ConnectionId Id, GroupEvent Event) {
  const auto Found = m_Connections.find(Id);
  if (Found != m_Connections.end()) {
    Found->second->m_Connection->close();
    m_Connections.erase(Found);
  }
  send(std::move(Event));
  updateConfirmed();
}

void GroupDriver::statementAnswered(ConnectionId Id, StatementResult Result) {
  const auto Found = m_Connections.find(Id);
  if (Found == m_Connections.end()) {
    return;
  }
  Held &Connection = *Found->second;
  const bool WasTag = !Connection.m_Pending.empty();
  if (WasTag && Result.m_Ok) {
    runStatement(Id, Connection);
    return;
  }
  Connection.m_Pending.clear();
  send(StatementAnsweredEvent{Id, toBackendAnswer(std::move(Result))});
}

void GroupDriver::armTick(Instant At) {
  const Instant Now = monotonicNow();
  const Instant Due = std::max(At, Now + MinTick);
  if (m_NextTick <= Due) {
    return;
  }
  m_NextTick = Due;
  m_Loop.after(Due - Now, [Weak = weak_from_this(), Due] {
    const auto Self = Weak.lock();
    // A tick that was armed for an earlier time has taken this one's place.
    if (!Self || Self->m_Stopped || Self->m_NextTick != Due) {
      return;
    }
    Self->m_NextTick = Instant::max();
    Self->send(TickEvent{});
  });
}

void GroupDriver::updateConfirmed() {
  if (m_Confirmed == m_View.m_Revision) {
    return;
  }
  for (const ServerView &Server : m_View.m_Servers) {
    if (heldConnections(Server.m_Server) > Server.m_ConnectionShare) {
      return;
    }
  }
  m_Confirmed = m_View.m_Revision;
  m_Hooks.m_SharesKept();
}

const ServerView *GroupDriver::findServer(const ServerId &Server) const {
  const auto Found =
      std::ranges::find(m_View.m_Servers, Server, &ServerView::m_Server);
  return Found == m_View.m_Servers.end() ? nullptr : &*Found;
}

bool GroupDriver::mayOpen(const ServerId &Server) const {
  const ServerView *View = findServer(Server);
  return View != nullptr && heldConnections(Server) < View->m_ConnectionShare;
}

BackendConnectionSettings
GroupDriver::connectionSettings(const ServerView &Server, Term For) const {
  BackendConnectionSettings Settings;
  Settings.m_Address = Server.m_Address;
  Settings.m_Port = Server.m_Port;
  Settings.m_User = m_Settings.m_User;
  Settings.m_Database = m_Settings.m_Database;
  Settings.m_Term = For;
  Settings.m_ConnectTimeout = m_Settings.m_ConnectTimeout;
  return Settings;
}

} // namespace ragwortmux
