#include "ragwortmux/Version/ControlLeader.h"

#include "ragwortmux/Version/ControlCommand.h"
#include "ragwortmux/Version/ControlState.h"
#include "ragwortmux/Version/DescribeCommand.h"

#include <variant>

namespace ragwortmux {

namespace {

/// The group whose decisions, other than shares, depend on \p Command; null if
/// it is no such command.
const GroupId *decidedGroup(const ControlCommand &Command) {
  if (const auto *Registered = std::get_if<RegisterServer>(&Command))
    return &Registered->m_Group;
  if (const auto *Changed = std::get_if<SetServerState>(&Command))
    return &Changed->m_Group;
  if (const auto *Ended = std::get_if<EndTerm>(&Command))
    return &Ended->m_Group;
  if (const auto *Ordered = std::get_if<OrderPromotion>(&Command))
    return &Ordered->m_Group;
  if (const auto *Appointed = std::get_if<AppointPrimary>(&Command))
    return &Appointed->m_Group;
  if (const auto *Synced = std::get_if<SetInSync>(&Command))
    return &Synced->m_Group;
  return nullptr;
}

bool changesLists(const ControlCommand &Command) {
  return std::holds_alternative<PutEntry>(Command) ||
         std::holds_alternative<DeleteEntry>(Command) ||
         std::holds_alternative<ReplaceCatalogue>(Command) ||
         std::holds_alternative<SetSessionHomes>(Command);
}

} // namespace

ControlLeader::ControlLeader(const ControlState &State,
                             const ControlLeaderSettings &Settings)
    : m_State(State), m_Context(State, Settings), m_Participants(m_Context),
      m_Updates(m_Context, m_Participants), m_Leases(m_Context, m_Updates),
      m_Calls(m_Context), m_Servers(m_Context, m_Participants, m_Calls),
      m_Changes(m_Context, m_Updates, m_Servers, m_Calls),
      m_Delegated(m_Context, m_Participants, m_Updates, m_Servers, m_Calls),
      m_Sync(m_Context, m_Updates, m_Servers, m_Calls),
      m_Shares(m_Context, m_Participants, m_Updates),
      m_Homes(m_Context, m_Updates) {}

void ControlLeader::becameLeader(Instant Now) {
  discardObservations();
  m_IsLeader = true;
  m_Leases.becameLeader(Now);
  m_Servers.becameLeader(Now);
  m_Delegated.becameLeader(Now);
  m_Context.addTimelineLine("leads the control log");
  evaluateAllGroups(Now);
}

void ControlLeader::lostLeadership(Instant /*Now*/) {
  if (!m_IsLeader)
    return;
  discardObservations();
  m_IsLeader = false;
  m_Context.addTimelineLine("no longer leads the control log");
}

void ControlLeader::discardObservations() {
  m_Context.reset();
  m_Participants.reset();
  m_Updates.reset();
  m_Leases.reset();
  m_Calls.reset();
  m_Servers.reset();
  m_Changes.reset();
  m_Delegated.reset();
  m_Sync.reset();
  m_Shares.reset();
  m_Homes.reset();
  m_Rotation.reset();
  m_TimeAdvancedAt.reset();
}

void ControlLeader::applied(const ControlCommand &Command,
                            const ControlResult &Result, Instant Now) {
  if (!m_IsLeader)
    return;
  m_Context.applied(Command);
  if (const std::string Text = describeCommand(Command);
      Result.ok() && !Text.empty())
    m_Context.addTimelineLine(Text);
  if (std::holds_alternative<OpenSession>(Command) && Result.ok())
    m_Leases.sessionOpened(Result.m_Session, Now);
  if (Result.m_EndedSession)
    sessionEnded(*Result.m_EndedSession);
  if (const auto *End = std::get_if<EndSession>(&Command))
    sessionEnded(End->m_Session);
  evaluateAfter(Command, Result, Now);
}

void ControlLeader::evaluateAfter(const ControlCommand &Command,
                                  const ControlResult &Result, Instant Now) {
  if (const GroupId *Group = decidedGroup(Command))
    evaluateGroup(*Group, Now);
  // No group waits for a session that has ended any more.
  if (Result.m_EndedSession || std::holds_alternative<EndSession>(Command))
    evaluateAllGroups(Now);
  if (changesLists(Command))
    m_Updates.pushLists(Now);
}

void ControlLeader::sessionEnded(ControlSessionId Session) {
  m_Leases.sessionEnded(Session);
  m_Participants.sessionEnded(Session);
  m_Updates.sessionEnded(Session);
  m_Servers.sessionEnded(Session);
  m_Shares.sessionEnded(Session);
}

void ControlLeader::leadershipConfirmed(std::uint64_t Token, Instant Now) {
  if (m_IsLeader)
    m_Leases.leadershipConfirmed(Token, Now);
}

void ControlLeader::renewalReceived(const LeaseRenewal &Renewal, Instant Now) {
  if (!m_IsLeader)
    return;
  m_Participants.renewalReceived(Renewal);
  const std::vector<GroupId> Confirmed =
      m_Updates.renewalReceived(Renewal, Now);
  m_Shares.renewalReceived(Renewal);
  m_Leases.renewalReceived(Renewal, Now);
  for (const GroupId &Group : Confirmed)
    evaluateGroup(Group, Now);
}

void ControlLeader::updateConfirmed(ControlSessionId Session,
                                    const GroupId &Group, Revision Confirmed,
                                    Instant Now) {
  if (!m_IsLeader)
    return;
  if (m_Updates.groupConfirmed(Session, Group, Confirmed, Now))
    evaluateGroup(Group, Now);
}

void ControlLeader::catalogueConfirmed(ControlSessionId Session,
                                       Revision Confirmed, Instant Now) {
  if (m_IsLeader)
    m_Updates.catalogueConfirmed(Session, Confirmed, Now);
}

void ControlLeader::homesConfirmed(ControlSessionId Session, Revision Confirmed,
                                   Instant Now) {
  if (m_IsLeader)
    m_Updates.homesConfirmed(Session, Confirmed, Now);
}

void ControlLeader::pushFailed(ControlSessionId Session) {
  if (m_IsLeader)
    m_Updates.pushFailed(Session);
}

void ControlLeader::announcementReceived(const ServerAnnouncement &Received,
                                         Instant Now) {
  if (!m_IsLeader)
    return;
  ServerAnnouncement Announcement = Received;
  // The announcement of a server that has ended carries only its id.
  if (Announcement.m_HasEnded)
    completeEndAnnouncement(Announcement);
  const RegisterServer Command = makeRegistration(Announcement);
  // The connection limit of a delegated group comes from the catalogue; until
  // it is known, the server is not registered.
  if (!Announcement.m_HasEnded && Command.m_ConnectionLimit > 0 &&
      !isRegistrationCurrent(Command))
    m_Context.propose(Command, Now);
  // Observe only servers that the log has accepted, so that memory stays
  // bounded.
  if (m_State.groups().findServer(Announcement.m_Group,
                                  Announcement.m_Server) == nullptr)
    return;
  m_Servers.announcementReceived(Announcement, Now);
  evaluateGroup(Announcement.m_Group, Now);
}

void ControlLeader::completeEndAnnouncement(
    ServerAnnouncement &Announcement) const {
  m_State.groups().forEachGroup([&](const GroupRecord &Group) {
    if (!Group.m_Servers.contains(Announcement.m_Server))
      return;
    Announcement.m_Group = Group.m_Group;
    Announcement.m_Delegated =
        Group.m_Replication == ReplicationMode::Delegated;
    const ServerMonitor::ServerStatus *Status =
        m_Servers.find(Group.m_Group, Announcement.m_Server);
    if (Status == nullptr)
      return;
    Announcement.m_Incarnation = Status->m_Incarnation;
    Announcement.m_Sequence = Status->m_Sequence + 1;
    Announcement.m_Role = Status->m_Role;
  });
}

RegisterServer
ControlLeader::makeRegistration(const ServerAnnouncement &Announcement) const {
  RegisterServer Command{Announcement.m_Group,
                         Announcement.m_Server,
                         Announcement.m_Domain,
                         Announcement.m_Address,
                         Announcement.m_Port,
                         Announcement.m_Slots,
                         Announcement.m_ConnectionLimit,
                         ReplicationMode::InSyncSet};
  if (!Announcement.m_Delegated)
    return Command;
  Command.m_Replication = ReplicationMode::Delegated;
  if (const GroupPolicy *Policy =
          m_State.catalogue().policy(Announcement.m_Group))
    Command.m_ConnectionLimit = Policy->m_ConnectionLimit;
  return Command;
}

bool ControlLeader::isRegistrationCurrent(const RegisterServer &Command) const {
  const ServerRecord *Existing =
      m_State.groups().findServer(Command.m_Group, Command.m_Server);
  return Existing != nullptr && Existing->m_Domain == Command.m_Domain &&
         Existing->m_Address == Command.m_Address &&
         Existing->m_Port == Command.m_Port &&
         Existing->m_Slots == Command.m_Slots &&
         Existing->m_ConnectionLimit == Command.m_ConnectionLimit;
}

void ControlLeader::suspicionReported(const ServerSuspicion &Suspicion,
                                      Instant Now) {
  if (!m_IsLeader)
    return;
  m_Servers.suspicionReported(Suspicion, Now);
  evaluateGroup(Suspicion.m_Group, Now);
}

void ControlLeader::backendCallCompleted(const BackendCallResult &Result,
                                         Instant Now) {
  if (!m_IsLeader)
    return;
  const auto Call = m_Calls.complete(Result, Now);
  if (!Call)
    return;
  m_Servers.callCompleted(*Call, Result, Now);
  m_Changes.callCompleted(*Call, Result, Now);
  m_Delegated.callCompleted(*Call, Result, Now);
  m_Sync.callCompleted(*Call, Result);
  evaluateGroup(Call->m_Group, Now);
}

void ControlLeader::tick(Instant Now, WallTime Wall) {
  if (!m_IsLeader)
    return;
  advanceTime(Now, Wall);
  m_Leases.tick(Now);
  m_Servers.probeServers(Now);
  evaluateDueGroups(Now);
  m_Updates.pushLists(Now);
  m_Updates.logCatalogueProgress(Now);
  m_Homes.evaluate(Now);
}

void ControlLeader::advanceTime(Instant Now, WallTime Wall) {
  if (m_TimeAdvancedAt &&
      Now - *m_TimeAdvancedAt < m_Context.settings().m_AdvanceTimeInterval)
    return;
  if (Wall <= m_State.time())
    return;
  m_TimeAdvancedAt = Now;
  m_Context.propose(AdvanceTime{Wall}, Now);
}

void ControlLeader::evaluateGroup(const GroupId &Group, Instant Now) {
  const GroupRecord *Record = m_State.groups().find(Group);
  if (Record == nullptr)
    return;
  // Changes of primary come first, because callers wait for them.
  m_Changes.evaluate(*Record, Now);
  m_Delegated.evaluate(*Record, Now);
  m_Updates.pushGroup(*Record, Now);
  m_Sync.evaluate(*Record, Now);
  proposeServerStates(*Record, Now);
}

void ControlLeader::evaluateAllGroups(Instant Now) {
  m_State.groups().forEachGroup(
      [&](const GroupRecord &Group) { evaluateGroup(Group.m_Group, Now); });
}

void ControlLeader::evaluateDueGroups(Instant Now) {
  for (const GroupId &Group : m_Rotation.takeDue(m_State.groups())) {
    evaluateGroup(Group, Now);
    m_Shares.evaluate(*m_State.groups().find(Group), Now);
  }
}

void ControlLeader::proposeServerStates(const GroupRecord &Group, Instant Now) {
  for (const auto &[Id, Server] : Group.m_Servers) {
    const ServerMonitor::ServerStatus *Status =
        m_Servers.find(Group.m_Group, Id);
    const bool HasAnnounced = Status != nullptr && Status->m_LastAnnouncementAt;
    const bool IsLeaving =
        HasAnnounced ? Status->m_IsLeaving : Server.m_Leaving;
    const bool IsSilent =
        m_Servers.announcementSilence(Group.m_Group, Id, Now) >=
        m_Context.settings().m_SilenceUnannounced;
    // A server whose announcements have not reached this leader yet keeps its
    // recorded state.
    const bool HasEnded = HasAnnounced ? Status->m_HasEnded : Server.m_HasEnded;
    const bool IsAnnounced =
        !IsSilent && !HasEnded && (HasAnnounced || Server.m_Announced);
    if (IsLeaving == Server.m_Leaving && IsAnnounced == Server.m_Announced &&
        HasEnded == Server.m_HasEnded)
      continue;
    m_Context.propose(
        SetServerState{Group.m_Group, Id, IsLeaving, IsAnnounced, HasEnded},
        Now);
  }
}

std::vector<ControlAction> ControlLeader::takeActions() {
  return m_Context.takeActions();
}

} // namespace ragwortmux
