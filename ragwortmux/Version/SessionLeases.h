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

/// The leases of all open sessions, as the leader counts them: from the moment
/// when a renewal was received, plus the drift bound.
///
/// A renewal is granted only after a quorum round that began after its arrival
/// has confirmed the leader.
class SessionLeases final {
public:
  SessionLeases(LeaderContext &Context, const UpdateTracker &Updates)
      : m_Context(Context), m_Updates(Updates) {}

  void reset();
  /// An earlier leader may have granted a lease to any open session until now.
  void becameLeader(Instant Now);
  void sessionOpened(ControlSessionId Session, Instant Now);
  void sessionEnded(ControlSessionId Session) { m_Leases.erase(Session); }
  void renewalReceived(const LeaseRenewal &Renewal, Instant Now);
  /// Grants the renewals that arrived before round \p Token began.
  void leadershipConfirmed(std::uint64_t Token, Instant Now);
  /// Ends sessions whose lease has run out and repeats lost quorum rounds.
  void tick(Instant Now);

  /// When the lease of \p Session will have run out at the proxy.
  Instant leaseEnd(ControlSessionId Session) const;

private:
  /// A renewal that waits for its quorum round.
  struct WaitingRenewal final {
    std::uint64_t m_Sequence = 0; ///< Of the renewal.
    std::uint64_t m_Token = 0;    ///< The first round that may confirm it.
    Instant m_ReceivedAt{};       ///< When it arrived.
  };

  struct Lease final {
    Instant m_End{};                         ///< When it will have run out.
    bool m_IsEnding = false;                 ///< Gets no grant any more.
    std::optional<WaitingRenewal> m_Waiting; ///< The last renewal.
  };

  void startRound(Instant Now);
  void answer(ControlSessionId Session, const WaitingRenewal &Renewal,
              Instant Now);
  Instant endOfLeaseFrom(Instant Start) const;

  LeaderContext &m_Context;                   ///< Shared.
  const UpdateTracker &m_Updates;             ///< What sessions have confirmed.
  std::map<ControlSessionId, Lease> m_Leases; ///< Of open sessions.
  /// Renewals of sessions that are not open: refused once confirmed.
  std::map<ControlSessionId, WaitingRenewal> m_Unknown;
  std::uint64_t m_Token = 0;     ///< The last quorum round begun.
  std::uint64_t m_Confirmed = 0; ///< The last round that was confirmed.
  Instant m_RoundAt{};           ///< When the last round began.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_SESSIONLEASES_H
