#ifndef RAGWORTMUX_REQUEST_POSITIONHISTORY_H
#define RAGWORTMUX_REQUEST_POSITIONHISTORY_H

#include "ragwortmux/Core/Time.h"
#include "ragwortmux/Version/LogPoint.h"

#include <deque>
#include <optional>

namespace ragwortmux {

/// History of log positions of a delegated group's primary by query time.
///
/// A position that was queried at time t under a valid lease covers every
/// commit that was acknowledged before t, so a log that contains it is at most
/// as old as t.
class PositionHistory final {
public:
  /// One reported position of the primary.
  struct Sample final {
    Instant m_QuerySentAt; ///< When the query was sent.
    LogPoint m_Point;      ///< Reported position.
  };

  /// Records that the primary reported \p Point in reply to a query sent at \p
  /// QuerySentAt. Must be called only if the lease covered the primary when the
  /// query was sent.
  void add(Instant QuerySentAt, const LogPoint &Point);
  /// Removes all samples. Must be called when another server becomes primary:
  /// positions of the old one are no valid read floors any more.
  void clear() { m_Samples.clear(); }

  /// Oldest sample that was queried at \p Since or later; null if none.
  const Sample *oldestSince(Instant Since) const;
  /// Newest sample that a log at \p Applied covers; null if none.
  const Sample *newestCovered(const LogPoint &Applied) const;
  /// Oldest sample; null if empty.
  const Sample *oldest() const;
  /// Newest sample; null if empty.
  const Sample *newest() const;

private:
  std::deque<Sample> m_Samples; ///< Samples, ascending in both members.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_POSITIONHISTORY_H
