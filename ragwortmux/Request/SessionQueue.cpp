#include "ragwortmux/Request/SessionQueue.h"

#include <cassert>

namespace ragwortmux {

void SessionQueue::add(RequestId Request, std::uint32_t Priority,
                       Instant Arrived, std::optional<Instant> LateAt) {
  assert(!m_Waiting.contains(Request));
  const Key QueueKey{Priority, false, Arrived, Request};
  m_Order.insert(QueueKey);
  m_Waiting.emplace(Request, QueuedStatement{QueueKey, LateAt});
  if (LateAt)
    m_NotYetLate.insert({*LateAt, Request});
}

void SessionQueue::remove(RequestId Request) {
  const auto Found = m_Waiting.find(Request);
  if (Found == m_Waiting.end())
    return;
  const QueuedStatement &Removed = Found->second;
  m_Order.erase(Removed.m_Key);
  if (Removed.m_LateAt)
    m_NotYetLate.erase({*Removed.m_LateAt, Request});
  m_Waiting.erase(Found);
}

void SessionQueue::advance(Instant Now) {
  while (!m_NotYetLate.empty() && m_NotYetLate.begin()->first <= Now) {
    const RequestId Request = m_NotYetLate.begin()->second;
    m_NotYetLate.erase(m_NotYetLate.begin());
    Key &QueueKey = m_Waiting.at(Request).m_Key;
    m_Order.erase(QueueKey);
    std::get<bool>(QueueKey) = true;
    m_Order.insert(QueueKey);
  }
}

} // namespace ragwortmux
