#include "ragwortmux/Process/Log/ReplicatedLog.h"

#include <algorithm>
#include <cassert>
#include <utility>

/// \file
/// Part of ReplicatedLog: replication of entries and snapshots, and membership
/// changes.

namespace ragwortmux {

namespace {

/// Maximum payload bytes of the single entry that a probe contains.
constexpr std::size_t ProbePayloadBytes = 4096;

LogIndex next(LogIndex Index) { return LogIndex(Index.value() + 1); }

} // namespace

bool ReplicatedLog::canAppend() {
  if (m_Role != LogRole::Leader)
    return refuse("this member is not the leader");
  if (m_Log.last().m_Index.value() - m_CommitIndex.value() >=
      m_Settings.m_MaxUncommittedEntries)
    return refuse("too many entries are waiting to be committed");
  if (m_LeaderState->uncommittedBytes() >= m_Settings.m_MaxUncommittedBytes)
    return refuse("too many bytes are waiting to be committed");
  return true;
}

EntryId ReplicatedLog::appendEntry(LogEntry Entry) {
  assert(m_Role == LogRole::Leader);
  const EntryId Id{next(m_Log.last().m_Index), m_HardState.m_Term};
  Entry.m_Id = Id;
  m_LeaderState->addUncommitted(Entry.m_Payload.size());
  m_PersistQueue.append(Entry);
  m_Log.append(std::move(Entry));
  return Id;
}

EntryId ReplicatedLog::appendProposal(LogEntry Entry) {
  const EntryId Id = appendEntry(std::move(Entry));
  m_Proposals.emplace(Id.m_Index, Id.m_Term);
  return Id;
}

std::optional<EntryId> ReplicatedLog::addMember(Instant Now, const VoterId &Id,
                                                const std::string &Address) {
  if (Id.value().empty()) {
    refuse("the voter id is empty");
    return std::nullopt;
  }
  LogMembership Members = membership();
  for (LogMember &Member : Members.m_Members) {
    if (Member.m_Id != Id)
      continue;
    Member.m_Address = Address;
    return appendMembership(Now, std::move(Members));
  }
  Members.m_Members.push_back({Id, Address, false});
  return appendMembership(Now, std::move(Members));
}

std::optional<EntryId> ReplicatedLog::promoteMember(Instant Now,
                                                    const VoterId &Id) {
  LogMembership Members = membership();
  for (LogMember &Member : Members.m_Members) {
    if (Member.m_Id != Id)
      continue;
    if (Member.m_IsVoter) {
      refuse("the member is already a voter");
      return std::nullopt;
    }
    if (!hasCaughtUp(Now, Id)) {
      refuse("the learner has not caught up with the log");
      return std::nullopt;
    }
    Member.m_IsVoter = true;
    return appendMembership(Now, std::move(Members));
  }
  refuse("no member has this voter id");
  return std::nullopt;
}

std::optional<EntryId> ReplicatedLog::removeMember(Instant Now,
                                                   const VoterId &Id) {
  LogMembership Members = membership();
  if (std::erase_if(Members.m_Members, [&](const LogMember &Member) {
        return Member.m_Id == Id;
      }) == 0) {
    refuse("no member has this voter id");
    return std::nullopt;
  }
  return appendMembership(Now, std::move(Members));
}

bool ReplicatedLog::hasCaughtUp(Instant Now, const VoterId &Id) {
  if (m_Role != LogRole::Leader)
    return false;
  const PeerProgress *Peer = m_LeaderState->findPeer(Id);
  return Peer && Peer->m_Mode == PeerMode::Replicate &&
         Peer->m_LastReplyAt + m_Settings.m_ElectionTimeoutMin > Now &&
         Peer->m_MatchIndex.value() + m_Settings.m_CatchUpEntries >=
             m_Log.last().m_Index.value();
}

std::optional<EntryId> ReplicatedLog::appendMembership(Instant Now,
                                                       LogMembership Members) {
  if (!canAppend())
    return std::nullopt;
  // Only one change at a time, and only after an entry of the leader's own term
  // is committed: any quorums of two consecutive configurations then have a
  // voter in common.
  if (m_CommitIndex < m_LeaderState->firstEntry()) {
    refuse("the leader has not committed an entry of its own term yet");
    return std::nullopt;
  }
  if (m_Log.membershipIndex() > m_CommitIndex) {
    refuse("the previous membership change is not committed yet");
    return std::nullopt;
  }
  if (!m_LeaderState->hasQuorumRepliedSince(
          Members, Now - m_Settings.m_ElectionTimeoutMin)) {
    refuse("no quorum of the new configuration is reachable");
    return std::nullopt;
  }
  LogEntry Entry;
  Entry.m_Kind = LogEntryKind::Membership;
  Entry.m_Membership = std::move(Members);
  const EntryId Id = appendProposal(std::move(Entry));
  m_LeaderState->setMembers(Now, membership(), Id.m_Index);
  return Id;
}

void ReplicatedLog::stepDownIfRemoved(Instant Now) {
  if (!membership().isVoter(m_Self) && m_Log.membershipIndex() <= m_CommitIndex)
    becomeFollower(Now, m_HardState.m_Term, LeadershipLoss::Removed);
}

void ReplicatedLog::advanceCommit() {
  const LogIndex QuorumIndex =
      m_LeaderState->quorumMatchIndex(membership(), m_PersistQueue.durable());
  // A later leader may still overwrite an entry of an earlier term, even if a
  // quorum has stored it. This cannot happen to an entry of the current term.
  if (QuorumIndex <= m_CommitIndex ||
      m_Log.termAt(QuorumIndex) != m_HardState.m_Term)
    return;
  while (m_CommitIndex < QuorumIndex) {
    m_CommitIndex = next(m_CommitIndex);
    if (m_CommitIndex >= m_LeaderState->firstEntry())
      m_LeaderState->removeUncommitted(
          m_Log.at(m_CommitIndex).m_Payload.size());
  }
}

void ReplicatedLog::replicate(Instant Now) {
  if (m_Role != LogRole::Leader)
    return;
  if (m_LeaderState->needsRound() ||
      Now >= m_LeaderState->roundStart() + m_Settings.m_HeartbeatInterval)
    m_LeaderState->startRound(Now, m_Settings.m_CheckQuorumTimeout);
  for (auto &[Id, Peer] : m_LeaderState->peers()) {
    sendEntries(Now, Peer);
    if (Peer.m_IsRoundDue)
      sendHeartbeat(Peer);
  }
}

void ReplicatedLog::sendEntries(Instant Now, PeerProgress &Peer) {
  const LogIndex Last = m_Log.last().m_Index;
  if (!m_Log.termAt(LogIndex(Peer.m_NextIndex.value() - 1))) {
    // The next entry that the member needs has been compacted.
    const bool IsSent = Peer.m_Mode == PeerMode::Snapshot;
    if (IsSent &&
        Now < Peer.m_SnapshotSentAt + m_Settings.m_SnapshotRetryInterval)
      return;
    Peer.m_Mode = PeerMode::Snapshot;
    Peer.m_SnapshotSentAt = Now;
    send(Peer.m_Id, SnapshotRequest{m_HardState.m_Term, *m_Log.snapshot(),
                                    m_LeaderState->round()});
    return;
  }

  if (Peer.m_Mode == PeerMode::Probe) {
    if (Peer.m_IsPaused)
      return;
    const bool IsSmallEntry =
        Peer.m_NextIndex <= Last &&
        m_Log.at(Peer.m_NextIndex).m_Payload.size() <= ProbePayloadBytes;
    sendAppend(Peer, IsSmallEntry ? 1 : 0);
    Peer.m_IsPaused = true;
    return;
  }

  while (Peer.m_NextIndex <= Last && canSendMore(Peer)) {
    const std::size_t Sent = sendAppend(Peer, m_Settings.m_MaxAppendEntries);
    Peer.m_NextIndex = LogIndex(Peer.m_NextIndex.value() + Sent);
  }
}

bool ReplicatedLog::canSendMore(const PeerProgress &Peer) const {
  const LogIndex LastSent(Peer.m_NextIndex.value() - 1);
  if (LastSent.value() - Peer.m_MatchIndex.value() >=
      m_Settings.m_MaxInFlightEntries)
    return false;
  // A member that has to catch up may lack the whole log. Whoever encodes all
  // of it at once answers nobody else meanwhile.
  const std::size_t InFlight = m_Log.payloadBytes(Peer.m_MatchIndex, LastSent);
  const std::size_t Next = m_Log.at(Peer.m_NextIndex).m_Payload.size();
  return InFlight == 0 || InFlight + Next <= m_Settings.m_MaxInFlightBytes;
}

std::size_t ReplicatedLog::sendAppend(PeerProgress &Peer,
                                      std::size_t MaxEntries) {
  const LogIndex Previous(Peer.m_NextIndex.value() - 1);
  AppendRequest Request;
  Request.m_Term = m_HardState.m_Term;
  Request.m_Previous = {Previous, *m_Log.termAt(Previous)};
  Request.m_Entries = m_Log.slice(Peer.m_NextIndex, m_Log.last().m_Index,
                                  MaxEntries, m_Settings.m_MaxAppendBytes);
  Request.m_CommitIndex = m_CommitIndex;
  Request.m_Round = m_LeaderState->round();
  Peer.m_IsRoundDue = false;
  const std::size_t Sent = Request.m_Entries.size();
  send(Peer.m_Id, std::move(Request));
  return Sent;
}

void ReplicatedLog::sendHeartbeat(PeerProgress &Peer) {
  if (Peer.m_Mode != PeerMode::Snapshot) {
    // A reply that rejects this request also reveals lost earlier messages.
    sendAppend(Peer, 0);
    return;
  }
  AppendRequest Request;
  Request.m_Term = m_HardState.m_Term;
  Request.m_CommitIndex = m_CommitIndex;
  Request.m_Round = m_LeaderState->round();
  Peer.m_IsRoundDue = false;
  send(Peer.m_Id, std::move(Request));
}

void ReplicatedLog::onMessage(Instant Now, const VoterId &From,
                              const AppendRequest &Request) {
  if (m_Role == LogRole::Leader || !isConsistent(Request))
    return;
  followLeader(Now, From);
  const LogIndex Previous = Request.m_Previous.m_Index;
  AppendReply Reply;
  Reply.m_Term = m_HardState.m_Term;
  Reply.m_Round = Request.m_Round;

  // An entry up to the commit index needs no check: the log of every later
  // leader contains it.
  if (Previous > m_CommitIndex && !m_Log.contains(Request.m_Previous)) {
    Reply.m_RejectedIndex = Previous;
    Reply.m_HintIndex = Previous > m_Log.last().m_Index
                            ? m_Log.last().m_Index
                            : LogIndex(m_Log.firstOfTerm(Previous).value() - 1);
    send(From, Reply);
    return;
  }
  acceptEntries(Request);
  const LogIndex Verified(Previous.value() + Request.m_Entries.size());
  m_CommitIndex =
      std::max(m_CommitIndex, std::min(Request.m_CommitIndex, Verified));
  Reply.m_Accepted = true;
  Reply.m_MatchIndex = std::max(m_CommitIndex, Verified);
  send(From, Reply);
}

bool ReplicatedLog::isConsistent(const AppendRequest &Request) const {
  // A correct leader never sends inconsistent entries or entries that conflict
  // with committed ones. A faulty message must not violate the preconditions of
  // EntryLog and so terminate the process.
  const auto ConflictsWithCommitted = [&](const EntryId &Id) {
    const std::optional<LogTerm> Term = m_Log.termAt(Id.m_Index);
    return Id.m_Index <= m_CommitIndex && Id.m_Index > LogIndex() && Term &&
           *Term != Id.m_Term;
  };
  EntryId PreviousId = Request.m_Previous;
  if (ConflictsWithCommitted(PreviousId))
    return false;
  for (const LogEntry &Entry : Request.m_Entries) {
    if (Entry.m_Id.m_Index != next(PreviousId.m_Index) ||
        Entry.m_Id.m_Term < PreviousId.m_Term ||
        ConflictsWithCommitted(Entry.m_Id))
      return false;
    PreviousId = Entry.m_Id;
  }
  return PreviousId.m_Term <= Request.m_Term;
}

void ReplicatedLog::acceptEntries(const AppendRequest &Request) {
  for (const LogEntry &Entry : Request.m_Entries) {
    const LogIndex Index = Entry.m_Id.m_Index;
    if (Index <= m_CommitIndex || m_Log.contains(Entry.m_Id))
      continue;
    if (Index <= m_Log.last().m_Index) {
      m_Log.truncateFrom(Index);
      m_PersistQueue.truncateFrom(Index);
    }
    m_PersistQueue.append(Entry);
    m_Log.append(Entry);
  }
}

void ReplicatedLog::onMessage(Instant Now, const VoterId &From,
                              const SnapshotRequest &Request) {
  const EntryId &Last = Request.m_Snapshot.m_Last;
  if (m_Role == LogRole::Leader || Last.m_Index == LogIndex() ||
      Last.m_Term > Request.m_Term)
    return;
  followLeader(Now, From);
  if (Last.m_Index > m_CommitIndex) {
    if (!m_Log.contains(Last)) {
      auto Snapshot = std::make_shared<const LogSnapshot>(Request.m_Snapshot);
      m_Log.replaceWith(Snapshot);
      m_PersistQueue.replaceWith(std::move(Snapshot));
    }
    m_CommitIndex = Last.m_Index;
  }
  AppendReply Reply;
  Reply.m_Term = m_HardState.m_Term;
  Reply.m_Accepted = true;
  Reply.m_MatchIndex = m_CommitIndex;
  Reply.m_Round = Request.m_Round;
  send(From, Reply);
}

void ReplicatedLog::onMessage(Instant Now, const VoterId &From,
                              const AppendReply &Reply) {
  PeerProgress *Peer =
      m_Role == LogRole::Leader ? m_LeaderState->findPeer(From) : nullptr;
  if (!Peer)
    return;
  m_LeaderState->recordAnswer(Now, *Peer, Reply.m_Round);

  if (Reply.m_Accepted) {
    // Progress only moves forward, because replies may arrive late or
    // reordered.
    Peer->m_MatchIndex = std::max(
        Peer->m_MatchIndex, std::min(Reply.m_MatchIndex, m_Log.last().m_Index));
    if (Peer->m_Mode == PeerMode::Replicate)
      Peer->m_NextIndex = std::max(Peer->m_NextIndex, next(Peer->m_MatchIndex));
    else if (m_Log.termAt(Peer->m_MatchIndex)) {
      Peer->m_Mode = PeerMode::Replicate;
      Peer->m_NextIndex = next(Peer->m_MatchIndex);
    }
    return;
  }

  // The member's log does not contain the previous entry: probe for the last
  // entry that both logs have in common.
  const bool IsOutdated = Reply.m_RejectedIndex <= Peer->m_MatchIndex ||
                          (Peer->m_Mode != PeerMode::Replicate &&
                           next(Reply.m_RejectedIndex) != Peer->m_NextIndex);
  if (IsOutdated || Peer->m_Mode == PeerMode::Snapshot)
    return;
  Peer->m_NextIndex =
      std::max(next(Peer->m_MatchIndex),
               std::min(Reply.m_RejectedIndex, next(Reply.m_HintIndex)));
  Peer->m_Mode = PeerMode::Probe;
  Peer->m_IsPaused = false;
}

} // namespace ragwortmux
