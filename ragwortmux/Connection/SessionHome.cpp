#include "ragwortmux/Connection/SessionHome.h"

#include "ragwortmux/Connection/StableHash.h"

#include <algorithm>

namespace ragwortmux {

SessionHome::SessionHome(const SessionHomeSettings &Settings)
    : m_Settings(Settings) {}

void SessionHome::setHomes(Revision Homes, const IsHome &Keeps) {
  if (Homes <= m_Homes)
    return;
  const bool MissedOne = Homes.value() > m_Homes.value() + 1;
  m_Homes = Homes;
  for (auto Next = m_Points.begin(); Next != m_Points.end();) {
    const auto Current = Next++;
    if (MissedOne || !Keeps(Current->first.m_Session))
      remove(Current);
  }
}

bool SessionHome::store(const SessionName &Session, const GroupId &Group,
                        const LogPoint &Point, Revision Homes) {
  if (!isNear(Homes))
    return false;
  const auto [Found, IsNew] = m_Points.try_emplace(Key{Group, Session});
  if (IsNew) {
    Found->second = {Point, m_Uses.insert(m_Uses.end(), &Found->first)};
  } else {
    // Stores can arrive out of order. A point of a later term is newer.
    LogPoint &Kept = Found->second.m_Point;
    if (std::tie(Point.m_Term, Point.m_Position) >
        std::tie(Kept.m_Term, Kept.m_Position))
      Kept = {Point.m_Term, std::max(Point.m_Position, Kept.m_Position)};
    m_Uses.splice(m_Uses.end(), m_Uses, Found->second.m_Use);
  }
  while (m_Points.size() > m_Settings.m_MaxSessions)
    remove(m_Points.find(*m_Uses.front()));
  return true;
}

bool SessionHome::establish(const SessionName &Session, const GroupId &Group,
                            const LogPoint &Point, Revision Homes,
                            const SessionTicket &Ticket) {
  const Key Where{Group, Session};
  if (Ticket != SessionTicket{m_Settings.m_Incarnation, removalsOf(Where)})
    return false;
  return store(Session, Group, Point, Homes);
}

SessionLookup SessionHome::find(const SessionName &Session,
                                const GroupId &Group, Revision Homes) {
  const Key Where{Group, Session};
  SessionLookup Result;
  Result.m_Ticket = {m_Settings.m_Incarnation, removalsOf(Where)};
  const auto Found = m_Points.find(Where);
  if (!isNear(Homes) || Found == m_Points.end())
    return Result;
  m_Uses.splice(m_Uses.end(), m_Uses, Found->second.m_Use);
  Result.m_Point = Found->second.m_Point;
  return Result;
}

std::optional<LogPoint>
SessionHome::combine(std::span<const std::optional<SessionLookup>> Answers) {
  std::optional<LogPoint> Newest;
  for (const std::optional<SessionLookup> &One : Answers) {
    if (!One || !One->m_Point)
      return std::nullopt;
    if (!Newest) {
      Newest = One->m_Point;
      continue;
    }
    Newest->m_Term = std::max(Newest->m_Term, One->m_Point->m_Term);
    Newest->m_Position = std::max(Newest->m_Position, One->m_Point->m_Position);
  }
  return Newest;
}

bool SessionHome::isNear(Revision Homes) const {
  // A change of the homes takes two revisions, and in between points are stored
  // at the homes of both lists. Callers one revision apart see the same points.
  return Homes.value() + 1 >= m_Homes.value() &&
         Homes.value() <= m_Homes.value() + 1;
}

std::uint64_t &SessionHome::removalsOf(const Key &Where) {
  return m_Removals[stableHash(Where.m_Group.value(), Where.m_Session.value()) %
                    BucketCount];
}

void SessionHome::remove(std::map<Key, Kept>::iterator Found) {
  ++removalsOf(Found->first);
  m_Uses.erase(Found->second.m_Use);
  m_Points.erase(Found);
}

} // namespace ragwortmux
