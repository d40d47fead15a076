#include "ragwortmux/Process/Entry/SessionEntryRole.h"

#include "ragwortmux/Connection/IsReady.h"
#include "ragwortmux/Process/Loop/IoLoop.h"
#include "ragwortmux/Process/Loop/StartIncarnation.h"
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

/// How often a drain looks whether all has ended.
constexpr Duration DrainCheckInterval = std::chrono::milliseconds(25);
/// How long the end of the control session is waited for at a drain.
constexpr Duration EndSessionTimeout = std::chrono::milliseconds(300);
/// Part of the drain's time in which open transactions may end, in percent.
constexpr int TransactionDrainPercent = 50;
/// Part of the drain's time after which running statements are given up.
constexpr int StatementDrainPercent = 90;
constexpr int PercentBase = 100;
/// How often ordinary statements are summed up in the log.
constexpr Duration SummaryInterval = std::chrono::seconds(10);
/// A host without a lease for so long sends new and idle callers elsewhere.
constexpr Duration CutOffAfter = std::chrono::milliseconds(300);
/// How long callers of a process that has just started wait for the catalogue;
/// less than they wait for the first answer.
constexpr Duration AdmissionPatience = std::chrono::milliseconds(1200);
/// How often that is looked at.
constexpr Duration LeaseCheckInterval = std::chrono::milliseconds(250);

} // namespace

SessionEntryRole::SessionEntryRole(IoLoop &Loop,
                                   const ProcessSettings &Settings,
                                   Metrics &Figures, SessionEntryHooks Hooks)
    : m_Loop(Loop), m_Settings(Settings), m_Metrics(Figures),
      m_Hooks(std::move(Hooks)), m_Statements(Figures, m_Catalogue),
      m_Admissions(monotonicNow(), AdmissionPatience),
      m_Run(startIncarnation()),
      m_Control(std::make_unique<ControlClient>(
          Loop, Settings.m_ClusterKey,
          controlClientSettings(Settings, Settings.m_RpcPort, m_Run),
          controlHooks())) {}

SessionEntryRole::~SessionEntryRole() = default;

void SessionEntryRole::start() {
  m_Control->start();
  m_Loop.after(AdmissionPatience,
               [this] { m_Admissions.tick(monotonicNow()); });
  m_Loop.every(LeaseCheckInterval, [this] { watchLease(); });
  m_Loop.every(SummaryInterval, [this] { m_Statements.writeSummary(); });
}

bool SessionEntryRole::isReady() const {
  return !m_Draining && hasCatalogue() &&
         isReadyForCallers(monotonicNow(), m_LeaseUntil, m_Settings.m_Lease);
}

void SessionEntryRole::admit(Admissions::Decision Decided) {
  m_Admissions.admit(monotonicNow(), std::move(Decided));
}

void SessionEntryRole::watchLease() {
  const bool CutOff = monotonicNow() >= m_LeaseUntil + CutOffAfter;
  if (CutOff != m_CutOff) {
    m_CutOff = CutOff;
    if (CutOff) {
      logWarn(Part::Control, "Lost control: no lease any more.");
    } else {
      logInfo(Part::Control, "Control is in reach.");
    }
  }
  // Elsewhere their statements may find a host that holds a lease.
  if (CutOff && hasCatalogue()) {
    m_Hooks.m_CloseIdleCallers();
  }
}

GroupId SessionEntryRole::groupOf(CallerConnectionId Caller,
                                  const CatalogueEntry &Entry) const {
  const SessionDriver *Holder = holderOf(Caller);
  return Holder == nullptr ? Entry.m_Group : Holder->group();
}

SessionDriver *SessionEntryRole::holderOf(CallerConnectionId Caller) const {
  for (const auto &[Group, Driver] : m_Groups) {
    if (Driver->core().hasTransaction(Caller)) {
      return Driver.get();
    }
  }
  return nullptr;
}

void SessionEntryRole::submit(SessionRequest Request) {
  if (SessionDriver *Holder = holderOf(Request.m_Caller)) {
    Holder->submit(std::move(Request));
    return;
  }
  const GroupId Group = Request.m_Entry->m_Group;
  driver(Group).submit(std::move(Request));
}

void SessionEntryRole::callerGone(CallerConnectionId Caller) {
  for (auto &[Group, Driver] : m_Groups) {
    Driver->callerGone(Caller);
  }
}

void SessionEntryRole::drain(std::function<void()> Done) {
  m_Draining = true;
  m_DrainStarted = monotonicNow();
  m_DrainDone = std::move(Done);
  m_Admissions.close();
  for (auto &[Group, Driver] : m_Groups) {
    Driver->drain();
  }
  m_Hooks.m_CloseIdleCallers();
  checkDrained();
}

void SessionEntryRole::checkDrained() {
  const Duration Spent = monotonicNow() - m_DrainStarted;
  const Duration Whole = m_Settings.m_DrainTimeout;
  const bool TransactionsOver =
      Spent * PercentBase >= Whole * TransactionDrainPercent;
  bool AllDrained = true;
  for (auto &[Group, Driver] : m_Groups) {
    if (TransactionsOver) {
      Driver->endTransactions();
    }
    AllDrained = AllDrained && Driver->core().pending() == 0 &&
                 (TransactionsOver || Driver->core().openTransactions() == 0);
  }
  m_Hooks.m_CloseIdleCallers();
  AllDrained =
      AllDrained && (TransactionsOver || m_Hooks.m_CountCallers() == 0);
  if (AllDrained || Spent * PercentBase >= Whole * StatementDrainPercent) {
    endSession();
    return;
  }
  m_Loop.after(DrainCheckInterval, [this] { checkDrained(); });
}

void SessionEntryRole::endSession() {
  // A change of primary need not wait for the lease of a process that has told
  // that it will acknowledge nothing more.
  m_LeaseUntil = Instant();
  m_Control->endSession(EndSessionTimeout, std::move(m_DrainDone));
}

ControlClientHooks SessionEntryRole::controlHooks() {
  ControlClientHooks Hooks;
  Hooks.m_Update = [this](const ControlUpdate &Update) { takeUpdate(Update); };
  Hooks.m_Confirmation = [this] {
    Confirmation Confirmed;
    for (const auto &[Group, Driver] : m_Groups) {
      Confirmed.m_Groups[Group] = Driver->core().confirmedRevision();
    }
    Confirmed.m_Catalogue = m_Catalogue.revision();
    // No session's position is kept elsewhere than with its caller.
    Confirmed.m_Homes = m_Homes;
    return Confirmed;
  };
  Hooks.m_Demand = [this] { return unmetDemand(); };
  Hooks.m_LeaseExtended = [this](Instant ValidUntil) {
    m_LeaseUntil = ValidUntil;
    m_Metrics.add(Metric::LeaseRenewals, {"granted"});
    for (auto &[Group, Driver] : m_Groups) {
      Driver->extendLease(ValidUntil);
    }
  };
  Hooks.m_SessionOpened = [](ControlSessionId Session, bool Changed) {
    if (Changed) {
      logInfo(Part::Control, "Opened control session {}.", Session.value());
    }
  };
  return Hooks;
}

std::vector<ShareDemand> SessionEntryRole::unmetDemand() const {
  std::vector<ShareDemand> Unmet;
  for (const auto &[Group, Driver] : m_Groups) {
    for (const ServerView &Server : Driver->core().view().m_Servers) {
      const std::uint32_t Wanted =
          Driver->core().connectionDemand(Server.m_Server);
      if (Wanted > Server.m_ConnectionShare) {
        Unmet.push_back({Group, Server.m_Server, Wanted});
      }
    }
  }
  return Unmet;
}

SessionDriver &SessionEntryRole::driver(const GroupId &Group) {
  auto &Driver = m_Groups[Group];
  if (Driver == nullptr) {
    SessionCoreSettings Settings;
    Settings.m_Domain = m_Settings.m_FailureDomain;
    Settings.m_Pool.m_OpenTimeout = m_Settings.m_ConnectTimeout;
    Driver = std::make_unique<SessionDriver>(m_Loop, Group, Settings,
                                             driverHooks(Group));
    Driver->extendLease(m_LeaseUntil);
    if (m_Draining) {
      Driver->drain();
    }
  }
  return *Driver;
}

SessionDriverHooks SessionEntryRole::driverHooks(const GroupId &Group) {
  SessionDriverHooks Hooks;
  Hooks.m_Open = m_Hooks.m_Open;
  Hooks.m_Answer = m_Hooks.m_Answer;
  Hooks.m_Suspect = [this, Group](const ServerId &Server, SuspicionKind Kind) {
    m_Control->suspect(Group, Server, Kind);
  };
  Hooks.m_Confirmed = [this] { m_Control->renewSoon(); };
  Hooks.m_Note = [this, Group](const SessionDecisionRecord &Note) {
    m_Statements.note(Group, Note);
  };
  return Hooks;
}

void SessionEntryRole::takeUpdate(const ControlUpdate &Update) {
  if (Update.m_Homes) {
    m_Homes = std::max(m_Homes, Update.m_Homes->m_Revision);
  }
  if (Update.m_Catalogue && m_Catalogue.apply(*Update.m_Catalogue)) {
    m_Metrics.set(Metric::CatalogueRevision, {},
                  static_cast<double>(m_Catalogue.revision().value()));
    logInfo(Part::Catalogue, "Catalogue revision {} is in force.",
            m_Catalogue.revision().value());
    m_Admissions.open();
  }
  for (const GroupView &View : Update.m_Views) {
    SessionDriver &Driver = driver(View.m_Group);
    const auto Before = Driver.core().view().m_Primary;
    Driver.takeView(View);
    if (Driver.core().view().m_Primary != Before) {
      logInfo(Part::Group, "Group {}: term {} revision {}, primary {}.",
              View.m_Group.value(), View.m_Term.value(),
              View.m_Revision.value(),
              View.m_Primary ? View.m_Primary->value() : "none");
    }
  }
}

void SessionEntryRole::fillMetrics() {
  m_Metrics.set(Metric::Callers, {},
                static_cast<double>(m_Hooks.m_CountCallers()));
  m_Metrics.set(Metric::Draining, {}, m_Draining ? 1 : 0);
  const Duration Left = std::max(Duration(0), m_LeaseUntil - monotonicNow());
  m_Metrics.set(Metric::LeaseSeconds, {},
                std::chrono::duration<double>(Left).count());
  for (const auto &[Group, Driver] : m_Groups) {
    const SessionCore &Core = Driver->core();
    const std::string &Name = Group.value();
    m_Metrics.set(Metric::RequestsQueued, {Name},
                  static_cast<double>(Core.waiting()));
    m_Metrics.set(Metric::RequestsInFlight, {Name},
                  static_cast<double>(Core.pending() - Core.waiting()));
    m_Metrics.set(Metric::GroupTerm, {Name},
                  static_cast<double>(Core.view().m_Term.value()));
    for (const ServerView &Server : Core.view().m_Servers) {
      m_Metrics.set(Metric::BackendConnections, {Name, Server.m_Server.value()},
                    static_cast<double>(Core.heldConnections(Server.m_Server)));
    }
  }
}

} // namespace ragwortmux
