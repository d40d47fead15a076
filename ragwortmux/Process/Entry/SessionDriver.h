#ifndef RAGWORTMUX_PROCESS_ENTRY_SESSIONDRIVER_H
#define RAGWORTMUX_PROCESS_ENTRY_SESSIONDRIVER_H

#include "ragwortmux/Process/Backend/StatementConnection.h"
#include "ragwortmux/Request/SessionCore.h"

#include <functional>
#include <map>
#include <memory>

namespace ragwortmux {

class IoLoop;

/// Callbacks from a session driver into its process, called on the event loop.
struct SessionDriverHooks final {
  OpenStatementConnection m_Open; ///< Opens connections to servers.
  std::function<void(const SessionAnswer &Response)>
      m_Answer; ///< Answers a caller.
  std::function<void(const ServerId &Server, SuspicionKind Kind)>
      m_ReportSuspicion; ///< Reports a server that may have failed.
  std::function<void(const ServerId &Server)>
      m_Opened; ///< Called when a connection has been opened.
  std::function<void()>
      m_RevisionConfirmed; ///< Called when a group record is confirmed later
                           ///< than in the call that applied it.
  std::function<void(const SessionDecisionRecord &Record)>
      m_DecisionMade; ///< Called for each decision of the core.
  std::function<void(const CrossDomainChange &Change)>
      m_CrossDomainChanged; ///< Called when another share of the reads may
                            ///< leave the failure domain; may be empty.
};

/// The I/O side of one delegated group on an entry host: performs the actions
/// of the group's SessionCore.
///
/// The core runs on the event loop's thread, so a statement is never passed
/// between threads.
class SessionDriver final {
public:
  SessionDriver(IoLoop &Loop, GroupId Group,
                const SessionCoreSettings &Settings, SessionDriverHooks Hooks);
  ~SessionDriver();
  SessionDriver(const SessionDriver &) = delete;
  SessionDriver &operator=(const SessionDriver &) = delete;

  void submit(SessionRequest Request);
  void callerDisconnected(CallerConnectionId Caller);
  void applyView(const GroupView &View);
  /// Sets whether callers of the group belong to workspaces.
  void setUsesWorkspaces(bool UsesWorkspaces);
  /// See SessionCore::setPermits().
  void setPermits(WorkspacePermits *Permits) { m_Core.setPermits(Permits); }
  void permitsChanged();
  /// Sets the end of the lease; an instant that has passed ends it.
  void setLease(Instant ValidUntil);
  void controlSessionChanged();
  void drain();
  void endTransactions();

  const GroupId &group() const { return m_Group; }
  const SessionCore &core() const { return m_Core; }

private:
  struct LifetimeToken;
  void perform();
  void tryPerformAction(const SessionAction &Action);
  void performAction(const OpenSessionConnection &Action);
  void performAction(const CloseSessionConnection &Action);
  void performAction(const SetUpSession &Action);
  void performAction(const RunStatement &Action);
  void performAction(const ProbeConnection &Action);
  void performAction(const SessionAnswer &Action);
  void performAction(const ReportServer &Action);
  void performAction(const SessionDecisionRecord &Action);
  void performAction(const CrossDomainChange &Action);
  void removeConnection(ConnectionId Id);
  void scheduleTick();

  IoLoop &m_Loop;              ///< The event loop.
  GroupId m_Group;             ///< The group.
  SessionDriverHooks m_Hooks;  ///< Callbacks of the process.
  SessionCore m_Core;          ///< The decision core.
  SessionActions m_Actions;    ///< Actions not performed yet.
  bool m_IsPerforming = false; ///< perform() is running.
  std::map<ConnectionId, std::unique_ptr<StatementConnection>>
      m_Connections; ///< Connections by the core's connection ids.
  Instant m_NextTick = Instant::max(); ///< Time of the scheduled tick.
  Revision m_ReportedRevision; ///< Newest confirmed revision that control gets
                               ///< without another m_RevisionConfirmed.
  std::shared_ptr<LifetimeToken> m_LifetimeToken; ///< Lets timers detect that
                                                  ///< the driver was destroyed.
};

/// Owned by the driver; timers hold weak references to it.
struct SessionDriver::LifetimeToken final {};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_ENTRY_SESSIONDRIVER_H
