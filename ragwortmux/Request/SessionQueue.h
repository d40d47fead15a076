#ifndef RAGWORTMUX_REQUEST_SESSIONQUEUE_H
#define RAGWORTMUX_REQUEST_SESSIONQUEUE_H

#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Core/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

namespace ragwortmux {

/// Queue of statements that wait for a connection, ordered by priority; within
/// a priority, statements that can still meet their latency target precede late
/// ones; then by arrival.
///
/// Load pattern: for a few seconds more statements arrive than can be served,
/// because replicas lag or all callers reconnect at once after a restart. In
/// order of arrival every statement would wait for the whole backlog and miss
/// its target. Therefore statements that are already late yield to the others
/// and use the remaining capacity.
class SessionQueue final {
public:
  /// Priority, lateness, arrival, request.
  using Key = std::tuple<std::uint32_t, bool, Instant, RequestId>;
  using Iterator = std::set<Key>::const_iterator;

  /// Adds \p Request, which becomes late at \p LateAt, or never if there is
  /// none.
  void add(RequestId Request, std::uint32_t Priority, Instant Arrived,
           std::optional<Instant> LateAt);
  /// Removes \p Request if it is queued.
  void remove(RequestId Request);
  /// Moves the statements that are late at \p Now behind the others of their
  /// priority.
  void advance(Instant Now);

  Iterator begin() const { return m_Order.begin(); }
  Iterator end() const { return m_Order.end(); }
  bool empty() const { return m_Order.empty(); }
  std::size_t size() const { return m_Order.size(); }
  static RequestId request(const Key &QueueKey) {
    return std::get<RequestId>(QueueKey);
  }

private:
  /// A queued statement.
  struct QueuedStatement final {
    Key m_Key;                       ///< Its position in the order.
    std::optional<Instant> m_LateAt; ///< When it becomes late, if ever.
  };

  std::set<Key> m_Order; ///< Queued statements in order.
  std::map<RequestId, QueuedStatement>
      m_Waiting; ///< Queued statements by request.
  std::set<std::pair<Instant, RequestId>>
      m_NotYetLate; ///< Statements that are not late yet, by the time they
                    ///< become late.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_SESSIONQUEUE_H
