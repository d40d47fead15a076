#ifndef RAGWORTMUX_VERSION_CONTROLLEADER_H
#define RAGWORTMUX_VERSION_CONTROLLEADER_H

#include "ragwortmux/Version/ControlAction.h"
#include "ragwortmux/Version/ControlEvents.h"
#include "ragwortmux/Version/ControlLeaderSettings.h"
#include "ragwortmux/Version/ControlResult.h"
#include "ragwortmux/Version/DelegatedPrimaryChange.h"
#include "ragwortmux/Version/GroupParticipants.h"
#include "ragwortmux/Version/GroupRotation.h"
#include "ragwortmux/Version/InSyncSetManager.h"
#include "ragwortmux/Version/LeaderContext.h"
#include "ragwortmux/Version/PrimaryChange.h"
#include "ragwortmux/Version/ServerMonitor.h"
#include "ragwortmux/Version/SessionHomeManager.h"
#include "ragwortmux/Version/SessionLeases.h"
#include "ragwortmux/Version/ShareBalancer.h"
#include "ragwortmux/Version/UpdateTracker.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace ragwortmux {

class ControlState;

/// Makes the decisions of the control log's leader: leases, failure detection,
/// changes of primary, in-sync sets, connection shares and session homes.
///
/// Every decision is derived from the replicated state and from what was
/// observed since this leader took over, so a new leader continues where the
/// previous one stopped. The class does no I/O: the owning process passes in
/// each event with the current time and then executes the actions from
/// takeActions(). It applies committed commands to the state and then calls
/// applied().
///
/// An event is followed by the evaluation of the groups that it touches. What
/// no caller waits for, such as shares, is evaluated once a tick, so that many
/// events at once cost one evaluation and one push.
class ControlLeader final {
public:
  /// \p State is the applied state; it must outlive the leader.
  ControlLeader(const ControlState &State,
                const ControlLeaderSettings &Settings);
  ControlLeader(const ControlLeader &) = delete;
  ControlLeader &operator=(const ControlLeader &) = delete;

  /// Called when this process has become leader of the log and has applied all
  /// commands of earlier leaders.
  void becameLeader(Instant Now);
  /// Called when this process is no longer leader. Discards everything that was
  /// observed.
  void lostLeadership(Instant Now);
  /// Called after \p Command has been applied to the state, whichever process
  /// proposed it.
  void applied(const ControlCommand &Command, const ControlResult &Result,
               Instant Now);
  /// Called when a majority has confirmed this leader in quorum round \p Token.
  void leadershipConfirmed(std::uint64_t Token, Instant Now);
  /// Handles a proxy's lease renewal.
  void renewalReceived(const LeaseRenewal &Renewal, Instant Now);
  /// Called when \p Session has confirmed revision \p Confirmed of \p Group:
  /// from now on it acknowledges no write under an earlier revision.
  void updateConfirmed(ControlSessionId Session, const GroupId &Group,
                       Revision Confirmed, Instant Now);
  /// Called when \p Session has applied catalogue revision \p Confirmed.
  void catalogueConfirmed(ControlSessionId Session, Revision Confirmed,
                          Instant Now);
  /// Called when \p Session stores session positions according to revision \p
  /// Confirmed of the session homes.
  void homesConfirmed(ControlSessionId Session, Revision Confirmed,
                      Instant Now);
  /// Called when a push to \p Session has failed or its connection has been
  /// replaced.
  void pushFailed(ControlSessionId Session);
  /// Handles the announcement of a backend server.
  void announcementReceived(const ServerAnnouncement &Received, Instant Now);
  /// Handles a proxy's report that it suspects a backend server.
  void suspicionReported(const ServerSuspicion &Suspicion, Instant Now);
  /// Handles the outcome of a CallBackend action.
  void backendCallCompleted(const BackendCallResult &Result, Instant Now);
  /// Runs everything that depends on time; call about every 10 ms. \p Wall is
  /// the host's wall-clock time.
  void tick(Instant Now, WallTime Wall);

  /// Returns and removes the actions decided since the last call, in order.
  std::vector<ControlAction> takeActions();

  bool isLeader() const { return m_IsLeader; }
  const ControlLeaderSettings &settings() const { return m_Context.settings(); }
  /// What was observed of the backend servers, for display.
  const ServerMonitor &servers() const { return m_Servers; }
  /// When the lease of \p Session expires, for display.
  Instant leaseExpiry(ControlSessionId Session) const {
    return m_Leases.leaseExpiry(Session);
  }

private:
  /// Takes the next steps in the group, if it is known, and pushes its record.
  /// Shares and session homes wait for the next tick.
  void evaluateGroup(const GroupId &Group, Instant Now);
  void evaluateAllGroups(Instant Now);
  /// Evaluates the groups whose turn it is, with their shares.
  void evaluateDueGroups(Instant Now);
  /// Takes the steps that the applied \p Command makes possible.
  void evaluateAfter(const ControlCommand &Command, const ControlResult &Result,
                     Instant Now);
  /// Discards what was observed of a session that has ended.
  void sessionEnded(ControlSessionId Session);
  /// Completes the announcement of a server that has ended, which carries only
  /// its id, from the server's record and last announcement.
  void completeEndAnnouncement(ServerAnnouncement &Announcement) const;
  RegisterServer makeRegistration(const ServerAnnouncement &Announcement) const;
  bool isRegistrationCurrent(const RegisterServer &Command) const;
  void proposeServerStates(const GroupRecord &Group, Instant Now);
  void advanceTime(Instant Now, WallTime Wall);
  void discardObservations();

  const ControlState &m_State;      ///< The applied state.
  LeaderContext m_Context;          ///< Actions and pending proposals.
  GroupParticipants m_Participants; ///< Who takes part in each group.
  UpdateTracker m_Updates;          ///< What each session has confirmed.
  SessionLeases m_Leases;           ///< Leases of the control sessions.
  BackendCalls m_Calls;             ///< Calls to backend servers.
  ServerMonitor m_Servers;          ///< Observed state of backend servers.
  PrimaryChange m_Changes;          ///< Changes of primary.
  DelegatedPrimaryChange
      m_Delegated;            ///< Changes of primary in delegated groups.
  InSyncSetManager m_Sync;    ///< In-sync sets.
  ShareBalancer m_Shares;     ///< Connection shares.
  SessionHomeManager m_Homes; ///< Session homes.
  GroupRotation m_Rotation;   ///< Which groups a tick evaluates.
  bool m_IsLeader = false;    ///< True from becameLeader() to lostLeadership().
  std::optional<Instant>
      m_TimeAdvancedAt; ///< When AdvanceTime was last proposed.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_CONTROLLEADER_H
