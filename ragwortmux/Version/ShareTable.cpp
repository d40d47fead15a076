#include "ragwortmux/Version/ShareTable.h"

#include "ragwortmux/Version/ControlCommand.h"

#include <algorithm>

namespace ragwortmux {

ControlResult ShareTable::set(const SetShares &Command,
                              std::uint32_t ConnectionLimit, Revision Next) {
  // Check the resulting sum first, so that all grants are applied or none.
  std::map<ControlSessionId, std::uint32_t> Grants;
  std::uint64_t MaxOpen = maxOpen(Command.m_Group, Command.m_Server);
  for (const ShareGrant &Grant : Command.m_Grants) {
    if (!Grants.emplace(Grant.m_Session, Grant.m_Connections).second)
      return ControlResult::refused(ResultCode::BadArgument,
                                    "a session is listed twice");
    const auto Found =
        m_Shares.find({Command.m_Group, Command.m_Server, Grant.m_Session});
    const std::uint32_t Counted =
        Found == m_Shares.end() ? 0 : Found->second.m_MaxOpen;
    MaxOpen += std::max(Counted, Grant.m_Connections) - Counted;
  }
  if (MaxOpen > budget(ConnectionLimit))
    return ControlResult::refused(ResultCode::BadArgument,
                                  "the shares exceed the server's budget");

  for (const auto &[Session, Connections] : Grants) {
    const Key Id{Command.m_Group, Command.m_Server, Session};
    const auto [Found, IsNew] = m_Shares.try_emplace(Id);
    if (IsNew)
      addToIndex(Id);
    ShareRecord &Share = Found->second;
    Share.m_Group = Command.m_Group;
    Share.m_Server = Command.m_Server;
    Share.m_Session = Session;
    if (Share.m_Share == Connections)
      continue;
    Share.m_Share = Connections;
    Share.m_MaxOpen = std::max(Share.m_MaxOpen, Connections);
    Share.m_ShareRevision = Next;
  }
  return ControlResult::accepted(Next);
}

ControlResult ShareTable::confirm(const ConfirmShares &Command) {
  // Shares are ordered by group first.
  auto Next =
      m_Shares.lower_bound({Command.m_Group, ServerId(), ControlSessionId()});
  for (; Next != m_Shares.end() && Next->first.m_Group == Command.m_Group;
       ++Next) {
    ShareRecord &Share = Next->second;
    if (Share.m_Session == Command.m_Session &&
        Share.m_ShareRevision <= Command.m_Revision)
      Share.m_MaxOpen = Share.m_Share;
  }
  return ControlResult::accepted(Command.m_Revision);
}

void ShareTable::endSession(ControlSessionId Session) {
  std::erase_if(m_Shares, [Session](const auto &Entry) {
    return Entry.first.m_Session == Session;
  });
  m_GroupsBySession.erase(Session);
}

void ShareTable::removeServer(const GroupId &Group, const ServerId &Server) {
  std::erase_if(m_Shares, [&](const auto &Entry) {
    const bool IsRemoved =
        Entry.first.m_Group == Group && Entry.first.m_Server == Server;
    if (IsRemoved)
      removeFromIndex(Entry.first);
    return IsRemoved;
  });
}

bool ShareTable::isCurrent(const SetShares &Command) const {
  return std::all_of(Command.m_Grants.begin(), Command.m_Grants.end(),
                     [&](const ShareGrant &Grant) {
                       return share(Command.m_Group, Command.m_Server,
                                    Grant.m_Session) == Grant.m_Connections;
                     });
}

void ShareTable::importData(const std::vector<ShareRecord> &Shares) {
  m_Shares.clear();
  m_GroupsBySession.clear();
  for (const ShareRecord &Share : Shares) {
    const Key Id{Share.m_Group, Share.m_Server, Share.m_Session};
    if (m_Shares.insert_or_assign(Id, Share).second)
      addToIndex(Id);
  }
}

void ShareTable::addToIndex(const Key &Id) {
  ++m_GroupsBySession[Id.m_Session][Id.m_Group];
}

void ShareTable::removeFromIndex(const Key &Id) {
  const auto Session = m_GroupsBySession.find(Id.m_Session);
  const auto Group = Session->second.find(Id.m_Group);
  if (--Group->second == 0)
    Session->second.erase(Group);
  if (Session->second.empty())
    m_GroupsBySession.erase(Session);
}

std::uint32_t ShareTable::budget(std::uint32_t ConnectionLimit) const {
  return ConnectionLimit -
         std::min(ConnectionLimit, m_Settings.m_ControlReserve);
}

std::uint32_t ShareTable::share(const GroupId &Group, const ServerId &Server,
                                ControlSessionId Session) const {
  const auto Found = m_Shares.find({Group, Server, Session});
  return Found == m_Shares.end() ? 0 : Found->second.m_Share;
}

std::uint32_t ShareTable::maxOpen(const GroupId &Group,
                                  const ServerId &Server) const {
  std::uint32_t Sum = 0;
  forEachShareOf(Group, Server,
                 [&Sum](const ShareRecord &Share) { Sum += Share.m_MaxOpen; });
  return Sum;
}

bool ShareTable::holds(const GroupId &Group, ControlSessionId Session) const {
  const auto Groups = m_GroupsBySession.find(Session);
  return Groups != m_GroupsBySession.end() && Groups->second.contains(Group);
}

void ShareTable::forEachShareOf(
    const GroupId &Group,
    const std::function<void(const ShareRecord &)> &Visit) const {
  // Shares are ordered by group first.
  auto Next = m_Shares.lower_bound({Group, ServerId(), ControlSessionId()});
  for (; Next != m_Shares.end(); ++Next) {
    if (Next->second.m_Group != Group)
      return;
    Visit(Next->second);
  }
}

void ShareTable::forEachShareOf(
    const GroupId &Group, const ServerId &Server,
    const std::function<void(const ShareRecord &)> &Visit) const {
  // Shares are ordered by group and server first.
  auto Next = m_Shares.lower_bound({Group, Server, ControlSessionId()});
  for (; Next != m_Shares.end(); ++Next) {
    const ShareRecord &Share = Next->second;
    if (Share.m_Group != Group || Share.m_Server != Server)
      return;
    Visit(Share);
  }
}

void ShareTable::forEachShare(
    const std::function<void(const ShareRecord &)> &Visit) const {
  for (const auto &[Id, Share] : m_Shares)
    Visit(Share);
}

} // namespace ragwortmux
