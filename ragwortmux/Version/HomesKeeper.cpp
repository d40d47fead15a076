#include "ragwortmux/Version/HomesKeeper.h"

#include "ragwortmux/Version/ControlState.h"
#include "ragwortmux/Version/LeaderContext.h"
#include "ragwortmux/Version/UpdateTracker.h"

#include <set>

namespace ragwortmux {

void HomesKeeper::evaluate(Instant Now) {
  const SessionHomes &Homes = m_Context.state().homes();
  const std::vector<HostId> Hosts = openHosts();
  if (Hosts != m_Wanted) {
    m_Wanted = Hosts;
    m_WantedSince = Now;
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
      Now - m_WantedSince >= m_Context.settings().m_HomesStable;
  if (m_Wanted.empty() || m_Wanted == Homes.m_Active || !IsStable)
    return;
  m_Context.propose(SetSessionHomes{Homes.m_Revision, m_Wanted, false}, Now);
}

std::vector<HostId> HomesKeeper::openHosts() const {
  std::set<HostId> Hosts;
  m_Context.state().sessions().forEachSession(
      [&](const SessionRecord &Session) { Hosts.insert(Session.m_Host); });
  return {Hosts.begin(), Hosts.end()};
}

} // namespace ragwortmux
