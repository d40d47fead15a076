#include "ragwortmux/Process/Log/LeaderState.h"

#include <algorithm>
#include <utility>

namespace ragwortmux {

LeaderState::LeaderState(Instant CampaignStart, VoterId Self, LogIndex First,
                         const VoterQuorum &Quorum)
    : m_Self(std::move(Self)), m_FirstEntry(First), m_Quorum(Quorum) {
  m_RoundStarts.push_back({m_Round, CampaignStart});
}

void LeaderState::setMembers(Instant Now, const LogMembership &Members,
                             LogIndex Next) {
  std::erase_if(m_Peers, [&](const auto &IdAndPeer) {
    return Members.find(IdAndPeer.first) == nullptr;
  });
  for (const LogMember &Member : Members.m_Members) {
    if (Member.m_Id == m_Self || m_Peers.contains(Member.m_Id))
      continue;
    PeerProgress &Peer = m_Peers[Member.m_Id];
    Peer.m_Id = Member.m_Id;
    Peer.m_NextIndex = Next;
    Peer.m_LastReplyAt = Now;
    Peer.m_IsRoundDue = true;
  }
}

void LeaderState::startRound(Instant Now, Duration Retention) {
  ++m_Round;
  m_NeedsRound = false;
  m_RoundStarts.push_back({m_Round, Now});
  while (m_RoundStarts.size() > 1 && m_RoundStarts[1].m_Start + Retention < Now)
    m_RoundStarts.pop_front();
  for (auto &[Id, Peer] : m_Peers) {
    Peer.m_IsRoundDue = true;
    Peer.m_IsPaused = false;
  }
}

void LeaderState::recordAnswer(Instant Now, PeerProgress &Peer,
                               std::uint64_t Round) {
  Peer.m_AnsweredRound =
      std::max(Peer.m_AnsweredRound, std::min(Round, m_Round));
  Peer.m_LastReplyAt = Now;
}

void LeaderState::addToken(ConfirmationToken Token, LogIndex ReadIndex) {
  m_NeedsRound = true;
  m_PendingTokens.push_back(
      {m_Round + 1, std::max(ReadIndex, m_FirstEntry), Token});
}

std::vector<ConfirmationToken>
LeaderState::takeConfirmedTokens(const LogMembership &Members,
                                 LogIndex Applied) {
  const std::uint64_t Answered = quorumRound(Members);
  std::vector<ConfirmationToken> Confirmed;
  while (!m_PendingTokens.empty() &&
         m_PendingTokens.front().m_Round <= Answered &&
         m_PendingTokens.front().m_ReadIndex <= Applied) {
    Confirmed.push_back(m_PendingTokens.front().m_Token);
    m_PendingTokens.pop_front();
  }
  return Confirmed;
}

std::vector<ConfirmationToken> LeaderState::takeAllTokens() {
  std::vector<ConfirmationToken> All;
  for (const PendingToken &Pending : m_PendingTokens)
    All.push_back(Pending.m_Token);
  m_PendingTokens.clear();
  return All;
}

LogIndex LeaderState::quorumMatchIndex(const LogMembership &Members,
                                       LogIndex OwnDurable) const {
  return m_Quorum.highestReached<LogIndex>(Members, [&](const VoterId &Id) {
    return Id == m_Self ? OwnDurable : m_Peers.at(Id).m_MatchIndex;
  });
}

Instant LeaderState::quorumContactTime(const LogMembership &Members) const {
  const std::uint64_t Answered = quorumRound(Members);
  Instant Contact = m_RoundStarts.front().m_Start;
  for (const RoundStart &Start : m_RoundStarts) {
    if (Start.m_Round > Answered)
      break;
    Contact = Start.m_Start;
  }
  return Contact;
}

bool LeaderState::hasQuorumRepliedSince(const LogMembership &Members,
                                        Instant Since) const {
  return m_Quorum.highestReached<int>(Members, [&](const VoterId &Id) {
    const auto Found = m_Peers.find(Id);
    const bool Heard = Id == m_Self || (Found != m_Peers.end() &&
                                        Found->second.m_LastReplyAt >= Since);
    return Heard ? 1 : 0;
  }) == 1;
}

PeerProgress *LeaderState::findPeer(const VoterId &Id) {
  const auto Found = m_Peers.find(Id);
  return Found == m_Peers.end() ? nullptr : &Found->second;
}

std::uint64_t LeaderState::quorumRound(const LogMembership &Members) const {
  return m_Quorum.highestReached<std::uint64_t>(
      Members, [&](const VoterId &Id) {
        return Id == m_Self ? m_Round : m_Peers.at(Id).m_AnsweredRound;
      });
}

} // namespace ragwortmux
