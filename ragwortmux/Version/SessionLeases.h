#ifndef RAGWORTMUX_VERSION_SESSIONLEASES_H
#define RAGWORTMUX_VERSION_SESSIONLEASES_H

#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Core/Time.h"

#include <cstdint>
#include <map>
#include <optional>

namespace ragwortmux {

class LeaderContext;
class UpdateTracker;
struct LeaseRenewal;

/// The leases of all open sessions as the leader measures them: from the
/// receipt of a renewal, plus the clock drift bound.
///
/// A renewal is granted only after a quorum round that began after its arrival
/// has confirmed the leader.
class SessionLeases final {
public:
  SessionLeases(LeaderContext &Context, UpdateTracker &Updates)
      : m_Context(Context), m_Updates(Updates) {}

  void reset();
  /// Starts a whole lease for each open session, because the previous leader
  /// may have renewed any of them until now.
  void becameLeader(Instant Now);
  void sessionOpened(ControlSessionId Session, Instant Now);
  void sessionEnded(ControlSessionId Session) { m_Leases.erase(Session); }
  void renewalReceived(const LeaseRenewal &Renewal, Instant Now);
  /// Grants or refuses the renewals that arrived before round \p Token began.
  void leadershipConfirmed(std::uint64_t Token, Instant Now);
  /// Ends sessions whose lease has expired and repeats lost quorum rounds.
  void tick(Instant Now);

  /// When the lease of \p Session has certainly expired at the proxy.
  Instant leaseExpiry(ControlSessionId Session) const;

private:
  /// A renewal that waits for its quorum round.
  struct WaitingRenewal final {
    std::uint64_t m_Sequence = 0; ///< Sequence number of the renewal.
    std::uint64_t m_Token = 0;    ///< The first round that may confirm it.
    Instant m_ReceivedAt{};       ///< When it arrived.
  };

  struct SessionLease final {
    Instant m_End{}; ///< When it has certainly expired at the proxy.
    bool m_IsEnding =
        false; ///< The lease has expired; it is not granted again.
    Instant m_EndProposedAt{}; ///< When the end was last proposed.
    std::optional<WaitingRenewal> m_Waiting; ///< The latest unanswered renewal.
  };

  void startRound(Instant Now);
  void answerRenewal(ControlSessionId Session, const WaitingRenewal &Renewal,
                     Instant Now);
  Instant leaseExpiryFrom(Instant Start) const;

  LeaderContext &m_Context; ///< Shared.
  UpdateTracker &m_Updates; ///< What sessions have confirmed.
  std::map<ControlSessionId, SessionLease> m_Leases; ///< Of open sessions.
  /// Renewals of sessions that are not open; refused once a quorum has
  /// confirmed this leader.
  std::map<ControlSessionId, WaitingRenewal> m_UnknownSessions;
  std::uint64_t m_Token = 0;     ///< The last quorum round begun.
  std::uint64_t m_Confirmed = 0; ///< The last round that was confirmed.
  Instant m_RoundStartedAt{};    ///< When the last round began.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_SESSIONLEASES_H
