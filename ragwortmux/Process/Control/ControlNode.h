#ifndef RAGWORTMUX_PROCESS_CONTROL_CONTROLNODE_H
#define RAGWORTMUX_PROCESS_CONTROL_CONTROLNODE_H

#include "ragwortmux/Process/Log/LogStorage.h"
#include "ragwortmux/Process/Log/MembershipChange.h"
#include "ragwortmux/Process/Log/ReplicatedLog.h"
#include "ragwortmux/Process/Peers/ControlMessages.h"
#include "ragwortmux/Version/ControlLeader.h"
#include "ragwortmux/Version/ControlState.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace ragwortmux {

/// How a control node is made.
struct ControlNodeSettings final {
  std::string m_Address;    ///< This member's address, as others know it.
  bool m_Bootstrap = false; ///< May start a new log.
  std::size_t m_Voters = 0; ///< Voters to keep among the control hosts that are
                            ///< found; 0: all listed hosts vote.
  ReplicatedLogSettings m_Log;            ///< Replication.
  ControlLeaderSettings m_Leader;         ///< Decisions of the leader.
  ControlState::Settings m_State;         ///< Bounds of the state.
  std::uint64_t m_SnapshotEntries = 4096; ///< Entries between two snapshots.
};

/// What a control node needs from the process. Called by the thread that calls
/// the node.
struct ControlNodeHooks final {
  /// Sends a log message to the member at \p Address.
  std::function<void(const std::string &Address, LogEnvelope Envelope)>
      m_SendLog;
  /// Pushes an update to an entry process.
  std::function<void(ControlSessionId Session, ControlUpdate Update)> m_Push;
  /// Calls a backend server; backendCallDone() gets the result.
  std::function<void(const CallBackend &Call)> m_CallBackend;
  /// A step of the leader, for the time line.
  std::function<void(const std::string &Text)> m_Note;
  /// This node began or ceased to lead; \p Ready: it acts as the leader.
  std::function<void(bool Ready)> m_LeadershipChanged;
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
  /// Answered once this node is confirmed as the leader.
  void query(Instant Now, const std::string &What, const std::string &Name,
             Respond<QueryReply> Reply);
  void confirmed(Instant Now, ControlSessionId Session,
                 const Confirmation &Confirmed);
  void backendCallDone(Instant Now, const BackendCallResult &Result);
  /// The control hosts of the settings answered who they are, this one
  /// included.
  void peersIdentified(Instant Now, const std::vector<PeerIdentity> &Peers,
                       bool AllBlank);

  /// True once the disk has failed: this node takes no part any more.
  bool hasFailed() const { return m_Log->role() == LogRole::Stopped; }
  /// Gives up the folder of a failed node, without what may not be durable.
  /// False with lastReason() if the disk does not let it; then to be repeated.
  bool releaseStorage();

  ///@name State
  IdentifyReply identify() const;
  const ControlState &state() const { return m_State; }
  ResultCode lastCode() const { return m_LastCode; }
  const std::string &lastReason() const { return m_LastReason; }

private:
  struct PendingPromotion;
  using RenewalKey = std::pair<ControlSessionId, std::uint64_t>;
  struct PendingCommand;
  struct PendingQuery;

  void pump(Instant Now);
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
  /// Tells who asks for a key in use that its holder's session has ended, by
  /// leaving the session out of the record.
  void clearEndedHolder(ControlResult &Result) const;
  /// Sends a promotion for which this node was confirmed as the leader.
  void sendPromotion(std::uint64_t Token);
  void snapshotIfDue(Instant Now);
  void takeVoterStep(Instant Now, const MembershipChange &Step);
  void failPending();
  void answer(const PendingQuery &Query);
  bool isServing() const;
  ControlStatus notLeader() const;
  SessionHomesView homesView(const SessionHomeLists &Homes) const;

  ControlNodeSettings m_Settings;        ///< As given.
  std::unique_ptr<LogStorage> m_Storage; ///< The data folder.
  ControlNodeHooks m_Hooks;              ///< As given.
  std::unique_ptr<ReplicatedLog> m_Log;  ///< Set by open().
  ControlState m_State;                  ///< The replicated state.
  ControlLeader m_Leader;                ///< Decides while this node leads.
  std::map<LogIndex, PendingCommand> m_Commands;   ///< Proposed, not applied.
  std::map<std::uint64_t, PendingQuery> m_Queries; ///< Not confirmed yet.
  std::map<RenewalKey, Respond<RenewReply>> m_Renewals; ///< Not answered yet.
  std::uint64_t m_LastQuery = 0; ///< The last query's number.
  std::map<std::uint64_t, PendingPromotion>
      m_Promotions;        ///< Not confirmed yet.
  LogIndex m_LastSnapshot; ///< Entries covered by a snapshot.
  std::map<VoterId, std::string> m_Identified; ///< Addresses of data folders.
  ResultCode m_LastCode = ResultCode::Ok;      ///< See lastCode().
  std::string m_LastReason;                    ///< See lastReason().
};

/// A proposed command and who waits for its result.
struct ControlNode::PendingCommand final {
  LogTerm m_Term;                ///< Term of the entry.
  Respond<CommandReply> m_Reply; ///< Empty for the leader's own commands.
};

/// A query that waits until this node is confirmed as the leader.
struct ControlNode::PendingQuery final {
  std::string m_What;          ///< What is asked.
  std::string m_Name;          ///< About whom.
  Respond<QueryReply> m_Reply; ///< Who asks.
};

/// A promotion that waits until this node is confirmed as the leader.
struct ControlNode::PendingPromotion final {
  CallBackend m_Call;  ///< The call.
  Instant m_StartedAt; ///< When the confirmation was asked for.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_CONTROL_CONTROLNODE_H
