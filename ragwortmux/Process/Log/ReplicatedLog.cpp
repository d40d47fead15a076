#include "ragwortmux/Process/Log/ReplicatedLog.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace ragwortmux {

namespace {

LogIndex durableAtStart(const LogInitialState &Initial) {
  return Initial.m_Entries.empty() ? Initial.m_Previous.m_Index
                                   : Initial.m_Entries.back().m_Id.m_Index;
}

} // namespace

ReplicatedLog::ReplicatedLog(Instant Now, ReplicatedLogSettings Settings,
                             LogInitialState Initial)
    : m_Settings(std::move(Settings)), m_Self(Initial.m_Self),
      m_HardState(Initial.m_HardState), m_PersistQueue(durableAtStart(Initial)),
      m_Log(std::move(Initial)), m_LastLeaderContact(Now) {
  assert(m_Settings.m_Random);
  assert(!m_Self.value().empty());
  if (m_Log.snapshot()) {
    m_CommitIndex = m_AppliedIndex = m_Log.snapshot()->m_Last.m_Index;
    m_Actions.push_back(RestoreSnapshot{m_Log.snapshot()});
  }
  resetElectionTimer(Now);
}

bool ReplicatedLog::bootstrap(Instant Now, const LogMembership &Members) {
  if (m_Log.last() != EntryId() || m_HardState != LogHardState())
    return refuse(
        "cannot bootstrap: the data folder already holds a log or a term");
  if (!Members.isVoter(m_Self))
    return refuse("cannot bootstrap: this member is not a voter of the initial "
                  "configuration");

  // All initial voters create the same entry, as if a leader of term 1 had
  // replicated it.
  setHardState(LogTerm(1), VoterId());
  LogEntry First{{LogIndex(1), LogTerm(1)}, LogEntryKind::Membership, {}, {}};
  First.m_Membership = Members;
  m_PersistQueue.append(First);
  m_Log.append(std::move(First));
  resetElectionTimer(Now);
  return true;
}

void ReplicatedLog::receive(Instant Now, const LogEnvelope &Envelope) {
  if (m_Role == LogRole::Stopped || Envelope.m_To != m_Self ||
      Envelope.m_From == m_Self)
    return;
  std::visit(
      [&](const auto &Message) {
        if (adoptTerm(Now, Envelope.m_From, Message))
          onMessage(Now, Envelope.m_From, Message);
      },
      Envelope.m_Message);
}

void ReplicatedLog::tick(Instant Now) {
  if (m_Role == LogRole::Stopped)
    return;
  if (m_Role == LogRole::Leader) {
    // A leader that cannot reach a quorum steps down before the other members
    // can elect another one.
    if (Now >= m_LeaderState->quorumContactTime(membership()) +
                   m_Settings.m_CheckQuorumTimeout)
      becomeFollower(Now, m_HardState.m_Term, LeadershipLoss::QuorumSilent);
    return;
  }
  if (Now >= m_ElectionDueAt)
    startPreVote(Now);
}

void ReplicatedLog::persisted(Instant Now, std::uint64_t Sequence) {
  if (m_Role == LogRole::Stopped || !m_PersistQueue.confirm(Sequence))
    return;
  // The PersistQueue releases the requests for votes, and the candidate's own
  // vote counts, only once that vote is durable.
  if (m_Role == LogRole::Candidate && !m_CampaignStartedAt &&
      m_PersistQueue.isHardStateDurable())
    m_CampaignStartedAt = Now;
  countVotes(Now);
}

void ReplicatedLog::persistFailed() {
  endLeadership(LeadershipLoss::PersistFailed);
  m_Role = LogRole::Stopped;
  m_Leader.reset();
}

std::optional<EntryId> ReplicatedLog::propose(Instant /*Now*/,
                                              std::string Payload) {
  if (!canAppend())
    return std::nullopt;
  if (Payload.size() > m_Settings.m_MaxPayloadBytes) {
    refuse("the payload exceeds the size limit of a proposal");
    return std::nullopt;
  }
  LogEntry Entry;
  Entry.m_Kind = LogEntryKind::Payload;
  Entry.m_Payload = std::move(Payload);
  return appendProposal(std::move(Entry));
}

void ReplicatedLog::setReplacedMembers(Instant Now,
                                       std::set<VoterId> Replaced) {
  if (m_Role == LogRole::Stopped)
    return;
  m_Quorum.setReplaced(std::move(Replaced));
  // Votes that were too few may be a quorum now.
  countVotes(Now);
}

bool ReplicatedLog::confirmLeadership(Instant /*Now*/,
                                      ConfirmationToken Token) {
  if (m_Role != LogRole::Leader)
    return refuse("this member is not the leader");
  m_LeaderState->addToken(Token, m_CommitIndex);
  return true;
}

bool ReplicatedLog::transferLeadership(Instant /*Now*/, const VoterId &To) {
  if (m_Role != LogRole::Leader)
    return refuse("this member is not the leader");
  const PeerProgress *Peer = m_LeaderState->findPeer(To);
  if (!Peer || !membership().isVoter(To))
    return refuse("the transfer target is not a voter");
  if (Peer->m_MatchIndex != m_Log.last().m_Index)
    return refuse("the transfer target has not caught up with the log");
  send(To, TimeoutNowRequest{m_HardState.m_Term});
  return true;
}

bool ReplicatedLog::takeSnapshot(Instant /*Now*/, LogIndex Index,
                                 std::string State) {
  const LogIndex Newest =
      m_Log.snapshot() ? m_Log.snapshot()->m_Last.m_Index : LogIndex();
  if (Index <= Newest || Index > m_AppliedIndex)
    return refuse(
        "the entry is not applied yet or already covered by a snapshot");

  auto Snapshot = std::make_shared<LogSnapshot>();
  Snapshot->m_Last = {Index, *m_Log.termAt(Index)};
  Snapshot->m_Membership = m_Log.membershipAt(Index);
  Snapshot->m_State = std::move(State);
  m_Log.compact(Snapshot, m_Settings.m_TrailingEntries,
                m_Settings.m_TrailingBytes);
  m_PersistQueue.compact(std::move(Snapshot), m_Log.previous());
  return true;
}

std::vector<LogAction> ReplicatedLog::takeActions(Instant Now) {
  if (m_Role == LogRole::Stopped)
    return std::exchange(m_Actions, {});

  if (m_Role == LogRole::Leader)
    advanceCommit();
  advanceApplied();
  if (m_Role == LogRole::Leader) {
    stepDownIfRemoved(Now);
    replicate(Now);
    confirmTokens();
  }

  // Messages come before the disk write, so that both are in progress at the
  // same time.
  for (LogEnvelope &Envelope : m_PersistQueue.takeMessages())
    m_Actions.push_back(SendMessage{std::move(Envelope)});
  if (std::optional<PersistLog> Persist = m_PersistQueue.takePersist())
    m_Actions.push_back(std::move(*Persist));
  return std::exchange(m_Actions, {});
}

Instant ReplicatedLog::nextTick() const {
  if (m_Role == LogRole::Stopped)
    return Instant::max();
  if (m_Role != LogRole::Leader)
    return m_ElectionDueAt;
  return std::min(m_LeaderState->roundStart() + m_Settings.m_HeartbeatInterval,
                  m_LeaderState->quorumContactTime(membership()) +
                      m_Settings.m_CheckQuorumTimeout);
}

void ReplicatedLog::advanceApplied() {
  // If a snapshot from the leader has replaced the log, restoring it applies
  // all entries up to its last one.
  const LogIndex Durable = m_PersistQueue.durable();
  if (m_AppliedIndex < m_Log.previous().m_Index &&
      Durable >= m_Log.snapshot()->m_Last.m_Index) {
    m_AppliedIndex = m_Log.snapshot()->m_Last.m_Index;
    m_Actions.push_back(RestoreSnapshot{m_Log.snapshot()});
    resolveProposals(true);
  }

  // Only entries that are durable on this member are applied, so that a
  // snapshot never includes an entry that is missing in the files.
  const LogIndex Limit(m_AppliedIndex.value() + m_Settings.m_MaxApplyEntries);
  const LogIndex To = std::min({m_CommitIndex, Durable, Limit});
  if (To > m_AppliedIndex && m_AppliedIndex >= m_Log.previous().m_Index) {
    const std::size_t Count = To.value() - m_AppliedIndex.value();
    m_Actions.push_back(ApplyEntries{m_Log.slice(
        LogIndex(m_AppliedIndex.value() + 1), To, Count, SIZE_MAX)});
    m_AppliedIndex = To;
    resolveProposals(false);
  }

  if (m_Role != LogRole::Leader || m_IsReady ||
      m_AppliedIndex < m_LeaderState->firstEntry())
    return;
  m_IsReady = true;
  m_Actions.push_back(LeaderReady{m_HardState.m_Term});
}

void ReplicatedLog::resolveProposals(bool BySnapshot) {
  while (!m_Proposals.empty() && m_Proposals.begin()->first <= m_AppliedIndex) {
    const auto [Index, Term] = *m_Proposals.begin();
    m_Proposals.erase(m_Proposals.begin());
    if (BySnapshot)
      m_Actions.push_back(
          ProposalDropped{{Index, Term}, ProposalOutcome::Unknown});
    else if (m_Log.termAt(Index) != Term)
      m_Actions.push_back(
          ProposalDropped{{Index, Term}, ProposalOutcome::NotCommitted});
  }
}

void ReplicatedLog::confirmTokens() {
  if (m_Role != LogRole::Leader)
    return;
  for (ConfirmationToken Token :
       m_LeaderState->takeConfirmedTokens(membership(), m_AppliedIndex))
    m_Actions.push_back(LeadershipConfirmed{Token});
}

void ReplicatedLog::send(const VoterId &To, LogMessage Message) {
  // An accepted AppendReply acknowledges that the entries are durable on this
  // member.
  const auto *Reply = std::get_if<AppendReply>(&Message);
  const LogIndex Needed =
      Reply && Reply->m_Accepted ? Reply->m_MatchIndex : LogIndex();
  m_PersistQueue.send({m_Self, To, std::move(Message)}, Needed);
}

void ReplicatedLog::setHardState(LogTerm Term, const VoterId &Voted) {
  assert(Term >= m_HardState.m_Term);
  if (Term > m_HardState.m_Term)
    m_PersistQueue.dropAppendReplies();
  m_HardState = {Term, Voted};
  m_PersistQueue.updateHardState(m_HardState);
}

bool ReplicatedLog::refuse(std::string Reason) {
  m_LastReason = std::move(Reason);
  return false;
}

} // namespace ragwortmux
