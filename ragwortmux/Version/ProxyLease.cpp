#include "ragwortmux/Version/ProxyLease.h"

#include <algorithm>

namespace ragwortmux {

void ProxyLease::sessionOpened(ControlSessionId Session) {
  if (Session == m_Session)
    return;
  m_Session = Session;
  m_SentAt.clear();
  m_ValidUntil = Instant();
}

void ProxyLease::sessionLost() { sessionOpened(ControlSessionId()); }

std::uint64_t ProxyLease::renewalSent(Instant Now) {
  if (m_SentAt.size() >= MaxOutstanding)
    m_SentAt.erase(m_SentAt.begin());
  const std::uint64_t Sequence = m_NextSequence++;
  m_SentAt.emplace(Sequence, Now);
  return Sequence;
}

bool ProxyLease::renewalGranted(ControlSessionId Session,
                                std::uint64_t Sequence, Duration Length) {
  if (Session != m_Session || Session == ControlSessionId())
    return false;
  const auto Sent = m_SentAt.find(Sequence);
  if (Sent == m_SentAt.end())
    return false;
  const Instant End = Sent->second + Length - m_Drift.of(Length);
  // Answers may overtake each other. Earlier renewals can no longer extend the
  // lease.
  m_SentAt.erase(m_SentAt.begin(), std::next(Sent));
  if (End <= m_ValidUntil)
    return false;
  m_ValidUntil = End;
  return true;
}

} // namespace ragwortmux
