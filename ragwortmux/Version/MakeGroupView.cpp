#include "ragwortmux/Version/MakeGroupView.h"

#include "ragwortmux/Version/ControlState.h"

namespace ragwortmux {

std::optional<GroupView> makeGroupView(const ControlState &State,
                                       const GroupId &Group,
                                       ControlSessionId Session) {
  const GroupRecord *Record = State.groups().find(Group);
  if (Record == nullptr)
    return std::nullopt;
  GroupView View;
  View.m_Group = Group;
  View.m_Revision = Record->m_Revision;
  View.m_Term = Record->m_Term;
  View.m_Primary = Record->m_Primary;
  for (const auto &[Id, Server] : Record->m_Servers)
    View.m_Servers.push_back(
        {.m_Server = Id,
         .m_Domain = Server.m_Domain,
         .m_Address = Server.m_Address,
         .m_Port = Server.m_Port,
         .m_Sync = Server.m_Sync,
         .m_Leaving = Server.m_Leaving,
         .m_Announced = Server.m_Announced,
         .m_ConnectionShare = State.shares().share(Group, Id, Session),
         .m_Slots = Server.m_Slots});
  return View;
}

} // namespace ragwortmux
