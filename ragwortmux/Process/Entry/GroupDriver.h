#ifndef RAGWORTMUX_PROCESS_ENTRY_GROUPDRIVER_H
#define RAGWORTMUX_PROCESS_ENTRY_GROUPDRIVER_H

#include "ragwortmux/Process/Backend/BackendConnection.h"
#include "ragwortmux/Process/Backend/CancelSender.h"
#include "ragwortmux/Process/Backend/PositionMonitor.h"
#include "ragwortmux/Process/Entry/GroupActor.h"
#include "ragwortmux/Version/ControlEvents.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace ragwortmux {

class ActorSystem;
class IoLoop;

/// Settings of a group's driver.
struct GroupDriverSettings final {
  std::string m_User;           ///< Database user.
  std::string m_Database;       ///< Database name.
  Duration m_ConnectTimeout{0}; ///< Timeout of opening a connection.
  GroupSettings m_Group;        ///< Settings of the decision core.
};

/// Callbacks from a group's driver into its process, called on the event loop.
struct GroupDriverHooks final {
  /// Answers a request.
  std::function<void(const Answer &Response)> m_Answer;
  /// Closes a caller's connection.
  std::function<void(const CloseCaller &Action)> m_CloseCaller;
  /// Reserves a request key; a KeyReservedEvent must follow.
  std::function<void(const ReserveRequestKey &Action)> m_ReserveKey;
  /// Records the outcome of a key; an OutcomeRecordedEvent must follow.
  std::function<void(const RecordKeyOutcome &Action)> m_RecordOutcome;
  /// Looks up the log position of a session; a SessionPointFoundEvent must
  /// follow.
  std::function<void(const FindSessionPoint &Action)> m_FindPoint;
  /// Stores the log position of a session.
  std::function<void(const StoreSessionPoint &Action)> m_StorePoint;
  /// Reports a server that may have failed.
  std::function<void(const ServerId &Server, SuspicionKind Kind)>
      m_ReportSuspicion;
  /// Called when confirmedRevision() has changed.
  std::function<void()> m_RevisionConfirmed;
};

/// The I/O side of one group on an entry host: performs the actions of the
/// group's actor on the event loop.
///
/// The actor's decisions may be out of date when they arrive here, so two
/// limits are enforced at this point: the connection shares, and the lease that
/// an acknowledgement needs.
class GroupDriver final : public std::enable_shared_from_this<GroupDriver> {
public:
  GroupDriver(IoLoop &Loop, ActorSystem &Actors, GroupId Group,
              GroupDriverSettings Settings, GroupDriverHooks Hooks);
  ~GroupDriver();
  GroupDriver(const GroupDriver &) = delete;
  GroupDriver &operator=(const GroupDriver &) = delete;

  /// Starts the group's actor.
  void start();
  /// Closes all connections and ignores further decisions.
  void stop();

  /// Sends an event to the group's actor.
  void send(GroupEvent Event) { m_Actor->send(std::move(Event)); }
  /// Applies a newer group record; older ones are ignored.
  void applyView(const GroupView &View);
  /// Extends the lease to \p ValidUntil.
  void extendLease(Instant ValidUntil);

  /// True if an acknowledgement that needs a valid lease may be written at
  /// \p Now, given that it belongs to term \p RequiredTerm.
  bool canAcknowledge(Term RequiredTerm, Instant Now) const;
  /// Revision of the newest group record that is fully in effect on this host:
  /// nothing of an older term is acknowledged and the open connections are
  /// within the record's shares.
  Revision confirmedRevision() const { return m_ConfirmedRevision; }
  /// The current group record.
  const GroupView &view() const { return m_View; }
  /// Number of connections that the group could use, for the next renewal.
  const std::vector<ShareDemand> &demand() const { return m_Demand; }
  /// Number of connections to \p Server, including those that are being
  /// opened.
  std::uint32_t connectionCount(const ServerId &Server) const;
  /// True once a drain has completed.
  bool isDrained() const { return m_Drained; }

private:
  struct ConnectionState;
  void perform(GroupDecision Decision);
  void performAction(const OpenConnection &Action);
  void performAction(const CloseConnection &Action);
  void performAction(const SendStatement &Action);
  void performAction(const CancelStatement &Action);
  void performAction(const Answer &Action);
  void performAction(const ReserveRequestKey &Action);
  void performAction(const RecordKeyOutcome &Action);
  void performAction(const EndAttempt &Action);
  void performAction(const FindSessionPoint &Action);
  void performAction(const StoreSessionPoint &Action);
  void performAction(const StartPositionMonitor &Action);
  void performAction(const StopPositionMonitor &Action);
  void performAction(const ReportSuspicion &Action);
  void performAction(const CloseCaller &Action);

  void sendPendingStatement(ConnectionId Id, ConnectionState &Connection);
  void dropConnection(ConnectionId Id, GroupEvent Event);
  void statementAnswered(ConnectionId Id, StatementResult Result);
  void attemptEnded(const EndAttempt &Action, AttemptOutcome Outcome);
  void scheduleTick(Instant At);
  void updateConfirmedRevision();
  const ServerView *findServer(const ServerId &Server) const;
  bool canOpenConnection(const ServerId &Server) const;
  BackendConnectionSettings connectionSettings(const ServerView &Server,
                                               Term ConnectionTerm) const;

  IoLoop &m_Loop;                      ///< The event loop.
  ActorSystem &m_Actors;               ///< The actor system.
  GroupId m_Group;                     ///< The group.
  GroupDriverSettings m_Settings;      ///< Database and timeouts.
  GroupDriverHooks m_Hooks;            ///< Callbacks of the process.
  CancelSender m_CancelSender;         ///< Cancels abandoned statements.
  std::unique_ptr<GroupActor> m_Actor; ///< Runs the decision core.
  GroupView m_View;                    ///< The current group record.
  Instant m_LeaseExpiry{};             ///< End of the lease.
  Revision m_ConfirmedRevision;        ///< See confirmedRevision().
  std::map<ConnectionId, std::unique_ptr<ConnectionState>>
      m_Connections; ///< Connections by the core's connection ids.
  std::map<ServerId, std::shared_ptr<PositionMonitor>>
      m_PositionMonitors;              ///< Monitors by server.
  std::vector<ShareDemand> m_Demand;   ///< Newest demand of the core.
  Instant m_NextTick = Instant::max(); ///< Time of the scheduled tick.
  bool m_Drained = false;              ///< A drain has completed.
  bool m_Stopped = false;              ///< stop() was called.
};

/// One connection to a backend server.
struct GroupDriver::ConnectionState final {
  ServerId m_Server;                               ///< The server.
  std::shared_ptr<BackendConnection> m_Connection; ///< The connection.
  std::string m_PendingStatement; ///< Sent after the attempt's tag was set.
  std::size_t m_AnswerLimit = 0;  ///< Size limit of its answer, in bytes.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_ENTRY_GROUPDRIVER_H
