#ifndef RAGWORTMUX_PROCESS_LOG_MEMBERSHIPCHANGE_H
#define RAGWORTMUX_PROCESS_LOG_MEMBERSHIPCHANGE_H

#include "ragwortmux/Core/Time.h"
#include "ragwortmux/Process/Log/LogEntry.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>

namespace ragwortmux {

/// A control host and the voter id that it reported.
struct PeerIdentity final {
  std::string m_Address;          ///< Address, as in LogMember::m_Address.
  std::optional<VoterId> m_Voter; ///< Id of its data folder; null: no answer.
  bool m_IsListed = true;   ///< True if the host is listed in the settings.
  bool m_IsLeaving = false; ///< The host waits to be removed before it ends.
  Instant m_AskedAt{};      ///< When its voter id was asked for.
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

/// How many of the discovered control hosts vote.
struct VoterTarget final {
  std::size_t m_Least = 3; ///< Number of voters that answer to maintain; a
                           ///< voter is removed only if more are left.
  std::size_t m_Most = 3;  ///< Hosts beyond m_Least get a vote up to this
                           ///< number.
};

/// Like nextMembershipChangeForListedPeers, but for control hosts that are
/// discovered at run time. \p Peers are all hosts that answered recently,
/// listed in the settings or not.
///
/// Maintains VoterTarget::m_Least voters that answer and do not leave: a
/// learner is promoted while there are fewer, and a voter that leaves or does
/// not answer is removed once there are more voters than that. Further learners
/// are promoted up to VoterTarget::m_Most voters, because any voter may be the
/// one that they replace. A learner that leaves or does not answer is removed.
std::optional<MembershipChange>
nextMembershipChangeForDiscoveredPeers(const LogMembership &Members,
                                       std::span<const PeerIdentity> Peers,
                                       const VoterTarget &Target);

/// True if the member \p Self, which has been told to end, should remain until
/// it is removed from the configuration: it is a voter, and another host can
/// take its place.
bool shouldAwaitRemoval(const LogMembership &Members, const VoterId &Self,
                        const VoterTarget &Target);

/// Finds members whose data folders are lost for good: another voter id has
/// answered at their address.
class ReplacedMembers final {
public:
  /// Takes the configuration and the answers of the control hosts.
  void update(Instant Now, const LogMembership &Members,
              std::span<const PeerIdentity> Peers);

  /// The members of the last configuration whose data folders are lost.
  const std::set<VoterId> &ids() const { return m_Ids; }

private:
  std::map<VoterId, Instant>
      m_MemberSince;       ///< When each member was first seen. An answer to
                           ///< an earlier question may be older than it.
  std::set<VoterId> m_Ids; ///< See ids().
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_LOG_MEMBERSHIPCHANGE_H
