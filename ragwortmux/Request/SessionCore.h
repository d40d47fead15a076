#ifndef RAGWORTMUX_REQUEST_SESSIONCORE_H
#define RAGWORTMUX_REQUEST_SESSIONCORE_H

#include "ragwortmux/Connection/ConnectionPool.h"
#include "ragwortmux/Request/PlaceRead.h"
#include "ragwortmux/Request/PositionHistory.h"
#include "ragwortmux/Request/ReplicaAge.h"
#include "ragwortmux/Request/RetryBudget.h"
#include "ragwortmux/Request/SessionCoreSettings.h"
#include "ragwortmux/Request/SessionEvents.h"
#include "ragwortmux/Request/SessionQueue.h"
#include "ragwortmux/Request/SessionRequestState.h"
#include "ragwortmux/Version/GroupView.h"

#include <map>
#include <optional>
#include <set>

namespace ragwortmux {

/// The decisions of an entry host for the stateful sessions of one delegated
/// group: where each statement runs, what waits, what is refused, and when a
/// write may be acknowledged.
///
/// Deterministic like GroupCore: each event takes the current time and appends
/// what is to be done. Events about connections and requests that are no longer
/// known are ignored.
class SessionCore final {
public:
  SessionCore(GroupId Group, const SessionCoreSettings &Settings);
  SessionCore(const SessionCore &) = delete;
  SessionCore &operator=(const SessionCore &) = delete;

  /// Takes a statement. A caller's next one is to be submitted after the last
  /// one was answered.
  void submit(Instant Now, SessionRequest Request, SessionActions &Actions);
  /// The caller has closed its connection.
  void callerGone(Instant Now, CallerConnectionId Caller,
                  SessionActions &Actions);

  void connectionOpened(Instant Now, ConnectionId Connection,
                        SessionActions &Actions);
  /// \p ServerAnswered: the server itself refused the connection.
  void connectionFailed(Instant Now, ConnectionId Connection,
                        bool ServerAnswered, SessionActions &Actions);
  void connectionLost(Instant Now, ConnectionId Connection,
                      SessionActions &Actions);
  void statementAnswered(Instant Now, ConnectionId Connection,
                         const StatementReply &Reply, SessionActions &Actions);

  /// Takes a newer record of the group; an older one is ignored.
  void viewChanged(Instant Now, const GroupView &View, SessionActions &Actions);
  /// The lease covers the newest record until \p ValidUntil. A record that came
  /// with the same renewal must be handed in first.
  void leaseExtended(Instant Now, Instant ValidUntil, SessionActions &Actions);
  /// From now on takes no new transactions; open ones may go on.
  void drain(Instant Now, SessionActions &Actions);
  /// Gives up the transactions that are still open.
  void endTransactions(Instant Now, SessionActions &Actions);
  /// Time has passed; to be called at nextDeadline() at the latest.
  void tick(Instant Now, SessionActions &Actions);

  /// When tick() has something to do.
  std::optional<Instant> nextDeadline() const;
  /// The newest record that this host acts by: nothing of an earlier term is
  /// acknowledged any more.
  Revision confirmedRevision() const { return m_ConfirmedRevision; }
  /// True if \p Caller has a transaction open here.
  bool hasTransaction(CallerConnectionId Caller) const {
    return m_Transactions.contains(Caller);
  }
  /// Statements that have not been answered.
  std::size_t pending() const { return m_Requests.size(); }
  /// Statements that wait to be sent.
  std::size_t waiting() const { return m_Waiting.size(); }
  std::size_t openTransactions() const { return m_Transactions.size(); }
  const GroupView &view() const { return m_View; }
  /// Connections held to \p Server.
  std::uint32_t held(const ServerId &Server) const {
    return m_Pool.connectionCount(Server);
  }

  /// Connections to \p Server that this host could use now; 0 while it has no
  /// statements that wait.
  std::uint32_t wanted(const ServerId &Server) const {
    return m_Waiting.empty() ? 0 : m_Pool.desiredCount(Server);
  }

private:
  using Request = SessionRequestState;
  using Transaction = SessionTransaction;

  void beginEvent(Instant Now, SessionActions &Actions);
  void endEvent();
  void act(SessionAction Action) { m_Actions->push_back(std::move(Action)); }
  void apply(const PoolActions &Orders);
  void note(const Request &State, SessionDecision Decision, ResultCode Code);

  // Placement.
  void dispatch();
  bool hasFreeConnection() const;
  bool primaryTakesMore() const;
  bool mayOpenMore() const;
  bool isLeaseLost() const;
  bool isPrimaryOutOfReach() const;
  std::optional<ResultCode> whyHopeless(const Request &State) const;
  void refuseHopeless();
  bool tryPlace(Request &State);
  bool tryPrimary(Request &State);
  bool tryRead(Request &State);
  std::vector<ReadPlace>
  readPlaces(const Request &State,
             const std::optional<PositionHistory::Sample> &Floor) const;
  std::optional<PositionHistory::Sample> floorOf(const Request &State) const;
  void sendOn(Request &State, const ServerId &Server, ConnectionId Connection,
              const std::optional<PositionHistory::Sample> &Floor);
  std::optional<ConnectionId> takeConnection(const ServerId &Server,
                                             const Request &State);
  void submitInTransaction(Request &State, Transaction &Open);
  void enqueue(Request &State);
  void leaveQueue(Request &State);
  void setDemands();
  bool primaryUsable() const;
  bool takesReads(const ServerView &Server) const;
  const ServerView *server(const ServerId &Server) const;

  // Answers.
  void answered(Request &State, const StatementReply &Reply);
  void answeredInTransaction(Request &State, const StatementReply &Reply);
  bool retriesUnrun(Request &State, const StatementReply &Reply);
  Duration takeBusyPause(Request &State) const;
  void notePosition(const Request &State, const StatementReply &Reply);
  void passOn(Request &State, const StatementReply &Reply);
  void beginTransaction(Request &State, const StatementReply &Reply);
  void lostStatement(Request &State);
  void runElsewhere(Request &State);
  SessionAnswer answerTo(const Request &State, ResultCode Code) const;
  void finish(Request &State, ResultCode Code, TransactionStatus Status);
  void erase(Request &State);
  bool mayAcknowledge(const Request &State) const;
  void releaseConnection(ConnectionId Connection);
  void dropConnection(ConnectionId Connection);
  void dropStatement(Request &State);
  void rollBackFor(CallerConnectionId Caller);
  void giveUpTransaction(Transaction &Open);
  void expire(Request &State);
  void checkSilence(Request &State);
  ResultCode obstacle(const Request &State) const;

  // Terms and shares.
  void applyShares();
  void confirmView();
  bool hasOldCommits() const;
  bool isOldCommit(const Request &State) const;
  void endOldTerms();
  void retryReadsAt(const ServerId &Server);
  Instant wakeTime(const Request &State) const;

  GroupId m_Group;                     ///< The group.
  SessionCoreSettings m_Settings;      ///< How it decides.
  Instant m_Now;                       ///< Time of the event under way.
  SessionActions *m_Actions = nullptr; ///< Actions of the event under way.

  GroupView m_View;             ///< Newest record.
  Instant m_LeaseUntil;         ///< End of the lease.
  Instant m_TermEndedAt;        ///< When the newest term was heard of.
  Term m_AcknowledgedTerm;      ///< Commits of this term on are acknowledged.
  Revision m_ConfirmedRevision; ///< See confirmedRevision().
  bool m_Draining = false;      ///< drain() was called.
  bool m_HoldsShares = false;   ///< The pool has the shares of the record.

  std::map<RequestId, Request> m_Requests;     ///< Not answered yet.
  SessionQueue m_Waiting;                      ///< Those not sent yet.
  std::map<ConnectionId, RequestId> m_Running; ///< Statements under way.
  std::map<CallerConnectionId, Transaction> m_Transactions; ///< Open ones.
  std::set<ConnectionId> m_RollingBack; ///< Connections with an own rollback.
  std::map<ConnectionId, BackendSession> m_Sessions; ///< What connections hold.
  std::map<ServerId, ReplicaAge> m_Ages;             ///< How far servers lag.
  std::map<ServerId, Instant> m_LastReply; ///< Last answer of each server.
  std::map<ServerId, Instant> m_UnreachableSince; ///< Servers out of reach.
  std::map<ServerId, Instant> m_RefusesUntil;     ///< Servers that were full.
  PositionHistory m_History;                      ///< Positions of the primary.
  ConnectionPool m_Pool;                          ///< Connections.
  RetryBudget m_Retries; ///< Statements that may be given up and run again.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_SESSIONCORE_H
