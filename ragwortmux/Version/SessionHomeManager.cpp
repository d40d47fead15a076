#include "ragwortmux/Version/SessionHomeManager.h"

#include "ragwortmux/Version/ControlState.h"
#include "ragwortmux/Version/LeaderContext.h"
#include "ragwortmux/Version/UpdateTracker.h"

#include <set>

namespace ragwortmux {

namespace {

/// Interval between two evaluations; each walks all sessions.
constexpr Duration EvaluationInterval = std::chrono::milliseconds(50);

} // namespace

void SessionHomeManager::reset() {
  m_OpenHosts.clear();
  m_FirstOpenedAt.reset();
  m_EvaluatedAt = Instant();
}

void SessionHomeManager::evaluate(Instant Now) {
  if (Now - m_EvaluatedAt < EvaluationInterval)
    return;
  m_EvaluatedAt = Now;
  const SessionHomeLists &Homes = m_Context.state().homes();
  const std::vector<HostId> Hosts = openHosts();
  if (Hosts != m_OpenHosts) {
    m_OpenHosts = Hosts;
    m_OpenHostsSince = Now;
    m_FirstOpenedAt = m_FirstOpenedAt.value_or(Now);
  }
  // Finish a prepared change first.
  if (!Homes.m_Preparing.empty()) {
    if (m_Updates.allConfirmedHomes(Homes.m_Revision))
      m_Context.propose(
          SetSessionHomes{Homes.m_Revision, Homes.m_Preparing, true}, Now);
    return;
  }
  if (m_OpenHosts.empty() || m_OpenHosts == Homes.m_Active || !isStable(Now))
    return;
  m_Context.propose(SetSessionHomes{Homes.m_Revision, m_OpenHosts, false}, Now);
}

bool SessionHomeManager::isStable(Instant Now) const {
  const ControlLeaderSettings &Settings = m_Context.settings();
  const Duration Unchanged = Now - m_OpenHostsSince;
  if (!m_Context.state().homes().m_Active.empty())
    return Unchanged >= Settings.m_HomesStableFor;
  // Hosts that start together are to be in the first list together.
  return Unchanged >= Settings.m_FirstHomesStableFor ||
         Now - *m_FirstOpenedAt >= Settings.m_HomesStableFor;
}

std::vector<HostId> SessionHomeManager::openHosts() const {
  std::set<HostId> Hosts;
  m_Context.state().sessions().forEachSession(
      [&](const SessionRecord &Session) { Hosts.insert(Session.m_Host); });
  return {Hosts.begin(), Hosts.end()};
}

} // namespace ragwortmux
