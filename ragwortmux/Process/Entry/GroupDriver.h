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

/// How a group's driver connects and decides.
struct GroupDriverSettings final {
  std::string m_User;           ///< Database user.
  std::string m_Database;       ///< Database name.
  Duration m_ConnectTimeout{0}; ///< Longest opening of a connection.
  GroupSettings m_Group;        ///< How the core decides.
};

/// What a group's driver needs from the rest of the process. All hooks are
/// called on the event loop.
struct GroupDriverHooks final {
  /// A request is answered.
  std::function<void(const Answer &Given)> m_Answer;
  /// A caller's connection must be closed.
  std::function<void(const CloseCaller &Closing)> m_CloseCaller;
  /// A key is to be reserved; a KeyReservedEvent follows.
  std::function<void(const ReserveRequestKey &Asked)> m_ReserveKey;
  /// An outcome is to be recorded; an OutcomeRecordedEvent follows.
  std::function<void(const RecordKeyOutcome &Asked)> m_RecordOutcome;
  /// A session's point is asked for; sessionPointFound() gets the answer.
  std::function<void(const FindSessionPoint &Asked)> m_FindPoint;
  /// A session's point is to be stored.
  std::function<void(const StoreSessionPoint &Asked)> m_StorePoint;
  /// A server is suspected.
  std::function<void(const ServerId &Server, SuspicionKind Kind)> m_Suspect;
  /// The connections to some server are within a smaller share again.
  std::function<void()> m_SharesKept;
};

/// The I/O side of one group on an entry host: carries out what the group's
/// actor decides, on the event loop.
///
/// It is also the last gate: connections are counted against the shares here,
/// and whether the lease covers an acknowledgement is asked here.
class GroupDriver final : public std::enable_shared_from_this<GroupDriver> {
public:
  GroupDriver(IoLoop &Loop, ActorHost &Actors, GroupId Group,
              GroupDriverSettings Settings, GroupDriverHooks Hooks);
  ~GroupDriver();
  GroupDriver(const GroupDriver &) = delete;
  GroupDriver &operator=(const GroupDriver &) = delete;

  /// Starts the group's actor.
  void start();
  /// Closes everything.
  void stop();

  /// Hands an event to the group's actor.
  void send(GroupEvent Event) { m_Actor->send(std::move(Event)); }
  /// Takes a newer record; older ones are ignored.
  void takeView(const GroupView &View);
  /// The lease now ends at \p ValidUntil.
  void extendLease(Instant ValidUntil);

  /// True if an acknowledgement that needs the lease of \p Needed may be
  /// written at \p Now.
  bool mayAcknowledge(Term Needed, Instant Now) const;
  /// The newest record that this host acts on: nothing of an older term is
  /// acknowledged and the connections are within its shares.
  Revision confirmedRevision() const { return m_Confirmed; }
  /// The current record.
  const GroupView &view() const { return m_View; }
  /// Connections wanted, for the next renewal.
  const std::vector<ShareDemand> &demand() const { return m_Demand; }
  /// Connections held to \p Server, those being opened included.
  std::uint32_t heldConnections(const ServerId &Server) const;
  /// True once a drain has ended.
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
  void performOne(const StartPositionMonitor &Action);
  void performOne(const StopPositionMonitor &Action);
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
  GroupDriverSettings m_Settings;      ///< As given.
  GroupDriverHooks m_Hooks;            ///< As given.
  CancelSender m_Cancels;              ///< Cancels given-up statements.
  std::unique_ptr<GroupActor> m_Actor; ///< Decides.
  GroupView m_View;                    ///< The current record.
  Instant m_LeaseUntil{};              ///< End of the lease.
  Revision m_Confirmed;                ///< See confirmedRevision().
  std::map<ConnectionId, std::unique_ptr<Held>>
      m_Connections; ///< Connections by the core's ids.
  std::map<ServerId, std::shared_ptr<PositionWatch>>
      m_Watches;                       ///< Watches of positions.
  std::vector<ShareDemand> m_Demand;   ///< As the core last told.
  Instant m_NextTick = Instant::max(); ///< When a tick is due.
  bool m_Drained = false;              ///< A drain has ended.
  bool m_Stopped = false;              ///< stop() was called.
};

/// One connection to a backend server.
struct GroupDriver::Held final {
  ServerId m_Server;                               ///< Where to.
  std::shared_ptr<BackendConnection> m_Connection; ///< The connection.
  std::string m_Pending;      ///< Statement to send after the attempt's tag.
  std::size_t m_MaxBytes = 0; ///< Size limit of its answer.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_ENTRY_GROUPDRIVER_H
