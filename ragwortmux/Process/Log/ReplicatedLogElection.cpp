#include "ragwortmux/Process/Log/ReplicatedLog.h"

#include <cassert>
#include <tuple>
#include <utility>

/// \file
/// Part of ReplicatedLog: terms, votes and leadership.

namespace ragwortmux {

namespace {

/// True if a log that ends with \p Theirs is at least as up to date as one that
/// ends with \p Ours.
bool isUpToDate(const EntryId &Theirs, const EntryId &Ours) {
  return std::tie(Theirs.m_Term, Theirs.m_Index) >=
         std::tie(Ours.m_Term, Ours.m_Index);
}

/// True if the term in the message is one that its sender has not entered yet,
/// as in pre-votes.
template <typename Message> bool hasFutureTerm(const Message &Received) {
  if constexpr (std::is_same_v<Message, VoteRequest>)
    return Received.m_IsPreVote;
  else if constexpr (std::is_same_v<Message, VoteReply>)
    return Received.m_IsPreVote && Received.m_Granted;
  else
    return false;
}

} // namespace

template <typename Message>
bool ReplicatedLog::adoptTerm(Instant Now, const VoterId &From,
                              const Message &Received) {
  if (Received.m_Term > m_HardState.m_Term) {
    if (hasFutureTerm(Received))
      return true;
    // A candidate must not end the term of a leader that still sends
    // heartbeats, unless this leader has transferred its leadership.
    if constexpr (std::is_same_v<Message, VoteRequest>)
      if (!Received.m_IsTransfer && isLeaderAlive(Now))
        return false;
    becomeFollower(Now, Received.m_Term, LeadershipLoss::HigherTerm);
    return true;
  }
  if (Received.m_Term == m_HardState.m_Term)
    return true;

  // The sender is in an older term: answer a request with the current term.
  if constexpr (std::is_same_v<Message, VoteRequest>)
    send(From, VoteReply{m_HardState.m_Term, Received.m_IsPreVote, false});
  else if constexpr (std::is_same_v<Message, AppendRequest> ||
                     std::is_same_v<Message, SnapshotRequest>)
    send(From,
         AppendReply{m_HardState.m_Term, false, {}, {}, {}, Received.m_Round});
  return false;
}

// receive(), in another source file, uses these instantiations.
template bool ReplicatedLog::adoptTerm(Instant, const VoterId &,
                                       const VoteRequest &);
template bool ReplicatedLog::adoptTerm(Instant, const VoterId &,
                                       const VoteReply &);
template bool ReplicatedLog::adoptTerm(Instant, const VoterId &,
                                       const AppendRequest &);
template bool ReplicatedLog::adoptTerm(Instant, const VoterId &,
                                       const SnapshotRequest &);
template bool ReplicatedLog::adoptTerm(Instant, const VoterId &,
                                       const AppendReply &);
template bool ReplicatedLog::adoptTerm(Instant, const VoterId &,
                                       const TimeoutNowRequest &);

void ReplicatedLog::onMessage(Instant Now, const VoterId &From,
                              const VoteRequest &Request) {
  const bool Granted = shouldGrantVote(Now, From, Request);
  if (Granted && !Request.m_IsPreVote) {
    if (m_HardState.m_VotedFor != From)
      setHardState(m_HardState.m_Term, From);
    // The candidate may be the leader from now on, so granting the vote counts
    // as contact with a leader.
    m_LastLeaderContact = Now;
    resetElectionTimer(Now);
  }
  const LogTerm Term = Granted ? Request.m_Term : m_HardState.m_Term;
  send(From, VoteReply{Term, Request.m_IsPreVote, Granted});
}

void ReplicatedLog::onMessage(Instant Now, const VoterId &From,
                              const VoteReply &Reply) {
  const bool IsExpected =
      Reply.m_IsPreVote
          ? m_Role == LogRole::PreCandidate &&
                Reply.m_Term.value() == m_HardState.m_Term.value() + 1
          : m_Role == LogRole::Candidate && Reply.m_Term == m_HardState.m_Term;
  if (!IsExpected || !Reply.m_Granted)
    return;
  m_GrantedVotes.insert(From);
  countVotes(Now);
}

void ReplicatedLog::onMessage(Instant Now, const VoterId &From,
                              const TimeoutNowRequest & /*Request*/) {
  if (m_Role == LogRole::Follower && m_Leader == From && canCampaign())
    startElection(Now, true);
}

bool ReplicatedLog::shouldGrantVote(Instant Now, const VoterId &From,
                                    const VoteRequest &Request) const {
  if (!isUpToDate(Request.m_Last, m_Log.last()))
    return false;
  if (Request.m_IsPreVote)
    return Request.m_Term > m_HardState.m_Term && !isLeaderAlive(Now);
  const bool CanVoteForAny = m_HardState.m_VotedFor == VoterId() && !m_Leader;
  return CanVoteForAny || m_HardState.m_VotedFor == From;
}

bool ReplicatedLog::isLeaderAlive(Instant Now) const {
  return m_Role == LogRole::Leader ||
         Now < m_LastLeaderContact + m_Settings.m_ElectionTimeoutMin;
}

bool ReplicatedLog::canCampaign() const {
  // A member whose removal is not committed yet may be the only one with a log
  // that is up to date enough to win an election.
  return membership().isVoter(m_Self) ||
         (m_Log.membershipIndex() > m_CommitIndex &&
          m_Log.previousMembership().isVoter(m_Self));
}

void ReplicatedLog::becomeFollower(Instant Now, LogTerm Term,
                                   LeadershipLoss Reason) {
  if (m_Role == LogRole::Leader) {
    endLeadership(Reason);
    resetElectionTimer(Now);
  }
  m_Role = LogRole::Follower;
  m_Leader.reset();
  if (Term > m_HardState.m_Term)
    setHardState(Term, VoterId());
}

void ReplicatedLog::followLeader(Instant Now, const VoterId &From) {
  assert(m_Role != LogRole::Leader);
  m_Role = LogRole::Follower;
  m_Leader = From;
  m_LastLeaderContact = Now;
  resetElectionTimer(Now);
}

void ReplicatedLog::startPreVote(Instant Now) {
  resetElectionTimer(Now);
  m_Leader.reset();
  if (!canCampaign()) {
    m_Role = LogRole::Follower;
    return;
  }
  // The other members may have received the last heartbeat slightly later and
  // refuse for now. Retry soon: pre-votes do not change any member's term.
  const Duration MinTimeout = m_Settings.m_ElectionTimeoutMin;
  m_ElectionDueAt = Now + randomBetween(MinTimeout / 4, MinTimeout / 2);
  m_Role = LogRole::PreCandidate;
  m_GrantedVotes = {m_Self};
  requestVotes(LogTerm(m_HardState.m_Term.value() + 1), true, false);
  countVotes(Now);
}

void ReplicatedLog::startElection(Instant Now, bool Transfer) {
  // After a split vote there is no leader to wait for, so the retry comes
  // earlier than the usual election timeout.
  const Duration MinTimeout = m_Settings.m_ElectionTimeoutMin;
  m_ElectionDueAt = Now + randomBetween(MinTimeout / 2, MinTimeout);
  m_Leader.reset();
  m_Role = LogRole::Candidate;
  m_GrantedVotes = {m_Self};
  m_CampaignStartedAt.reset();
  setHardState(LogTerm(m_HardState.m_Term.value() + 1), m_Self);
  requestVotes(m_HardState.m_Term, false, Transfer);
}

void ReplicatedLog::requestVotes(LogTerm Term, bool PreVote, bool Transfer) {
  for (const LogMember &Member : membership().m_Members) {
    if (!Member.m_IsVoter || Member.m_Id == m_Self)
      continue;
    send(Member.m_Id, VoteRequest{Term, PreVote, Transfer, m_Log.last()});
  }
}

void ReplicatedLog::countVotes(Instant Now) {
  std::size_t Granted = 0;
  for (const LogMember &Member : membership().m_Members) {
    if (m_Quorum.counts(Member) && m_GrantedVotes.contains(Member.m_Id))
      ++Granted;
  }
  if (Granted < m_Quorum.size(membership()))
    return;
  if (m_Role == LogRole::PreCandidate)
    startElection(Now, false);
  // Votes that are counted too late, for example after a stall of this process,
  // do not count: the voters may have elected another leader since.
  else if (m_Role == LogRole::Candidate && m_CampaignStartedAt &&
           Now < *m_CampaignStartedAt + m_Settings.m_CheckQuorumTimeout)
    becomeLeader(Now);
}

void ReplicatedLog::becomeLeader(Instant Now) {
  m_Role = LogRole::Leader;
  m_Leader = m_Self;
  m_IsReady = false;
  const LogIndex First(m_Log.last().m_Index.value() + 1);
  m_LeaderState.emplace(*m_CampaignStartedAt, m_Self, First, m_Quorum);
  m_LeaderState->setMembers(Now, membership(), First);
  m_Actions.push_back(BecameLeader{m_HardState.m_Term});

  // Entries of earlier terms are committed together with an entry of the
  // leader's own term.
  LogEntry NoOp;
  appendEntry(std::move(NoOp));
}

void ReplicatedLog::endLeadership(LeadershipLoss Reason) {
  if (m_Role != LogRole::Leader)
    return;
  for (ConfirmationToken Token : m_LeaderState->takeAllTokens())
    m_Actions.push_back(ConfirmationDropped{Token});
  m_Actions.push_back(
      LostLeadership{m_HardState.m_Term, Reason,
                     m_LeaderState->quorumContactTime(membership())});
  m_LeaderState.reset();
  m_IsReady = false;
}

void ReplicatedLog::resetElectionTimer(Instant Now) {
  m_ElectionDueAt = Now + randomBetween(m_Settings.m_ElectionTimeoutMin,
                                        m_Settings.m_ElectionTimeoutMax);
}

Duration ReplicatedLog::randomBetween(Duration Min, Duration Max) const {
  const auto Span = static_cast<std::uint64_t>((Max - Min).count()) + 1;
  return Min +
         Duration(static_cast<Duration::rep>(m_Settings.m_Random() % Span));
}

} // namespace ragwortmux
