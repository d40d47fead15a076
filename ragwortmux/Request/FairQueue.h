#ifndef RAGWORTMUX_REQUEST_FAIRQUEUE_H
#define RAGWORTMUX_REQUEST_FAIRQUEUE_H

#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Core/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

namespace ragwortmux {

/// Servers that a queued statement can run on.
enum class QueueLane : std::uint8_t {
  Read,    ///< Any server whose data is recent enough.
  Primary, ///< Only the primary.
};
/// Number of lanes.
inline constexpr std::size_t QueueLaneCount = 2;

/// A statement to be queued.
struct QueuedStatement final {
  RequestId m_Request;          ///< Its request.
  WorkspaceId m_Workspace;      ///< Workspace of its caller; empty: none.
  std::uint32_t m_Priority = 0; ///< 0 is the highest.
  Instant m_Arrived;            ///< Arrival time.
  std::optional<Instant>
      m_LateAt; ///< When it misses its target, if it has one.
  QueueLane m_Lane = QueueLane::Read; ///< Servers that it can run on.
  std::size_t m_Bytes = 0;            ///< Size of its texts.
};

/// Queue of statements that wait for a connection, ordered by priority; within
/// a priority, statements that can still meet their latency target precede late
/// ones; then fairly between workspaces; then by arrival.
///
/// Load pattern: for a few seconds more statements arrive than can be served,
/// because replicas lag, all callers reconnect at once after a restart, or one
/// workspace sends many times its usual load. In order of arrival every
/// statement would wait for the whole backlog and miss its target. Therefore
/// late statements yield to the others and use the remaining capacity, and a
/// workspace with a backlog delays mainly itself.
///
/// Fairness is start-time fair queueing with equal weights: each workspace
/// counts the statements it has sent in a priority, and the one with the lowest
/// count goes next. A workspace that starts to wait begins at the count of the
/// one served last, so that it cannot save up a share while it is idle.
class FairQueue final {
public:
  /// Visits queued statements in order. While it is in use, the queue must not
  /// change other than by removing or charging statements it has returned.
  class Walk;

  void add(const QueuedStatement &Added);
  /// Removes \p Request if it is queued.
  void remove(RequestId Request);
  /// Counts a statement of \p Workspace that is sent to a server, from the
  /// queue or in an open transaction.
  void charge(const WorkspaceId &Workspace, std::uint32_t Priority);
  /// Moves the statements that are late at \p Now behind the others of their
  /// priority and returns them.
  std::vector<RequestId> advance(Instant Now);

  Walk walk();
  bool empty() const { return m_Waiting.empty(); }
  std::size_t size() const { return m_Waiting.size(); }
  /// Number of statements in \p Lane.
  std::size_t size(QueueLane Lane) const;
  /// Size of the texts of all statements.
  std::size_t bytes() const { return m_Bytes; }
  /// Number of statements of one workspace and size of their texts.
  struct Usage final {
    std::size_t m_Count = 0; ///< Number of statements.
    std::size_t m_Bytes = 0; ///< Size of their texts.
  };
  /// Not counted for the empty workspace.
  Usage usage(const WorkspaceId &Workspace) const;
  /// Lower bound of the statements in the lane of \p Request that precede it.
  /// Statements of its own workspace and fair shares of others are counted only
  /// for the last statement of a workspace.
  std::size_t ahead(RequestId Request) const;
  /// A statement of the lowest priority that is queued, late if there are late
  /// ones, the last of its workspace.
  const QueuedStatement *last() const;

private:
  using Count = std::uint64_t;
  using Counts = std::array<std::size_t, QueueLaneCount>;
  /// Statements of a workspace in one priority that are all late or all not.
  struct Part final {
    std::set<std::pair<Instant, RequestId>> m_Statements; ///< By arrival.
    Counts m_Lanes{};              ///< Number of statements in each lane.
    std::uint64_t m_VisitedBy = 0; ///< Last walk that has reached it.
  };
  struct Flow final {
    Count m_Sent = 0;            ///< Statements it was charged for.
    std::array<Part, 2> m_Parts; ///< Statements in time; late ones.
    bool isEmpty() const {
      return m_Parts[0].m_Statements.empty() && m_Parts[1].m_Statements.empty();
    }
  };
  /// Count of the workspace, its first statement, its flow.
  using FlowKey = std::tuple<Count, std::pair<Instant, RequestId>, Flow *>;
  struct Level final {
    std::map<WorkspaceId, Flow> m_Flows; ///< Workspaces that wait, and idle
                                         ///< ones that are ahead of m_Now.
    std::array<std::set<FlowKey>, 2> m_Order; ///< Waiting flows in order.
    std::set<std::pair<Count, WorkspaceId>>
        m_IdleFlows;                 ///< Flows without statements, by count.
    std::array<Counts, 2> m_Lanes{}; ///< Number of statements in each lane.
    Count m_Now = 0;                 ///< Count of the workspace served last.
    bool isEmpty() const { return m_Order[0].empty() && m_Order[1].empty(); }
  };
  struct Entry final {
    QueuedStatement m_Statement; ///< As added.
    bool m_IsLate = false;       ///< It has missed its target.
  };

  /// Maximum count by which a workspace that could not be served, for example
  /// because the primary was missing, lags behind the others. Without a bound
  /// it would then be served alone for as long as it has lagged.
  static constexpr Count MaxLag = 16;
  /// Limit of priorities that are kept while no statement of theirs waits.
  static constexpr std::size_t MaxLevelsKept = 16;
  /// Limit of other workspaces that ahead() looks at.
  static constexpr std::size_t MaxFlowsCounted = 64;

  static FlowKey keyOf(Flow &Of, bool IsLate) {
    return {Of.m_Sent, *Of.m_Parts[IsLate].m_Statements.begin(), &Of};
  }
  static void takeFromOrder(Level &In, Flow &Of, bool IsLate);
  static void returnToOrder(Level &In, Flow &Of, bool IsLate);
  void insert(const Entry &Added);
  void extract(const Entry &Removed);
  void restIfEmpty(std::uint32_t Priority, const WorkspaceId &Workspace);

  std::map<std::uint32_t, Level> m_Levels; ///< Priorities with statements.
  std::map<RequestId, Entry> m_Waiting;    ///< Queued statements by request.
  std::set<std::pair<Instant, RequestId>>
      m_NotYetLate; ///< Statements that are not late yet, by the time they
                    ///< become late.
  std::map<WorkspaceId, Usage> m_Usage; ///< Statements by workspace.
  Counts m_Lanes{};                     ///< Number of statements in each lane.
  std::size_t m_Bytes = 0;              ///< See bytes().
  std::uint64_t m_LastWalk = 0;         ///< Number of the last walk.
};

class FairQueue::Walk final {
public:
  explicit Walk(FairQueue &Queue);
  /// The next statement in order; none at the end.
  std::optional<RequestId> next();
  /// Leaves out the other statements of the workspace, priority and lateness
  /// of the one returned last.
  void skipWorkspace();

private:
  /// Next statement of a flow, in the order of the walk.
  struct Cursor final {
    Count m_Count = 0; ///< Count of the workspace if the walk's were sent.
    std::set<std::pair<Instant, RequestId>>::const_iterator
        m_Next;                   ///< The statement.
    const Part *m_Part = nullptr; ///< Its statements.
    bool operator>(const Cursor &Other) const {
      return std::tie(m_Count, *m_Next) >
             std::tie(Other.m_Count, *Other.m_Next);
    }
  };
  Level *currentLevel();
  void startPart();
  void addCursor(const Cursor &Added);
  void reachFlows(const Level &In);

  FairQueue &m_Queue;                      ///< The queue.
  std::uint64_t m_Number;                  ///< Number of this walk.
  std::optional<std::uint32_t> m_Priority; ///< Current priority; none at the
                                           ///< end.
  bool m_IsLate = false;                   ///< Among late statements.
  std::set<FlowKey>::iterator m_NextFlow;  ///< First flow not reached yet.
  std::vector<Cursor> m_Cursors; ///< Flows reached that have more statements;
                                 ///< a heap, the next first.
  const Part *m_Last = nullptr;  ///< Part of the statement returned last.
};

inline FairQueue::Walk FairQueue::walk() { return Walk(*this); }

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_FAIRQUEUE_H
