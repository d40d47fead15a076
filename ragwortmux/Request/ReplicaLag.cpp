#include "ragwortmux/Request/ReplicaLag.h"

namespace ragwortmux {

namespace {

/// How long a replica that refused a read gets no reads with the same or a
/// stricter read floor.
constexpr Duration RetryInterval = std::chrono::milliseconds(250);

} // namespace

void ReplicaLag::recordCovered(Instant Now, Instant CoveredUntil) {
  m_Lag = Now - CoveredUntil;
  m_BehindAt.reset();
}

void ReplicaLag::recordBehind(Instant Now, Instant FloorTime) {
  m_Lag = Now - FloorTime;
  m_BehindAt = Now;
}

bool ReplicaLag::isWorthTrying(Instant Now, Instant Floor) const {
  if (!m_BehindAt || Now - *m_BehindAt >= RetryInterval)
    return true;
  return m_Lag && Now - Floor > *m_Lag;
}

} // namespace ragwortmux
