#ifndef RAGWORTMUX_REQUEST_AGETRACKER_H
#define RAGWORTMUX_REQUEST_AGETRACKER_H

#include "ragwortmux/Core/Time.h"
#include "ragwortmux/Version/LogPoint.h"

#include <map>
#include <optional>
#include <vector>

namespace ragwortmux {

/// Computes an upper limit of a replica's data age from positions of the
/// primary, sampled with this process's own clock.
class AgeTracker final {
public:
  /// Records that the primary reported \p Point in reply to a query sent at \p
  /// QuerySentAt. Must be called only if the lease covered the point's term
  /// when the answer arrived; otherwise a replaced primary would make old data
  /// look recent.
  void addSample(const LogPoint &Point, Instant QuerySentAt);

  /// Upper limit of the data age of a server at \p Applied; none if unknown.
  std::optional<Duration> age(const LogPoint &Applied, Instant Now) const;

private:
  struct Sample final {
    LogPosition m_Position; ///< Log position of the primary.
    Instant m_QuerySentAt;  ///< When the query was sent; the primary was at the
                            ///< position at that time or later.
  };

  void thinOut(std::vector<Sample> &Samples) const;

  std::map<Term, std::vector<Sample>>
      m_Samples; ///< Samples by term; both members ascend strictly within a
                 ///< term.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_AGETRACKER_H
