#include "ragwortmux/Version/GroupParticipants.h"

#include "ragwortmux/Version/ControlEvents.h"
#include "ragwortmux/Version/ControlState.h"
#include "ragwortmux/Version/LeaderContext.h"

#include <algorithm>

namespace ragwortmux {

void GroupParticipants::reset() {
  m_Served.clear();
  m_SessionsByGroup.clear();
  m_ServingAll.clear();
}

void GroupParticipants::sessionEnded(ControlSessionId Session) {
  const auto Found = m_Served.find(Session);
  if (Found == m_Served.end())
    return;
  removeFromIndex(Session, Found->second);
  m_Served.erase(Found);
}

void GroupParticipants::renewalReceived(const LeaseRenewal &Renewal) {
  const ControlSessionId Session = Renewal.m_Session;
  if (m_Context.state().sessions().find(Session) == nullptr)
    return;
  const auto [Known, IsNew] = m_Served.try_emplace(Session);
  if (!IsNew) {
    if (Known->second == Renewal.m_ServedGroups)
      return;
    removeFromIndex(Session, Known->second);
  }
  Known->second = Renewal.m_ServedGroups;
  if (!Renewal.m_ServedGroups) {
    m_ServingAll.insert(Session);
    return;
  }
  for (const GroupId &Group : *Renewal.m_ServedGroups)
    m_SessionsByGroup[Group].insert(Session);
}

void GroupParticipants::removeFromIndex(ControlSessionId Session,
                                        const ServedGroups &Served) {
  if (!Served) {
    m_ServingAll.erase(Session);
    return;
  }
  for (const GroupId &Group : *Served) {
    const auto Found = m_SessionsByGroup.find(Group);
    Found->second.erase(Session);
    if (Found->second.empty())
      m_SessionsByGroup.erase(Found);
  }
}

bool GroupParticipants::serves(ControlSessionId Session,
                               const GroupId &Group) const {
  const auto Found = m_Served.find(Session);
  return Found == m_Served.end()
             ? m_Context.state().shares().holds(Group, Session)
             : includes(Found->second, Group);
}

bool GroupParticipants::contains(ControlSessionId Session,
                                 const GroupId &Group) const {
  return serves(Session, Group) ||
         m_Context.state().shares().holds(Group, Session);
}

std::vector<ControlSessionId>
GroupParticipants::participants(const GroupId &Group) const {
  std::vector<ControlSessionId> Sessions(m_ServingAll.begin(),
                                         m_ServingAll.end());
  const auto Serving = m_SessionsByGroup.find(Group);
  if (Serving != m_SessionsByGroup.end())
    Sessions.insert(Sessions.end(), Serving->second.begin(),
                    Serving->second.end());
  m_Context.state().shares().forEachShareOf(
      Group,
      [&](const ShareRecord &Share) { Sessions.push_back(Share.m_Session); });
  std::sort(Sessions.begin(), Sessions.end());
  Sessions.erase(std::unique(Sessions.begin(), Sessions.end()), Sessions.end());
  return Sessions;
}

} // namespace ragwortmux
