#include "ragwortmux/Version/ListProgress.h"

#include <algorithm>

namespace ragwortmux {

void ListProgress::confirm(Revision Confirmed, Revision Newest, Instant Now) {
  m_Confirmed = std::max(m_Confirmed, Confirmed);
  if (m_Confirmed >= Newest)
    m_CompleteUntil = Now;
  else if (m_Sent > Revision() && m_Confirmed >= m_Sent)
    m_CompleteUntil = std::max(m_CompleteUntil.value_or(m_SentAt), m_SentAt);
}

void ListProgress::sent(Revision Newest, Instant Now) {
  m_Sent = Newest;
  m_SentAt = Now;
  m_HasFailed = false;
}

bool ListProgress::isPushDue(Revision Newest) const {
  return m_Confirmed < Newest && m_Confirmed >= m_Sent;
}

bool ListProgress::isReplyDue(Revision Newest, Instant Now,
                              Duration Timeout) const {
  const bool IsOnItsWay =
      m_Confirmed < m_Sent && !m_HasFailed && Now - m_SentAt < Timeout;
  return m_Confirmed < Newest && !IsOnItsWay;
}

bool ListProgress::isOverdue(Revision Newest, Instant Now,
                             Duration Limit) const {
  return m_Confirmed < Newest &&
         (!m_CompleteUntil || Now - *m_CompleteUntil > Limit);
}

} // namespace ragwortmux
