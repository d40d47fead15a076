#include "ragwortmux/Version/GroupTable.h"

#include "ragwortmux/Version/ControlCommand.h"

#include <algorithm>

namespace ragwortmux {

namespace {

constexpr std::size_t MaxGroups = 1024;
constexpr std::size_t MaxServersPerGroup = 16;
constexpr std::size_t MaxTextLength = 255;

ControlResult refused(const char *Reason) {
  return ControlResult::refused(ResultCode::BadArgument, Reason);
}

void raiseRevision(GroupRecord &Group) {
  Group.m_Revision = Revision(Group.m_Revision.value() + 1);
}

/// Sets the sync state of \p Server as of the revision that \p Group is about
/// to get.
void setSync(const GroupRecord &Group, ServerRecord &Server, SyncState Sync) {
  if (Server.m_Sync == Sync)
    return;
  Server.m_Sync = Sync;
  Server.m_SyncRevision = Revision(Group.m_Revision.value() + 1);
}

bool isComplete(const RegisterServer &Command) {
  const auto IsText = [](const std::string &Text) {
    return !Text.empty() && Text.size() <= MaxTextLength;
  };
  return IsText(Command.m_Group.value()) && IsText(Command.m_Server.value()) &&
         IsText(Command.m_Domain.value()) && IsText(Command.m_Address) &&
         Command.m_Port != 0 && Command.m_Slots != 0 &&
         Command.m_ConnectionLimit != 0;
}

/// A server that is Behind and does not announce itself, unless it is the
/// primary: the first that has ended, otherwise the first one; none if there is
/// none. During a change of primary only servers that have ended, because a
/// silent one may hold commits that the next primary must have.
std::optional<ServerId> findEvictable(const GroupRecord &Group) {
  std::optional<ServerId> Silent;
  for (const auto &[Id, Server] : Group.m_Servers) {
    if (Server.m_Sync != SyncState::Behind || Server.m_Announced ||
        Group.m_Primary == Id)
      continue;
    if (Server.m_HasEnded)
      return Id;
    if (!Silent && Group.m_Primary)
      Silent = Id;
  }
  return Silent;
}

bool contains(const std::vector<ServerId> &List, const ServerId &Server) {
  return std::find(List.begin(), List.end(), Server) != List.end();
}

} // namespace

ControlResult GroupTable::registerServer(const RegisterServer &Command,
                                         std::optional<ServerId> &Evicted) {
  if (!isComplete(Command))
    return refused("a field of the server is empty or too long");
  const GroupRecord *Existing = find(Command.m_Group);
  if (Existing == nullptr && m_Groups.size() >= MaxGroups)
    return refused("there are too many groups");
  const bool IsNew = findServer(Command.m_Group, Command.m_Server) == nullptr;
  if (IsNew && Existing != nullptr &&
      Existing->m_Servers.size() >= MaxServersPerGroup) {
    Evicted = findEvictable(*Existing);
    if (!Evicted)
      return refused("the group has too many servers");
    m_Groups[Command.m_Group].m_Servers.erase(*Evicted);
  }

  GroupRecord &Group = m_Groups[Command.m_Group];
  Group.m_Group = Command.m_Group;
  if (Existing == nullptr)
    Group.m_Replication = Command.m_Replication;
  ServerRecord &Server = Group.m_Servers[Command.m_Server];
  ServerRecord Changed = Server;
  Changed.m_Server = Command.m_Server;
  Changed.m_Domain = Command.m_Domain;
  Changed.m_Address = Command.m_Address;
  Changed.m_Port = Command.m_Port;
  Changed.m_Slots = Command.m_Slots;
  Changed.m_ConnectionLimit = Command.m_ConnectionLimit;
  if (!IsNew && Changed == Server)
    return ControlResult::accepted(Group.m_Revision);
  // A server at a new address may be another machine with other data.
  const bool Moved = !IsNew && (Changed.m_Address != Server.m_Address ||
                                Changed.m_Port != Server.m_Port);
  Server = Changed;
  if (Moved && Group.m_Primary != Command.m_Server)
    setSync(Group, Server, SyncState::Behind);
  raiseRevision(Group);
  return ControlResult::accepted(Group.m_Revision);
}

ControlResult GroupTable::setServerState(const SetServerState &Command) {
  if (findServer(Command.m_Group, Command.m_Server) == nullptr)
    return refusedServer(Command.m_Group, Command.m_Server);
  GroupRecord &Group = *findMutable(Command.m_Group);
  ServerRecord &Server = Group.m_Servers[Command.m_Server];
  if (Server.m_Leaving == Command.m_Leaving &&
      Server.m_Announced == Command.m_Announced &&
      Server.m_HasEnded == Command.m_HasEnded)
    return ControlResult::accepted(Group.m_Revision);
  Server.m_Leaving = Command.m_Leaving;
  Server.m_Announced = Command.m_Announced;
  Server.m_HasEnded = Command.m_HasEnded;
  raiseRevision(Group);
  return ControlResult::accepted(Group.m_Revision);
}

ControlResult GroupTable::endTerm(const EndTerm &Command,
                                  ControlSessionId LastSession) {
  GroupRecord *Group = findMutable(Command.m_Group);
  if (Group == nullptr)
    return refused("the group is unknown");
  if (Group->m_Term == Term())
    return refused("the group has no term yet");
  if (Command.m_NewTerm <= Group->m_Term)
    return refused("the new term is not higher than the current one");
  if (Group->m_Primary)
    Group->m_Previous = Group->m_Primary;
  Group->m_Term = Command.m_NewTerm;
  Group->m_Primary.reset();
  raiseRevision(*Group);
  Group->m_TermRevision = Group->m_Revision;
  Group->m_LastSession = LastSession;
  return ControlResult::accepted(Group->m_Revision);
}

ControlResult GroupTable::orderPromotion(const OrderPromotion &Command) {
  if (findServer(Command.m_Group, Command.m_Server) == nullptr)
    return refusedServer(Command.m_Group, Command.m_Server);
  GroupRecord &Group = *findMutable(Command.m_Group);
  if (Command.m_Term != Group.m_Term || Group.m_Primary)
    return refused("the term is not the group's, or it has a primary");
  if (Group.m_Ordered.insert(Command.m_Server).second &&
      Group.m_Ordered.size() > MaxOrderedServers)
    Group.m_Ordered.erase(
        std::ranges::find_if(Group.m_Ordered, [&](const ServerId &Each) {
          return Each != Command.m_Server;
        }));
  return ControlResult::accepted(Group.m_Revision);
}

ControlResult GroupTable::appointPrimary(const AppointPrimary &Command) {
  if (findServer(Command.m_Group, Command.m_Server) == nullptr)
    return refusedServer(Command.m_Group, Command.m_Server);
  GroupRecord &Group = *findMutable(Command.m_Group);
  const bool IsFirst = Group.m_Term == Term();
  if (Group.m_Primary)
    return refused("the group has a primary");
  if (IsFirst ? Command.m_Term == Term() : Command.m_Term != Group.m_Term)
    return refused("the term is not the group's");
  ServerRecord &Primary = Group.m_Servers[Command.m_Server];
  if (!IsFirst && Group.m_Replication == ReplicationMode::InSyncSet &&
      Primary.m_Sync != SyncState::InSync)
    return refused("the server is not in sync");

  for (auto &[Id, Server] : Group.m_Servers) {
    if (Id != Command.m_Server && !contains(Command.m_Retained, Id))
      setSync(Group, Server, SyncState::Behind);
  }
  setSync(Group, Primary, SyncState::InSync);
  Group.m_Term = Command.m_Term;
  Group.m_Primary = Command.m_Server;
  Group.m_ServerTerm = Command.m_ServerTerm;
  Group.m_Ordered.clear();
  raiseRevision(Group);
  return ControlResult::accepted(Group.m_Revision);
}

ControlResult GroupTable::setInSync(const SetInSync &Command) {
  const ServerRecord *Existing = findServer(Command.m_Group, Command.m_Server);
  if (Existing == nullptr)
    return refusedServer(Command.m_Group, Command.m_Server);
  GroupRecord &Group = *findMutable(Command.m_Group);
  // The in-sync set must not change while a primary is chosen from it.
  if (Command.m_Term != Group.m_Term || !Group.m_Primary)
    return refused("the term is not the group's, or it has no primary");
  if (Group.m_Primary == Command.m_Server)
    return refused("the server is the primary");
  if (Existing->m_SyncRevision != Command.m_Expected)
    return refused("the server's sync state has changed");
  if (Command.m_Sync == Existing->m_Sync)
    return ControlResult::accepted(Group.m_Revision);
  if (Command.m_Sync == SyncState::InSync &&
      Existing->m_Sync != SyncState::Joining)
    return refused("only a joining server can become in sync");
  if (Command.m_Sync == SyncState::Joining &&
      Existing->m_Sync != SyncState::Behind)
    return refused("only a server that is behind can start joining");
  setSync(Group, Group.m_Servers[Command.m_Server], Command.m_Sync);
  raiseRevision(Group);
  return ControlResult::accepted(Group.m_Revision);
}

Revision GroupTable::touch(const GroupId &Group) {
  GroupRecord *Existing = findMutable(Group);
  raiseRevision(*Existing);
  return Existing->m_Revision;
}

void GroupTable::importData(const std::vector<GroupRecord> &Groups) {
  m_Groups.clear();
  for (const GroupRecord &Group : Groups)
    m_Groups[Group.m_Group] = Group;
}

const GroupRecord *GroupTable::find(const GroupId &Group) const {
  const auto Found = m_Groups.find(Group);
  return Found == m_Groups.end() ? nullptr : &Found->second;
}

GroupRecord *GroupTable::findMutable(const GroupId &Group) {
  const auto Found = m_Groups.find(Group);
  return Found == m_Groups.end() ? nullptr : &Found->second;
}

const ServerRecord *GroupTable::findServer(const GroupId &Group,
                                           const ServerId &Server) const {
  const GroupRecord *Existing = find(Group);
  if (Existing == nullptr)
    return nullptr;
  const auto Found = Existing->m_Servers.find(Server);
  return Found == Existing->m_Servers.end() ? nullptr : &Found->second;
}

void GroupTable::forEachGroup(
    const std::function<void(const GroupRecord &)> &Visit) const {
  for (const auto &[Id, Group] : m_Groups)
    Visit(Group);
}

ControlResult GroupTable::refusedServer(const GroupId &Group,
                                        const ServerId &Server) {
  return ControlResult::refused(ResultCode::BadArgument,
                                "server " + Server.value() + " of group " +
                                    Group.value() + " is unknown");
}

} // namespace ragwortmux
