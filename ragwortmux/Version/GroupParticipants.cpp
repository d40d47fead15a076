#include "ragwortmux/Version/GroupParticipants.h"

#include "ragwortmux/Version/ControlEvents.h"
#include "ragwortmux/Version/ControlState.h"
#include "ragwortmux/Version/LeaderContext.h"

namespace ragwortmux {

void GroupParticipants::renewalReceived(const LeaseRenewal &Renewal) {
  if (m_Context.state().sessions().find(Renewal.m_Session) != nullptr)
    m_Served[Renewal.m_Session] = Renewal.m_ServedGroups;
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
  std::set<ControlSessionId> Sessions;
  m_Context.state().shares().forEachShareOf(
      Group,
      [&](const ShareRecord &Share) { Sessions.insert(Share.m_Session); });
  for (const auto &[Session, Served] : m_Served) {
    if (includes(Served, Group))
      Sessions.insert(Session);
  }
  return {Sessions.begin(), Sessions.end()};
}

} // namespace ragwortmux
