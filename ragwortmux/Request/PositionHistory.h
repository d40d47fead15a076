#ifndef RAGWORTMUX_REQUEST_POSITIONHISTORY_H
#define RAGWORTMUX_REQUEST_POSITIONHISTORY_H

#include "ragwortmux/Core/Time.h"
#include "ragwortmux/Version/LogPoint.h"

#include <deque>
#include <optional>

namespace ragwortmux {

/// True if \p Left comes before \p Right in the histories of a delegated group,
/// whose terms follow each other without a gap.
inline bool isBefore(const LogPoint &Left, const LogPoint &Right) {
  if (Left.m_Term != Right.m_Term)
    return Left.m_Term < Right.m_Term;
  return Left.m_Position < Right.m_Position;
}

/// Positions of a delegated group's primary by the time at which they were
/// asked for.
///
/// A position that was asked for at t under a valid lease covers every commit
/// that was acknowledged before t, so a log that holds it is at most as old as
/// t.
class PositionHistory final {
public:
  /// A position of the primary.
  struct Sample final {
    Instant m_AskedAt; ///< When the question was sent.
    LogPoint m_Point;  ///< The answer.
  };

  /// The primary said that it is at \p Point, to a question sent at \p AskedAt.
  /// To be called only if the lease covered the primary when the question was
  /// sent.
  void add(Instant AskedAt, const LogPoint &Point);
  /// Another server leads: what the old one said names no floor any more.
  void clear() { m_Samples.clear(); }

  /// The oldest sample that was asked for at \p Since or later; null if none.
  const Sample *oldestSince(Instant Since) const;
  /// The newest sample that a log at \p Applied covers; null if none.
  const Sample *newestCovered(const LogPoint &Applied) const;
  /// The oldest sample of the history; null if empty.
  const Sample *oldest() const;
  /// The newest sample; null if empty.
  const Sample *newest() const;

private:
  std::deque<Sample> m_Samples; ///< Ascending in both members.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_POSITIONHISTORY_H
