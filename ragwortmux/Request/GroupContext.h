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

/// What the parts of GroupCore share: the group's data, and the verbs that more
/// than one part needs.
struct GroupContext final {
  /// Who uses a busy connection.
  struct ConnectionUse final {
    std::optional<RequestId> m_Running; ///< The statement that runs.
    EntryName m_Entry;                  ///< Counted against this entry.
    ServerId m_Server;                  ///< Counted against its slots.
  };

  GroupContext(GroupId Group, const GroupSettings &Settings);
  GroupContext(const GroupContext &) = delete;
  GroupContext &operator=(const GroupContext &) = delete;

  // What the events change; see GroupCore.
  void submit(GroupRequest Request);
  void forgetCaller(CallerConnectionId Caller);
  void loseConnection(ConnectionId Connection);
  void takeAnswer(ConnectionId Connection, BackendAnswer Result);
  void takeView(const GroupView &View);
  void wakeRequests();
  /// Tries again to end attempts that waited for a primary or a lease.
  void retryEndings();

  /// Starts an event: \p Actions collects what is to be done.
  void beginEvent(Instant Now, GroupActions &Actions);
  /// Ends it: sends what can be sent, brings timers up to date.
  void endEvent();
  void act(GroupAction Action);
  void apply(const PoolActions &Orders);

  /// True if the lease covers \p Wanted now.
  bool leaseCovers(Term Wanted) const;
  /// The server's record, or null.
  const ServerView *server(const ServerId &Server) const;
  /// True if new requests may go to \p Server.
  static bool takesRequests(const ServerView &Server);
  /// Statements that could be sent to \p Server now.
  std::uint32_t freeAt(const ServerView &Server) const;

  RequestState *find(RequestId Request);
  /// Reports, once for each term, that \p Server refused the view's term.
  void noteTermRefused(const ServerId &Server);
  /// \p Server said that it is the primary of \p Stated: what it refused before
  /// need not wait longer.
  void notePrimary(const ServerId &Server, Term Stated);
  /// Puts a request into the queue, its old place if it was there before.
  void enqueue(RequestState &State);
  /// Puts it into the queue after a pause that grows with each one.
  void enqueueAfterPause(RequestState &State, ResultCode Reason);
  /// Sends a queued request on a connection that was taken for it.
  void send(RequestState &State, ConnectionId Connection);
  /// Answers as not run, or, for a key whose earlier sends are not known of, as
  /// unknown; then forgets the request.
  void refuse(RequestState &State, ResultCode Code);
  /// Like refuse(), but keeps the request.
  void tellRefused(RequestState &State, ResultCode Code);
  /// Answers without a body, but keeps the request.
  void tell(RequestState &State, ResultCode Code, std::string_view Reason);
  /// Answers with \p Code and forgets the request.
  void finish(RequestState &State, ResultCode Code);
  /// The caller is gone: from now on the request only settles what it left.
  void disown(RequestState &State);
  /// Forgets the request.
  void erase(RequestState &State);

  /// Takes the statement off its connection; the connection stays in use.
  void endStatement(RequestState &State);
  /// Gives a connection back to the pool.
  void releaseConnection(ConnectionId Connection);
  /// Closes a connection that may not be used again.
  void dropConnection(ConnectionId Connection);
  /// Closes the connection of a sent request, and with it any transaction; the
  /// request stays. \p Silent: the server left it unanswered.
  void abandonStatement(RequestState &State, bool Silent);

  /// True if a request of \p Caller has not been answered.
  bool hasOpenRequest(CallerConnectionId Caller) const;
  void setWatches();
  void endOldTerms();
  std::vector<RequestId> requestIds() const;
  /// When \p State needs attention without an event.
  Instant wakeTime(const RequestState &State) const;

  GroupId m_Group;                   ///< The group.
  GroupSettings m_Settings;          ///< How it decides.
  Instant m_Now;                     ///< Time of the event under way.
  GroupActions *m_Actions = nullptr; ///< Actions of the event under way.

  GroupView m_View;                  ///< Newest record.
  Instant m_LeaseUntil;              ///< End of the lease.
  bool m_HasView = false;            ///< A record has come.
  bool m_Draining = false;           ///< No new requests are taken.
  bool m_PrimarySeen = false;        ///< The primary said that it is promoted.
  std::set<ServerId> m_TermRefusers; ///< Reported for refusing this term.
  std::set<ServerId> m_Watched;      ///< Servers with a watch.

  std::map<RequestId, RequestState> m_Requests; ///< All requests.
  std::set<std::pair<CallerConnectionId, RequestId>>
      m_ByCaller; ///< Requests of callers that are there.
  std::map<CallerConnectionId, TransactionState>
      m_Transactions;                           ///< Open transactions.
  std::map<ConnectionId, ConnectionUse> m_Uses; ///< Busy connections.
  std::set<ConnectionId> m_Tagged;              ///< Last sent an attempt's tag.
  std::map<EntryName, std::uint32_t> m_Waiting; ///< Waiting, by entry.
  std::map<EntryName, std::uint32_t> m_Running; ///< Busy connections, by entry.
  std::map<ServerId, std::uint32_t> m_RunningAt;    ///< Statements, by server.
  std::set<RequestId> m_Replicating;                ///< Requests in that phase.
  std::set<std::pair<Instant, RequestId>> m_Timers; ///< Wake times.
  std::map<RequestId, Instant> m_TimerOf;           ///< Their inverse.
  std::set<RequestId> m_Touched;   ///< Requests whose timer may have changed.
  std::uint64_t m_LastAttempt = 0; ///< Attempts named so far.
  GroupCounts m_Counts;            ///< Counters.

  ConnectionPool m_Pool; ///< Connections.
  RequestQueue m_Queue;  ///< Requests in phase Queued outside transactions.
  AgeTracker m_Ages;     ///< Ages of replicas.
  WriteGate m_Gate;      ///< Positions of servers.
  RetryBudget m_Retries; ///< Retries left.

  KeyedRequests m_Keyed{*this};           ///< Reserving keys, ending attempts.
  WriteRequests m_Writes{*this};          ///< Answers of writes.
  ReadRequests m_Reads{*this};            ///< Routing and answers of reads.
  Transactions m_OpenTransactions{*this}; ///< Pinned connections.
  Dispatcher m_Dispatcher{*this};         ///< From the queue to connections.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_GROUPCONTEXT_H
