#include "ragwortmux/Version/ServerMonitor.h"

#include "ragwortmux/Version/ControlState.h"
#include "ragwortmux/Version/GroupParticipants.h"
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

void ServerMonitor::reset() {
  m_Servers.clear();
  m_Samples.clear();
}

void ServerMonitor::becameLeader(Instant Now) {
  m_SilenceCountedFrom = Now + m_Context.settings().m_NewLeaderGrace;
}

void ServerMonitor::announcementReceived(const ServerAnnouncement &Announcement,
                                         Instant Now) {
  ServerStatus &Status = observe(Announcement.m_Group, Announcement.m_Server);
  if (isOutdated(Status, Announcement))
    return;
  Status.m_Incarnation = Announcement.m_Incarnation;
  Status.m_Sequence = Announcement.m_Sequence;
  Status.m_LastAnnouncementAt = Now;
  Status.m_IsLeaving = Announcement.m_Leaving || Announcement.m_HasEnded;
  Status.m_HasEnded = Announcement.m_HasEnded;
  if (Announcement.m_Delegated) {
    Status.m_LastContactAt = std::max(Status.m_LastContactAt, Now);
    Status.m_Role = Announcement.m_Role;
    return;
  }
  recordPoint(Announcement.m_Group, Announcement.m_Server, Announcement.m_Point,
              Announcement.m_Role, Now);
}

bool ServerMonitor::isOutdated(const ServerStatus &Status,
                               const ServerAnnouncement &Announcement) {
  if (Announcement.m_Incarnation != Status.m_Incarnation)
    return Announcement.m_Incarnation < Status.m_Incarnation;
  return Announcement.m_Sequence != 0 &&
         Announcement.m_Sequence <= Status.m_Sequence;
}

void ServerMonitor::suspicionReported(const ServerSuspicion &Suspicion,
                                      Instant Now) {
  // Accept reports only from open sessions and about known servers, so that
  // memory stays bounded.
  if (m_Context.state().sessions().find(Suspicion.m_Session) == nullptr ||
      m_Context.state().groups().findServer(Suspicion.m_Group,
                                            Suspicion.m_Server) == nullptr)
    return;
  auto &Reports = observe(Suspicion.m_Group, Suspicion.m_Server).m_Reports;
  const auto Earlier = Reports.find(Suspicion.m_Session);
  // A SlowAnswer report must not replace stronger evidence from the same proxy.
  const bool IsOverruled =
      Suspicion.m_Kind == SuspicionKind::SlowAnswer &&
      Earlier != Reports.end() &&
      Earlier->second.m_Kind != SuspicionKind::SlowAnswer &&
      Now - Earlier->second.m_At <= m_Context.settings().m_EvidenceWindow;
  if (!IsOverruled)
    Reports[Suspicion.m_Session] = {Now, Suspicion.m_Kind};
}

void ServerMonitor::callCompleted(const BackendCalls::Call &Call,
                                  const BackendCallResult &Result,
                                  Instant Now) {
  ServerStatus &Status = observe(Call.m_Group, Call.m_Server);
  if (!Result.m_Ok) {
    if (Call.m_Kind == BackendCallKind::Position)
      Status.m_ProbeFailedAt = Now;
    return;
  }
  const GroupRecord *Group = m_Context.state().groups().find(Call.m_Group);
  if (Group != nullptr && Group->m_Replication == ReplicationMode::Delegated) {
    // Terms of a delegated group's servers are not comparable with the group's.
    if (Call.m_Kind == BackendCallKind::Position)
      Status.m_ProbeFailedAt.reset();
    return;
  }
  switch (Call.m_Kind) {
  case BackendCallKind::Position:
    Status.m_ProbeFailedAt.reset();
    recordPoint(Call.m_Group, Call.m_Server, Result.m_Point, Result.m_Role,
                Now);
    return;
  case BackendCallKind::Promote:
    recordPoint(Call.m_Group, Call.m_Server,
                {Call.m_Term, Result.m_Point.m_Position}, BackendRole::Primary,
                Now);
    return;
  case BackendCallKind::Follow:
    recordPoint(Call.m_Group, Call.m_Server,
                {Call.m_Term, Result.m_Point.m_Position}, BackendRole::Replica,
                Now);
    return;
  case BackendCallKind::Fence:
    Status.m_LastContactAt = std::max(Status.m_LastContactAt, Now);
    return;
  }
}

ServerMonitor::ServerStatus &ServerMonitor::observe(const GroupId &Group,
                                                    const ServerId &Server) {
  return m_Servers[{Group, Server}];
}

void ServerMonitor::recordPoint(const GroupId &Group, const ServerId &Server,
                                const LogPoint &Point, BackendRole Role,
                                Instant Now) {
  ServerStatus &Status = observe(Group, Server);
  Status.m_LastContactAt = std::max(Status.m_LastContactAt, Now);
  const bool IsNewTerm = Point.m_Term > Status.m_Point.m_Term;
  // Within a term a log only grows; a change of term may truncate it.
  const bool IsLower = Status.m_HasPoint && !IsNewTerm &&
                       (Point.m_Term < Status.m_Point.m_Term ||
                        Point.m_Position < Status.m_Point.m_Position);
  if (IsLower) {
    // Announcements may overtake each other, but only briefly.
    if (!Status.m_LowerPointSince)
      Status.m_LowerPointSince = Now;
    if (Now - *Status.m_LowerPointSince < m_Context.settings().m_SilenceFailed)
      return;
    Status.m_HasRegressed = true;
  }
  Status.m_LowerPointSince.reset();
  if (!Status.m_HasPoint || IsNewTerm ||
      Point.m_Position > Status.m_Point.m_Position)
    Status.m_AdvancedAt = Now;
  Status.m_HasPoint = true;
  Status.m_Point = Point;
  Status.m_Role = Role;
  if (Role == BackendRole::Primary)
    recordSample(Group, Server, Point, Now);
}

void ServerMonitor::recordSample(const GroupId &Group, const ServerId &Server,
                                 const LogPoint &Point, Instant Now) {
  const GroupRecord *Record = m_Context.state().groups().find(Group);
  if (Record == nullptr || Record->m_Primary != Server ||
      Record->m_Term != Point.m_Term)
    return;
  Samples &History = m_Samples[Group];
  if (History.m_Term != Point.m_Term)
    History = {Point.m_Term, {}};
  History.m_Samples.push_back({Now, Point.m_Position});
  if (History.m_Samples.size() > MaxSamples)
    History.m_Samples.pop_front();
}

void ServerMonitor::probeServers(Instant Now) {
  m_Context.state().groups().forEachGroup([&](const GroupRecord &Group) {
    if (Group.m_Replication == ReplicationMode::Delegated)
      return;
    for (const auto &[Id, Server] : Group.m_Servers) {
      const bool IsPrimary = Group.m_Primary == Id;
      if (!IsPrimary && Server.m_Sync == SyncState::Behind)
        continue;
      const ServerStatus *Status = find(Group.m_Group, Id);
      const bool IsSuspected = IsPrimary && Status != nullptr &&
                               countReports(*Status, Now) >= MinAgreeingProxies;
      if (!IsSuspected &&
          silence(Group.m_Group, Id, Now) < m_Context.settings().m_ProbeAfter)
        continue;
      m_Calls.start(BackendCallKind::Position, Group.m_Group, Server,
                    Group.m_Term, Now);
    }
  });
}

void ServerMonitor::sessionEnded(ControlSessionId Session) {
  for (auto &[Key, Status] : m_Servers)
    Status.m_Reports.erase(Session);
}

void ServerMonitor::clearRegression(const GroupId &Group,
                                    const ServerId &Server) {
  observe(Group, Server).m_HasRegressed = false;
}

const ServerMonitor::ServerStatus *
ServerMonitor::find(const GroupId &Group, const ServerId &Server) const {
  const auto Found = m_Servers.find({Group, Server});
  return Found == m_Servers.end() ? nullptr : &Found->second;
}

Duration ServerMonitor::silence(const GroupId &Group, const ServerId &Server,
                                Instant Now) const {
  const ServerStatus *Status = find(Group, Server);
  const Instant Last = Status == nullptr ? m_SilenceCountedFrom
                                         : std::max(m_SilenceCountedFrom,
                                                    Status->m_LastContactAt);
  return std::max(Duration(0), Now - Last);
}

Duration ServerMonitor::announcementSilence(const GroupId &Group,
                                            const ServerId &Server,
                                            Instant Now) const {
  const ServerStatus *Status = find(Group, Server);
  const Instant Last = Status == nullptr
                           ? m_SilenceCountedFrom
                           : std::max(m_SilenceCountedFrom,
                                      Status->m_LastAnnouncementAt.value_or(
                                          m_SilenceCountedFrom));
  return std::max(Duration(0), Now - Last);
}

std::size_t ServerMonitor::countReports(const ServerStatus &Status,
                                        Instant Now) const {
  return static_cast<std::size_t>(std::count_if(
      Status.m_Reports.begin(), Status.m_Reports.end(), [&](const auto &Entry) {
        return Now - Entry.second.m_At <= m_Context.settings().m_EvidenceWindow;
      }));
}

bool ServerMonitor::isReportedDown(const ServerStatus &Status,
                                   Instant Now) const {
  // A single connection may stop answering while its server is healthy, so such
  // reports do not count here. A later contact refutes earlier reports, with
  // some slack because messages may overtake each other.
  const ControlLeaderSettings &Settings = m_Context.settings();
  return std::any_of(
      Status.m_Reports.begin(), Status.m_Reports.end(), [&](const auto &Entry) {
        const Report &Each = Entry.second;
        return Each.m_Kind != SuspicionKind::Silent &&
               Each.m_Kind != SuspicionKind::SlowAnswer &&
               Now - Each.m_At <= Settings.m_EvidenceWindow &&
               Each.m_At > Status.m_LastContactAt - Settings.m_EvidenceSlack;
      });
}

ServerMonitor::ReportCounts ServerMonitor::recentReports(const GroupId &Group,
                                                         const ServerId &Server,
                                                         Instant Now) const {
  ReportCounts Result;
  const ServerStatus *Status = find(Group, Server);
  if (Status == nullptr)
    return Result;
  for (const auto &[Session, Each] : Status->m_Reports) {
    if (Now - Each.m_At > m_Context.settings().m_EvidenceWindow)
      continue;
    if (Each.m_Kind == SuspicionKind::NotPrimary)
      ++Result.m_NotPrimary;
    else if (Each.m_Kind == SuspicionKind::SlowAnswer)
      ++Result.m_SlowAnswers;
    else if (Each.m_Kind != SuspicionKind::Reset)
      ++Result.m_Unreachable;
  }
  return Result;
}

bool ServerMonitor::hasFailed(const GroupId &Group, const ServerId &Server,
                              Instant Now) const {
  const ControlLeaderSettings &Settings = m_Context.settings();
  const Duration Silence = silence(Group, Server, Now);
  if (Silence >= Settings.m_SilenceFailed)
    return true;
  const ServerStatus *Status = find(Group, Server);
  if (Status == nullptr)
    return false;
  if (Silence >= Settings.m_SilenceSuspected && isReportedDown(*Status, Now))
    return true;
  // While the server announces itself, it has failed only if a majority of the
  // group's participants and this leader do not reach it.
  const std::size_t Participants = m_Participants.participants(Group).size();
  const bool ProbeFailed =
      Status->m_ProbeFailedAt &&
      Now - *Status->m_ProbeFailedAt <= Settings.m_EvidenceWindow;
  const std::size_t Reports = countReports(*Status, Now);
  return ProbeFailed && Reports >= MinAgreeingProxies &&
         Reports * 2 > Participants;
}

Duration ServerMonitor::lag(const GroupRecord &Group, const ServerId &Server,
                            Instant Now) const {
  const auto Found = m_Samples.find(Group.m_Group);
  if (Found == m_Samples.end() || Found->second.m_Term != Group.m_Term)
    return Duration::max();
  const std::deque<Sample> &History = Found->second.m_Samples;
  const ServerStatus *Status = find(Group.m_Group, Server);
  if (Status == nullptr || !Status->m_HasPoint)
    return Now - History.front().m_At;
  // A server that does not follow the term yet lacks its whole log.
  const bool Follows = Status->m_Point.m_Term == Group.m_Term;
  for (const Sample &Each : History) {
    if (!Follows || Each.m_Position > Status->m_Point.m_Position)
      return Now - Each.m_At;
  }
  return Duration(0);
}

bool ServerMonitor::isPromoted(const GroupRecord &Group) const {
  if (!Group.m_Primary)
    return false;
  const ServerStatus *Status = find(Group.m_Group, *Group.m_Primary);
  return Status != nullptr && Status->m_HasPoint &&
         Status->m_Role == BackendRole::Primary &&
         Status->m_Point.m_Term == Group.m_Term;
}

bool ServerMonitor::isFollowing(const GroupRecord &Group,
                                const ServerId &Server) const {
  const ServerStatus *Status = find(Group.m_Group, Server);
  return Status != nullptr && Status->m_HasPoint &&
         Status->m_Role == BackendRole::Replica &&
         Status->m_Point.m_Term == Group.m_Term;
}

} // namespace ragwortmux
