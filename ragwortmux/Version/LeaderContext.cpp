#include "ragwortmux/Version/LeaderContext.h"

#include <algorithm>
#include <utility>

namespace ragwortmux {

namespace {

/// Maximum number of proposals without a result. Further ones are dropped; the
/// leader makes the same decisions again later.
constexpr std::size_t MaxPending = 4096;

} // namespace

void LeaderContext::reset() {
  m_Actions.clear();
  m_Pending.clear();
}

void LeaderContext::propose(const ControlCommand &Command, Instant Now) {
  const auto Found = std::find_if(
      m_Pending.begin(), m_Pending.end(),
      [&](const Pending &Each) { return Each.m_Command == Command; });
  if (Found == m_Pending.end() && m_Pending.size() >= MaxPending)
    return;
  if (Found == m_Pending.end())
    m_Pending.push_back({Command, Now});
  else if (Now - Found->m_At < m_Settings.m_ProposeRetry)
    return;
  else
    Found->m_At = Now;
  addAction(Propose{Command});
}

void LeaderContext::applied(const ControlCommand &Command) {
  std::erase_if(m_Pending,
                [&](const Pending &Each) { return Each.m_Command == Command; });
}

std::vector<ControlAction> LeaderContext::takeActions() {
  return std::exchange(m_Actions, {});
}

} // namespace ragwortmux
