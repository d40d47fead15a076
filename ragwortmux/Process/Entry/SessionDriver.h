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
  std::function<void(const SessionAnswer &Given)>
      m_Answer; ///< Answers a caller.
  std::function<void(const ServerId &Server, SuspicionKind Kind)>
      m_Suspect; ///< Reports a server that may have failed.
  std::function<void()>
      m_Confirmed; ///< Called when a newer group record is confirmed.
  std::function<void(const SessionNote &Note)>
      m_Note; ///< Called for each decision of the core.
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
  void callerGone(CallerConnectionId Caller);
  void takeView(const GroupView &View);
  void extendLease(Instant ValidUntil);
  void drain();
  void endTransactions();

  const GroupId &group() const { return m_Group; }
  const SessionCore &core() const { return m_Core; }

private:
  struct Life;
  void perform();
  void performSafely(const SessionAction &Action);
  void performOne(const OpenSessionConnection &Action);
  void performOne(const CloseSessionConnection &Action);
  void performOne(const RunStatement &Action);
  void performOne(const ProbeConnection &Action);
  void performOne(const SessionAnswer &Action);
  void performOne(const ReportServer &Action);
  void performOne(const SessionNote &Action);
  void connectionEnded(ConnectionId Id);
  void armTick();

  IoLoop &m_Loop;             ///< The event loop.
  GroupId m_Group;            ///< The group.
  SessionDriverHooks m_Hooks; ///< Callbacks of the process.
  SessionCore m_Core;         ///< The decision core.
  SessionActions m_Actions;   ///< Actions not performed yet.
  bool m_Performing = false;  ///< perform() is running.
  std::map<ConnectionId, std::unique_ptr<StatementConnection>>
      m_Connections; ///< Connections by the core's connection ids.
  Instant m_NextTick = Instant::max(); ///< Time of the scheduled tick.
  Revision m_ToldConfirmed;            ///< Revision last passed to m_Confirmed.
  std::shared_ptr<Life> m_Life; ///< Lets timers detect that the driver was
                                ///< destroyed.
};

/// Owned by the driver; timers hold weak references to it.
struct SessionDriver::Life final {};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_ENTRY_SESSIONDRIVER_H
