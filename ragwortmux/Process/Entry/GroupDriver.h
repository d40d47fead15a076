#ifndef RAGWORTMUX_PROCESS_ENTRY_GROUPDRIVER_H
#define RAGWORTMUX_PROCESS_ENTRY_GROUPDRIVER_H

#include "ragwortmux/Process/Backend/BackendConnection.h"
#include "ragwortmux/Process/Backend/CancelSender.h"
#include "ragwortmux/Process/Backend/PositionWatch.h"
#include "ragwortmux/Process/Entry/GroupActor.h"
#include "ragwortmux/Version/ControlEvents.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace ragwortmux {

class ActorHost;
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
  std::function<void(const Answer &Given)> m_Answer;
  /// Closes a caller's connection.
  std::function<void(const CloseCaller &Closing)> m_CloseCaller;
  /// Reserves a request key; a KeyReservedEvent must follow.
  std::function<void(const ReserveRequestKey &Asked)> m_ReserveKey;
  /// Records the outcome of a key; an OutcomeRecordedEvent must follow.
  std::function<void(const RecordKeyOutcome &Asked)> m_RecordOutcome;
  /// Looks up the log position of a session; a SessionPointFoundEvent must
  /// follow.
  std::function<void(const FindSessionPoint &Asked)> m_FindPoint;
  /// Stores the log position of a session.
  std::function<void(const StoreSessionPoint &Asked)> m_StorePoint;
  /// Reports a server that may have failed.
  std::function<void(const ServerId &Server, SuspicionKind Kind)> m_Suspect;
  /// Called when confirmedRevision() has changed.
  std::function<void()> m_SharesKept;
};

/// The I/O side of one group on an entry host: performs the actions of the
/// group's actor on the event loop.
///
/// The actor's decisions may be out of date when they arrive here, so two
/// limits are enforced at this point: the connection shares, and the lease that
/// an acknowledgement needs.
class GroupDriver final : public std::enable_shared_from_this<GroupDriver> {
public:
  GroupDriver(IoLoop &Loop, ActorHost &Actors, GroupId Group,
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
  void takeView(const GroupView &View);
  /// Extends the lease to \p ValidUntil.
  void extendLease(Instant ValidUntil);

  /// True if an acknowledgement that needs a valid lease in term \p Needed may
  /// be written at \p Now.
  bool mayAcknowledge(Term Needed, Instant Now) const;
  /// Revision of the newest group record that is fully in effect on this host:
  /// nothing of an older term is acknowledged and the open connections are
  /// within the record's shares.
  Revision confirmedRevision() const { return m_Confirmed; }
  /// The current group record.
  const GroupView &view() const { return m_View; }
  /// Number of connections that the group could use, for the next renewal.
  const std::vector<ShareDemand> &demand() const { return m_Demand; }
  /// Number of connections to \p Server, including those that are being
  /// opened.
  std::uint32_t heldConnections(const ServerId &Server) const;
  /// True once a drain has completed.
  bool drained() const { return m_Drained; }

private:
  struct Held;
  void perform(GroupDecision Decision);
  void performOne(const OpenConnection &Action);
  void performOne(const CloseConnection &Action);
  void performOne(const SendStatement &Action);
  void performOne(const CancelStatement &Action);
  void performOne(const Answer &Action);
  void performOne(const ReserveRequestKey &Action);
  void performOne(const RecordKeyOutcome &Action);
  void performOne(const EndAttempt &Action);
  void performOne(const FindSessionPoint &Action);
  void performOne(const StoreSessionPoint &Action);
  void performOne(const StartWatch &Action);
  void performOne(const StopWatch &Action);
  void performOne(const ReportSuspicion &Action);
  void performOne(const CloseCaller &Action);

  void runStatement(ConnectionId Id, Held &Connection);
  void connectionGone(ConnectionId Id, GroupEvent Event);
  void statementAnswered(ConnectionId Id, StatementResult Result);
  void attemptEnded(const EndAttempt &Action, AttemptOutcome Outcome);
  void armTick(Instant At);
  void updateConfirmed();
  const ServerView *findServer(const ServerId &Server) const;
  bool mayOpen(const ServerId &Server) const;
  BackendConnectionSettings connectionSettings(const ServerView &Server,
                                               Term For) const;

  IoLoop &m_Loop;                      ///< The event loop.
  ActorHost &m_Actors;                 ///< The actor system.
  GroupId m_Group;                     ///< The group.
  GroupDriverSettings m_Settings;      ///< Database and timeouts.
  GroupDriverHooks m_Hooks;            ///< Callbacks of the process.
  CancelSender m_Cancels;              ///< Cancels abandoned statements.
  std::unique_ptr<GroupActor> m_Actor; ///< Runs the decision core.
  GroupView m_View;                    ///< The current group record.
  Instant m_LeaseUntil{};              ///< End of the lease.
  Revision m_Confirmed;                ///< See confirmedRevision().
  std::map<ConnectionId, std::unique_ptr<Held>>
      m_Connections; ///< Connections by the core's connection ids.
  std::map<ServerId, std::shared_ptr<PositionWatch>>
      m_Watches;                       ///< Position watches by server.
  std::vector<ShareDemand> m_Demand;   ///< Newest demand of the core.
  Instant m_NextTick = Instant::max(); ///< Time of the scheduled tick.
  bool m_Drained = false;              ///< A drain has completed.
  bool m_Stopped = false;              ///< stop() was called.
};

/// One connection to a backend server.
struct GroupDriver::Held final {
  ServerId m_Server;                               ///< The server.
  std::shared_ptr<BackendConnection> m_Connection; ///< The connection.
  std::string m_Pending;      ///< Sent after the attempt's tag was set.
  std::size_t m_MaxBytes = 0; ///< Size limit of its answer, in bytes.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_ENTRY_GROUPDRIVER_H
