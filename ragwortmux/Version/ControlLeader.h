#ifndef RAGWORTMUX_VERSION_CONTROLLEADER_H
#define RAGWORTMUX_VERSION_CONTROLLEADER_H

#include "ragwortmux/Version/ControlAction.h"
#include "ragwortmux/Version/ControlEvents.h"
#include "ragwortmux/Version/ControlLeaderSettings.h"
#include "ragwortmux/Version/ControlResult.h"
#include "ragwortmux/Version/DelegatedPrimaryChange.h"
#include "ragwortmux/Version/HomesKeeper.h"
#include "ragwortmux/Version/LeaderContext.h"
#include "ragwortmux/Version/PrimaryChange.h"
#include "ragwortmux/Version/ServerWatch.h"
#include "ragwortmux/Version/SessionLeases.h"
#include "ragwortmux/Version/ShareBalancer.h"
#include "ragwortmux/Version/SyncKeeper.h"
#include "ragwortmux/Version/UpdateTracker.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace ragwortmux {

class ControlState;

/// What the leader of the control log decides: leases, failure detection,
/// changes of primary, in-sync sets, shares and session homes.
///
/// Every decision follows from the replicated state and from what was observed
/// since this leader took over, so a new leader goes on where the previous one
/// stopped. Hand in each event with the current time, then take the actions.
/// Commands that actions propose are applied to the state by the shell, which
/// then calls applied().
class ControlLeader final {
public:
  /// \p State is the applied state; it must outlive the leader.
  ControlLeader(const ControlState &State,
                const ControlLeaderSettings &Settings);
  ControlLeader(const ControlLeader &) = delete;
  ControlLeader &operator=(const ControlLeader &) = delete;

  /// This process leads the log. All commands of earlier leaders have been
  /// applied.
  void becameLeader(Instant Now);
  /// This process leads no more: everything observed is forgotten.
  void lostLeadership(Instant Now);
  /// \p Command, proposed by whomever, has been applied to the state.
  void applied(const ControlCommand &Command, const ControlResult &Result,
               Instant Now);
  /// A majority has confirmed this leader in the round of \p Token.
  void leadershipConfirmed(std::uint64_t Token, Instant Now);
  /// A renewal arrived.
  void renewalReceived(const LeaseRenewal &Renewal, Instant Now);
  /// \p Session acts by record \p Confirmed of \p Group or a later one, and
  /// acknowledges nothing by earlier ones.
  void updateConfirmed(ControlSessionId Session, const GroupId &Group,
                       Revision Confirmed, Instant Now);
  /// \p Session has the catalogue revision \p Confirmed.
  void catalogueConfirmed(ControlSessionId Session, Revision Confirmed,
                          Instant Now);
  /// \p Session stores positions by homes \p Confirmed.
  void homesConfirmed(ControlSessionId Session, Revision Confirmed,
                      Instant Now);
  /// A backend server announced itself.
  void announcementReceived(const ServerAnnouncement &Given, Instant Now);
  /// A proxy suspects a backend server.
  void suspicionReported(const ServerSuspicion &Suspicion, Instant Now);
  /// A backend call ended.
  void backendCallCompleted(const BackendCallResult &Result, Instant Now);
  /// Time passes; call about every 20 ms. \p Wall is the host's wall clock.
  void tick(Instant Now, WallTime Wall);

  /// The actions decided since the last call, in order.
  std::vector<ControlAction> takeActions();

  bool isLeader() const { return m_IsLeader; }
  const ControlLeaderSettings &settings() const { return m_Context.settings(); }
  /// What is known about the servers, for display.
  const ServerWatch &servers() const { return m_Servers; }
  /// When the lease of \p Session will have run out; for display.
  Instant leaseEnd(ControlSessionId Session) const {
    return m_Leases.leaseEnd(Session);
  }

private:
  void evaluate(Instant Now);
  /// Forgets what was observed of a session that has ended.
  void sessionEnded(ControlSessionId Session);
  /// Fills in what is known of a server that has ended.
  void completeGone(ServerAnnouncement &Announcement) const;
  RegisterServer registration(const ServerAnnouncement &Announcement) const;
  bool isRegistered(const RegisterServer &Command) const;
  void proposeServerStates(Instant Now);
  void advanceTime(Instant Now, WallTime Wall);
  void forgetObserved();

  const ControlState &m_State;        ///< The applied state.
  LeaderContext m_Context;            ///< Actions and pending proposals.
  UpdateTracker m_Updates;            ///< What each session has confirmed.
  SessionLeases m_Leases;             ///< Leases of sessions.
  BackendCalls m_Calls;               ///< Calls to backend servers.
  ServerWatch m_Servers;              ///< What is known about servers.
  PrimaryChange m_Changes;            ///< Changes of primary.
  DelegatedPrimaryChange m_Delegated; ///< Changes of primary where the servers
                                      ///< replicate by themselves.
  SyncKeeper m_Sync;                  ///< In-sync sets.
  ShareBalancer m_Shares;             ///< Connection shares.
  HomesKeeper m_Homes;                ///< Session homes.
  bool m_IsLeader = false;            ///< True between the two events.
  std::optional<Instant> m_TimeAdvancedAt; ///< When the log's time was.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_CONTROLLEADER_H
