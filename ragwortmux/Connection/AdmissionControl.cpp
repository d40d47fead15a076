#include "ragwortmux/Connection/AdmissionControl.h"

#include <utility>

namespace ragwortmux {

AdmissionControl::AdmissionControl(Instant Start, Duration MaxWait)
    : m_MaxWaitEnd(Start + MaxWait) {}

void AdmissionControl::admit(Instant Now, Decision Callback) {
  if (m_IsClosed)
    Callback(ResultCode::NotRunDraining);
  else if (m_IsOpen)
    Callback(ResultCode::Ok);
  else if (Now >= m_MaxWaitEnd)
    Callback(ResultCode::NotRunNoLease);
  else
    m_Waiting.push_back(std::move(Callback));
}

void AdmissionControl::open() {
  m_IsOpen = true;
  completeWaiting(ResultCode::Ok);
}

void AdmissionControl::close() {
  m_IsClosed = true;
  completeWaiting(ResultCode::NotRunDraining);
}

void AdmissionControl::tick(Instant Now) {
  if (Now >= m_MaxWaitEnd)
    completeWaiting(ResultCode::NotRunNoLease);
}

void AdmissionControl::completeWaiting(ResultCode Code) {
  for (const Decision &Callback : std::exchange(m_Waiting, {}))
    Callback(Code);
}

} // namespace ragwortmux
