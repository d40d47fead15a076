#include "ragwortmux/Connection/AdmissionControl.h"

#include <utility>

namespace ragwortmux {

AdmissionControl::AdmissionControl(Instant Start, Duration MaxWait)
    : m_MaxWaitEnd(Start + MaxWait) {}

void AdmissionControl::admit(Instant Now, Decision OnDecision) {
  if (m_IsClosed)
    OnDecision(ResultCode::NotRunDraining);
  else if (m_IsOpen)
    OnDecision(ResultCode::Ok);
  else if (Now >= m_MaxWaitEnd)
    OnDecision(ResultCode::NotRunNoLease);
  else
    m_Waiting.push_back(std::move(OnDecision));
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
  for (const Decision &OnDecision : std::exchange(m_Waiting, {}))
    OnDecision(Code);
}

} // namespace ragwortmux
