#include "ragwortmux/Process/Log/MembershipChange.h"

#include <algorithm>
#include <cstddef>

namespace ragwortmux {

namespace {

using Kind = MembershipChange::Kind;

/// The member that has the peer's address but another voter id, so that its
/// data folder is lost; null if there is none.
const LogMember *findReplacedMember(const LogMembership &Members,
                                    const PeerIdentity &Peer) {
  for (const LogMember &Member : Members.m_Members) {
    if (Member.m_Address == Peer.m_Address && Member.m_Id != *Peer.m_Voter) {
      return &Member;
    }
  }
  return nullptr;
}

bool isListed(const LogMember &Member, std::span<const PeerIdentity> Peers) {
  return std::ranges::any_of(Peers, [&](const PeerIdentity &Peer) {
    return Peer.m_Address == Member.m_Address;
  });
}

/// The host that answered with the id of \p Member; null if there is none.
const PeerIdentity *findPeer(const LogMember &Member,
                             std::span<const PeerIdentity> Peers) {
  const auto Found = std::ranges::find(Peers, std::optional(Member.m_Id),
                                       &PeerIdentity::m_Voter);
  return Found == Peers.end() ? nullptr : &*Found;
}

/// True if \p Member answers and does not leave.
bool isStaying(const LogMember &Member, std::span<const PeerIdentity> Peers) {
  const PeerIdentity *Peer = findPeer(Member, Peers);
  return Peer != nullptr && !Peer->m_IsLeaving;
}

std::size_t voterCount(const LogMembership &Members) {
  return static_cast<std::size_t>(
      std::ranges::count(Members.m_Members, true, &LogMember::m_IsVoter));
}

} // namespace

std::optional<MembershipChange>
nextMembershipChangeForListedPeers(const LogMembership &Members,
                                   std::span<const PeerIdentity> Peers) {
  bool AllHostsVote = true;
  for (const PeerIdentity &Peer : Peers) {
    if (!Peer.m_Voter) {
      AllHostsVote = false;
      continue;
    }
    if (const LogMember *Replaced = findReplacedMember(Members, Peer)) {
      return MembershipChange{Kind::Remove, Replaced->m_Id, ""};
    }
    const LogMember *Member = Members.find(*Peer.m_Voter);
    if (Member == nullptr) {
      return MembershipChange{Kind::AddLearner, *Peer.m_Voter, Peer.m_Address};
    }
    if (!Member->m_IsVoter) {
      return MembershipChange{Kind::Promote, *Peer.m_Voter, ""};
    }
  }
  if (!AllHostsVote) {
    return std::nullopt;
  }
  for (const LogMember &Member : Members.m_Members) {
    if (!isListed(Member, Peers)) {
      return MembershipChange{Kind::Remove, Member.m_Id, ""};
    }
  }
  return std::nullopt;
}

std::optional<MembershipChange>
nextMembershipChangeForDiscoveredPeers(const LogMembership &Members,
                                       std::span<const PeerIdentity> Peers,
                                       const VoterTarget &Target) {
  for (const PeerIdentity &Peer : Peers) {
    if (!Peer.m_Voter)
      continue;
    if (const LogMember *Replaced = findReplacedMember(Members, Peer))
      return MembershipChange{Kind::Remove, Replaced->m_Id, ""};
    if (!Peer.m_IsLeaving && Members.find(*Peer.m_Voter) == nullptr)
      return MembershipChange{Kind::AddLearner, *Peer.m_Voter, Peer.m_Address};
  }
  std::size_t StayingVoters = 0;
  for (const LogMember &Member : Members.m_Members)
    StayingVoters += Member.m_IsVoter && isStaying(Member, Peers) ? 1 : 0;
  const std::size_t Voters = voterCount(Members);
  for (const LogMember &Member : Members.m_Members) {
    if (Member.m_IsVoter || !isStaying(Member, Peers))
      continue;
    if (StayingVoters < Target.m_Most)
      return MembershipChange{Kind::Promote, Member.m_Id, ""};
  }
  // A voter that leaves still answers, so a silent one is removed first.
  for (const bool MayAnswer : {false, true}) {
    for (const LogMember &Member : Members.m_Members) {
      const bool CanBeRemoved = !Member.m_IsVoter || Voters > Target.m_Least;
      const PeerIdentity *Peer = findPeer(Member, Peers);
      if (!CanBeRemoved || isStaying(Member, Peers) ||
          (Peer != nullptr && !MayAnswer))
        continue;
      return MembershipChange{Kind::Remove, Member.m_Id, ""};
    }
  }
  return std::nullopt;
}

bool shouldAwaitRemoval(const LogMembership &Members, const VoterId &Self,
                        const VoterTarget &Target) {
  if (!Members.isVoter(Self))
    return false;
  const std::size_t Voters = voterCount(Members);
  return Voters > Target.m_Least || Members.m_Members.size() > Voters;
}

void ReplacedMembers::update(Instant Now, const LogMembership &Members,
                             std::span<const PeerIdentity> Peers) {
  const auto IsGone = [&](const VoterId &Id) {
    return Members.find(Id) == nullptr;
  };
  std::erase_if(m_MemberSince,
                [&](const auto &Entry) { return IsGone(Entry.first); });
  std::erase_if(m_Ids, IsGone);
  for (const LogMember &Member : Members.m_Members) {
    const Instant Since =
        m_MemberSince.try_emplace(Member.m_Id, Now).first->second;
    for (const PeerIdentity &Peer : Peers) {
      if (Peer.m_Address == Member.m_Address && Peer.m_Voter &&
          *Peer.m_Voter != Member.m_Id && Peer.m_AskedAt > Since)
        m_Ids.insert(Member.m_Id);
    }
  }
}

} // namespace ragwortmux
