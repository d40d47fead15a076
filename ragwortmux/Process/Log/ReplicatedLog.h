#ifndef RAGWORTMUX_PROCESS_LOG_REPLICATEDLOG_H
#define RAGWORTMUX_PROCESS_LOG_REPLICATEDLOG_H

#include "ragwortmux/Core/Time.h"
#include "ragwortmux/Process/Log/EntryLog.h"
#include "ragwortmux/Process/Log/LeaderState.h"
#include "ragwortmux/Process/Log/LogAction.h"
#include "ragwortmux/Process/Log/PersistQueue.h"
#include "ragwortmux/Process/Log/ReplicatedLogSettings.h"
#include "ragwortmux/Process/Log/VoterQuorum.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ragwortmux {

/// Role of a member of the replicated log.
enum class LogRole : std::uint8_t {
  Follower = 0,     ///< Replicates from a leader, or waits for one.
  PreCandidate = 1, ///< Has requested pre-votes.
  Candidate = 2,    ///< Has requested votes.
  Leader = 3,       ///< Replicates its log to the other members.
  Stopped = 4,      ///< Persisting has failed; ignores all further events.
};

/// One member of a replicated log (Raft).
///
/// The class is deterministic and does no I/O: the owner passes in events and
/// the current time, then calls takeActions and performs the returned actions
/// in order. A message that acknowledges durable data is returned only after
/// the owner has confirmed the PersistLog action that contains this data, in
/// whatever order the owner calls the other functions.
///
/// After each event, or after several for larger batches, the owner calls
/// takeActions until it returns nothing and performs the actions. It calls tick
/// at nextTick at the latest. Queries are valid at any time.
class ReplicatedLog final {
public:
  /// \p Initial is the state loaded from the data folder. \p Now is taken as
  /// the time of the last possible contact with a leader.
  ReplicatedLog(Instant Now, ReplicatedLogSettings Settings,
                LogInitialState Initial);

  /// Starts a new log with \p Members, which must include this member as a
  /// voter. Every initial voter may call this with equal \p Members. Refused
  /// unless the log and the hard state of this member are empty. Members that
  /// join later do not call it.
  bool bootstrap(Instant Now, const LogMembership &Members);

  /// Handles a message that has arrived. Messages addressed to other voter ids
  /// are ignored.
  void receive(Instant Now, const LogEnvelope &Envelope);

  /// Handles timeouts; to be called at nextTick() at the latest.
  void tick(Instant Now);

  /// Reports that the PersistLog action number \p Sequence is durable.
  void persisted(Instant Now, std::uint64_t Sequence);

  /// Reports that a PersistLog action has failed. This member stops
  /// permanently, because the content of its disk is unknown.
  void persistFailed();

  /// Appends \p Payload to the log if this member is the leader. The proposal
  /// is committed once an entry with the returned id is applied. Returns null
  /// and sets lastReason() if refused; the payload is then never applied.
  std::optional<EntryId> propose(Instant Now, std::string Payload);

  /// Adds \p Id as a learner at \p Address, or updates the address of a member.
  std::optional<EntryId> addMember(Instant Now, const VoterId &Id,
                                   const std::string &Address);

  /// Makes the learner \p Id a voter. Refused until it has caught up.
  std::optional<EntryId> promoteMember(Instant Now, const VoterId &Id);

  /// Removes the member \p Id. A leader that removes itself steps down once the
  /// change is committed. The last voter cannot be removed.
  std::optional<EntryId> removeMember(Instant Now, const VoterId &Id);

  /// Sets the members whose data folders are known to be lost for good. They
  /// do not count for quorums; see VoterQuorum.
  void setReplacedMembers(Instant Now, std::set<VoterId> Replaced);

  /// Requests confirmation that this member is still the leader.
  /// LeadershipConfirmed follows once a quorum has answered a heartbeat sent
  /// after this call and all entries committed at the time of this call are
  /// applied. If leadership is lost before that, ConfirmationDropped follows.
  /// Returns false and sets lastReason() if this member is not the leader.
  bool confirmLeadership(Instant Now, ConfirmationToken Token);

  /// Requests that \p To, a voter that has caught up, starts an election at
  /// once. Returns false and sets lastReason() if refused.
  bool transferLeadership(Instant Now, const VoterId &To);

  /// Stores \p State as the snapshot of the user's state after the applied
  /// entry \p Index. Deletes older entries from memory and disk, except for
  /// ReplicatedLogSettings::m_TrailingEntries of them.
  bool takeSnapshot(Instant Now, LogIndex Index, std::string State);

  /// Returns the actions to perform now, in order.
  std::vector<LogAction> takeActions(Instant Now);

  /// The time at which the next call of tick is due.
  Instant nextTick() const;

  LogRole role() const { return m_Role; }             ///< Current role.
  LogTerm term() const { return m_HardState.m_Term; } ///< Current term.
  const VoterId &self() const { return m_Self; }      ///< Id of this member.
  /// The leader of the current term, if known. A later term may already have
  /// another leader.
  const std::optional<VoterId> &leader() const { return m_Leader; }
  /// True while this member is the leader and has applied all entries that were
  /// committed in earlier terms.
  bool isReady() const { return m_Role == LogRole::Leader && m_IsReady; }
  /// Last entry known to be committed.
  LogIndex commitIndex() const { return m_CommitIndex; }
  /// Last entry passed to ApplyEntries or covered by a restored snapshot.
  LogIndex appliedIndex() const { return m_AppliedIndex; }
  /// The latest configuration in the log, committed or not.
  const LogMembership &membership() const { return m_Log.membership(); }
  /// The entries in memory and the newest snapshot.
  const EntryLog &log() const { return m_Log; }
  /// The reason why the last refused call was refused.
  const std::string &lastReason() const { return m_LastReason; }

private:
  // One handler per message type.
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
  bool adoptTerm(Instant Now, const VoterId &From, const Message &Received);
  bool isLeaderAlive(Instant Now) const;
  bool canCampaign() const;
  void becomeFollower(Instant Now, LogTerm Term, LeadershipLoss Reason);
  void startPreVote(Instant Now);
  void startElection(Instant Now, bool Transfer);
  void countVotes(Instant Now);
  void becomeLeader(Instant Now);
  void endLeadership(LeadershipLoss Reason);
  void followLeader(Instant Now, const VoterId &From);
  void requestVotes(LogTerm Term, bool PreVote, bool Transfer);
  bool shouldGrantVote(Instant Now, const VoterId &From,
                       const VoteRequest &Request) const;
  void resetElectionTimer(Instant Now);
  Duration randomBetween(Duration Min, Duration Max) const;

  // Replication.
  bool canAppend();
  EntryId appendEntry(LogEntry Entry);
  EntryId appendProposal(LogEntry Entry);
  std::optional<EntryId> appendMembership(Instant Now, LogMembership Members);
  bool hasCaughtUp(Instant Now, const VoterId &Id);
  bool isConsistent(const AppendRequest &Request) const;
  void acceptEntries(const AppendRequest &Request);
  void replicate(Instant Now);
  void sendEntries(Instant Now, PeerProgress &Peer);
  bool canSendMore(const PeerProgress &Peer) const;
  std::size_t sendAppend(PeerProgress &Peer, std::size_t MaxEntries);
  void sendHeartbeat(PeerProgress &Peer);
  void advanceCommit();
  void advanceApplied();
  void resolveProposals(bool BySnapshot);
  void confirmTokens();
  void stepDownIfRemoved(Instant Now);

  // Output.
  void send(const VoterId &To, LogMessage Message);
  void setHardState(LogTerm Term, const VoterId &Voted);
  bool refuse(std::string Reason);

  const ReplicatedLogSettings m_Settings; ///< As passed to the constructor.
  const VoterId m_Self;                   ///< Id of this member.
  LogHardState m_HardState;               ///< Term and vote.
  PersistQueue m_PersistQueue; ///< Changes to persist and delayed messages.
  EntryLog m_Log;              ///< Entries and snapshot in memory.
  VoterQuorum m_Quorum;        ///< What forms a quorum of the voters.
  std::vector<LogAction> m_Actions; ///< Returned by the next takeActions().

  LogRole m_Role = LogRole::Follower; ///< Current role.
  std::optional<VoterId> m_Leader;    ///< Leader of the current term, if known.
  Instant m_LastLeaderContact;        ///< Last possible contact with a leader.
  Instant m_ElectionDueAt;            ///< When the next pre-vote starts.
  /// When the vote requests were released; set once the own vote is durable.
  std::optional<Instant> m_CampaignStartedAt;
  /// Voters that granted their vote in the current election or pre-vote.
  std::set<VoterId> m_GrantedVotes;

  LogIndex m_CommitIndex;  ///< Last entry known to be committed.
  LogIndex m_AppliedIndex; ///< See appliedIndex().
  /// Proposals of this member that are not yet applied.
  std::multimap<LogIndex, LogTerm> m_Proposals;

  std::optional<LeaderState> m_LeaderState; ///< Set only while leader.
  bool m_IsReady = false; ///< Leader: the first entry of its term is applied.

  std::string m_LastReason; ///< See lastReason().
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_LOG_REPLICATEDLOG_H
