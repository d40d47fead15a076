#ifndef RAGWORTMUX_PROCESS_LOG_VOTERKEEPER_H
#define RAGWORTMUX_PROCESS_LOG_VOTERKEEPER_H

#include "ragwortmux/Process/Log/LogEntry.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string>

namespace ragwortmux {

/// A control host of the settings and the data folder that it answered with.
struct IdentifiedPeer final {
  std::string m_Address;          ///< Where it is, as LogMember::m_Address.
  std::optional<VoterId> m_Voter; ///< Its data folder; none: did not answer.
  bool m_IsListed = true;         ///< It is in the settings.
};

/// One change of the log's configuration.
struct VoterStep final {
  /// What to do.
  enum class Kind : std::uint8_t { AddLearner, Promote, Remove };

  Kind m_Kind = Kind::AddLearner; ///< What to do.
  VoterId m_Voter;                ///< With whom.
  std::string m_Address;          ///< AddLearner: where it is.

  friend bool operator==(const VoterStep &, const VoterStep &) = default;
};

/// The next change that brings the configuration \p Members to the control
/// hosts of the settings, or nothing.
///
/// A host that comes back with another data folder has lost its disk: the lost
/// voter is removed first, so that it does not count in the quorum, then the
/// new one joins as a learner and gets its vote once it has caught up. A member
/// that is not in the settings any more is removed only after every host of the
/// settings has a vote.
std::optional<VoterStep> nextVoterStep(const LogMembership &Members,
                                       std::span<const IdentifiedPeer> Peers);

/// Like nextVoterStep for control hosts that are found while the system runs:
/// \p Peers are all that answered lately, listed or not.
///
/// The number of voters that answer is kept at \p Target: a learner gets its
/// vote when there are fewer, and a voter that does not answer is removed once
/// there are more voters than that without it.
std::optional<VoterStep>
nextFoundVoterStep(const LogMembership &Members,
                   std::span<const IdentifiedPeer> Peers, std::size_t Target);

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_LOG_VOTERKEEPER_H
