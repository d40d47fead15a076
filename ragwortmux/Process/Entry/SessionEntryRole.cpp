#include "ragwortmux/Process/Entry/SessionEntryRole.h"

#include "ragwortmux/Connection/IsReadyForCallers.h"
#include "ragwortmux/Connection/StableHash.h"
#include "ragwortmux/Process/Loop/IoLoop.h"
#include "ragwortmux/Process/Loop/MakeIncarnation.h"
#include "ragwortmux/Process/Loop/SystemClock.h"
#include "ragwortmux/Process/Support/CatalogueJson.h"
#include "ragwortmux/Process/Support/Log.h"
#include "ragwortmux/Process/Support/Metrics.h"
#include "ragwortmux/Process/Support/ProcessSettings.h"

#include <algorithm>
#include <array>
#include <utility>

namespace ragwortmux {

namespace {

/// Interval at which a drain checks whether all transactions have ended.
constexpr Duration DrainCheckInterval = std::chrono::milliseconds(25);
/// Longest wait for control to confirm the end of the session in a drain.
constexpr Duration EndSessionTimeout = std::chrono::milliseconds(300);
/// Percentage of the drain timeout after which open transactions are ended.
constexpr int TransactionDrainPercent = 50;
/// Percentage of the drain timeout after which running statements are
/// abandoned.
constexpr int StatementDrainPercent = 90;
constexpr int PercentBase = 100;
/// Interval of the log summaries of successful statements.
constexpr Duration SummaryInterval = std::chrono::seconds(10);
/// A host that has been without a lease for this time is reported as isolated.
constexpr Duration IsolationTimeout = std::chrono::milliseconds(300);
/// How long callers of a process that has just started wait for the catalogue.
/// Must be shorter than the time that callers wait for their first answer.
constexpr Duration MaxAdmissionWait = std::chrono::milliseconds(1200);
/// Interval at which the lease is checked against IsolationTimeout.
constexpr Duration LeaseCheckInterval = std::chrono::milliseconds(250);

} // namespace

SessionEntryRole::SessionEntryRole(IoLoop &Loop,
                                   const ProcessSettings &Settings,
                                   Metrics &ProcessMetrics,
                                   SessionEntryHooks Hooks)
    : m_Loop(Loop), m_Settings(Settings), m_Metrics(ProcessMetrics),
      m_Hooks(std::move(Hooks)), m_StatementLog(ProcessMetrics, m_Catalogue),
      m_AdmissionControl(monotonicNow(), MaxAdmissionWait),
      m_Incarnation(makeIncarnation()),
      m_Permits({Settings.m_DriftPercent, Settings.m_Drift}, permitHooks()),
      m_Control(std::make_unique<ControlClient>(
          Loop, Settings.m_ClusterKey,
          controlClientSettings(Settings, Settings.m_RpcPort, m_Incarnation,
                                &ProcessMetrics),
          controlHooks())),
      m_Relay(Loop, Settings, relayHooks()) {}

SessionEntryRole::~SessionEntryRole() = default;

void SessionEntryRole::start() {
  m_Control->start();
  m_Loop.after(MaxAdmissionWait,
               [this] { m_AdmissionControl.tick(monotonicNow()); });
  m_Loop.every(LeaseCheckInterval, [this] { checkLease(); });
  m_Loop.every(SummaryInterval, [this] { m_StatementLog.writeSummary(); });
}

bool SessionEntryRole::isReady() const {
  return !m_Draining && hasCatalogue() &&
         isReadyForCallers(monotonicNow(), m_LeaseExpiry, m_Settings.m_Lease);
}

void SessionEntryRole::admit(AdmissionControl::Decision OnDecision) {
  m_AdmissionControl.admit(monotonicNow(), std::move(OnDecision));
}

void SessionEntryRole::checkLease() {
  const bool IsIsolated = monotonicNow() >= m_LeaseExpiry + IsolationTimeout;
  if (IsIsolated != m_IsIsolated) {
    m_IsIsolated = IsIsolated;
    if (IsIsolated) {
      logWarn(Part::Control, "Lost control: no lease any more.");
    } else {
      logInfo(Part::Control, "Control is reachable.");
    }
  }
}

bool SessionEntryRole::sendsCallersElsewhere(
    const SessionAnswer &Response) const {
  return Response.m_Code == ResultCode::NotRunNoLease &&
         Response.m_Status == TransactionStatus::Idle && !hasLease();
}

ResultCode
SessionEntryRole::refuseMissingEntry(const EntryName &Name,
                                     const StatementId &Statement) const {
  const ResultCode Code =
      hasLease() ? ResultCode::NotRunUnknownEntry : ResultCode::NotRunNoLease;
  const Duration LeaseLeft =
      std::max(Duration(0), m_LeaseExpiry - monotonicNow());
  m_StatementLog.recordMissingEntry(Name, Statement, Code, LeaseLeft);
  return Code;
}

ResultCode
SessionEntryRole::refuseUnknownKey(const EntryName &Name,
                                   const StatementId &Statement) const {
  const ResultCode Code =
      hasLease() ? ResultCode::NotRunUnknownKey : ResultCode::NotRunNoLease;
  const Duration LeaseLeft =
      std::max(Duration(0), m_LeaseExpiry - monotonicNow());
  m_StatementLog.recordUnknownKey(Name, Statement, Code, LeaseLeft);
  return Code;
}

bool SessionEntryRole::hasLease() const {
  return monotonicNow() < m_LeaseExpiry;
}

GroupId SessionEntryRole::groupOf(CallerConnectionId Caller,
                                  const CatalogueEntry &Entry) const {
  const SessionDriver *TransactionDriver = findTransactionDriver(Caller);
  if (TransactionDriver != nullptr) {
    return TransactionDriver->group();
  }
  return m_Relay.core().transactionGroup(Caller).value_or(Entry.m_Group);
}

SessionDriver *
SessionEntryRole::findTransactionDriver(CallerConnectionId Caller) const {
  for (const auto &[Group, Driver] : m_Groups) {
    if (Driver->core().hasTransaction(Caller)) {
      return Driver.get();
    }
  }
  return nullptr;
}

bool SessionEntryRole::isRelaying(CallerConnectionId Caller,
                                  const GroupId &Group) {
  if (findTransactionDriver(Caller) != nullptr) {
    return false;
  }
  if (m_Relay.core().transactionGroup(Caller) || !m_Relay.isServing(Group)) {
    return true;
  }
  // Control has not given this host its connections yet.
  return !hasConnections(Group) && m_Relay.hasHostFor(Caller, Group);
}

bool SessionEntryRole::hasConnections(const GroupId &Group) const {
  const auto Found = m_Groups.find(Group);
  return Found != m_Groups.end() && !Found->second->core().isRecordOutdated() &&
         std::ranges::any_of(Found->second->core().view().m_Servers,
                             [](const ServerView &Server) {
                               return Server.m_ConnectionShare > 0;
                             });
}

bool SessionEntryRole::canRunHere(const SessionRequest &Request) const {
  const GroupId &Group = Request.m_Entry->m_Group;
  // Before the entry hosts are known, control is asked for no connections.
  const bool IsServing = !m_ReportedGroups || m_ReportedGroups->contains(Group);
  return IsServing || hasConnections(Group) ||
         findTransactionDriver(Request.m_Caller) != nullptr;
}

bool SessionEntryRole::hasSameEntry(const SessionRequest &Request) const {
  // A transaction ends by the entry with which it began.
  if (findTransactionDriver(Request.m_Caller) != nullptr) {
    return true;
  }
  const auto Own = m_Catalogue.find(Request.m_Entry->m_Name);
  if (Own == nullptr || *Own != *Request.m_Entry) {
    return false;
  }
  return !Own->m_RequiresKey ||
         m_Catalogue.workspace(Request.m_Workspace) != nullptr;
}

ResultCode SessionEntryRole::checkRelayed(const SessionRequest &Request) const {
  // The other host may know a host that serves the group.
  if (!canRunHere(Request)) {
    return ResultCode::NotRunNoConnection;
  }
  // One of the two hosts lacks a change. Whoever does, running the statement
  // could take back what callers have seen of the newer version.
  return hasSameEntry(Request) ? ResultCode::Ok
                               : ResultCode::NotRunCatalogueDiffers;
}

void SessionEntryRole::submit(SessionRequest Request) {
  if (isRelaying(Request.m_Caller, Request.m_Entry->m_Group)) {
    m_Relay.submit(std::move(Request));
    return;
  }
  submitHere(std::move(Request));
}

void SessionEntryRole::submitHere(SessionRequest Request) {
  if (SessionDriver *TransactionDriver =
          findTransactionDriver(Request.m_Caller)) {
    TransactionDriver->submit(std::move(Request));
    return;
  }
  const GroupId Group = Request.m_Entry->m_Group;
  findOrCreateDriver(Group).submit(std::move(Request));
}

void SessionEntryRole::callerDisconnected(CallerConnectionId Caller) {
  m_Relay.callerDisconnected(Caller);
  disconnectHere(Caller);
}

void SessionEntryRole::disconnectHere(CallerConnectionId Caller) {
  for (auto &[Group, Driver] : m_Groups) {
    Driver->callerDisconnected(Caller);
  }
}

void SessionEntryRole::runRelayed(RelayPeerId Peer, SessionRequest Request,
                                  RelayedCallers::Respond Reply) {
  SessionRequest Accepted =
      m_RelayedCallers.accept(Peer, std::move(Request), std::move(Reply));
  const ResultCode Code = checkRelayed(Accepted);
  if (Code == ResultCode::Ok) {
    submitHere(std::move(Accepted));
    return;
  }
  SessionAnswer Refusal;
  Refusal.m_Request = Accepted.m_Id;
  Refusal.m_Caller = Accepted.m_Caller;
  Refusal.m_Group = Accepted.m_Entry->m_Group;
  Refusal.m_Code = Code;
  answer(Refusal);
}

void SessionEntryRole::relayedCallerDisconnected(RelayPeerId Peer,
                                                 CallerConnectionId Caller) {
  const auto Known = m_RelayedCallers.callerDisconnected(Peer, Caller);
  if (Known) {
    disconnectHere(*Known);
  }
}

void SessionEntryRole::relayClosed(RelayPeerId Peer) {
  for (const CallerConnectionId Caller : m_RelayedCallers.peerClosed(Peer)) {
    disconnectHere(Caller);
  }
}

void SessionEntryRole::answer(const SessionAnswer &Response) {
  if (!m_RelayedCallers.answer(Response)) {
    m_Hooks.m_Answer(Response);
  }
}

RelayClientHooks SessionEntryRole::relayHooks() {
  RelayClientHooks Hooks;
  Hooks.m_Answer = m_Hooks.m_Answer;
  Hooks.m_DecisionMade = [this](const RelayDecisionRecord &Record) {
    m_StatementLog.recordRelayed(Record);
  };
  return Hooks;
}

void SessionEntryRole::drain(std::function<void()> Done) {
  m_Draining = true;
  m_DrainStarted = monotonicNow();
  m_DrainDone = std::move(Done);
  m_AdmissionControl.close();
  for (auto &[Group, Driver] : m_Groups) {
    Driver->drain();
  }
  m_Relay.drain();
  m_Hooks.m_CloseIdleCallers();
  checkDrained();
}

void SessionEntryRole::checkDrained() {
  const Duration Elapsed = monotonicNow() - m_DrainStarted;
  const Duration DrainTimeout = m_Settings.m_DrainTimeout;
  const bool IsTransactionTimeOver =
      Elapsed * PercentBase >= DrainTimeout * TransactionDrainPercent;
  if (IsTransactionTimeOver) {
    m_Relay.endTransactions();
  }
  bool AllDrained =
      m_Relay.core().pending() == 0 &&
      (IsTransactionTimeOver || m_Relay.core().openTransactions() == 0);
  for (auto &[Group, Driver] : m_Groups) {
    if (IsTransactionTimeOver) {
      Driver->endTransactions();
    }
    AllDrained =
        AllDrained && Driver->core().pending() == 0 &&
        (IsTransactionTimeOver || Driver->core().openTransactions() == 0);
  }
  m_Hooks.m_CloseIdleCallers();
  AllDrained =
      AllDrained && (IsTransactionTimeOver || m_Hooks.m_CountCallers() == 0);
  if (AllDrained ||
      Elapsed * PercentBase >= DrainTimeout * StatementDrainPercent) {
    endSession();
    return;
  }
  m_Loop.after(DrainCheckInterval, [this] { checkDrained(); });
}

void SessionEntryRole::endSession() {
  // Ending the session lets a change of primary proceed without waiting for
  // this host's lease, so nothing may be acknowledged from now on.
  m_IsSessionEnded = true;
  setLease(Instant());
  m_Control->endSession(EndSessionTimeout, std::move(m_DrainDone));
}

ControlClientHooks SessionEntryRole::controlHooks() {
  ControlClientHooks Hooks;
  Hooks.m_Update = [this](const ControlUpdate &Update) { applyUpdate(Update); };
  Hooks.m_Confirmation = [this] {
    Confirmation Confirmed;
    for (const auto &[Group, Driver] : m_Groups) {
      // Control sends a record again that its new session has not confirmed.
      if (!Driver->core().isRecordOutdated()) {
        Confirmed.m_Groups[Group] = Driver->core().confirmedRevision();
      }
    }
    Confirmed.m_Catalogue = m_Catalogue.revision();
    // Positions of stateful sessions are stored with their callers only, so a
    // new list of homes takes effect as soon as it is known.
    Confirmed.m_Homes = m_Homes;
    return Confirmed;
  };
  Hooks.m_Demand = [this] { return unmetDemand(); };
  Hooks.m_ServedGroups = [this] { return m_Relay.servedGroups(); };
  Hooks.m_LeaseExtended = [this](Instant ValidUntil) {
    m_Metrics.add(Metric::LeaseRenewals, {"granted"});
    // A renewal may have been under way when the session was ended.
    if (!m_IsSessionEnded) {
      setLease(ValidUntil);
    }
  };
  Hooks.m_SessionOpened = [this](ControlSessionId Session, bool Changed) {
    if (Changed) {
      logInfo(Part::Control, "Opened control session {}.", Session.value());
      controlSessionChanged();
    }
  };
  return Hooks;
}

WorkspacePermits::Hooks SessionEntryRole::permitHooks() {
  WorkspacePermits::Hooks Hooks;
  Hooks.m_Rate = [this](const WorkspaceId &Name) {
    const auto Found = m_Catalogue.workspace(Name);
    return Found == nullptr ? 0 : Found->m_Limit.m_RatePerSecond;
  };
  Hooks.m_RequestWanted = [this] {
    schedulePermitRequest();
    schedulePermitTick();
  };
  return Hooks;
}

void SessionEntryRole::schedulePermitRequest() {
  if (m_IsPermitRequestScheduled) {
    return;
  }
  m_IsPermitRequestScheduled = true;
  m_Loop.after(Duration(0), [this] {
    m_IsPermitRequestScheduled = false;
    sendPermitRequest();
  });
}

void SessionEntryRole::sendPermitRequest() {
  const auto Request = m_Permits.nextRequest(monotonicNow());
  if (!Request) {
    return;
  }
  m_Control->takePermits(
      Request->m_Demands, [this, Number = Request->m_Number](
                              const std::optional<PermitGrants> &Grants) {
        if (!Grants) {
          m_Permits.failed(monotonicNow(), Number);
        } else if (m_Permits.answered(monotonicNow(), Number, *Grants)) {
          permitsChanged();
        }
      });
}

void SessionEntryRole::schedulePermitTick() {
  if (m_IsPermitTickScheduled) {
    return;
  }
  m_IsPermitTickScheduled = true;
  m_Loop.after(WorkspacePermits::TickInterval, [this] {
    m_IsPermitTickScheduled = false;
    m_Permits.tick(monotonicNow());
    permitsChanged();
    if (m_Permits.isActive()) {
      schedulePermitTick();
    }
  });
}

void SessionEntryRole::permitsChanged() {
  for (auto &[Group, Driver] : m_Groups) {
    if (Driver->core().awaitsPermits()) {
      Driver->permitsChanged();
    }
  }
  for (const WorkspaceLimitChange &Change : m_Permits.takeLimitChanges()) {
    const std::array Fields = {
        LogField{"workspace", Change.m_Workspace.value()},
        LogField{"limited", std::int64_t{Change.m_IsLimited ? 1 : 0}},
        LogField{"refused", static_cast<std::int64_t>(Change.m_Refused)},
        LogField{"for_ms",
                 std::chrono::duration_cast<std::chrono::milliseconds>(
                     Change.m_Length)
                     .count()}};
    logRecord(LogLevel::Info, Part::Group,
              Change.m_IsLimited ? "A workspace is limited."
                                 : "A workspace is no longer limited.",
              Fields);
  }
}

void SessionEntryRole::setLease(Instant ValidUntil) {
  m_LeaseExpiry = ValidUntil;
  for (auto &[Group, Driver] : m_Groups) {
    Driver->setLease(ValidUntil);
  }
}

void SessionEntryRole::controlSessionChanged() {
  for (auto &[Group, Driver] : m_Groups) {
    Driver->controlSessionChanged();
  }
}

std::vector<ShareDemand> SessionEntryRole::unmetDemand() const {
  std::vector<ShareDemand> Unmet;
  for (const auto &[Group, Driver] : m_Groups) {
    for (const ServerView &Server : Driver->core().view().m_Servers) {
      const std::uint32_t Demand =
          Driver->core().connectionDemand(Server.m_Server);
      if (Demand > Server.m_ConnectionShare) {
        Unmet.push_back({Group, Server.m_Server, Demand});
      }
    }
  }
  return Unmet;
}

SessionDriver &SessionEntryRole::findOrCreateDriver(const GroupId &Group) {
  auto &Driver = m_Groups[Group];
  if (Driver == nullptr) {
    SessionCoreSettings Settings;
    Settings.m_Domain = m_Settings.m_FailureDomain;
    Settings.m_Pool.m_OpenTimeout = m_Settings.m_ConnectTimeout;
    Settings.m_ShedLoad = m_Settings.m_ShedLoad;
    CrossDomainSettings &CrossDomain = Settings.m_CrossDomain;
    CrossDomain.m_IsEnabled = m_Settings.m_CrossDomainRouting;
    CrossDomain.m_UsPerKb = m_Settings.m_CrossDomainUsPerKb;
    CrossDomain.m_MaxSharePercent = m_Settings.m_CrossDomainMaxSharePercent;
    CrossDomain.m_MaxKbPerSecond = m_Settings.m_CrossDomainMaxKbPerSecond;
    CrossDomain.m_RoomPercent = m_Settings.m_CrossDomainRoomPercent;
    CrossDomain.m_RefusalPause = Settings.m_BusyPause;
    CrossDomain.m_Seed = stableHash(m_Settings.m_Host.value(), Group.value());
    Driver = std::make_unique<SessionDriver>(m_Loop, Group, Settings,
                                             driverHooks(Group));
    Driver->setUsesWorkspaces(m_KeyedGroups.contains(Group));
    Driver->setPermits(&m_Permits);
    Driver->setLease(m_LeaseExpiry);
    if (m_Draining) {
      Driver->drain();
    }
  }
  return *Driver;
}

SessionDriverHooks SessionEntryRole::driverHooks(const GroupId &Group) {
  SessionDriverHooks Hooks;
  Hooks.m_Open = m_Hooks.m_Open;
  Hooks.m_Answer = [this](const SessionAnswer &Response) { answer(Response); };
  Hooks.m_ReportSuspicion = [this, Group](const ServerId &Server,
                                          SuspicionKind Kind) {
    m_Control->reportSuspicion(Group, Server, Kind);
  };
  Hooks.m_Opened = [this, Group](const ServerId &Server) {
    m_Metrics.add(Metric::BackendConnectionsOpened,
                  {Group.value(), Server.value()});
  };
  Hooks.m_RevisionConfirmed = [this] { m_Control->renewNow(); };
  Hooks.m_DecisionMade = [this, Group](const SessionDecisionRecord &Record) {
    m_StatementLog.record(Group, Record);
  };
  Hooks.m_CrossDomainChanged = [this, Group](const CrossDomainChange &Change) {
    m_StatementLog.recordCrossDomain(Group, Change);
  };
  return Hooks;
}

void SessionEntryRole::applyUpdate(const ControlUpdate &Update) {
  if (Update.m_Homes && Update.m_Homes->m_Revision >= m_Homes) {
    m_Homes = Update.m_Homes->m_Revision;
    // Empty while the first list is being prepared.
    if (!Update.m_Homes->m_Active.empty()) {
      m_Relay.setHosts(Update.m_Homes->m_Active);
    }
  }
  if (Update.m_Catalogue && m_Catalogue.apply(*Update.m_Catalogue)) {
    m_Metrics.set(Metric::CatalogueRevision, {},
                  static_cast<double>(m_Catalogue.revision().value()));
    logInfo(Part::Catalogue, "Applied catalogue revision {}.",
            m_Catalogue.revision().value());
    m_Relay.setGroups(m_Catalogue.groups());
    m_KeyedGroups = m_Catalogue.keyedGroups();
    for (auto &[Group, Driver] : m_Groups) {
      Driver->setUsesWorkspaces(m_KeyedGroups.contains(Group));
    }
    m_AdmissionControl.open();
  }
  reportServedGroups();
  for (const GroupView &View : Update.m_Views) {
    SessionDriver &Driver = findOrCreateDriver(View.m_Group);
    const auto PreviousPrimary = Driver.core().view().m_Primary;
    Driver.applyView(View);
    if (Driver.core().view().m_Primary != PreviousPrimary) {
      logInfo(Part::Group, "Group {}: term {} revision {}, primary {}.",
              View.m_Group.value(), View.m_Term.value(),
              View.m_Revision.value(),
              View.m_Primary ? View.m_Primary->value() : "none");
    }
  }
}

void SessionEntryRole::reportServedGroups() {
  auto Served = m_Relay.servedGroups();
  if (Served == m_ReportedGroups) {
    return;
  }
  m_ReportedGroups = std::move(Served);
  m_Control->renewNow();
}

void SessionEntryRole::updateMetrics() {
  m_Metrics.set(Metric::Callers, {},
                static_cast<double>(m_Hooks.m_CountCallers()));
  m_Metrics.set(Metric::Draining, {}, m_Draining ? 1 : 0);
  const auto Count = [this](std::uint64_t Total, std::uint64_t &Counted,
                            const char *Outcome) {
    if (Total > Counted) {
      m_Metrics.add(Metric::WorkspacePermits, {Outcome}, Total - Counted);
    }
    Counted = Total;
  };
  Count(m_Permits.grantedCount(), m_CountedGranted, "granted");
  Count(m_Permits.refusedCount(), m_CountedRefused, "refused");
  Count(m_Permits.expiredCount(), m_CountedExpired, "expired");
  const Duration RemainingLease =
      std::max(Duration(0), m_LeaseExpiry - monotonicNow());
  m_Metrics.set(Metric::LeaseSeconds, {},
                std::chrono::duration<double>(RemainingLease).count());
  for (const auto &[Group, Driver] : m_Groups) {
    const SessionCore &Core = Driver->core();
    const std::string &Name = Group.value();
    m_Metrics.set(Metric::RequestsQueued, {Name},
                  static_cast<double>(Core.waiting()));
    m_Metrics.set(Metric::RequestsInFlight, {Name},
                  static_cast<double>(Core.pending() - Core.waiting()));
    m_Metrics.set(Metric::GroupTerm, {Name},
                  static_cast<double>(Core.view().m_Term.value()));
    m_StatementLog.countCrossDomain(Group, Core.crossDomain().counts(),
                                    Core.crossDomain().share());
    for (const ServerView &Server : Core.view().m_Servers) {
      m_Metrics.set(Metric::BackendConnections, {Name, Server.m_Server.value()},
                    static_cast<double>(Core.connectionCount(Server.m_Server)));
    }
  }
}

} // namespace ragwortmux
