#ifndef RAGWORTMUX_REQUEST_SESSIONCORE_H
#define RAGWORTMUX_REQUEST_SESSIONCORE_H

#include "ragwortmux/Connection/ConnectionPool.h"
#include "ragwortmux/Request/ChooseReadTarget.h"
#include "ragwortmux/Request/CrossDomainPolicy.h"
#include "ragwortmux/Request/FairQueue.h"
#include "ragwortmux/Request/PositionHistory.h"
#include "ragwortmux/Request/QueueEstimate.h"
#include "ragwortmux/Request/ReplicaLag.h"
#include "ragwortmux/Request/RetryBudgets.h"
#include "ragwortmux/Request/SessionCoreSettings.h"
#include "ragwortmux/Request/SessionEvents.h"
#include "ragwortmux/Request/SessionRequestState.h"
#include "ragwortmux/Request/WorkspacePermits.h"
#include "ragwortmux/Version/GroupView.h"

#include <map>
#include <optional>
#include <set>

namespace ragwortmux {

/// Decision logic of an entry host for the stateful sessions of one delegated
/// group: on which server each statement runs, which statements wait or are
/// refused, and when a write may be acknowledged.
///
/// Deterministic like GroupCore: each event function takes the current time and
/// appends the resulting actions. Events for unknown connections and requests
/// are ignored.
class SessionCore final {
public:
  SessionCore(GroupId Group, const SessionCoreSettings &Settings);
  SessionCore(const SessionCore &) = delete;
  SessionCore &operator=(const SessionCore &) = delete;

  /// Submits a statement. A caller must not submit its next statement before
  /// the previous one was answered.
  void submit(Instant Now, SessionRequest Request, SessionActions &Actions);
  /// The caller has closed its connection.
  void callerDisconnected(Instant Now, CallerConnectionId Caller,
                          SessionActions &Actions);

  void connectionOpened(Instant Now, ConnectionId Connection,
                        SessionActions &Actions);
  /// \p ServerAnswered is true if the server itself refused the connection.
  void connectionFailed(Instant Now, ConnectionId Connection,
                        bool ServerAnswered, SessionActions &Actions);
  void connectionLost(Instant Now, ConnectionId Connection,
                      SessionActions &Actions);
  void statementAnswered(Instant Now, ConnectionId Connection,
                         const StatementReply &Reply, SessionActions &Actions);

  /// Applies a newer group record, or the same one if it was outdated; other
  /// records are ignored.
  void viewChanged(Instant Now, const GroupView &View, SessionActions &Actions);
  /// Sets whether callers of the group belong to workspaces; see
  /// ConnectionPool::setUsesWorkspaces().
  void setUsesWorkspaces(bool UsesWorkspaces) {
    m_UsesWorkspaces = UsesWorkspaces;
    m_Pool.setUsesWorkspaces(UsesWorkspaces);
  }
  /// Sets the permits that operations of limited workspaces take; null: no
  /// workspace is limited. They must outlive the core.
  void setPermits(WorkspacePermits *Permits) { m_Permits = Permits; }
  /// Sends the operations that waited for permits and have them now, and
  /// refuses those that get none.
  void permitsChanged(Instant Now, SessionActions &Actions);
  /// Control has opened another session for this host. The record may be
  /// outdated: without a share in the group the host is not waited for when the
  /// term ends. Until a record arrives under the new session, the lease does
  /// not cover the group.
  void controlSessionChanged(Instant Now, SessionActions &Actions);
  /// Extends the lease on the newest record to \p ValidUntil. A record that
  /// came with the same renewal must be passed to viewChanged() first.
  void leaseExtended(Instant Now, Instant ValidUntil, SessionActions &Actions);
  /// Starts draining: new transactions are refused, open ones may continue.
  void drain(Instant Now, SessionActions &Actions);
  /// Aborts the open transactions that have no statement under way.
  void endTransactions(Instant Now, SessionActions &Actions);
  /// Handles expired timers; must be called at nextDeadline() at the latest.
  void tick(Instant Now, SessionActions &Actions);

  /// Time of the next timer that tick() has to handle.
  std::optional<Instant> nextDeadline() const;
  /// Revision of the newest record in full effect: writes of earlier terms are
  /// no longer acknowledged. 0 if the record is outdated.
  Revision confirmedRevision() const {
    return m_IsRecordOutdated ? Revision() : m_ConfirmedRevision;
  }
  /// True if the record arrived under an earlier control session.
  bool isRecordOutdated() const { return m_IsRecordOutdated; }
  /// True if \p Caller has a transaction open here.
  bool hasTransaction(CallerConnectionId Caller) const {
    return m_Transactions.contains(Caller);
  }
  /// Number of statements that have not been answered.
  std::size_t pending() const { return m_Requests.size(); }
  /// Number of statements in the queue.
  std::size_t waiting() const { return m_Waiting.size(); }
  /// True if statements wait only for permits of their workspaces.
  bool awaitsPermits() const { return !m_AwaitingPermit.empty(); }
  std::size_t openTransactions() const { return m_Transactions.size(); }
  const GroupView &view() const { return m_View; }
  /// Connections to \p Server that are open, opening or closing.
  std::uint32_t connectionCount(const ServerId &Server) const {
    return m_Pool.connectionCount(Server);
  }

  /// Number of connections to \p Server that this host could use now; 0 while
  /// no statement waits.
  std::uint32_t connectionDemand(const ServerId &Server) const {
    return m_Waiting.empty() ? 0 : m_Pool.desiredCount(Server);
  }

  /// Decides which reads leave the failure domain.
  const CrossDomainPolicy &crossDomain() const { return m_CrossDomain; }

private:
  using Request = SessionRequestState;
  using Transaction = SessionTransaction;

  void beginEvent(Instant Now, SessionActions &Actions);
  void endEvent();
  void emit(SessionAction Action) { m_Actions->push_back(std::move(Action)); }
  void apply(const PoolActions &Actions);
  void recordDecision(const Request &State, SessionDecision Decision,
                      ResultCode Code);

  // Placement.
  void dispatch();
  bool hasIdleConnection() const;
  bool hasIdleConnectionFor(const Request &State) const;
  bool hasIdlePrimaryConnection() const;
  bool canOpenConnection() const;
  bool isLeaseLost() const;
  bool isPrimaryUnreachable() const;
  std::optional<ResultCode> refusalReason(const Request &State) const;
  void refuseUnservable();
  bool tryDispatch(Request &State);
  bool isOverLimit(Request &State);
  bool hasPermit(Request &State);
  void awaitPermit(Request &State);
  void refuseForLimit(Request &State);
  void refuseAwaitingPermit();
  void endPermitWait(Request &State);
  bool tryPrimary(Request &State);
  bool tryRead(Request &State);
  bool isNear(const ServerId &Server) const;
  CrossDomainVerdict decidePlacement(Request &State,
                                     const std::vector<ReadTarget> &Targets);
  void observeReply(const Request &State, const StatementReply &Reply);
  std::vector<ReadTarget>
  readTargets(const Request &State,
              const std::optional<PositionHistory::Sample> &Floor) const;
  std::optional<PositionHistory::Sample> readFloor(const Request &State) const;
  void sendOn(Request &State, const ServerId &Server, ConnectionId Connection,
              const std::optional<PositionHistory::Sample> &Floor);
  std::optional<ConnectionId> acquireConnection(const ServerId &Server,
                                                const Request &State);
  void submitInTransaction(Request &State, Transaction &Open);
  void enqueue(Request &State);
  void enqueueNew(Request &State);
  void removeFromQueue(Request &State);
  void updateDemand();
  void addReadDemand(Request &State,
                     std::map<ServerId, ConnectionDemand> &Demand);
  bool isPrimaryUsable() const;
  bool acceptsReads(const ServerView &Server) const;
  const ServerView *server(const ServerId &Server) const;

  // Load shedding.
  void reviewQueue();
  void reviewStatement(RequestId Id);
  std::uint32_t laneSlots(QueueLane Lane) const;
  bool canServe(const Request &State) const;
  ShedReason exceededLimit() const;
  ShedReason exceededShare(const WorkspaceId &Workspace) const;
  void enforceLimits(RequestId Added);
  void shed(Request &State, ShedReason Reason);
  bool tryConsumeRetry(const Request &State);
  void holdSlot(Request &State);
  void releaseSlot(Request &State);
  bool hasFreeSlot(const ServerView &Server) const;

  // Set-up of the session on a connection.
  void setUpOrSend(Request &State);
  void sendStatement(Request &State);
  void handleSetUpReply(Request &State, const StatementReply &Reply);
  bool maySendAfterSetUp(const Request &State) const;
  bool canSendCommit(Term TransactionTerm) const;
  void releaseUnused(Request &State);
  void handleUnsentStatement(Request &State);

  // Answers.
  void handleProbeReply(ConnectionId Connection, bool IsReset);
  void handleReply(Request &State, const StatementReply &Reply);
  void handleTransactionReply(Request &State, const StatementReply &Reply);
  bool retryIfNotRun(Request &State, const StatementReply &Reply);
  Duration nextBusyPause(Request &State) const;
  bool wasSentToPrimary(const Request &State) const;
  /// The position in \p Reply if it covers every write that was acknowledged
  /// before the statement was sent.
  std::optional<LogPoint> primaryPoint(const Request &State,
                                       const StatementReply &Reply) const;
  void recordPosition(const Request &State, const StatementReply &Reply);
  void forwardReply(Request &State, const StatementReply &Reply);
  void beginTransaction(Request &State, const StatementReply &Reply);
  void handleLostStatement(Request &State, bool IsRetryPaid = false);
  void rerunOnOtherServer(Request &State);
  SessionAnswer answerTo(const Request &State, ResultCode Code) const;
  void finish(Request &State, ResultCode Code, TransactionStatus Status);
  void erase(Request &State);
  bool canAcknowledge(const Request &State) const;
  void releaseConnection(ConnectionId Connection);
  void dropConnection(ConnectionId Connection);
  void dropStatement(Request &State);
  void rollBackFor(CallerConnectionId Caller);
  void rollBack(ConnectionId Connection);
  void dropUnansweredRollbacks();
  void abandonTransaction(Transaction &Open);
  void expire(Request &State);
  void checkSilence(Request &State);
  ResultCode notRunReason(const Request &State) const;

  // Terms and shares.
  Instant leaseExpiry() const;
  void applyShares();
  void confirmView();
  bool hasCommitsOfEndedTerm() const;
  bool isCommitOfEndedTerm(const Request &State) const;
  void endPreviousTerms();
  void retryReadsAt(const ServerId &Server);
  Instant wakeTime(const Request &State) const;
  Instant silentAt(const Request &State) const;
  void checkRunning(Request &State);

  GroupId m_Group; ///< The group.
  SessionCoreSettings
      m_Settings; ///< Time limits and thresholds of the decisions.
  Instant m_Now;  ///< Time of the event under way.
  SessionActions *m_Actions = nullptr; ///< Actions of the event under way.

  GroupView m_View;                ///< Newest group record.
  Instant m_LeaseExpiry;           ///< End of the lease; see leaseExpiry().
  Instant m_RecordOutdatedSince;   ///< When the control session changed.
  bool m_IsRecordOutdated = false; ///< See isRecordOutdated().
  Instant m_TermEndedAt;        ///< When the record of the newest term arrived;
                                ///< 0 if control may not wait for this host.
  Term m_AcknowledgedTerm;      ///< Term whose commits may be acknowledged.
  Revision m_ConfirmedRevision; ///< Newest record in full effect.
  bool m_Draining = false;      ///< drain() was called.
  bool m_UsesWorkspaces = false; ///< See setUsesWorkspaces().
  bool m_HasFullShares = false;  ///< The pool uses the connection shares of the
                                 ///< record; false without a lease.

  // A connection that the pool counts as busy is in exactly one of m_Running,
  // m_Transactions and m_RollingBack, or in the first two if a statement of the
  // transaction is under way.
  std::map<RequestId, Request> m_Requests; ///< Unanswered statements.
  FairQueue m_Waiting;                     ///< Statements to be sent.
  WorkspacePermits *m_Permits = nullptr;   ///< See setPermits().
  std::set<RequestId> m_AwaitingPermit;    ///< Queued statements that could be
                                           ///< sent but for their permits.
  std::map<ConnectionId, RequestId> m_Running; ///< Statements under way.
  std::map<CallerConnectionId, Transaction>
      m_Transactions; ///< Open transactions.
  std::map<ConnectionId, Instant>
      m_RollingBack; ///< Connections on which a rollback of this proxy runs,
                     ///< and until when its answer is waited for.
  std::map<ConnectionId, BackendSession>
      m_Sessions; ///< Session state set on each connection.
  std::map<ServerId, ReplicaLag>
      m_ReplicaLags; ///< Observed lag of each replica.
  std::map<ServerId, Instant>
      m_LastReply; ///< Time of each server's last reply.
  std::map<ServerId, Instant>
      m_UnreachableSince; ///< Since when a server has been unreachable.
  std::map<ServerId, Instant> m_RefusesUntil; ///< Until when a server that had
                                              ///< no free slot gets no reads.
  PositionHistory m_History;                  ///< Positions of the primary.
  ConnectionPool m_Pool; ///< Connections to the backend servers.
  CrossDomainPolicy
      m_CrossDomain; ///< Decides which reads leave the failure domain.
  RetryBudgets
      m_Retries; ///< Limits how many statements are abandoned and run again.
  std::map<ServerId, std::uint32_t>
      m_SlotsHeld; ///< Statements recently sent to each server, and those of
                   ///< open transactions that wait for a slot there.
  QueueEstimate m_Estimate; ///< Whether a queued statement can be served.
  std::vector<RequestId>
      m_ToReview; ///< Statements queued, or late, since the last review.
  std::set<std::pair<Instant, RequestId>>
      m_Reviews; ///< Next review of each queued statement; only to shed load.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_SESSIONCORE_H
