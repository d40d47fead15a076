#ifndef RAGWORTMUX_PROCESS_LOG_LEADERSTATE_H
#define RAGWORTMUX_PROCESS_LOG_LEADERSTATE_H

#include "ragwortmux/Core/Time.h"
#include "ragwortmux/Process/Log/LogEntry.h"
#include "ragwortmux/Process/Log/VoterQuorum.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace ragwortmux {

/// How a leader replicates entries to another member.
enum class PeerMode : std::uint8_t {
  Probe = 0,     ///< Searches the last common entry, one request at a time.
  Replicate = 1, ///< Pipelines requests without waiting for replies.
  Snapshot = 2,  ///< Has sent a snapshot and waits for the reply.
};

/// Replication progress of another member, as known to the leader.
struct PeerProgress final {
  VoterId m_Id;                      ///< Id of the member.
  PeerMode m_Mode = PeerMode::Probe; ///< Current replication mode.
  LogIndex m_MatchIndex;    ///< Last entry known to be durable on the member.
  LogIndex m_NextIndex;     ///< Next entry to send.
  bool m_IsPaused = false;  ///< Probe mode: waits for a reply or the next
                            ///< heartbeat round before the next probe.
  Instant m_LastReplyAt;    ///< Last reply in this term, or if there was none,
                            ///< when the peer was added.
  Instant m_SnapshotSentAt; ///< Snapshot mode: when the snapshot was sent.
  std::uint64_t m_AnsweredRound = 0; ///< Newest round it has answered.
  bool m_IsRoundDue = false; ///< The current round has not been sent to it yet.
};

/// State of a ReplicatedLog that only a leader has: replication progress of the
/// other members, heartbeat rounds and pending leadership confirmations.
class LeaderState final {
public:
  /// \p Self is the leader, which requested votes at \p CampaignStart. \p First
  /// is the first entry of its term. \p Quorum must outlive this object.
  LeaderState(Instant CampaignStart, VoterId Self, LogIndex First,
              const VoterQuorum &Quorum);

  /// Adds and removes peers to match \p Members. Replication to a new peer
  /// starts with the entry \p Next.
  void setMembers(Instant Now, const LogMembership &Members, LogIndex Next);

  /// Starts a heartbeat round. Forgets the start times of rounds that are older
  /// than \p Retention, except for the newest of them.
  void startRound(Instant Now, Duration Retention);
  /// Records that \p Peer has answered \p Round.
  void recordAnswer(Instant Now, PeerProgress &Peer, std::uint64_t Round);

  /// Adds a pending confirmation. It is fulfilled once a quorum has answered a
  /// round that starts after this call and \p ReadIndex is applied.
  void addToken(ConfirmationToken Token, LogIndex ReadIndex);
  /// Removes and returns the tokens whose confirmation is fulfilled.
  std::vector<ConfirmationToken>
  takeConfirmedTokens(const LogMembership &Members, LogIndex Applied);
  /// Removes and returns all pending tokens.
  std::vector<ConfirmationToken> takeAllTokens();
  /// True if a token waits for a round that has not started yet.
  bool needsRound() const { return m_NeedsRound; }

  /// The newest entry that is durable on a quorum of \p Members. \p OwnDurable
  /// is the last entry that is durable on the leader.
  LogIndex quorumMatchIndex(const LogMembership &Members,
                            LogIndex OwnDurable) const;
  /// Start time of the newest round that a quorum has answered. The votes of
  /// the election count as answers to the first round.
  Instant quorumContactTime(const LogMembership &Members) const;

  /// True if a quorum of \p Members has replied at or after \p Since.
  bool hasQuorumRepliedSince(const LogMembership &Members, Instant Since) const;

  /// Adds \p Bytes to uncommittedBytes(), for an appended entry.
  void addUncommitted(std::size_t Bytes) { m_UncommittedBytes += Bytes; }
  /// Subtracts \p Bytes from uncommittedBytes(), for a committed entry.
  void removeUncommitted(std::size_t Bytes) { m_UncommittedBytes -= Bytes; }
  /// Payload bytes of uncommitted entries of the leader's own term.
  std::size_t uncommittedBytes() const { return m_UncommittedBytes; }

  /// Progress of all other members.
  std::map<VoterId, PeerProgress> &peers() { return m_Peers; }
  /// Progress of the member \p Id, or null.
  PeerProgress *findPeer(const VoterId &Id);
  /// Number of the current heartbeat round.
  std::uint64_t round() const { return m_Round; }
  /// Start time of the current round. The first round starts when votes are
  /// requested.
  Instant roundStart() const { return m_RoundStarts.back().m_Start; }
  /// The first entry of the leader's term.
  LogIndex firstEntry() const { return m_FirstEntry; }

private:
  /// Start time of a heartbeat round.
  struct RoundStart final {
    std::uint64_t m_Round; ///< Number of the round.
    Instant m_Start;       ///< When it started.
  };
  /// A pending leadership confirmation.
  struct PendingToken final {
    std::uint64_t m_Round;     ///< First round that can confirm it.
    LogIndex m_ReadIndex;      ///< Entry that must be applied first.
    ConfirmationToken m_Token; ///< As passed to addToken().
  };

  std::uint64_t quorumRound(const LogMembership &Members) const;

  const VoterId m_Self;                     ///< Id of the leader.
  const LogIndex m_FirstEntry;              ///< See firstEntry().
  const VoterQuorum &m_Quorum;              ///< What forms a quorum.
  std::map<VoterId, PeerProgress> m_Peers;  ///< See peers().
  std::uint64_t m_Round = 1;                ///< See round().
  bool m_NeedsRound = false;                ///< See needsRound().
  std::deque<RoundStart> m_RoundStarts;     ///< Never empty, ascending.
  std::size_t m_UncommittedBytes = 0;       ///< See uncommittedBytes().
  std::deque<PendingToken> m_PendingTokens; ///< In the order of addToken().
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_LOG_LEADERSTATE_H
