#ifndef RAGWORTMUX_REQUEST_AGETRACKER_H
#define RAGWORTMUX_REQUEST_AGETRACKER_H

#include "ragwortmux/Core/Time.h"
#include "ragwortmux/Version/LogPoint.h"

#include <map>
#include <optional>
#include <vector>

namespace ragwortmux {

/// Tells how old a replica's data is at most, from positions of the primary
/// that were sampled on this process's own clock.
class AgeTracker final {
public:
  /// The primary said that it is at \p Point, to a question sent at \p AskedAt.
  /// To be called only if the lease covered the point's term when the answer
  /// arrived; else an old primary would make old data look young.
  void addSample(const LogPoint &Point, Instant AskedAt);

  /// How old the data of a server at \p Applied is at most; none if unknown.
  std::optional<Duration> age(const LogPoint &Applied, Instant Now) const;

private:
  struct Sample final {
    LogPosition m_Position; ///< Position of the primary.
    Instant m_AskedAt;      ///< The primary held it at that time or later.
  };

  void thinOut(std::vector<Sample> &Samples) const;

  std::map<Term, std::vector<Sample>>
      m_Samples; ///< By term; both members ascend strictly.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_AGETRACKER_H
