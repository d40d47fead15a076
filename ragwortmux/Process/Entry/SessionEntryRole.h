#ifndef RAGWORTMUX_PROCESS_ENTRY_SESSIONENTRYROLE_H
#define RAGWORTMUX_PROCESS_ENTRY_SESSIONENTRYROLE_H

#include "ragwortmux/Connection/AdmissionControl.h"
#include "ragwortmux/Process/Entry/ControlClient.h"
#include "ragwortmux/Process/Entry/RelayClient.h"
#include "ragwortmux/Process/Entry/SessionDriver.h"
#include "ragwortmux/Process/Entry/StatementLog.h"
#include "ragwortmux/Request/RelayedCallers.h"
#include "ragwortmux/Request/WorkspacePermits.h"
#include "ragwortmux/Version/CatalogueCache.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace ragwortmux {

class IoLoop;
class Metrics;
struct ProcessSettings;

/// Callbacks from the entry role for stateful sessions into the protocol
/// adapter, called on the event loop.
struct SessionEntryHooks final {
  OpenStatementConnection m_Open; ///< Opens connections to servers.
  std::function<void(const SessionAnswer &Response)>
      m_Answer; ///< Answers a caller.
  std::function<void()>
      m_CloseIdleCallers; ///< Closes callers with idle sessions.
  std::function<std::size_t()> m_CountCallers; ///< Number of connected callers.
};

/// The entry role of a process that serves stateful sessions: drives the
/// decision core of each group that this host serves, relays the statements for
/// other groups to hosts that serve them, and maintains the control session.
/// The hooks implement the protocols of callers and backend servers.
///
/// Used on the event loop's thread only.
class SessionEntryRole final {
public:
  SessionEntryRole(IoLoop &Loop, const ProcessSettings &Settings,
                   Metrics &ProcessMetrics, SessionEntryHooks Hooks);
  ~SessionEntryRole();
  SessionEntryRole(const SessionEntryRole &) = delete;
  SessionEntryRole &operator=(const SessionEntryRole &) = delete;

  /// Opens the control session.
  void start();
  /// Refuses new transactions; \p Done is called once all open transactions
  /// have ended or the time for them has elapsed.
  void drain(std::function<void()> Done);
  /// True while new callers are accepted: the catalogue is known, control is
  /// reachable and no drain has started.
  bool isReady() const;
  /// Adds control hosts that are not known yet.
  void addControlPeers(const std::vector<ControlPeer> &Peers) {
    m_Control->addPeers(Peers);
  }

  /// Updates the gauges of this role.
  void updateMetrics();
  /// Decides whether a new caller is accepted and calls \p OnDecision,
  /// immediately or once the catalogue has arrived.
  void admit(AdmissionControl::Decision OnDecision);
  /// The catalogue entry \p Name; null if there is none.
  std::shared_ptr<const CatalogueEntry> findEntry(const EntryName &Name) const {
    return m_Catalogue.find(Name);
  }
  /// The workspace that holds \p Key; null if there is none.
  std::shared_ptr<const Workspace> findWorkspace(const KeyDigest &Key) const {
    return m_Catalogue.findWorkspace(Key);
  }
  /// The result for \p Statement, which is empty for a caller that connects,
  /// if findEntry() does not find its entry \p Name; it is logged. Without a
  /// lease this host cannot know whether its catalogue is current.
  ResultCode refuseMissingEntry(const EntryName &Name,
                                const StatementId &Statement) const;
  /// Like refuseMissingEntry(), if findWorkspace() does not find the key of a
  /// caller of the entry \p Name.
  ResultCode refuseUnknownKey(const EntryName &Name,
                              const StatementId &Statement) const;
  /// Runs a statement; SessionEntryHooks::m_Answer receives the answer.
  void submit(SessionRequest Request);
  /// The group that serves the caller's next request: that of its open
  /// transaction, else that of \p Entry.
  GroupId groupOf(CallerConnectionId Caller, const CatalogueEntry &Entry) const;
  /// True if a caller that gets \p Response should connect to another host,
  /// because this one has no lease. Callers are not closed before they need an
  /// answer: when control is lost, all hosts lose their leases together, and
  /// callers that reconnect would gain nothing.
  bool sendsCallersElsewhere(const SessionAnswer &Response) const;
  /// Releases the state of a caller that has closed its connection.
  void callerDisconnected(CallerConnectionId Caller);

  /// Runs a statement that \p Peer relays; \p Reply receives the answer.
  void runRelayed(RelayPeerId Peer, SessionRequest Request,
                  RelayedCallers::Respond Reply);
  /// Releases the state of a caller of \p Peer that has closed its connection.
  void relayedCallerDisconnected(RelayPeerId Peer, CallerConnectionId Caller);
  /// Releases the state of all callers of \p Peer.
  void relayClosed(RelayPeerId Peer);

private:
  ControlClientHooks controlHooks();
  RelayClientHooks relayHooks();
  WorkspacePermits::Hooks permitHooks();
  /// Sends the next request for permits on a later turn of the event loop, so
  /// that it covers all statements of this turn.
  void schedulePermitRequest();
  void sendPermitRequest();
  void schedulePermitTick();
  /// Sends or refuses the statements that waited for permits.
  void permitsChanged();
  /// The servers to which this host could use more connections than its share
  /// allows; the other shares are sufficient.
  std::vector<ShareDemand> unmetDemand() const;
  SessionDriver &findOrCreateDriver(const GroupId &Group);
  SessionDriverHooks driverHooks(const GroupId &Group);
  SessionDriver *findTransactionDriver(CallerConnectionId Caller) const;
  bool isRelaying(CallerConnectionId Caller, const GroupId &Group);
  /// True if control has given this host connections to servers of \p Group.
  bool hasConnections(const GroupId &Group) const;
  /// False if control gives this host no connections for the statement.
  bool canRunHere(const SessionRequest &Request) const;
  /// False if this host knows the statement's entry differently, or does not
  /// know its workspace.
  bool hasSameEntry(const SessionRequest &Request) const;
  /// Ok, or why a relayed statement is not run here.
  ResultCode checkRelayed(const SessionRequest &Request) const;
  void submitHere(SessionRequest Request);
  void disconnectHere(CallerConnectionId Caller);
  void answer(const SessionAnswer &Response);
  void applyUpdate(const ControlUpdate &Update);
  /// Sets the end of the lease of this host and of all its groups.
  void setLease(Instant ValidUntil);
  /// The groups' records may be outdated until control sends them again.
  void controlSessionChanged();
  /// Renews the lease at once if this host serves other groups than before, so
  /// that control assigns connections for them.
  void reportServedGroups();
  void checkDrained();
  void endSession();
  void checkLease();
  bool hasLease() const;
  bool hasCatalogue() const { return m_Catalogue.isKnown(); }

  IoLoop &m_Loop;                    ///< The event loop.
  const ProcessSettings &m_Settings; ///< The process's settings.
  Metrics &m_Metrics;                ///< The process's metrics.
  SessionEntryHooks m_Hooks;         ///< Callbacks of the adapter.
  Revision m_Homes; ///< Newest revision of session homes from control.
  CatalogueCache m_Catalogue;      ///< The catalogue in use.
  std::set<GroupId> m_KeyedGroups; ///< Groups whose callers need keys.
  std::optional<std::set<GroupId>> m_ReportedGroups =
      std::set<GroupId>();             ///< Served groups at the last report.
  StatementLog m_StatementLog;         ///< Logs and counts decisions.
  AdmissionControl m_AdmissionControl; ///< Decides on new callers.
  Incarnation m_Incarnation;           ///< Identifies this process start.
  WorkspacePermits m_Permits;          ///< Permits of limited workspaces.
  std::uint64_t m_CountedGranted = 0;  ///< In the metrics already.
  std::uint64_t m_CountedRefused = 0;  ///< In the metrics already.
  std::uint64_t m_CountedExpired = 0;  ///< In the metrics already.
  bool m_IsPermitRequestScheduled = false;  ///< See schedulePermitRequest().
  bool m_IsPermitTickScheduled = false;     ///< See schedulePermitTick().
  std::unique_ptr<ControlClient> m_Control; ///< Control session and lease.
  std::map<GroupId, std::unique_ptr<SessionDriver>>
      m_Groups;                    ///< Drivers by group.
  RelayClient m_Relay;             ///< Statements at other hosts.
  RelayedCallers m_RelayedCallers; ///< Callers of other hosts.
  Instant m_LeaseExpiry{};         ///< End of the lease.
  bool m_IsIsolated = true; ///< No lease for longer than IsolationTimeout.
  Instant m_DrainStarted{}; ///< When drain() was called.
  std::function<void()> m_DrainDone; ///< Passed to drain().
  bool m_Draining = false;           ///< drain() was called.
  bool m_IsSessionEnded = false;     ///< endSession() was called.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_ENTRY_SESSIONENTRYROLE_H
