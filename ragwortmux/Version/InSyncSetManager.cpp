#include "ragwortmux/Version/InSyncSetManager.h"

#include "ragwortmux/Version/ControlState.h"
#include "ragwortmux/Version/LeaderContext.h"
#include "ragwortmux/Version/ServerMonitor.h"
#include "ragwortmux/Version/UpdateTracker.h"

#include <algorithm>

namespace ragwortmux {

void InSyncSetManager::reset() {
  m_Joining.clear();
  m_DroppedAt.clear();
}

void InSyncSetManager::evaluate(const GroupRecord &Group, Instant Now) {
  if (Group.m_Replication == ReplicationMode::Delegated ||
      !m_Servers.isPromoted(Group))
    return;
  for (const auto &[Id, Server] : Group.m_Servers) {
    if (Group.m_Primary != Id)
      evaluateServer(Group, Server, Now);
  }
}

void InSyncSetManager::evaluateServer(const GroupRecord &Group,
                                      const ServerRecord &Server, Instant Now) {
  if (Server.m_Sync == SyncState::Behind) {
    m_Servers.clearRegression(Group.m_Group, Server.m_Server);
    if (canJoin(Group, Server, Now))
      propose(Group, Server, SyncState::Joining, Now);
    return;
  }
  if (isUnfit(Group, Server, Now)) {
    if (!canDrop(Group, Server))
      return;
    m_DroppedAt[{Group.m_Group, Server.m_Server}] = Now;
    propose(Group, Server, SyncState::Behind, Now);
    return;
  }
  if (Server.m_Sync == SyncState::Joining)
    advanceJoining(Group, Server, Now);
}

bool InSyncSetManager::isUnfit(const GroupRecord &Group,
                               const ServerRecord &Server, Instant Now) const {
  const ControlLeaderSettings &Settings = m_Context.settings();
  const ServerMonitor::ServerStatus *Status =
      m_Servers.find(Group.m_Group, Server.m_Server);
  if (Status != nullptr && Status->m_HasRegressed)
    return true;
  return Server.m_Leaving ||
         m_Servers.silence(Group.m_Group, Server.m_Server, Now) >=
             Settings.m_SilenceFailed ||
         m_Servers.lag(Group, Server.m_Server, Now) > Settings.m_MaxLag;
}

bool InSyncSetManager::canDrop(const GroupRecord &Group,
                               const ServerRecord &Server) const {
  if (Server.m_Sync == SyncState::Joining)
    return true;
  const ServerMonitor::ServerStatus *Status =
      m_Servers.find(Group.m_Group, Server.m_Server);
  if (Status != nullptr && Status->m_HasRegressed)
    return true;
  // Dropping the last replica would not unblock writers, as they need two
  // copies, but would leave the primary as the only electable server.
  const auto InSync = std::count_if(
      Group.m_Servers.begin(), Group.m_Servers.end(), [](const auto &Entry) {
        return Entry.second.m_Sync == SyncState::InSync;
      });
  return static_cast<std::size_t>(InSync) > MinInSyncServers;
}

bool InSyncSetManager::canJoin(const GroupRecord &Group,
                               const ServerRecord &Server, Instant Now) const {
  const ControlLeaderSettings &Settings = m_Context.settings();
  if (Server.m_Leaving || !Server.m_Announced ||
      !m_Servers.isFollowing(Group, Server.m_Server))
    return false;
  if (m_Servers.silence(Group.m_Group, Server.m_Server, Now) >=
          Settings.m_SilenceSuspected ||
      m_Servers.lag(Group, Server.m_Server, Now) > Settings.m_JoinLag)
    return false;
  const auto Dropped = m_DroppedAt.find({Group.m_Group, Server.m_Server});
  return Dropped == m_DroppedAt.end() ||
         Now - Dropped->second >= Settings.m_RejoinAfter;
}

void InSyncSetManager::advanceJoining(const GroupRecord &Group,
                                      const ServerRecord &Server, Instant Now) {
  JoinProgress &Progress = m_Joining[{Group.m_Group, Server.m_Server}];
  if (Progress.m_SyncRevision != Server.m_SyncRevision) {
    Progress = JoinProgress();
    Progress.m_SyncRevision = Server.m_SyncRevision;
  }
  if (!Progress.m_LastOutdatedCall) {
    if (!m_Updates.allConfirmed(Group.m_Group, Server.m_SyncRevision))
      return;
    Progress.m_LastOutdatedCall = m_Calls.last();
  }
  if (!Progress.m_Target || Progress.m_Target->m_Term != Group.m_Term) {
    m_Calls.start(BackendCallKind::Position, Group.m_Group,
                  Group.m_Servers.at(*Group.m_Primary), Group.m_Term, Now);
    return;
  }
  const ServerMonitor::ServerStatus *Status =
      m_Servers.find(Group.m_Group, Server.m_Server);
  if (Status != nullptr && m_Servers.isFollowing(Group, Server.m_Server) &&
      Status->m_Point.m_Position >= Progress.m_Target->m_Position)
    propose(Group, Server, SyncState::InSync, Now);
}

void InSyncSetManager::callCompleted(const BackendCalls::Call &Call,
                                     const BackendCallResult &Result) {
  const GroupRecord *Group = m_Context.state().groups().find(Call.m_Group);
  if (Call.m_Kind != BackendCallKind::Position || !Result.m_Ok ||
      Group == nullptr || Group->m_Primary != Call.m_Server ||
      Result.m_Role != BackendRole::Primary ||
      Result.m_Point.m_Term != Group->m_Term)
    return;
  // The position is a valid target for a server only if the call was made after
  // the last session's confirmation.
  for (auto &[Key, Progress] : m_Joining) {
    if (Key.first != Call.m_Group || !Progress.m_LastOutdatedCall ||
        Call.m_Number <= *Progress.m_LastOutdatedCall)
      continue;
    if (!Progress.m_Target || Progress.m_Target->m_Term != Group->m_Term)
      Progress.m_Target = Result.m_Point;
  }
}

void InSyncSetManager::propose(const GroupRecord &Group,
                               const ServerRecord &Server, SyncState Sync,
                               Instant Now) {
  m_Context.propose(SetInSync{Group.m_Group, Group.m_Term, Server.m_Server,
                              Server.m_SyncRevision, Sync},
                    Now);
}

} // namespace ragwortmux
