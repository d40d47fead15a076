#include "ragwortmux/Process/Log/VoterKeeper.h"

#include <algorithm>
#include <cstddef>

namespace ragwortmux {

namespace {

using Kind = VoterStep::Kind;

/// The member that has the peer's address but another voter id, so that its
/// data folder is lost; null if there is none.
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

std::optional<VoterStep>
nextFoundVoterStep(const LogMembership &Members,
                   std::span<const IdentifiedPeer> Peers, std::size_t Target) {
  const auto Answers = [&](const LogMember &Member) {
    return std::ranges::any_of(Peers, [&](const IdentifiedPeer &Peer) {
      return Peer.m_Voter == Member.m_Id;
    });
  };
  for (const IdentifiedPeer &Peer : Peers) {
    if (!Peer.m_Voter)
      continue;
    if (const LogMember *Lost = findLost(Members, Peer))
      return VoterStep{Kind::Remove, Lost->m_Id, ""};
    if (Members.find(*Peer.m_Voter) == nullptr)
      return VoterStep{Kind::AddLearner, *Peer.m_Voter, Peer.m_Address};
  }
  std::size_t Voters = 0;
  std::size_t Answering = 0;
  for (const LogMember &Member : Members.m_Members) {
    Voters += Member.m_Votes ? 1 : 0;
    Answering += Member.m_Votes && Answers(Member) ? 1 : 0;
  }
  for (const LogMember &Member : Members.m_Members) {
    if (!Member.m_Votes && Answers(Member) && Answering < Target)
      return VoterStep{Kind::Promote, Member.m_Id, ""};
  }
  for (const LogMember &Member : Members.m_Members) {
    const bool IsSpare = !Member.m_Votes || Voters > Target;
    if (IsSpare && !Answers(Member))
      return VoterStep{Kind::Remove, Member.m_Id, ""};
  }
  return std::nullopt;
}

} // namespace ragwortmux
