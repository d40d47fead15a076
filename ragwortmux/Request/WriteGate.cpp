#include "ragwortmux/Request/WriteGate.h"

#include "ragwortmux/Version/GroupView.h"

#include <tuple>

namespace ragwortmux {

WriteGate::WriteGate(bool AllowSingleServer)
    : m_AllowSingleServer(AllowSingleServer) {}

void WriteGate::setApplied(const ServerId &Server, const LogPoint &Point,
                           Instant QuerySentAt, Instant Now) {
  const auto [Found, IsNew] = m_Applied.try_emplace(Server);
  Applied &Last = Found->second;
  // A lower position replaces a higher one if it was queried after the higher
  // one was reported: the server has been reset to an older state.
  const bool IsGreater = std::tie(Point.m_Term, Point.m_Position) >
                         std::tie(Last.m_Point.m_Term, Last.m_Point.m_Position);
  if (IsNew || IsGreater || QuerySentAt >= Last.m_ReportedAt)
    Last = {Point, Now};
}

bool WriteGate::isReplicated(const GroupView &View,
                             const LogPoint &Commit) const {
  if (!View.m_Primary || Commit.m_Term != View.m_Term)
    return false;
  // Count only replicas that can be appointed: without one, the group would
  // have no successor for the primary.
  std::size_t Electable = 1;
  for (const ServerView &Server : View.m_Servers) {
    if (Server.m_Server == *View.m_Primary)
      continue;
    const auto Found = m_Applied.find(Server.m_Server);
    // A longer history of another term may lack a commit that has not been
    // acknowledged yet.
    const bool Holds = Found != m_Applied.end() &&
                       Found->second.m_Point.m_Term == Commit.m_Term &&
                       Found->second.m_Point.m_Position >= Commit.m_Position;
    if (!Holds && Server.m_Sync != SyncState::Behind)
      return false;
    if (Holds && Server.m_Sync == SyncState::InSync)
      ++Electable;
  }
  return Electable >= 2 || (m_AllowSingleServer && View.m_Servers.size() == 1);
}

std::optional<LogPoint> WriteGate::applied(const ServerId &Server) const {
  const auto Found = m_Applied.find(Server);
  if (Found == m_Applied.end())
    return std::nullopt;
  return Found->second.m_Point;
}

} // namespace ragwortmux
