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

/// The decisions of an entry host for one database group: routing, queueing,
/// connections, retries, acknowledgement.
///
/// Deterministic: each event takes the current time and appends what is to be
/// done. Events about connections and requests that are no longer known are
/// ignored, so late events need no filter. Connection ids are unique within one
/// GroupCore, across all its terms.
class GroupCore final {
public:
  GroupCore(GroupId Group, const GroupSettings &Settings);
  ~GroupCore();
  GroupCore(const GroupCore &) = delete;
  GroupCore &operator=(const GroupCore &) = delete;

  /// Takes a request. If its caller has an open transaction here, it runs on
  /// the transaction's connection. A caller's next request is to be submitted
  /// after the last one was answered.
  void submit(Instant Now, GroupRequest Request, GroupActions &Actions);
  /// The caller's connection has closed.
  void callerGone(Instant Now, CallerConnectionId Caller,
                  GroupActions &Actions);

  void connectionOpened(Instant Now, ConnectionId Connection,
                        GroupActions &Actions);
  /// An OpenConnection failed; \p SqlState is empty if no server answered.
  void connectionFailed(Instant Now, ConnectionId Connection,
                        std::string_view SqlState, GroupActions &Actions);
  /// A connection that was open broke.
  void connectionLost(Instant Now, ConnectionId Connection,
                      GroupActions &Actions);
  /// A CloseConnection is done; until then the connection counts as held.
  void connectionClosed(Instant Now, ConnectionId Connection,
                        GroupActions &Actions);
  void statementAnswered(Instant Now, ConnectionId Connection,
                         BackendAnswer Result, GroupActions &Actions);

  /// The server at \p Server said that it is at \p Point, to a question that
  /// was sent at \p AskedAt.
  void positionSampled(Instant Now, const ServerId &Server,
                       const LogPoint &Point, bool IsPrimary, Instant AskedAt,
                       GroupActions &Actions);
  /// The watch of \p Server broke; the shell goes on trying until StopWatch.
  void watchFailed(Instant Now, const ServerId &Server, GroupActions &Actions);

  /// Takes a newer record of the group; an older one is ignored. After it
  /// returns nothing of an older term is acknowledged.
  void viewChanged(Instant Now, const GroupView &View, GroupActions &Actions);
  /// The lease covers the view's term until \p ValidUntil. A view that came
  /// with the same renewal must be handed in first.
  void leaseExtended(Instant Now, Instant ValidUntil, GroupActions &Actions);

  void keyReserved(Instant Now, RequestId Request, const ReserveResult &Result,
                   GroupActions &Actions);
  void outcomeRecorded(Instant Now, RequestId Request, bool Recorded,
                       GroupActions &Actions);
  /// \p Point is the primary's position as of this answer.
  void attemptEnded(Instant Now, RequestId Request, AttemptOutcome Outcome,
                    std::optional<LogPoint> Point, GroupActions &Actions);
  /// \p Known is false if no home host knows the session; a known session
  /// without a point has written nothing.
  void sessionPointFound(Instant Now, RequestId Request,
                         std::optional<LogPoint> Point, bool Known,
                         GroupActions &Actions);
  void sessionPointStored(Instant Now, RequestId Request, bool Stored,
                          GroupActions &Actions);

  /// From now on takes no new requests; open transactions go on.
  void drain(Instant Now, GroupActions &Actions);
  /// Time has passed; to be called at nextDeadline() at the latest.
  void tick(Instant Now, GroupActions &Actions);

  /// When tick() has something to do; none while nothing is pending.
  std::optional<Instant> nextDeadline() const;
  /// True after drain() once no request and no transaction is left.
  bool drained() const;
  /// Connections held to \p Server, the watch included; a smaller share may be
  /// confirmed to control once this is within it.
  std::uint32_t heldConnections(const ServerId &Server) const;
  /// Connections to \p Server that this proxy could use, the watch included,
  /// whatever its share; for asking control for a share.
  std::uint32_t wantedConnections(const ServerId &Server) const;
  /// Requests that have not been answered.
  std::size_t pendingRequests() const;
  /// Counters since the start.
  const GroupCounts &counts() const;

private:
  std::unique_ptr<GroupContext> m_Context; ///< Everything the group holds.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_GROUPCORE_H
