#ifndef RAGWORTMUX_PROCESS_ENTRY_SESSIONDRIVER_H
#define RAGWORTMUX_PROCESS_ENTRY_SESSIONDRIVER_H

#include "ragwortmux/Process/Backend/StatementConnection.h"
#include "ragwortmux/Request/SessionCore.h"

#include <functional>
#include <map>
#include <memory>

namespace ragwortmux {

class IoLoop;

/// What a session driver needs from the rest of the process; called on the
/// event loop.
struct SessionDriverHooks final {
  OpenStatementConnection m_Open; ///< Opens connections to servers.
  std::function<void(const SessionAnswer &Given)> m_Answer; ///< To a caller.
  std::function<void(const ServerId &Server, SuspicionKind Kind)>
      m_Suspect;                     ///< A server is suspected.
  std::function<void()> m_Confirmed; ///< A newer record is confirmed.
  std::function<void(const SessionDecisionRecord &Note)>
      m_Note; ///< A decision was made.
};

/// The I/O side of one delegated group on an entry host: carries out what its
/// SessionCore decides.
///
/// The core runs on the event loop itself: a statement crosses no thread on its
/// way.
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
  void performOne(const SessionDecisionRecord &Action);
  void connectionEnded(ConnectionId Id);
  void armTick();

  IoLoop &m_Loop;             ///< The event loop.
  GroupId m_Group;            ///< The group.
  SessionDriverHooks m_Hooks; ///< As given.
  SessionCore m_Core;         ///< Decides.
  SessionActions m_Actions;   ///< Decided, not done yet.
  bool m_Performing = false;  ///< perform() runs.
  std::map<ConnectionId, std::unique_ptr<StatementConnection>>
      m_Connections;                   ///< Connections by the core's ids.
  Instant m_NextTick = Instant::max(); ///< When a tick is due.
  Revision m_ToldConfirmed;            ///< The last revision told.
  std::shared_ptr<Life> m_Life; ///< Timers check that the driver still lives.
};

/// Lives as long as the driver.
struct SessionDriver::Life final {};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_ENTRY_SESSIONDRIVER_H
