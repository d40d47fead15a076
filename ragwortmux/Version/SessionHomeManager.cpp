#include "ragwortmux/Version/SessionHomeManager.h"

#include "ragwortmux/Version/ControlState.h"
#include "ragwortmux/Version/LeaderContext.h"
#include "ragwortmux/Version/UpdateTracker.h"

#include <set>

namespace ragwortmux {

void SessionHomeManager::evaluate(Instant Now) {
  const SessionHomeLists &Homes = m_Context.state().homes();
  const std::vector<HostId> Hosts = openHosts();
  if (Hosts != m_OpenHosts) {
    m_OpenHosts = Hosts;
    m_OpenHostsSince = Now;
  }
  // Finish a prepared change first.
  if (!Homes.m_Preparing.empty()) {
    if (m_Updates.allConfirmedHomes(Homes.m_Revision))
      m_Context.propose(
          SetSessionHomes{Homes.m_Revision, Homes.m_Preparing, true}, Now);
    return;
  }
  const bool IsStable =
      Homes.m_Active.empty() ||
      Now - m_OpenHostsSince >= m_Context.settings().m_HomesStableFor;
  if (m_OpenHosts.empty() || m_OpenHosts == Homes.m_Active || !IsStable)
    return;
  m_Context.propose(SetSessionHomes{Homes.m_Revision, m_OpenHosts, false}, Now);
}

std::vector<HostId> SessionHomeManager::openHosts() const {
  std::set<HostId> Hosts;
  m_Context.state().sessions().forEachSession(
      [&](const SessionRecord &Session) { Hosts.insert(Session.m_Host); });
  return {Hosts.begin(), Hosts.end()};
}

} // namespace ragwortmux
