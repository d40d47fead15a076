#include "ragwortmux/Version/ServerWatch.h"

#include "ragwortmux/Version/ControlState.h"
#include "ragwortmux/Version/LeaderContext.h"

#include <algorithm>

namespace ragwortmux {

namespace {

/// Maximum number of stored positions of one primary's log.
constexpr std::size_t MaxSamples = 64;
/// Proxies that must agree that a server has failed while it still announces
/// itself.
constexpr std::size_t MinAgreeingProxies = 2;

} // namespace

void ServerWatch::reset() {
  m_Servers.clear();
  m_Samples.clear();
}

void ServerWatch::becameLeader(Instant Now) {
  m_Since = Now + m_Context.settings().m_NewLeaderGrace;
}

void ServerWatch::announcementReceived(const ServerAnnouncement &Announcement,
                                       Instant Now) {
  Observed &Known = observe(Announcement.m_Group, Announcement.m_Server);
  if (isOutdated(Known, Announcement))
    return;
  Known.m_Incarnation = Announcement.m_Incarnation;
  Known.m_Sequence = Announcement.m_Sequence;
  Known.m_LastAnnouncement = Now;
  Known.m_IsLeaving = Announcement.m_Leaving || Announcement.m_Gone;
  Known.m_IsGone = Announcement.m_Gone;
  if (Announcement.m_Delegated) {
    Known.m_LastSign = std::max(Known.m_LastSign, Now);
    Known.m_Role = Announcement.m_Role;
    return;
  }
  notePoint(Announcement.m_Group, Announcement.m_Server, Announcement.m_Point,
            Announcement.m_Role, Now);
}

bool ServerWatch::isOutdated(const Observed &Known,
                             const ServerAnnouncement &Announcement) {
  if (Announcement.m_Incarnation != Known.m_Incarnation)
    return Announcement.m_Incarnation < Known.m_Incarnation;
  return Announcement.m_Sequence != 0 &&
         Announcement.m_Sequence <= Known.m_Sequence;
}

void ServerWatch::suspicionReported(const ServerSuspicion &Suspicion,
                                    Instant Now) {
  // Accept reports only from open sessions and about known servers, so that
  // memory stays bounded.
  if (m_Context.state().sessions().find(Suspicion.m_Session) == nullptr ||
      m_Context.state().groups().findServer(Suspicion.m_Group,
                                            Suspicion.m_Server) == nullptr)
    return;
  auto &Reports = observe(Suspicion.m_Group, Suspicion.m_Server).m_Reports;
  const auto Known = Reports.find(Suspicion.m_Session);
  // A Doubted report must not replace stronger evidence from the same proxy.
  const bool IsOverruled =
      Suspicion.m_Kind == SuspicionKind::Doubted && Known != Reports.end() &&
      Known->second.m_Kind != SuspicionKind::Doubted &&
      Now - Known->second.m_At <= m_Context.settings().m_EvidenceWindow;
  if (!IsOverruled)
    Reports[Suspicion.m_Session] = {Now, Suspicion.m_Kind};
}

void ServerWatch::callCompleted(const BackendCalls::Call &Call,
                                const BackendCallResult &Result, Instant Now) {
  Observed &Known = observe(Call.m_Group, Call.m_Server);
  if (!Result.m_Ok) {
    if (Call.m_Kind == BackendCallKind::Position)
      Known.m_ProbeFailedAt = Now;
    return;
  }
  const GroupRecord *Group = m_Context.state().groups().find(Call.m_Group);
  if (Group != nullptr && Group->m_Replication == ReplicationMode::Delegated) {
    // Terms of a delegated group's servers are not comparable with the group's.
    if (Call.m_Kind == BackendCallKind::Position)
      Known.m_ProbeFailedAt.reset();
    return;
  }
  switch (Call.m_Kind) {
  case BackendCallKind::Position:
    Known.m_ProbeFailedAt.reset();
    notePoint(Call.m_Group, Call.m_Server, Result.m_Point, Result.m_Role, Now);
    return;
  case BackendCallKind::Promote:
    notePoint(Call.m_Group, Call.m_Server,
              {Call.m_Term, Result.m_Point.m_Position}, BackendRole::Primary,
              Now);
    return;
  case BackendCallKind::Follow:
    notePoint(Call.m_Group, Call.m_Server,
              {Call.m_Term, Result.m_Point.m_Position}, BackendRole::Replica,
              Now);
    return;
  case BackendCallKind::Fence:
    Known.m_LastSign = std::max(Known.m_LastSign, Now);
    return;
  }
}

ServerWatch::Observed &ServerWatch::observe(const GroupId &Group,
                                            const ServerId &Server) {
  return m_Servers[{Group, Server}];
}

void ServerWatch::notePoint(const GroupId &Group, const ServerId &Server,
                            const LogPoint &Point, BackendRole Role,
                            Instant Now) {
  Observed &Known = observe(Group, Server);
  Known.m_LastSign = std::max(Known.m_LastSign, Now);
  const bool IsNewTerm = Point.m_Term > Known.m_Point.m_Term;
  // Within a term a log only grows; a change of term may truncate it.
  const bool IsLower = Known.m_HasPoint && !IsNewTerm &&
                       (Point.m_Term < Known.m_Point.m_Term ||
                        Point.m_Position < Known.m_Point.m_Position);
  if (IsLower) {
    // Announcements may overtake each other, but only briefly.
    if (!Known.m_LowerSince)
      Known.m_LowerSince = Now;
    if (Now - *Known.m_LowerSince < m_Context.settings().m_SilenceFailed)
      return;
    Known.m_HasRegressed = true;
  }
  Known.m_LowerSince.reset();
  if (!Known.m_HasPoint || IsNewTerm ||
      Point.m_Position > Known.m_Point.m_Position)
    Known.m_AdvancedAt = Now;
  Known.m_HasPoint = true;
  Known.m_Point = Point;
  Known.m_Role = Role;
  if (Role == BackendRole::Primary)
    noteSample(Group, Server, Point, Now);
}

void ServerWatch::noteSample(const GroupId &Group, const ServerId &Server,
                             const LogPoint &Point, Instant Now) {
  const GroupRecord *Record = m_Context.state().groups().find(Group);
  if (Record == nullptr || Record->m_Primary != Server ||
      Record->m_Term != Point.m_Term)
    return;
  Samples &Known = m_Samples[Group];
  if (Known.m_Term != Point.m_Term)
    Known = {Point.m_Term, {}};
  Known.m_Samples.push_back({Now, Point.m_Position});
  if (Known.m_Samples.size() > MaxSamples)
    Known.m_Samples.pop_front();
}

void ServerWatch::probeSilent(Instant Now) {
  m_Context.state().groups().forEachGroup([&](const GroupRecord &Group) {
    if (Group.m_Replication == ReplicationMode::Delegated)
      return;
    for (const auto &[Id, Server] : Group.m_Servers) {
      const bool IsPrimary = Group.m_Primary == Id;
      if (!IsPrimary && Server.m_Sync == SyncState::Behind)
        continue;
      const Observed *Known = find(Group.m_Group, Id);
      const bool IsDoubted = IsPrimary && Known != nullptr &&
                             countReports(*Known, Now) >= MinAgreeingProxies;
      if (!IsDoubted &&
          silence(Group.m_Group, Id, Now) < m_Context.settings().m_ProbeAfter)
        continue;
      m_Calls.start(BackendCallKind::Position, Group.m_Group, Server,
                    Group.m_Term, Now);
    }
  });
}

void ServerWatch::sessionEnded(ControlSessionId Session) {
  for (auto &[Place, Known] : m_Servers)
    Known.m_Reports.erase(Session);
}

void ServerWatch::forgiveRegression(const GroupId &Group,
                                    const ServerId &Server) {
  observe(Group, Server).m_HasRegressed = false;
}

const ServerWatch::Observed *ServerWatch::find(const GroupId &Group,
                                               const ServerId &Server) const {
  const auto Found = m_Servers.find({Group, Server});
  return Found == m_Servers.end() ? nullptr : &Found->second;
}

Duration ServerWatch::silence(const GroupId &Group, const ServerId &Server,
                              Instant Now) const {
  const Observed *Known = find(Group, Server);
  const Instant Last =
      Known == nullptr ? m_Since : std::max(m_Since, Known->m_LastSign);
  return std::max(Duration(0), Now - Last);
}

Duration ServerWatch::announcementSilence(const GroupId &Group,
                                          const ServerId &Server,
                                          Instant Now) const {
  const Observed *Known = find(Group, Server);
  const Instant Last =
      Known == nullptr
          ? m_Since
          : std::max(m_Since, Known->m_LastAnnouncement.value_or(m_Since));
  return std::max(Duration(0), Now - Last);
}

std::size_t ServerWatch::countReports(const Observed &Known,
                                      Instant Now) const {
  return static_cast<std::size_t>(std::count_if(
      Known.m_Reports.begin(), Known.m_Reports.end(), [&](const auto &Entry) {
        return Now - Entry.second.m_At <= m_Context.settings().m_EvidenceWindow;
      }));
}

bool ServerWatch::isReportedDown(const Observed &Known, Instant Now) const {
  // A single connection may stop answering while its server is healthy, so such
  // reports do not count here. A sign of life refutes earlier reports, with
  // some slack because messages may overtake each other.
  const ControlLeaderSettings &Settings = m_Context.settings();
  return std::any_of(
      Known.m_Reports.begin(), Known.m_Reports.end(), [&](const auto &Entry) {
        const Report &Each = Entry.second;
        return Each.m_Kind != SuspicionKind::Silent &&
               Each.m_Kind != SuspicionKind::Doubted &&
               Now - Each.m_At <= Settings.m_EvidenceWindow &&
               Each.m_At > Known.m_LastSign - Settings.m_EvidenceSlack;
      });
}

ServerWatch::Complaints ServerWatch::complaints(const GroupId &Group,
                                                const ServerId &Server,
                                                Instant Now) const {
  Complaints Result;
  const Observed *Known = find(Group, Server);
  if (Known == nullptr)
    return Result;
  for (const auto &[Session, Each] : Known->m_Reports) {
    if (Now - Each.m_At > m_Context.settings().m_EvidenceWindow)
      continue;
    if (Each.m_Kind == SuspicionKind::NotPrimary)
      ++Result.m_NotPrimary;
    else if (Each.m_Kind == SuspicionKind::Doubted)
      ++Result.m_Doubted;
    else if (Each.m_Kind != SuspicionKind::Reset)
      ++Result.m_Unreachable;
  }
  return Result;
}

bool ServerWatch::hasFailed(const GroupId &Group, const ServerId &Server,
                            Instant Now) const {
  const ControlLeaderSettings &Settings = m_Context.settings();
  const Duration Silence = silence(Group, Server, Now);
  if (Silence >= Settings.m_SilenceFailed)
    return true;
  const Observed *Known = find(Group, Server);
  if (Known == nullptr)
    return false;
  if (Silence >= Settings.m_SilenceSuspected && isReportedDown(*Known, Now))
    return true;
  // While the server announces itself, it has failed only if a majority of the
  // proxies and this leader do not reach it.
  const std::size_t Sessions = m_Context.state().sessions().size();
  const bool ProbeFailed =
      Known->m_ProbeFailedAt &&
      Now - *Known->m_ProbeFailedAt <= Settings.m_EvidenceWindow;
  const std::size_t Reports = countReports(*Known, Now);
  return ProbeFailed && Reports >= MinAgreeingProxies && Reports * 2 > Sessions;
}

Duration ServerWatch::lag(const GroupRecord &Group, const ServerId &Server,
                          Instant Now) const {
  const auto Found = m_Samples.find(Group.m_Group);
  if (Found == m_Samples.end() || Found->second.m_Term != Group.m_Term)
    return Duration::max();
  const std::deque<Sample> &Known = Found->second.m_Samples;
  const Observed *Applied = find(Group.m_Group, Server);
  if (Applied == nullptr || !Applied->m_HasPoint)
    return Now - Known.front().m_At;
  // A server that does not follow the term yet lacks its whole log.
  const bool Follows = Applied->m_Point.m_Term == Group.m_Term;
  for (const Sample &Each : Known) {
    if (!Follows || Each.m_Position > Applied->m_Point.m_Position)
      return Now - Each.m_At;
  }
  return Duration(0);
}

bool ServerWatch::isPromoted(const GroupRecord &Group) const {
  if (!Group.m_Primary)
    return false;
  const Observed *Known = find(Group.m_Group, *Group.m_Primary);
  return Known != nullptr && Known->m_HasPoint &&
         Known->m_Role == BackendRole::Primary &&
         Known->m_Point.m_Term == Group.m_Term;
}

bool ServerWatch::isFollowing(const GroupRecord &Group,
                              const ServerId &Server) const {
  const Observed *Known = find(Group.m_Group, Server);
  return Known != nullptr && Known->m_HasPoint &&
         Known->m_Role == BackendRole::Replica &&
         Known->m_Point.m_Term == Group.m_Term;
}

} // namespace ragwortmux
