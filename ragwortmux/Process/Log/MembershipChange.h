#ifndef RAGWORTMUX_PROCESS_LOG_MEMBERSHIPCHANGE_H
#define RAGWORTMUX_PROCESS_LOG_MEMBERSHIPCHANGE_H

#include "ragwortmux/Process/Log/LogEntry.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string>

namespace ragwortmux {

/// A control host and the voter id that it reported.
struct PeerIdentity final {
  std::string m_Address;          ///< Address, as in LogMember::m_Address.
  std::optional<VoterId> m_Voter; ///< Id of its data folder; null: no answer.
  bool m_IsListed = true; ///< True if the host is listed in the settings.
};

/// One change of the log's configuration.
struct MembershipChange final {
  /// Type of the change.
  enum class Kind : std::uint8_t { AddLearner, Promote, Remove };

  Kind m_Kind = Kind::AddLearner; ///< Type of the change.
  VoterId m_Voter;                ///< The member concerned.
  std::string m_Address;          ///< AddLearner: address of the new member.

  friend bool operator==(const MembershipChange &,
                         const MembershipChange &) = default;
};

/// Returns the next change on the way from the configuration \p Members to one
/// whose voters are the control hosts listed in the settings; null if none is
/// due. \p Peers are all hosts of the settings.
///
/// A host that reports another voter id than before has lost its disk. Its old
/// voter is removed first, so that it does not count for the quorum. The new
/// voter id then joins as a learner and is promoted once it has caught up. A
/// member that is no longer listed is removed only after every listed host is a
/// voter.
std::optional<MembershipChange>
nextMembershipChangeForListedPeers(const LogMembership &Members,
                                   std::span<const PeerIdentity> Peers);

/// Like nextMembershipChangeForListedPeers, but for control hosts that are
/// discovered at run time. \p Peers are all hosts that answered recently,
/// listed in the settings or not.
///
/// Maintains \p Target voters that answer: a learner is promoted while fewer
/// voters answer, and a voter that does not answer is removed once there are
/// more than \p Target voters. A learner that does not answer is removed.
std::optional<MembershipChange>
nextMembershipChangeForDiscoveredPeers(const LogMembership &Members,
                                       std::span<const PeerIdentity> Peers,
                                       std::size_t Target);

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_LOG_MEMBERSHIPCHANGE_H
