#include "ragwortmux/Process/Log/VoterKeeper.h"

#include <algorithm>

namespace ragwortmux {

namespace {

using Kind = VoterStep::Kind;

/// The member at the peer's address whose data folder is lost.
const LogMember *findLost(const LogMembership &Members,
                          const IdentifiedPeer &Peer) {
  for (const LogMember &Member : Members.m_Members) {
    if (Member.m_Address == Peer.m_Address && Member.m_Id != *Peer.m_Voter) {
      return &Member;
    }
  }
  return nullptr;
}

bool isListed(const LogMember &Member, std::span<const IdentifiedPeer> Peers) {
  return std::ranges::any_of(Peers, [&](const IdentifiedPeer &Peer) {
    return Peer.m_Address == Member.m_Address;
  });
}

} // namespace

std::optional<VoterStep> nextVoterStep(const LogMembership &Members,
                                       std::span<const IdentifiedPeer> Peers) {
  bool AllVote = true;
  for (const IdentifiedPeer &Peer : Peers) {
    if (!Peer.m_Voter) {
      AllVote = false;
      continue;
    }
    if (const LogMember *Lost = findLost(Members, Peer)) {
      return VoterStep{Kind::Remove, Lost->m_Id, ""};
    }
    const LogMember *Member = Members.find(*Peer.m_Voter);
    if (Member == nullptr) {
      return VoterStep{Kind::AddLearner, *Peer.m_Voter, Peer.m_Address};
    }
    if (!Member->m_Votes) {
      return VoterStep{Kind::Promote, *Peer.m_Voter, ""};
    }
  }
  if (!AllVote) {
    return std::nullopt;
  }
  for (const LogMember &Member : Members.m_Members) {
    if (!isListed(Member, Peers)) {
      return VoterStep{Kind::Remove, Member.m_Id, ""};
    }
  }
  return std::nullopt;
}

} // namespace ragwortmux
