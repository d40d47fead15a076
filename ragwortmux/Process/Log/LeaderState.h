#ifndef RAGWORTMUX_PROCESS_LOG_LEADERSTATE_H
#define RAGWORTMUX_PROCESS_LOG_LEADERSTATE_H

#include "ragwortmux/Core/Time.h"
#include "ragwortmux/Process/Log/LogEntry.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace ragwortmux {

/// How a leader sends entries to a member.
enum class PeerMode : std::uint8_t {
  Probe = 0,     ///< Looks for the last common entry, one message at a time.
  Replicate = 1, ///< Sends ahead without waiting for answers.
  Snapshot = 2,  ///< Waits for the answer to a snapshot.
};

/// What a leader knows about another member.
struct PeerProgress final {
  VoterId m_Id;                      ///< The member.
  PeerMode m_Mode = PeerMode::Probe; ///< How entries are sent.
  LogIndex m_Match;                  ///< Known as durable there.
  LogIndex m_Next;                   ///< The next entry to send.
  bool m_Paused = false; ///< Probe: wait for an answer or a heartbeat.
  Instant m_HeardAt;    ///< Its last answer in this term; the election if none.
  Instant m_SnapshotAt; ///< Snapshot: when it was sent.
  std::uint64_t m_Round = 0; ///< Newest heartbeat round answered.
  bool m_RoundDue = false;   ///< The current round was not sent to it yet.
};

/// What only a leader keeps: the progress of the others, heartbeat rounds and
/// the confirmations that wait for them.
class LeaderState final {
public:
  /// A leader \p Self that asked for votes at \p Campaign and whose first own
  /// entry is \p First.
  LeaderState(Instant Campaign, VoterId Self, LogIndex First);

  /// Adds and removes peers so that they are those of \p Members.
  void setMembers(Instant Now, const LogMembership &Members, LogIndex Next);

  /// Starts a heartbeat round. Starts older than \p Keep need not be known.
  void startRound(Instant Now, Duration Keep);
  /// \p Peer has answered \p Round.
  void roundAnswered(Instant Now, PeerProgress &Peer, std::uint64_t Round);

  /// Confirms \p Token once a round begun later is answered by a quorum and
  /// \p ReadIndex is applied.
  void addToken(ConfirmationToken Token, LogIndex ReadIndex);
  /// Removes and returns the tokens that are confirmed.
  std::vector<ConfirmationToken> takeConfirmed(const LogMembership &Members,
                                               LogIndex Applied);
  /// Removes and returns all tokens.
  std::vector<ConfirmationToken> takeAll();
  /// True if a token waits for a round that has not begun.
  bool wantsRound() const { return m_WantsRound; }

  /// The newest index that a quorum of \p Members holds durably, if this member
  /// holds \p OwnDurable.
  LogIndex quorumMatch(const LogMembership &Members, LogIndex OwnDurable) const;
  /// When the newest round that a quorum has answered was begun; the votes
  /// count as answers to the first one.
  Instant quorumContact(const LogMembership &Members) const;

  /// True if a quorum of \p Members has answered at or after \p Since.
  bool quorumHeard(const LogMembership &Members, Instant Since) const;

  /// Counts \p Bytes of payload of an own entry.
  void addUncommitted(std::size_t Bytes) { m_UncommittedBytes += Bytes; }
  /// Counts \p Bytes as committed.
  void removeUncommitted(std::size_t Bytes) { m_UncommittedBytes -= Bytes; }
  /// Payload bytes of own entries that are not committed.
  std::size_t uncommittedBytes() const { return m_UncommittedBytes; }

  /// All other members.
  std::map<VoterId, PeerProgress> &peers() { return m_Peers; }
  /// The peer \p Id, or null.
  PeerProgress *peer(const VoterId &Id);
  /// The current round.
  std::uint64_t round() const { return m_Round; }
  /// When the current round was begun; the first one with the campaign.
  Instant roundStart() const { return m_Starts.back().m_Start; }
  /// The leader's first own entry.
  LogIndex firstEntry() const { return m_First; }

private:
  /// When a round was begun.
  struct RoundStart final {
    std::uint64_t m_Round; ///< Its number.
    Instant m_Start;       ///< Its start.
  };
  /// A confirmation that was asked for.
  struct PendingToken final {
    std::uint64_t m_Round;     ///< The first round that can confirm it.
    LogIndex m_ReadIndex;      ///< To be applied first.
    ConfirmationToken m_Token; ///< As given.
  };

  std::uint64_t quorumRound(const LogMembership &Members) const;

  const VoterId m_Self;                    ///< This member.
  const LogIndex m_First;                  ///< The leader's first own entry.
  std::map<VoterId, PeerProgress> m_Peers; ///< All other members.
  std::uint64_t m_Round = 1;               ///< The current round.
  bool m_WantsRound = false;               ///< See wantsRound().
  std::deque<RoundStart> m_Starts;    ///< Never empty; rounds that matter yet.
  std::size_t m_UncommittedBytes = 0; ///< See uncommittedBytes().
  std::deque<PendingToken> m_Tokens;  ///< In the order asked.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_LOG_LEADERSTATE_H
