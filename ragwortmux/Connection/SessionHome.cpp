#include "ragwortmux/Connection/SessionHome.h"

#include "ragwortmux/Connection/StableHash.h"

#include <algorithm>

namespace ragwortmux {

SessionHome::SessionHome(const SessionHomeSettings &Settings)
    : m_Settings(Settings) {}

void SessionHome::setHomes(Revision HomesRevision,
                           const HomePredicate &IsStillHome) {
  if (HomesRevision <= m_HomesRevision)
    return;
  const bool HasMissedRevision =
      HomesRevision.value() > m_HomesRevision.value() + 1;
  m_HomesRevision = HomesRevision;
  for (auto Next = m_Points.begin(); Next != m_Points.end();) {
    const auto Current = Next++;
    if (HasMissedRevision || !IsStillHome(Current->first.m_Session))
      remove(Current);
  }
}

bool SessionHome::store(const SessionName &Session, const GroupId &Group,
                        const LogPoint &Point, Revision HomesRevision) {
  if (!isWithinOneRevision(HomesRevision))
    return false;
  const auto [Found, IsNew] = m_Points.try_emplace(Key{Group, Session});
  if (IsNew) {
    Found->second = {Point, m_UseOrder.insert(m_UseOrder.end(), &Found->first)};
  } else {
    // Stores can arrive out of order. A point of a later term is newer.
    LogPoint &Stored = Found->second.m_Point;
    if (std::tie(Point.m_Term, Point.m_Position) >
        std::tie(Stored.m_Term, Stored.m_Position))
      Stored = {Point.m_Term, std::max(Point.m_Position, Stored.m_Position)};
    m_UseOrder.splice(m_UseOrder.end(), m_UseOrder,
                      Found->second.m_UseOrderEntry);
  }
  while (m_Points.size() > m_Settings.m_MaxSessions)
    remove(m_Points.find(*m_UseOrder.front()));
  return true;
}

bool SessionHome::storeIfNotRemoved(const SessionName &Session,
                                    const GroupId &Group, const LogPoint &Point,
                                    Revision HomesRevision,
                                    const SessionTicket &Ticket) {
  const Key SessionKey{Group, Session};
  if (Ticket !=
      SessionTicket{m_Settings.m_Incarnation, removalCounter(SessionKey)})
    return false;
  return store(Session, Group, Point, HomesRevision);
}

SessionLookup SessionHome::find(const SessionName &Session,
                                const GroupId &Group, Revision HomesRevision) {
  const Key SessionKey{Group, Session};
  SessionLookup Result;
  Result.m_Ticket = {m_Settings.m_Incarnation, removalCounter(SessionKey)};
  const auto Found = m_Points.find(SessionKey);
  if (!isWithinOneRevision(HomesRevision) || Found == m_Points.end())
    return Result;
  m_UseOrder.splice(m_UseOrder.end(), m_UseOrder,
                    Found->second.m_UseOrderEntry);
  Result.m_Point = Found->second.m_Point;
  return Result;
}

std::optional<LogPoint>
SessionHome::combine(std::span<const std::optional<SessionLookup>> Answers) {
  std::optional<LogPoint> Newest;
  for (const std::optional<SessionLookup> &Answer : Answers) {
    if (!Answer || !Answer->m_Point)
      return std::nullopt;
    if (!Newest) {
      Newest = Answer->m_Point;
      continue;
    }
    Newest->m_Term = std::max(Newest->m_Term, Answer->m_Point->m_Term);
    Newest->m_Position =
        std::max(Newest->m_Position, Answer->m_Point->m_Position);
  }
  return Newest;
}

bool SessionHome::isWithinOneRevision(Revision HomesRevision) const {
  // A change of the homes takes two revisions, and in between points are stored
  // at the homes of both lists. Callers one revision apart see the same points.
  return HomesRevision.value() + 1 >= m_HomesRevision.value() &&
         HomesRevision.value() <= m_HomesRevision.value() + 1;
}

std::uint64_t &SessionHome::removalCounter(const Key &SessionKey) {
  return m_Removals[stableHash(SessionKey.m_Group.value(),
                               SessionKey.m_Session.value()) %
                    BucketCount];
}

void SessionHome::remove(std::map<Key, StoredPoint>::iterator Found) {
  ++removalCounter(Found->first);
  m_UseOrder.erase(Found->second.m_UseOrderEntry);
  m_Points.erase(Found);
}

} // namespace ragwortmux
