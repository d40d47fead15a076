#include "ragwortmux/Process/Entry/EntryRole.h"

#include "ragwortmux/Process/Loop/IoLoop.h"
#include "ragwortmux/Process/Loop/MakeIncarnation.h"
#include "ragwortmux/Process/Loop/SystemClock.h"
#include "ragwortmux/Process/Support/CatalogueJson.h"
#include "ragwortmux/Process/Support/JsonFields.h"
#include "ragwortmux/Process/Support/Log.h"
#include "ragwortmux/Process/Support/Metrics.h"
#include "ragwortmux/Process/Support/ProcessSettings.h"
#include "ragwortmux/Process/Support/Timeline.h"

#include <boost/json.hpp>

#include <array>
#include <utility>

namespace ragwortmux {

namespace {

/// Interval at which a drain checks whether all transactions have ended.
constexpr Duration DrainCheckInterval = std::chrono::milliseconds(10);
/// Longest wait for control to confirm the end of the session in a drain.
constexpr Duration EndSessionTimeout = std::chrono::milliseconds(500);
/// Longest wait for an answer of the request ledger.
constexpr Duration LedgerTimeout = std::chrono::milliseconds(1500);
/// Interval at which callers are counted by workspace. A count visits all
/// callers, so it is not made for each change.
constexpr Duration WorkspaceCountInterval = std::chrono::seconds(1);

/// Encodes the answer of a keyed request for the request ledger: the commit
/// position as `TERM:POSITION`, a line feed, and the answer.
std::string encodeLedgerAnswer(const RecordKeyOutcome &Action) {
  const LogPoint Point = Action.m_Point.value_or(LogPoint());
  std::string Text = std::to_string(Point.m_Term.value()) + ":" +
                     std::to_string(Point.m_Position.value()) + "\n";
  if (Action.m_Body != nullptr) {
    Text += *Action.m_Body;
  }
  return Text;
}

/// Decodes the result of encodeLedgerAnswer() into \p Result.
void decodeLedgerAnswer(const std::string &Text, ReserveResult &Result) {
  const std::size_t LineEnd = Text.find('\n');
  if (LineEnd == std::string::npos) {
    return;
  }
  const auto Point = parseLogPoint(std::string_view(Text).substr(0, LineEnd));
  if (Point && Point->m_Term != Term()) {
    Result.m_Point = Point;
  }
  if (LineEnd + 1 < Text.size()) {
    Result.m_Body = std::make_shared<const std::string>(Text, LineEnd + 1);
  }
}

/// Translates the ledger's answer to a reservation for the group's core.
ReserveResult toReserveResult(const CommandReply &Reply) {
  ReserveResult Result;
  const ControlResult &LedgerResult = Reply.m_Result;
  if (Reply.m_Status.m_Code == ResultCode::Unreachable ||
      Reply.m_Status.m_Code == ResultCode::NotLeader) {
    return Result;
  }
  if (LedgerResult.ok()) {
    Result.m_Status = ReserveStatus::Reserved;
    return Result;
  }
  if (LedgerResult.m_Code == ResultCode::RanEarlier && LedgerResult.m_Ledger) {
    Result.m_Status = ReserveStatus::Recorded;
    Result.m_Code = LedgerResult.m_Ledger->m_Code;
    decodeLedgerAnswer(LedgerResult.m_Ledger->m_Answer, Result);
    return Result;
  }
  if (LedgerResult.m_Code == ResultCode::NotRunKeyInUse &&
      LedgerResult.m_Ledger) {
    const bool Ended = LedgerResult.m_Ledger->m_Session == ControlSessionId();
    Result.m_Status =
        Ended ? ReserveStatus::HeldByEndedSession : ReserveStatus::InUse;
    Result.m_Attempt = LedgerResult.m_Ledger->m_Attempt;
    return Result;
  }
  Result.m_Status = ReserveStatus::Refused;
  Result.m_Code = LedgerResult.m_Code;
  return Result;
}

std::string_view outcomeName(ResultCode Code) {
  return resultCodeInfo(Code).m_Name;
}

} // namespace

EntryRole::EntryRole(IoLoop &Loop, ActorSystem &Actors,
                     const ProcessSettings &Settings, Metrics &ProcessMetrics,
                     Timeline &Events)
    : m_Loop(Loop), m_Actors(Actors), m_Settings(Settings),
      m_Metrics(ProcessMetrics), m_Timeline(Events),
      m_WorkspaceMetrics(ProcessMetrics), m_Incarnation(makeIncarnation()),
      m_SessionPoints(Loop, Settings.m_ClusterKey,
                      {Settings.m_Host, m_Incarnation.value(),
                       [this] { return hasLease(); }}) {
  createCallerServer();
}

EntryRole::~EntryRole() {
  for (auto &[Group, Driver] : m_Groups) {
    Driver->stop();
  }
}

std::uint16_t EntryRole::listen() {
  return m_Callers->listen(m_Settings.m_Address, m_Settings.m_CallerPort);
}

void EntryRole::start(std::uint16_t RpcPort) {
  createControlClient(RpcPort);
  m_Control->start();
  m_Loop.every(WorkspaceCountInterval, [this] {
    m_WorkspaceMetrics.setCallers(m_Callers->countByWorkspace());
  });
}

void EntryRole::drain(std::function<void()> Done) {
  m_Draining = true;
  m_DrainDone = std::move(Done);
  m_Callers->drain();
  for (auto &[Group, Driver] : m_Groups) {
    Driver->send(DrainEvent{});
  }
  checkDrained();
}

bool EntryRole::hasLease() const { return monotonicNow() < m_LeaseExpiry; }

bool EntryRole::isReady() const { return !m_Draining && m_Catalogue.isKnown(); }

std::string EntryRole::statusJson() const {
  boost::json::object Object;
  Object["host"] = m_Settings.m_Host.value();
  Object["session"] = m_Control ? m_Control->session().value() : 0;
  Object["lease_valid"] = hasLease();
  Object["catalogue_revision"] = m_Catalogue.revision().value();
  Object["homes_revision"] = m_SessionPoints.homesRevision().value();
  Object["callers"] = m_Callers->size();
  Object["draining"] = m_Draining;
  boost::json::array Groups;
  for (const auto &[Group, Driver] : m_Groups) {
    const GroupView &View = Driver->view();
    boost::json::object Row;
    Row["group"] = Group.value();
    Row["revision"] = View.m_Revision.value();
    Row["confirmed"] = Driver->confirmedRevision().value();
    Row["term"] = View.m_Term.value();
    Row["primary"] = View.m_Primary
                         ? boost::json::value(View.m_Primary->value())
                         : boost::json::value(nullptr);
    boost::json::object Connections;
    for (const ServerView &Server : View.m_Servers) {
      Connections[Server.m_Server.value()] =
          Driver->connectionCount(Server.m_Server);
    }
    Row["connections"] = std::move(Connections);
    Groups.push_back(std::move(Row));
  }
  Object["groups"] = std::move(Groups);
  return boost::json::serialize(Object);
}

void EntryRole::createControlClient(std::uint16_t RpcPort) {
  ControlClientHooks Hooks;
  Hooks.m_Update = [this](const ControlUpdate &Update) { applyUpdate(Update); };
  Hooks.m_Confirmation = [this] { return confirmation(); };
  Hooks.m_Demand = [this] {
    std::vector<ShareDemand> Demand;
    for (const auto &[Group, Driver] : m_Groups) {
      const auto Rows = Driver->demand();
      Demand.insert(Demand.end(), Rows.begin(), Rows.end());
    }
    return Demand;
  };
  Hooks.m_LeaseExtended = [this](Instant ValidUntil) {
    m_LeaseExpiry = ValidUntil;
    m_Metrics.add(Metric::LeaseRenewals, {"granted"});
    for (auto &[Group, Driver] : m_Groups) {
      Driver->extendLease(ValidUntil);
    }
  };
  Hooks.m_SessionOpened = [this](ControlSessionId Session, bool Changed) {
    if (Changed) {
      logInfo(Part::Control, "Opened control session {}.", Session.value());
      TimelineEvent Event;
      Event.m_Kind = EventKind::SessionOpened;
      Event.m_Text = "control session " + std::to_string(Session.value());
      m_Timeline.record(Event);
    }
  };
  m_Control = std::make_unique<ControlClient>(
      m_Loop, m_Settings.m_ClusterKey,
      controlClientSettings(m_Settings, RpcPort, m_Incarnation, &m_Metrics),
      std::move(Hooks));
}

void EntryRole::createCallerServer() {
  CallerServerSettings Settings;
  Settings.m_MaxCallers = m_Settings.m_MaxCallers;
  Settings.m_Reader.m_MaxMessageBytes = m_Settings.m_MaxCallerMessageBytes;
  Settings.m_Budget = callerBudgetSettings(m_Settings);
  // Reading pauses at the budget, so the reader itself must not refuse what the
  // budget allows.
  Settings.m_Reader.m_MaxBufferedBytes =
      std::max(Settings.m_Reader.m_MaxBufferedBytes,
               Settings.m_Budget.m_ConnectionBytes + ReadBuffer::LargeBytes);
  CallerHooks Hooks;
  Hooks.m_FindEntry = [this](const EntryName &Name) {
    // Stateful sessions are served by SessionEntryRole only.
    auto Entry = m_Catalogue.find(Name);
    return Entry != nullptr && isStateful(Entry->m_Class) ? nullptr : Entry;
  };
  Hooks.m_HasCatalogue = [this] { return m_Catalogue.isKnown(); };
  Hooks.m_MissingEntryCode = [this] {
    return hasLease() ? ResultCode::NotRunUnknownEntry
                      : ResultCode::NotRunNoLease;
  };
  Hooks.m_FindWorkspace = [this](const KeyDigest &Key) {
    return m_Catalogue.findWorkspace(Key);
  };
  Hooks.m_RefuseKey = [this](const EntryName &Entry,
                             const WorkspaceId &Previous) {
    return refuseKey(Entry, Previous);
  };
  Hooks.m_Submit = [this](GroupRequest Request) { submit(std::move(Request)); };
  Hooks.m_CallerDisconnected = [this](CallerConnectionId Caller,
                                      const GroupId &Group) {
    findOrCreateDriver(Group).send(CallerDisconnectedEvent{Caller});
  };
  Hooks.m_CanAcknowledge = [this](const GroupId &Group, Term RequiredTerm) {
    return findOrCreateDriver(Group).canAcknowledge(RequiredTerm,
                                                    monotonicNow());
  };
  Hooks.m_Answered = [this](const CatalogueEntry &Entry, ResultCode Code,
                            Duration Took) {
    const std::string Class(trafficClassName(Entry.m_Class));
    m_Metrics.add(Metric::Requests, {Class, std::string(outcomeName(Code))});
    m_Metrics.observe(Metric::RequestSeconds,
                      {Class, std::string(outcomeName(Code))}, Took);
  };
  m_Callers = std::make_unique<CallerServer>(m_Loop, Settings, std::move(Hooks),
                                             &m_Metrics);
}

ResultCode EntryRole::refuseKey(const EntryName &Entry,
                                const WorkspaceId &Previous) {
  const ResultCode Code =
      hasLease() ? ResultCode::NotRunUnknownKey : ResultCode::NotRunNoLease;
  m_WorkspaceMetrics.countRefusedKey(Previous);
  const std::array Fields = {
      LogField{"code", static_cast<std::int64_t>(Code)},
      LogField{"result", std::string(resultCodeInfo(Code).m_Name)},
      LogField{"entry", Entry.value()},
      LogField{"workspace", toJsonText(Previous.value())},
      LogField{"catalogue",
               static_cast<std::int64_t>(m_Catalogue.revision().value())}};
  logRecord(LogLevel::Info, Part::Catalogue,
            "No workspace holds the caller's key.", Fields);
  return Code;
}

GroupDriver &EntryRole::findOrCreateDriver(const GroupId &Group) {
  const auto Found = m_Groups.find(Group);
  if (Found != m_Groups.end()) {
    return *Found->second;
  }
  GroupDriverSettings Settings;
  Settings.m_User = m_Settings.m_BackendUser;
  Settings.m_Database = m_Settings.m_BackendDatabase;
  Settings.m_ConnectTimeout = m_Settings.m_ConnectTimeout;
  Settings.m_Group.m_Domain = m_Settings.m_FailureDomain;
  Settings.m_Group.m_AttemptPrefix =
      m_Settings.m_Host.value() + "-" + std::to_string(m_Incarnation.value());
  Settings.m_Group.m_AllowSingleServer = m_Settings.m_AllowSingleServerAck;
  auto Driver = std::make_shared<GroupDriver>(m_Loop, m_Actors, Group, Settings,
                                              driverHooks(Group));
  m_Groups[Group] = Driver;
  Driver->start();
  Driver->extendLease(m_LeaseExpiry);
  if (m_Draining) {
    Driver->send(DrainEvent{});
  }
  return *Driver;
}

GroupDriverHooks EntryRole::driverHooks(const GroupId &Group) {
  GroupDriverHooks Hooks;
  Hooks.m_Answer = [this](const Answer &Response) {
    m_Callers->answer(Response);
  };
  Hooks.m_CloseCaller = [this](const CloseCaller &Action) {
    m_Callers->closeCaller(Action);
  };
  Hooks.m_ReserveKey = [this, Group](const ReserveRequestKey &Action) {
    reserveKey(Group, Action);
  };
  Hooks.m_RecordOutcome = [this, Group](const RecordKeyOutcome &Action) {
    recordOutcome(Group, Action);
  };
  Hooks.m_FindPoint = [this, Group](const FindSessionPoint &Action) {
    m_SessionPoints.find(
        Action.m_Request, Action.m_Session, Group,
        [this, Group,
         Request = Action.m_Request](std::optional<LogPoint> Point) {
          findOrCreateDriver(Group).send(
              SessionPointFoundEvent{Request, Point, Point.has_value()});
        });
  };
  Hooks.m_StorePoint = [this, Group](const StoreSessionPoint &Action) {
    if (Action.m_LookedUpBy) {
      m_SessionPoints.storeIfNotRemoved(*Action.m_LookedUpBy, Action.m_Session,
                                        Group, Action.m_Point);
      return;
    }
    m_SessionPoints.store(
        Action.m_Session, Group, Action.m_Point,
        [this, Group, Request = *Action.m_Request](bool Stored) {
          findOrCreateDriver(Group).send(
              SessionPointStoredEvent{Request, Stored});
        });
  };
  Hooks.m_ReportSuspicion = [this, Group](const ServerId &Server,
                                          SuspicionKind Kind) {
    m_Control->reportSuspicion(Group, Server, Kind);
  };
  Hooks.m_RevisionConfirmed = [this] {
    if (m_Control) {
      m_Control->renewNow();
    }
  };
  return Hooks;
}

void EntryRole::applyUpdate(const ControlUpdate &Update) {
  if (Update.m_Catalogue && m_Catalogue.apply(*Update.m_Catalogue)) {
    m_Metrics.set(Metric::CatalogueRevision, {},
                  static_cast<double>(m_Catalogue.revision().value()));
    TimelineEvent Event;
    Event.m_Kind = EventKind::CatalogueChanged;
    Event.m_Text = "revision " + std::to_string(m_Catalogue.revision().value());
    m_Timeline.record(Event);
    m_Callers->logLostKeys(m_Catalogue.revision());
  }
  for (const GroupView &View : Update.m_Views) {
    GroupDriver &Driver = findOrCreateDriver(View.m_Group);
    const Term PreviousTerm = Driver.view().m_Term;
    Driver.applyView(View);
    if (Driver.view().m_Term > PreviousTerm) {
      TimelineEvent Event;
      Event.m_Kind = EventKind::TermConfirmed;
      Event.m_Group = View.m_Group;
      Event.m_Term = View.m_Term;
      m_Timeline.record(Event);
    }
  }
  if (Update.m_Homes) {
    m_SessionPoints.setHomes(*Update.m_Homes);
  }
}

Confirmation EntryRole::confirmation() const {
  Confirmation Confirmed;
  for (const auto &[Group, Driver] : m_Groups) {
    Confirmed.m_Groups[Group] = Driver->confirmedRevision();
  }
  Confirmed.m_Catalogue = m_Catalogue.revision();
  Confirmed.m_Homes = m_SessionPoints.homesRevision();
  return Confirmed;
}

void EntryRole::submit(GroupRequest Request) {
  const GroupId Group = Request.m_Entry->m_Group;
  findOrCreateDriver(Group).send(SubmitEvent{std::move(Request)});
}

void EntryRole::reserveKey(const GroupId &Group,
                           const ReserveRequestKey &Action) {
  if (!Action.m_Aborted) {
    sendReservation(Group, Action);
    return;
  }
  // The attempt of the ended session has aborted. After the ledger has recorded
  // this, the key can be reserved again.
  ResolveAttempt Command;
  Command.m_Owner = Action.m_Owner;
  Command.m_Key = Action.m_Key;
  Command.m_Attempt = *Action.m_Aborted;
  Command.m_Resolver = m_Control->session();
  Command.m_Term = Action.m_Term;
  Command.m_Committed = false;
  m_Control->command(Command, monotonicNow() + LedgerTimeout,
                     [this, Group, Action](const CommandReply &) {
                       sendReservation(Group, Action);
                     });
}

void EntryRole::sendReservation(const GroupId &Group,
                                const ReserveRequestKey &Action) {
  ReserveKey Command;
  Command.m_Owner = Action.m_Owner;
  Command.m_Key = Action.m_Key;
  Command.m_Attempt = Action.m_Attempt;
  Command.m_Session = m_Control->session();
  Command.m_Group = Group;
  Command.m_Term = Action.m_Term;
  m_Control->command(
      Command, monotonicNow() + LedgerTimeout,
      [this, Group, Request = Action.m_Request](const CommandReply &Reply) {
        findOrCreateDriver(Group).send(
            KeyReservedEvent{Request, toReserveResult(Reply)});
      });
}

void EntryRole::recordOutcome(const GroupId &Group,
                              const RecordKeyOutcome &Action) {
  ControlCommand Command;
  if (Action.m_OfEndedSession) {
    ResolveAttempt Resolve;
    Resolve.m_Owner = Action.m_Owner;
    Resolve.m_Key = Action.m_Key;
    Resolve.m_Attempt = Action.m_Attempt;
    Resolve.m_Resolver = m_Control->session();
    Resolve.m_Term = Action.m_Term;
    Resolve.m_Committed = true;
    Command = Resolve;
  } else {
    RecordOutcome Record;
    Record.m_Owner = Action.m_Owner;
    Record.m_Key = Action.m_Key;
    Record.m_Attempt = Action.m_Attempt;
    Record.m_Code = Action.m_Code;
    Record.m_Answer = encodeLedgerAnswer(Action);
    Command = Record;
  }
  m_Control->command(
      Command, monotonicNow() + LedgerTimeout,
      [this, Group, Request = Action.m_Request](const CommandReply &Reply) {
        findOrCreateDriver(Group).send(OutcomeRecordedEvent{
            Request, Reply.m_Status.ok() && Reply.m_Result.ok()});
      });
}

void EntryRole::checkDrained() {
  bool AllDrained = m_Callers->size() == 0;
  for (const auto &[Group, Driver] : m_Groups) {
    AllDrained = AllDrained && Driver->isDrained();
  }
  if (AllDrained) {
    endSession();
    return;
  }
  m_Loop.after(DrainCheckInterval, [this] { checkDrained(); });
}

void EntryRole::endSession() {
  // Ending the session lets a change of primary proceed without waiting for
  // this host's lease, so nothing may be acknowledged from now on.
  m_LeaseExpiry = Instant();
  m_Control->endSession(EndSessionTimeout, std::move(m_DrainDone));
}

} // namespace ragwortmux
