#ifndef RAGWORTMUX_REQUEST_GROUPCORE_H
#define RAGWORTMUX_REQUEST_GROUPCORE_H

#include "ragwortmux/Request/GroupCounts.h"
#include "ragwortmux/Request/GroupEvents.h"
#include "ragwortmux/Request/GroupSettings.h"
#include "ragwortmux/Version/GroupView.h"

#include <memory>
#include <optional>
#include <string_view>

namespace ragwortmux {

struct GroupContext;

/// Decision logic of an entry host for one database group: routing, queueing,
/// connections, retries and acknowledgement.
///
/// Deterministic: each event function takes the current time and appends the
/// resulting actions. Events for unknown connections and requests are ignored,
/// so callers need not filter late events. Connection ids are unique within one
/// GroupCore, across all its terms.
class GroupCore final {
public:
  GroupCore(GroupId Group, const GroupSettings &Settings);
  ~GroupCore();
  GroupCore(const GroupCore &) = delete;
  GroupCore &operator=(const GroupCore &) = delete;

  /// Submits a request. If its caller has an open transaction in this group,
  /// the request runs on the transaction's connection. A caller must not submit
  /// its next request before the previous one was answered.
  void submit(Instant Now, GroupRequest Request, GroupActions &Actions);
  /// The caller's connection has closed.
  void callerDisconnected(Instant Now, CallerConnectionId Caller,
                          GroupActions &Actions);

  void connectionOpened(Instant Now, ConnectionId Connection,
                        GroupActions &Actions);
  /// An OpenConnection action failed; \p SqlState is empty if no server
  /// answered.
  void connectionFailed(Instant Now, ConnectionId Connection,
                        std::string_view SqlState, GroupActions &Actions);
  /// An open connection failed.
  void connectionLost(Instant Now, ConnectionId Connection,
                      GroupActions &Actions);
  /// A CloseConnection action has completed; until then connectionCount()
  /// includes the connection.
  void connectionClosed(Instant Now, ConnectionId Connection,
                        GroupActions &Actions);
  void statementAnswered(Instant Now, ConnectionId Connection,
                         BackendAnswer Result, GroupActions &Actions);

  /// \p Server reported the log position \p Point in reply to a query that was
  /// sent at \p QuerySentAt.
  void positionSampled(Instant Now, const ServerId &Server,
                       const LogPoint &Point, bool IsPrimary,
                       Instant QuerySentAt, GroupActions &Actions);
  /// The position monitor of \p Server lost its connection; the driver of this
  /// core reconnects it until StopPositionMonitor.
  void monitorFailed(Instant Now, const ServerId &Server,
                     GroupActions &Actions);

  /// Applies a newer group record; a record that is not newer is ignored. After
  /// it returns, no write of an earlier term is acknowledged.
  void viewChanged(Instant Now, const GroupView &View, GroupActions &Actions);
  /// Extends the lease on the view's term to \p ValidUntil. A view that came
  /// with the same renewal must be passed to viewChanged() first.
  void leaseExtended(Instant Now, Instant ValidUntil, GroupActions &Actions);

  void keyReserved(Instant Now, RequestId Request, const ReserveResult &Result,
                   GroupActions &Actions);
  void outcomeRecorded(Instant Now, RequestId Request, bool Recorded,
                       GroupActions &Actions);
  /// \p Point is the primary's log position at the time of this answer.
  void attemptEnded(Instant Now, RequestId Request, AttemptOutcome Outcome,
                    std::optional<LogPoint> Point, GroupActions &Actions);
  /// \p IsKnown is false if the look-up could not determine the session's
  /// newest log position: a session home has no entry or did not answer, or the
  /// lease has expired. The request is then served by the primary only. If \p
  /// IsKnown is true and \p Point is empty, the session has written nothing.
  void sessionPointFound(Instant Now, RequestId Request,
                         std::optional<LogPoint> Point, bool IsKnown,
                         GroupActions &Actions);
  void sessionPointStored(Instant Now, RequestId Request, bool Stored,
                          GroupActions &Actions);

  /// Starts draining: new requests are refused, open transactions continue.
  void drain(Instant Now, GroupActions &Actions);
  /// Handles expired timers; must be called at nextDeadline() at the latest.
  void tick(Instant Now, GroupActions &Actions);

  /// Time of the next timer that tick() has to handle; none if no timer is set.
  std::optional<Instant> nextDeadline() const;
  /// True after drain() once no request is unanswered and no transaction is
  /// open.
  bool isDrained() const;
  /// Number of connections to \p Server that count against its limit, including
  /// the position monitor. A smaller share may be confirmed to control once
  /// this number does not exceed it.
  std::uint32_t connectionCount(const ServerId &Server) const;
  /// Number of connections to \p Server that this proxy could use, including
  /// the position monitor and regardless of its share; used to request a share
  /// from control.
  std::uint32_t connectionDemand(const ServerId &Server) const;
  /// Number of requests that have not been answered.
  std::size_t pendingRequests() const;
  /// Counters since the start of the process.
  const GroupCounts &counts() const;

private:
  std::unique_ptr<GroupContext> m_Context; ///< State of the group.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_GROUPCORE_H
