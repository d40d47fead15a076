#include "ragwortmux/Process/Log/LeaderState.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace ragwortmux {

namespace {

/// The highest value that a quorum of \p Members reaches, where \p ValueOf
/// returns the value of one voter.
template <typename Value, typename Function>
Value quorumValue(const LogMembership &Members, const Function &ValueOf) {
  std::vector<Value> Values;
  for (const LogMember &Member : Members.m_Members)
    if (Member.m_Votes)
      Values.push_back(ValueOf(Member.m_Id));
  if (Values.empty())
    return Value();
  std::sort(Values.begin(), Values.end(), std::greater<>());
  return Values[Values.size() / 2];
}

} // namespace

LeaderState::LeaderState(Instant Campaign, VoterId Self, LogIndex First)
    : m_Self(std::move(Self)), m_First(First) {
  m_Starts.push_back({m_Round, Campaign});
}

void LeaderState::setMembers(Instant Now, const LogMembership &Members,
                             LogIndex Next) {
  std::erase_if(m_Peers, [&](const auto &Each) {
    return Members.find(Each.first) == nullptr;
  });
  for (const LogMember &Member : Members.m_Members) {
    if (Member.m_Id == m_Self || m_Peers.contains(Member.m_Id))
      continue;
    PeerProgress &Peer = m_Peers[Member.m_Id];
    Peer.m_Id = Member.m_Id;
    Peer.m_Next = Next;
    Peer.m_HeardAt = Now;
    Peer.m_RoundDue = true;
  }
}

void LeaderState::startRound(Instant Now, Duration Keep) {
  ++m_Round;
  m_WantsRound = false;
  m_Starts.push_back({m_Round, Now});
  while (m_Starts.size() > 1 && m_Starts[1].m_Start + Keep < Now)
    m_Starts.pop_front();
  for (auto &[Id, Peer] : m_Peers) {
    Peer.m_RoundDue = true;
    Peer.m_Paused = false;
  }
}

void LeaderState::roundAnswered(Instant Now, PeerProgress &Peer,
                                std::uint64_t Round) {
  Peer.m_Round = std::max(Peer.m_Round, std::min(Round, m_Round));
  Peer.m_HeardAt = Now;
}

void LeaderState::addToken(ConfirmationToken Token, LogIndex ReadIndex) {
  m_WantsRound = true;
  m_Tokens.push_back({m_Round + 1, std::max(ReadIndex, m_First), Token});
}

std::vector<ConfirmationToken>
LeaderState::takeConfirmed(const LogMembership &Members, LogIndex Applied) {
  const std::uint64_t Answered = quorumRound(Members);
  std::vector<ConfirmationToken> Confirmed;
  while (!m_Tokens.empty() && m_Tokens.front().m_Round <= Answered &&
         m_Tokens.front().m_ReadIndex <= Applied) {
    Confirmed.push_back(m_Tokens.front().m_Token);
    m_Tokens.pop_front();
  }
  return Confirmed;
}

std::vector<ConfirmationToken> LeaderState::takeAll() {
  std::vector<ConfirmationToken> All;
  for (const PendingToken &Each : m_Tokens)
    All.push_back(Each.m_Token);
  m_Tokens.clear();
  return All;
}

LogIndex LeaderState::quorumMatch(const LogMembership &Members,
                                  LogIndex OwnDurable) const {
  return quorumValue<LogIndex>(Members, [&](const VoterId &Id) {
    return Id == m_Self ? OwnDurable : m_Peers.at(Id).m_Match;
  });
}

Instant LeaderState::quorumContact(const LogMembership &Members) const {
  const std::uint64_t Answered = quorumRound(Members);
  Instant Contact = m_Starts.front().m_Start;
  for (const RoundStart &Each : m_Starts) {
    if (Each.m_Round > Answered)
      break;
    Contact = Each.m_Start;
  }
  return Contact;
}

bool LeaderState::quorumHeard(const LogMembership &Members,
                              Instant Since) const {
  return quorumValue<int>(Members, [&](const VoterId &Id) {
           const auto Found = m_Peers.find(Id);
           const bool Heard =
               Id == m_Self ||
               (Found != m_Peers.end() && Found->second.m_HeardAt >= Since);
           return Heard ? 1 : 0;
         }) == 1;
}

PeerProgress *LeaderState::peer(const VoterId &Id) {
  const auto Found = m_Peers.find(Id);
  return Found == m_Peers.end() ? nullptr : &Found->second;
}

std::uint64_t LeaderState::quorumRound(const LogMembership &Members) const {
  return quorumValue<std::uint64_t>(Members, [&](const VoterId &Id) {
    return Id == m_Self ? m_Round : m_Peers.at(Id).m_Round;
  });
}

} // namespace ragwortmux
