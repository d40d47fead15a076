#ifndef RAGWORTMUX_REQUEST_GROUPCONTEXT_H
#define RAGWORTMUX_REQUEST_GROUPCONTEXT_H

#include "ragwortmux/Connection/ConnectionPool.h"
#include "ragwortmux/Request/AgeTracker.h"
#include "ragwortmux/Request/Dispatcher.h"
#include "ragwortmux/Request/GroupCounts.h"
#include "ragwortmux/Request/GroupEvents.h"
#include "ragwortmux/Request/GroupSettings.h"
#include "ragwortmux/Request/KeyedRequests.h"
#include "ragwortmux/Request/ReadRequests.h"
#include "ragwortmux/Request/RequestQueue.h"
#include "ragwortmux/Request/RequestState.h"
#include "ragwortmux/Request/RetryBudget.h"
#include "ragwortmux/Request/TransactionState.h"
#include "ragwortmux/Request/Transactions.h"
#include "ragwortmux/Request/WriteGate.h"
#include "ragwortmux/Request/WriteRequests.h"
#include "ragwortmux/Version/GroupView.h"

#include <map>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace ragwortmux {

/// State and operations shared by the parts of GroupCore.
struct GroupContext final {
  /// Use of a busy connection.
  struct ConnectionUse final {
    std::optional<RequestId>
        m_Running; ///< Request whose statement runs; none between the
                   ///< statements of a transaction.
    EntryName
        m_Entry; ///< Catalogue entry whose concurrency limit it counts against.
    ServerId m_Server;                ///< Server whose slots it counts against.
    bool m_HasChangedSession = false; ///< A statement left session state on it.
  };

  GroupContext(GroupId Group, const GroupSettings &Settings);
  GroupContext(const GroupContext &) = delete;
  GroupContext &operator=(const GroupContext &) = delete;

  // Event handlers of GroupCore that concern more than one part.
  void submit(GroupRequest Request);
  void abandonCaller(CallerConnectionId Caller);
  void handleConnectionLoss(ConnectionId Connection);
  void dispatchAnswer(ConnectionId Connection, BackendAnswer Result);
  void handleTagFailure(RequestState &State, const BackendAnswer &Result);
  void applyView(const GroupView &View);
  void handleTimers();
  /// Retries ending the attempts that waited for a primary or a lease.
  void retryEndAttempts();

  /// Starts an event whose actions are appended to \p Actions.
  void beginEvent(Instant Now, GroupActions &Actions);
  /// Ends the event: dispatches queued requests and updates the timers.
  void endEvent();
  void emit(GroupAction Action);
  void apply(const PoolActions &Actions);

  /// True if the lease covers the term \p Required now.
  bool leaseCovers(Term Required) const;
  /// The server's record in the view, or null.
  const ServerView *server(const ServerId &Server) const;
  /// True if new requests may be sent to \p Server.
  static bool acceptsRequests(const ServerView &Server);
  /// Number of statements that could be sent to \p Server now.
  std::uint32_t freeSlots(const ServerView &Server) const;

  RequestState *find(RequestId Request);
  /// Reports to control, once per term, that \p Server refused the view's term.
  void reportTermRefused(const ServerId &Server);
  /// Handles the report of \p Server that it is the primary of the term \p
  /// ReportedTerm: requests that it refused before are retried without further
  /// delay.
  void confirmPrimary(const ServerId &Server, Term ReportedTerm);
  /// Adds a request to the queue; a request that was queued before gets its old
  /// position.
  void enqueue(RequestState &State);
  /// Queues the request for a retry after a pause that grows with each retry.
  void enqueueAfterPause(RequestState &State, ResultCode Reason);
  /// Sends a queued request on a connection that was acquired for it.
  void send(RequestState &State, ConnectionId Connection);
  /// Answers as not run, or as outcome unknown if an earlier send of the same
  /// key may have run; then erases the request.
  void refuse(RequestState &State, ResultCode Code);
  /// Answers like refuse() without erasing the request.
  void answerRefused(RequestState &State, ResultCode Code);
  /// Answers without a body and without erasing the request.
  void answer(RequestState &State, ResultCode Code, std::string_view Reason);
  /// Answers with \p Code and erases the request.
  void finish(RequestState &State, ResultCode Code);
  /// Marks the request as answered: no caller waits for it, and it remains only
  /// to resolve its key or connection.
  void markAnswered(RequestState &State);
  /// Erases the request.
  void erase(RequestState &State);

  /// Ends the statement on its connection; the connection stays in use.
  void endStatement(RequestState &State);
  /// Returns a connection to the pool.
  void releaseConnection(ConnectionId Connection);
  /// Closes a connection that must not be reused.
  void dropConnection(ConnectionId Connection);
  /// Closes the connection of a sent request, which aborts its transaction; the
  /// request remains. \p Silent is true if the server did not answer in time.
  void abandonStatement(RequestState &State, bool Silent);

  /// True if a request of \p Caller has not been answered.
  bool hasUnansweredRequest(CallerConnectionId Caller) const;
  void updateMonitors();
  void endPreviousTerms();
  std::vector<RequestId> requestIds() const;
  /// Next time at which \p State has a timer to handle.
  Instant wakeTime(const RequestState &State) const;

  GroupId m_Group;          ///< The group.
  GroupSettings m_Settings; ///< Time limits and thresholds of the decisions.
  Instant m_Now;            ///< Time of the event under way.
  GroupActions *m_Actions = nullptr; ///< Actions of the event under way.

  GroupView m_View;        ///< Newest group record.
  Instant m_LeaseExpiry;   ///< End of the lease.
  bool m_HasView = false;  ///< A group record has arrived.
  bool m_Draining = false; ///< New requests are refused.
  bool m_IsPrimaryConfirmed =
      false; ///< The primary has reported its promotion.
  std::set<ServerId>
      m_TermRefusers; ///< Servers already reported for refusing this term.
  std::set<ServerId> m_Monitored; ///< Servers with a position monitor.

  std::map<RequestId, RequestState>
      m_Requests; ///< Requests by id, including answered ones with work left.
  std::set<std::pair<CallerConnectionId, RequestId>>
      m_ByCaller; ///< Requests by caller.
  std::map<CallerConnectionId, TransactionState>
      m_Transactions;                           ///< Open transactions.
  std::map<ConnectionId, ConnectionUse> m_Uses; ///< Busy connections.
  std::set<ConnectionId>
      m_Tagged; ///< Connections on which an attempt tag was set last.
  std::map<EntryName, std::uint32_t> m_Waiting; ///< Waiting requests by entry.
  std::map<EntryName, std::uint32_t> m_Running; ///< Busy connections by entry.
  std::map<ServerId, std::uint32_t>
      m_RunningAt;                   ///< Running statements by server.
  std::set<RequestId> m_Replicating; ///< Requests in phase Replicating.
  std::set<std::pair<Instant, RequestId>> m_Timers; ///< Requests by wake time.
  std::map<RequestId, Instant> m_TimerOf;           ///< Wake time by request.
  std::set<RequestId> m_Touched;   ///< Requests whose timer may have changed.
  std::uint64_t m_LastAttempt = 0; ///< Number of the last attempt id.
  GroupCounts m_Counts;            ///< Counters.

  ConnectionPool m_Pool; ///< Connections to the backend servers.
  RequestQueue m_Queue;  ///< Requests in phase Queued outside transactions.
  AgeTracker m_Ages;     ///< Data age of the replicas.
  WriteGate m_Gate;      ///< Log positions of the servers.
  RetryBudget m_Retries; ///< Limits retries.

  KeyedRequests m_Keyed{*this};  ///< Reserves keys and ends attempts.
  WriteRequests m_Writes{*this}; ///< Handles writes up to their answer.
  ReadRequests m_Reads{*this};   ///< Routes and answers reads.
  Transactions m_OpenTransactions{
      *this};                     ///< Open transactions and their connections.
  Dispatcher m_Dispatcher{*this}; ///< Assigns queued requests to connections.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_GROUPCONTEXT_H
