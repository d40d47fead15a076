#ifndef RAGWORTMUX_PROCESS_ENTRY_SESSIONENTRYROLE_H
#define RAGWORTMUX_PROCESS_ENTRY_SESSIONENTRYROLE_H

#include "ragwortmux/Connection/AdmissionControl.h"
#include "ragwortmux/Process/Entry/ControlClient.h"
#include "ragwortmux/Process/Entry/SessionDriver.h"
#include "ragwortmux/Process/Entry/StatementLog.h"
#include "ragwortmux/Version/CatalogueCache.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace ragwortmux {

class IoLoop;
class Metrics;
struct ProcessSettings;

/// What the entry role for stateful sessions needs from the outside protocol;
/// called on the event loop.
struct SessionEntryHooks final {
  OpenStatementConnection m_Open; ///< Opens connections to servers.
  std::function<void(const SessionAnswer &Given)> m_Answer; ///< To a caller.
  std::function<void()> m_CloseIdleCallers;    ///< Close all idle sessions.
  std::function<std::size_t()> m_CountCallers; ///< Connected callers.
};

/// The entry role of a process whose callers hold sessions with state: groups
/// and the session with control. Which protocol callers and servers speak is
/// the hooks' affair.
///
/// Lives on the event loop.
class SessionEntryRole final {
public:
  SessionEntryRole(IoLoop &Loop, const ProcessSettings &Settings,
                   Metrics &Figures, SessionEntryHooks Hooks);
  ~SessionEntryRole();
  SessionEntryRole(const SessionEntryRole &) = delete;
  SessionEntryRole &operator=(const SessionEntryRole &) = delete;

  /// Starts the session with control.
  void start();
  /// Takes no new transactions; \p Done is called once all have ended or the
  /// time is up.
  void drain(std::function<void()> Done);
  /// True while new callers are welcome: the catalogue is known and control can
  /// be reached.
  bool isReady() const;
  /// Other control hosts to ask.
  void addControlPeers(const std::vector<ControlPeer> &Peers) {
    m_Control->addPeers(Peers);
  }

  /// Brings the gauges of this role up to date.
  void fillMetrics();
  /// Tells \p Decided, at once or soon, whether a new caller is taken.
  void admit(AdmissionControl::Decision Decided);
  /// The entry \p Name; null if there is none.
  std::shared_ptr<const CatalogueEntry> findEntry(const EntryName &Name) const {
    return m_Catalogue.find(Name);
  }
  /// Takes a statement; SessionEntryHooks::m_Answer gets the answer.
  void submit(SessionRequest Request);
  /// The group that the caller's next request goes to.
  GroupId groupOf(CallerConnectionId Caller, const CatalogueEntry &Entry) const;
  /// A caller has closed its connection.
  void callerGone(CallerConnectionId Caller);

private:
  ControlClientHooks controlHooks();
  /// Servers of which this host could use more connections than its share; it
  /// is content with the other shares.
  std::vector<ShareDemand> unmetDemand() const;
  SessionDriver &driver(const GroupId &Group);
  SessionDriverHooks driverHooks(const GroupId &Group);
  SessionDriver *holderOf(CallerConnectionId Caller) const;
  void takeUpdate(const ControlUpdate &Update);
  void checkDrained();
  void endSession();
  void watchLease();
  bool hasCatalogue() const { return m_Catalogue.isKnown(); }

  IoLoop &m_Loop;                    ///< The event loop.
  const ProcessSettings &m_Settings; ///< The process's settings.
  Metrics &m_Metrics;                ///< The process's metrics.
  SessionEntryHooks m_Hooks;         ///< As given.
  Revision m_Homes; ///< Newest list of session homes that control told.
  CatalogueCache m_Catalogue;               ///< Catalogue entries.
  StatementLog m_Statements;                ///< Logs and counts decisions.
  AdmissionControl m_Admissions;            ///< Whether new callers are taken.
  Incarnation m_Run;                        ///< This run of the process.
  std::unique_ptr<ControlClient> m_Control; ///< The session with control.
  std::map<GroupId, std::unique_ptr<SessionDriver>> m_Groups; ///< Groups.
  Instant m_LeaseUntil{};            ///< End of the lease.
  bool m_CutOff = true;              ///< Without a lease for too long.
  Instant m_DrainStarted{};          ///< When drain() was called.
  std::function<void()> m_DrainDone; ///< Called once drained.
  bool m_Draining = false;           ///< drain() was called.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_ENTRY_SESSIONENTRYROLE_H
