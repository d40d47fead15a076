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
                                       std::size_t Target) {
  const auto IsReachable = [&](const LogMember &Member) {
    return std::ranges::any_of(Peers, [&](const PeerIdentity &Peer) {
      return Peer.m_Voter == Member.m_Id;
    });
  };
  for (const PeerIdentity &Peer : Peers) {
    if (!Peer.m_Voter)
      continue;
    if (const LogMember *Replaced = findReplacedMember(Members, Peer))
      return MembershipChange{Kind::Remove, Replaced->m_Id, ""};
    if (Members.find(*Peer.m_Voter) == nullptr)
      return MembershipChange{Kind::AddLearner, *Peer.m_Voter, Peer.m_Address};
  }
  std::size_t Voters = 0;
  std::size_t ReachableVoters = 0;
  for (const LogMember &Member : Members.m_Members) {
    Voters += Member.m_IsVoter ? 1 : 0;
    ReachableVoters += Member.m_IsVoter && IsReachable(Member) ? 1 : 0;
  }
  for (const LogMember &Member : Members.m_Members) {
    if (!Member.m_IsVoter && IsReachable(Member) && ReachableVoters < Target)
      return MembershipChange{Kind::Promote, Member.m_Id, ""};
  }
  for (const LogMember &Member : Members.m_Members) {
    const bool CanBeRemoved = !Member.m_IsVoter || Voters > Target;
    if (CanBeRemoved && !IsReachable(Member))
      return MembershipChange{Kind::Remove, Member.m_Id, ""};
  }
  return std::nullopt;
}

} // namespace ragwortmux
