#include "ragwortmux/Request/WriteGate.h"

#include "ragwortmux/Version/GroupView.h"

namespace ragwortmux {

WriteGate::WriteGate(bool AllowSingleServer)
    : m_AllowSingleServer(AllowSingleServer) {}

void WriteGate::setApplied(const ServerId &Server, const LogPoint &Point,
                           Instant AskedAt) {
  Applied &Last = m_Applied[Server];
  if (AskedAt < Last.m_AskedAt)
    return;
  // A server that was set back counts as set back, so no maximum is kept.
  Last = {Point, AskedAt};
}

bool WriteGate::isReplicated(const GroupView &View,
                             const LogPoint &Commit) const {
  if (!View.m_Primary || Commit.m_Term != View.m_Term)
    return false;
  std::size_t Holders = 1;
  for (const ServerView &Server : View.m_Servers) {
    if (Server.m_Server == *View.m_Primary)
      continue;
    const auto Found = m_Applied.find(Server.m_Server);
    const bool Holds =
        Found != m_Applied.end() && covers(Found->second.m_Point, Commit);
    if (Holds)
      ++Holders;
    else if (Server.m_Sync != SyncState::Behind)
      return false;
  }
  return Holders >= 2 || (m_AllowSingleServer && View.m_Servers.size() == 1);
}

std::optional<LogPoint> WriteGate::applied(const ServerId &Server) const {
  const auto Found = m_Applied.find(Server);
  if (Found == m_Applied.end())
    return std::nullopt;
  return Found->second.m_Point;
}

} // namespace ragwortmux
