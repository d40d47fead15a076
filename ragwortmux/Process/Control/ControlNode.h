#ifndef RAGWORTMUX_PROCESS_CONTROL_CONTROLNODE_H
#define RAGWORTMUX_PROCESS_CONTROL_CONTROLNODE_H

#include "ragwortmux/Process/Log/LogStorage.h"
#include "ragwortmux/Process/Log/MembershipChange.h"
#include "ragwortmux/Process/Log/ReplicatedLog.h"
#include "ragwortmux/Process/Peers/ControlMessages.h"
#include "ragwortmux/Version/ControlLeader.h"
#include "ragwortmux/Version/ControlState.h"
#include "ragwortmux/Version/WorkspaceLimiter.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace ragwortmux {

class ControlLoad;

/// Settings of a ControlNode.
struct ControlNodeSettings final {
  std::string m_Address; ///< Address at which the other members reach this one.
  bool m_Bootstrap = false;            ///< May bootstrap a new log.
  std::optional<VoterTarget> m_Voters; ///< Voters among the discovered control
                                       ///< hosts; null: all listed hosts vote.
  ReplicatedLogSettings m_Log;         ///< The replicated log.
  ControlLeaderSettings m_Leader;      ///< Decisions of the leader.
  ControlState::Settings m_State;      ///< Limits of the state.
  WorkspaceLimiterSettings m_Limiter;  ///< Rate limits of workspaces.
  std::uint64_t m_SnapshotEntries = 4096; ///< Most entries between snapshots.
  std::size_t m_SnapshotBytes =
      std::size_t{8} << 20; ///< Payload bytes after which a snapshot is due
                            ///< even if there are fewer entries; more if the
                            ///< last snapshot was larger.
};

/// Callbacks of a ControlNode into the process. They run on the thread that
/// calls the node.
struct ControlNodeHooks final {
  /// Sends a log message to the member at \p Address.
  std::function<void(const std::string &Address, LogEnvelope Envelope)>
      m_SendLog;
  /// Pushes an update to an entry process.
  std::function<void(ControlSessionId Session, ControlUpdate Update)> m_Push;
  /// Calls a backend server; backendCallCompleted() gets the result.
  std::function<void(const CallBackend &Call)> m_CallBackend;
  /// Records a step of the leader in the timeline.
  std::function<void(const std::string &Text)> m_WriteTimeline;
  /// Called when this node is ready to lead (\p Ready) and when it has lost the
  /// leadership.
  std::function<void(bool Ready)> m_LeadershipChanged;
  /// Measures the node's work; null: nothing is measured.
  std::shared_ptr<ControlLoad> m_Load;
};

/// The control role of one process: a member of the replicated log with its
/// files, the replicated state, and the leader's decisions.
///
/// Single-threaded and without sockets; ControlActor runs it.
class ControlNode final {
public:
  template <typename Reply> using Respond = std::function<void(Reply)>;

  ControlNode(ControlNodeSettings Settings, std::unique_ptr<LogStorage> Storage,
              ControlNodeHooks Hooks);
  ~ControlNode();
  ControlNode(const ControlNode &) = delete;
  ControlNode &operator=(const ControlNode &) = delete;

  /// Reads the data folder. False with lastReason() on failure.
  bool open(Instant Now);

  /// Leaves the actions of the following events to endBatch(), so that many
  /// events that arrive together need one write to the disk. tick() performs
  /// actions all the same.
  void beginBatch() { m_IsInBatch = true; }
  /// Performs the actions of the events since beginBatch().
  void endBatch(Instant Now);

  ///@name Events
  void receive(Instant Now, const LogEnvelope &Envelope);
  void tick(Instant Now, WallTime Wall);
  void openSession(Instant Now, const OpenSession &Command,
                   const Respond<OpenSessionReply> &Reply);
  void renew(Instant Now, const LeaseRenewal &Renewal,
             Respond<RenewReply> Reply);
  void report(Instant Now, const std::vector<ServerAnnouncement> &Announcements,
              const std::vector<ServerSuspicion> &Suspicions,
              const Respond<ControlStatus> &Reply);
  void command(Instant Now, const ControlCommand &Command,
               Respond<CommandReply> Reply);
  /// Runs a query (see controlQueryJson()) after a quorum has confirmed this
  /// node as the leader.
  void query(Instant Now, const std::string &QueryKind, const std::string &Name,
             Respond<QueryReply> Reply);
  /// Issues permits for operations of limited workspaces; answered after a
  /// quorum has confirmed this node as the leader.
  void takePermits(Instant Now, ControlSessionId Session,
                   const std::vector<PermitDemand> &Demands,
                   Respond<TakePermitsReply> Reply);
  void revisionsConfirmed(Instant Now, ControlSessionId Session,
                          const Confirmation &Confirmed);
  void pushFailed(ControlSessionId Session) { m_Leader.pushFailed(Session); }
  void backendCallCompleted(Instant Now, const BackendCallResult &Result);
  /// Takes the identities of the known control hosts, this one included.
  /// \p AllBlank: this host is listed in the settings, and all listed hosts
  /// answered that their logs are empty.
  void peersIdentified(Instant Now, const std::vector<PeerIdentity> &Peers,
                       bool AllBlank);
  /// True if this host, which has been told to end, should remain until it is
  /// removed from the log's configuration; see shouldAwaitRemoval().
  bool shouldAwaitRemoval() const;

  /// True once a write to the disk has failed; from then on this node takes no
  /// part in the replicated log.
  bool hasFailed() const { return m_Log->role() == LogRole::Stopped; }
  /// Closes the data folder of a failed node and discards data that may not be
  /// durable. False with lastReason() if the disk refuses; then to be repeated.
  bool releaseStorage();

  ///@name State
  IdentifyReply identify() const;
  const ControlState &state() const { return m_State; }
  /// Payload bytes of the log entries in memory.
  std::size_t logBytes() const { return m_Log->log().payloadBytes(); }
  ResultCode lastCode() const { return m_LastCode; }
  const std::string &lastReason() const { return m_LastReason; }

private:
  struct PendingPromotion;
  using RenewalKey = std::pair<ControlSessionId, std::uint64_t>;
  struct PendingCommand;
  struct PendingQuery;
  struct PendingPermits;

  /// Performs the actions of an event, unless a batch is open.
  void eventHandled(Instant Now);
  /// Performs actions until none is left, or until as many entries were applied
  /// as one ApplyEntries action may hold; the rest follows with the next event.
  void performActions(Instant Now);
  bool performLogActions(Instant Now);
  bool performLeaderActions(Instant Now);
  void perform(Instant Now, const SendMessage &Action);
  void perform(Instant Now, const PersistLog &Action);
  void perform(Instant Now, const ApplyEntries &Action);
  void perform(Instant Now, const RestoreSnapshot &Action);
  void perform(Instant Now, const BecameLeader &Action);
  void perform(Instant Now, const LeaderReady &Action);
  void perform(Instant Now, const LostLeadership &Action);
  void perform(Instant Now, const LeadershipConfirmed &Action);
  void perform(Instant Now, const ConfirmationDropped &Action);
  void perform(Instant Now, const ProposalDropped &Action);
  void perform(Instant Now, const Propose &Action);
  void perform(Instant Now, const ConfirmLeadership &Action);
  void perform(Instant Now, const GrantRenewal &Action);
  void perform(Instant Now, const RefuseRenewal &Action);
  void perform(Instant Now, const PushGroupView &Action);
  void perform(Instant Now, const PushCatalogue &Action);
  void perform(Instant Now, const PushSessionHomes &Action);
  void perform(Instant Now, const CallBackend &Action);
  void perform(Instant Now, const WriteTimelineLine &Action);

  void applyEntry(Instant Now, const LogEntry &Entry);
  /// If \p Result says that a request key is in use by a session that has
  /// ended, clears the session in its ledger record, so that the requester
  /// learns that the holder has ended.
  void clearEndedSession(ControlResult &Result) const;
  /// Sends the promotion \p Token, for which this node was confirmed as the
  /// leader.
  void sendPromotion(std::uint64_t Token);
  void snapshotIfDue(Instant Now);
  void updateReplacedMembers(Instant Now,
                             const std::vector<PeerIdentity> &Peers);
  void startVoterStep(Instant Now, const MembershipChange &Step);
  void failPending();
  void answerQuery(const PendingQuery &Query);
  PermitGrant issuePermits(Instant Now, const PermitDemand &Demand);
  bool isServing() const;
  ControlStatus notLeaderStatus() const;
  static SessionHomesView homesView(const SessionHomeLists &Homes);
  /// homesView(), made once for all sessions.
  const std::shared_ptr<const SessionHomesView> &
  sharedHomesView(const SessionHomeLists &Homes);

  ControlNodeSettings m_Settings;        ///< Settings.
  std::unique_ptr<LogStorage> m_Storage; ///< Null after releaseStorage().
  ControlNodeHooks m_Hooks;              ///< Callbacks into the process.
  std::unique_ptr<ReplicatedLog> m_Log;  ///< Set by open().
  ControlState m_State;                  ///< The replicated state.
  ControlLeader m_Leader;                ///< Decides while this node leads.
  WorkspaceLimiter m_Limiter; ///< Issues permits while this node leads.
  std::map<LogIndex, PendingCommand> m_Commands; ///< Not yet applied; by index.
  std::map<std::uint64_t, PendingQuery> m_Queries; ///< Unconfirmed; by token.
  std::map<std::uint64_t, PendingPermits>
      m_Permits; ///< Issued, not yet confirmed; by token.
  std::map<RenewalKey, Respond<RenewReply>> m_Renewals; ///< Not yet answered.
  std::map<ControlSessionId, ControlUpdate>
      m_Pushes; ///< Updates to push once all actions of a step are performed.
  std::shared_ptr<const SessionHomesView>
      m_HomesView;                     ///< See sharedHomesView().
  bool m_IsInBatch = false;            ///< See beginBatch().
  std::size_t m_AppliedEntries = 0;    ///< Entries applied by performActions().
  std::uint64_t m_LastTokenNumber = 0; ///< Last number used in a token.
  std::map<std::uint64_t, PendingPromotion>
      m_Promotions;        ///< Unconfirmed; by token.
  LogIndex m_LastSnapshot; ///< Last index covered by a snapshot.
  std::map<VoterId, std::string>
      m_AddressByVoter;                   ///< Addresses of control hosts.
  ReplacedMembers m_ReplacedMembers;      ///< Members whose disks are lost.
  ResultCode m_LastCode = ResultCode::Ok; ///< See lastCode().
  std::string m_LastReason;               ///< See lastReason().
};

/// A proposed command whose result is awaited.
struct ControlNode::PendingCommand final {
  LogTerm m_Term;                ///< Log term of the entry.
  Respond<CommandReply> m_Reply; ///< Empty for the leader's own commands.
};

/// A query that waits until this node is confirmed as the leader.
struct ControlNode::PendingQuery final {
  std::string m_QueryKind;     ///< Kind of query; see controlQueryJson().
  std::string m_Name;          ///< Name of a catalogue entry, or empty.
  Respond<QueryReply> m_Reply; ///< Takes the answer.
};

/// Permits that are sent once this node is confirmed as the leader.
struct ControlNode::PendingPermits final {
  PermitGrants m_Grants;             ///< The permits.
  Respond<TakePermitsReply> m_Reply; ///< Takes them.
};

/// A promotion that waits until this node is confirmed as the leader.
struct ControlNode::PendingPromotion final {
  CallBackend m_Call;  ///< The call.
  Instant m_StartedAt; ///< When the confirmation was requested.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_CONTROL_CONTROLNODE_H
