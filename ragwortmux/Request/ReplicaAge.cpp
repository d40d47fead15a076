#include "ragwortmux/Request/ReplicaAge.h"

namespace ragwortmux {

namespace {

/// How long a replica that refused a read gets no reads with the same or a
/// stricter read floor.
constexpr Duration TryAgainAfter = std::chrono::milliseconds(250);

} // namespace

void ReplicaAge::noteCovered(Instant Now, Instant CoveredUntil) {
  m_Lag = Now - CoveredUntil;
  m_BehindAt.reset();
}

void ReplicaAge::noteBehind(Instant Now, Instant Lacked) {
  m_Lag = Now - Lacked;
  m_BehindAt = Now;
}

bool ReplicaAge::isWorthTrying(Instant Now, Instant Floor) const {
  if (!m_BehindAt || Now - *m_BehindAt >= TryAgainAfter)
    return true;
  return m_Lag && Now - Floor > *m_Lag;
}

} // namespace ragwortmux
