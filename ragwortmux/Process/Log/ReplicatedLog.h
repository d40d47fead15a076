#ifndef RAGWORTMUX_PROCESS_LOG_REPLICATEDLOG_H
#define RAGWORTMUX_PROCESS_LOG_REPLICATEDLOG_H

#include "ragwortmux/Core/Time.h"
#include "ragwortmux/Process/Log/EntryLog.h"
#include "ragwortmux/Process/Log/LeaderState.h"
#include "ragwortmux/Process/Log/LogAction.h"
#include "ragwortmux/Process/Log/PersistQueue.h"
#include "ragwortmux/Process/Log/ReplicatedLogSettings.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ragwortmux {

/// What a member of the log is doing.
enum class LogRole : std::uint8_t {
  Follower = 0,     ///< Follows a leader or waits for one.
  PreCandidate = 1, ///< Asks whether it would be elected.
  Candidate = 2,    ///< Asks for votes.
  Leader = 3,       ///< Leads its term.
  Stopped = 4,      ///< Its disk has failed; it does nothing any more.
};

/// One member of a replicated log (Raft).
///
/// Deterministic: events and the current time go in; the shell then calls
/// takeActions and does what it says, in order. No message that promises that
/// something is durable leaves before the shell has confirmed the PersistLog
/// action concerned, whatever the shell does in between.
///
/// Shell: after each event (or several, which batches better) call takeActions
/// until it returns nothing; do the actions; call tick at nextTick at the
/// latest. Queries are valid at any moment.
class ReplicatedLog final {
public:
  /// \p Initial is what the data folder held. The time \p Now counts as the
  /// last moment a leader may have been heard.
  ReplicatedLog(Instant Now, ReplicatedLogSettings Settings,
                LogInitialState Initial);

  /// Starts a new log with \p Members, which must include this member with a
  /// vote. Every initial voter may do so with equal \p Members. Refused unless
  /// this data folder is blank. Members that join later do not call it.
  bool bootstrap(Instant Now, const LogMembership &Members);

  /// A message has arrived. Messages to other ids are ignored.
  void receive(Instant Now, const LogEnvelope &Envelope);

  /// Time has passed; to be called at nextTick() at the latest.
  void tick(Instant Now);

  /// The PersistLog action number \p Sequence is durable.
  void persisted(Instant Now, std::uint64_t Sequence);

  /// A PersistLog action failed. This member stops for good: what its disk
  /// holds is not known.
  void persistFailed();

  /// Adds \p Payload to the log if this member leads. The proposal is committed
  /// once an entry with the returned id is applied. Null with lastReason() if
  /// refused; then it never runs.
  std::optional<EntryId> propose(Instant Now, std::string Payload);

  /// Adds \p Member as a learner, or updates the address of a member.
  std::optional<EntryId> addMember(Instant Now, const VoterId &Id,
                                   const std::string &Address);

  /// Gives the learner \p Id a vote. Refused until it has caught up.
  std::optional<EntryId> promoteMember(Instant Now, const VoterId &Id);

  /// Removes \p Id. A leader that removes itself steps down once that is
  /// committed. The last voter cannot be removed.
  std::optional<EntryId> removeMember(Instant Now, const VoterId &Id);

  /// Asks whether this member still leads. LeadershipConfirmed follows once a
  /// quorum has answered a heartbeat sent after this call and the log is
  /// applied up to what was committed then; or else ConfirmationDropped. False
  /// with lastReason() if this member does not lead.
  bool confirmLeadership(Instant Now, ConfirmationToken Token);

  /// Asks \p To, a voter that has caught up, to take over at once. False with
  /// lastReason() if this cannot be.
  bool transferLeadership(Instant Now, const VoterId &To);

  /// The user's state after the applied entry \p Index is \p State. Older
  /// entries are dropped from memory and disk, but for a few.
  bool takeSnapshot(Instant Now, LogIndex Index, std::string State);

  /// What is to be done now, in order.
  std::vector<LogAction> takeActions(Instant Now);

  /// When tick is due.
  Instant nextTick() const;

  LogRole role() const { return m_Role; }        ///< What this member does.
  LogTerm term() const { return m_Hard.m_Term; } ///< The highest term seen.
  const VoterId &self() const { return m_Self; } ///< This member.
  /// The leader of the current term, if known. May be replaced already.
  const std::optional<VoterId> &leader() const { return m_Leader; }
  /// True while this member leads and has applied all that was committed
  /// before its term.
  bool isReady() const { return m_Role == LogRole::Leader && m_Ready; }
  LogIndex commitIndex() const { return m_Commit; }   ///< Known as committed.
  LogIndex appliedIndex() const { return m_Applied; } ///< Handed to Apply.
  /// The latest configuration in the log, committed or not.
  const LogMembership &membership() const { return m_Log.membership(); }
  /// The entries in memory.
  const EntryLog &log() const { return m_Log; }
  /// Why the last refused call was refused.
  const std::string &lastReason() const { return m_LastReason; }

private:
  // Messages, by type.
  void onMessage(Instant Now, const VoterId &From, const VoteRequest &Request);
  void onMessage(Instant Now, const VoterId &From, const VoteReply &Reply);
  void onMessage(Instant Now, const VoterId &From,
                 const AppendRequest &Request);
  void onMessage(Instant Now, const VoterId &From,
                 const SnapshotRequest &Request);
  void onMessage(Instant Now, const VoterId &From, const AppendReply &Reply);
  void onMessage(Instant Now, const VoterId &From,
                 const TimeoutNowRequest &Request);

  // Election.
  template <typename Message>
  bool adoptTerm(Instant Now, const VoterId &From, const Message &Each);
  bool leaderAlive(Instant Now) const;
  bool mayCampaign() const;
  void becomeFollower(Instant Now, LogTerm Term);
  void startPreVote(Instant Now);
  void startElection(Instant Now, bool Transfer);
  void countVotes(Instant Now);
  void becomeLeader(Instant Now);
  void leaveLeadership();
  void followLeader(Instant Now, const VoterId &From);
  void requestVotes(LogTerm Term, bool PreVote, bool Transfer);
  bool grantsVote(Instant Now, const VoterId &From,
                  const VoteRequest &Request) const;
  void resetElectionTimer(Instant Now);
  Duration randomBetween(Duration Min, Duration Max) const;

  // Replication.
  bool mayAppend();
  EntryId appendEntry(LogEntry Entry);
  EntryId appendOwn(LogEntry Entry);
  std::optional<EntryId> appendMembership(Instant Now, LogMembership Members);
  bool hasCaughtUp(Instant Now, const VoterId &Id);
  bool isSound(const AppendRequest &Request) const;
  void acceptEntries(const AppendRequest &Request);
  void replicate(Instant Now);
  void sendEntries(Instant Now, PeerProgress &Peer);
  std::size_t sendAppend(PeerProgress &Peer, std::size_t MaxEntries);
  void sendHeartbeat(PeerProgress &Peer);
  void advanceCommit();
  void advanceApplied();
  void settleProposals(bool BySnapshot);
  void confirmTokens();
  void checkRemoval(Instant Now);

  // Output.
  void send(const VoterId &To, LogMessage Message);
  void setHardState(LogTerm Term, const VoterId &Voted);
  bool refuse(std::string Reason);

  const ReplicatedLogSettings m_Settings; ///< As given.
  const VoterId m_Self;                   ///< This member.
  LogHardState m_Hard;                    ///< Term and vote.
  PersistQueue m_Persist; ///< Changes and messages that wait for disk.
  EntryLog m_Log;         ///< Entries and snapshot in memory.
  std::vector<LogAction> m_Actions; ///< To be taken by the shell.

  LogRole m_Role = LogRole::Follower; ///< What this member does.
  std::optional<VoterId> m_Leader;    ///< Leader of the term, if known.
  Instant m_LeaderHeardAt; ///< Last time a leader may have been heard.
  Instant m_ElectionAt;    ///< When an election is due.
  std::optional<Instant>
      m_CampaignAt; ///< When votes were asked for; set once the own is
  ///< durable.
  std::set<VoterId> m_Votes; ///< Who granted the current (pre-)vote.

  LogIndex m_Commit;  ///< Known as committed.
  LogIndex m_Applied; ///< Handed to the shell in ApplyEntries.
  std::multimap<LogIndex, LogTerm> m_Proposals; ///< Own, not yet applied.

  std::optional<LeaderState> m_LeaderState; ///< Only while leading.
  bool m_Ready = false; ///< The term's first entry is applied; only a leader's.

  std::string m_LastReason; ///< See lastReason().
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_LOG_REPLICATEDLOG_H
