#include "ragwortmux/Version/PrimaryChange.h"

#include "ragwortmux/Version/ControlState.h"
#include "ragwortmux/Version/LeaderContext.h"
#include "ragwortmux/Version/ServerMonitor.h"
#include "ragwortmux/Version/UpdateTracker.h"

#include <algorithm>
#include <tuple>

namespace ragwortmux {

namespace {

/// A term above the group's and those that its in-sync servers report.
Term nextTerm(const GroupRecord &Group, const ServerMonitor &Servers) {
  Term Highest = Group.m_Term;
  for (const auto &[Id, Server] : Group.m_Servers) {
    const ServerMonitor::ServerStatus *Status = Servers.find(Group.m_Group, Id);
    if (Status != nullptr && Server.m_Sync == SyncState::InSync)
      Highest = std::max(Highest, Status->m_Point.m_Term);
  }
  return Term(Highest.value() + 1);
}

} // namespace

void PrimaryChange::callCompleted(const BackendCalls::Call &Call,
                                  const BackendCallResult &Result,
                                  Instant Now) {
  if (Call.m_Kind != BackendCallKind::Fence || !Result.m_Ok)
    return;
  const GroupRecord *Group = m_Context.state().groups().find(Call.m_Group);
  if (Group == nullptr || Group->m_Term != Call.m_Term)
    return;
  Progress &Change = progress(*Group);
  Change.m_Fenced[Call.m_Server] = Result.m_Point;
  if (!Change.m_FirstFencedAt)
    Change.m_FirstFencedAt = Now;
}

void PrimaryChange::evaluate(const GroupRecord &Group, Instant Now) {
  if (Group.m_Replication == ReplicationMode::Delegated)
    return;
  if (Group.m_Term == Term())
    appointFirst(Group, Now);
  else if (!Group.m_Primary)
    electPrimary(Group, Now);
  else
    replaceIfNeeded(Group, Now);
  if (Group.m_Primary)
    promoteAndRedirect(Group, Now);
}

PrimaryChange::Progress &PrimaryChange::progress(const GroupRecord &Group) {
  Progress &Change = m_Groups[Group.m_Group];
  if (Change.m_Term == Group.m_Term)
    return Change;
  Change.m_Term = Group.m_Term;
  Change.m_Fenced.clear();
  Change.m_FirstFencedAt.reset();
  Change.m_EndTermProposedAt.reset();
  Change.m_LastPromotedAt.reset();
  Change.m_LeavingSince.reset();
  Change.m_DrainStartedAt.reset();
  Change.m_FollowRetriedAt.clear();
  return Change;
}

void PrimaryChange::appointFirst(const GroupRecord &Group, Instant Now) {
  for (const auto &[Id, Server] : Group.m_Servers) {
    const ServerMonitor::ServerStatus *Status =
        m_Servers.find(Group.m_Group, Id);
    if (Status == nullptr || !Status->m_HasPoint ||
        Status->m_Role != BackendRole::Primary)
      continue;
    const Term First = std::max(Term(1), Status->m_Point.m_Term);
    m_Context.propose(AppointPrimary{Group.m_Group, First, Id, {}}, Now);
    return;
  }
}

void PrimaryChange::replaceIfNeeded(const GroupRecord &Group, Instant Now) {
  const bool HasFailed =
      m_Servers.hasFailed(Group.m_Group, *Group.m_Primary, Now);
  Progress &Change = progress(Group);
  const std::string Reason = replacementReason(Group, Change, HasFailed, Now);
  if (Reason.empty() || !hasCandidate(Group, HasFailed, Now))
    return;
  if (Change.m_EndTermProposedAt &&
      Now - *Change.m_EndTermProposedAt < m_Context.settings().m_ProposeRetry)
    return;
  if (!Change.m_EndTermProposedAt && !consumeChangeToken(Change, Now))
    return;
  Change.m_EndTermProposedAt = Now;
  m_Context.addTimelineLine("group " + Group.m_Group.value() + ": primary " +
                            Group.m_Primary->value() + " " + Reason);
  m_Context.propose(EndTerm{Group.m_Group, nextTerm(Group, m_Servers)}, Now);
}

std::string PrimaryChange::replacementReason(const GroupRecord &Group,
                                             Progress &Change, bool HasFailed,
                                             Instant Now) const {
  const ServerId &Primary = *Group.m_Primary;
  if (HasFailed)
    return "has failed";
  const ServerMonitor::ServerStatus *Status =
      m_Servers.find(Group.m_Group, Primary);
  if (Status != nullptr && Status->m_HasRegressed)
    return "has lost part of its log";
  if (Status != nullptr && Status->m_Point.m_Term > Group.m_Term)
    return "reports a higher term";
  if (!Change.m_LastPromotedAt || m_Servers.isPromoted(Group))
    Change.m_LastPromotedAt = Now;
  if (Now - *Change.m_LastPromotedAt >= m_Context.settings().m_PromoteTimeout)
    return "was not promoted in time";
  const ServerRecord &Server = Group.m_Servers.at(Primary);
  if (Server.m_Leaving || !Server.m_Announced)
    return isDrained(Group, Change, Now) ? "leaves" : "";
  Change.m_LeavingSince.reset();
  Change.m_DrainStartedAt.reset();
  return {};
}

bool PrimaryChange::isDrained(const GroupRecord &Group, Progress &Change,
                              Instant Now) const {
  // Ending the term at once would give requests in flight an unknown outcome.
  const ControlLeaderSettings &Settings = m_Context.settings();
  if (!Change.m_LeavingSince) {
    Change.m_LeavingSince = Now;
    Change.m_LeavingRevision = Group.m_Revision;
  }
  if (!Change.m_DrainStartedAt &&
      m_Updates.allConfirmed(Group.m_Group, Change.m_LeavingRevision))
    Change.m_DrainStartedAt = Now;
  return Now - *Change.m_LeavingSince >= Settings.m_HandoverLimit ||
         (Change.m_DrainStartedAt &&
          Now - *Change.m_DrainStartedAt >= Settings.m_HandoverDrain);
}

bool PrimaryChange::hasCandidate(const GroupRecord &Group, bool AllowLeaving,
                                 Instant Now) const {
  return std::any_of(
      Group.m_Servers.begin(), Group.m_Servers.end(), [&](const auto &Entry) {
        const auto &[Id, Server] = Entry;
        return Group.m_Primary != Id && Server.m_Sync == SyncState::InSync &&
               (AllowLeaving || !Server.m_Leaving) &&
               m_Servers.silence(Group.m_Group, Id, Now) <
                   m_Context.settings().m_SilenceFailed;
      });
}

bool PrimaryChange::consumeChangeToken(Progress &Change, Instant Now) const {
  // Token bucket: a burst of changes, then one per interval.
  const ControlLeaderSettings &Settings = m_Context.settings();
  const double Burst = Settings.m_ChangeBurst;
  const double Gained =
      Change.m_TokensUpdatedAt
          ? std::chrono::duration<double>(Now - *Change.m_TokensUpdatedAt) /
                std::chrono::duration<double>(Settings.m_ChangeInterval)
          : Burst;
  const double Tokens = std::min(Burst, Change.m_ChangeTokens + Gained);
  if (Tokens < 1)
    return false;
  Change.m_ChangeTokens = Tokens - 1;
  Change.m_TokensUpdatedAt = Now;
  return true;
}

void PrimaryChange::electPrimary(const GroupRecord &Group, Instant Now) {
  // Wait until no session can acknowledge a write of the previous term.
  if (!m_Updates.allConfirmed(Group.m_Group, Group.m_TermRevision,
                              Group.m_LastSession))
    return;
  Progress &Change = progress(Group);
  for (const auto &[Id, Server] : Group.m_Servers) {
    if (Server.m_Sync == SyncState::InSync && !Change.m_Fenced.contains(Id))
      m_Calls.start(BackendCallKind::Fence, Group.m_Group, Server, Group.m_Term,
                    Now);
  }
  if (!isFencingDone(Group, Change, Now))
    return;
  if (const auto Choice = choosePrimary(Group, Change))
    m_Context.propose(*Choice, Now);
}

bool PrimaryChange::isFencingDone(const GroupRecord &Group,
                                  const Progress &Change, Instant Now) const {
  if (!Change.m_FirstFencedAt)
    return false;
  if (Now - *Change.m_FirstFencedAt >= m_Context.settings().m_FenceWait)
    return true;
  // Do not wait for servers that are silent anyway.
  return std::all_of(Group.m_Servers.begin(), Group.m_Servers.end(),
                     [&](const auto &Entry) {
                       const auto &[Id, Server] = Entry;
                       return Server.m_Sync != SyncState::InSync ||
                              Change.m_Fenced.contains(Id) ||
                              m_Servers.silence(Group.m_Group, Id, Now) >=
                                  m_Context.settings().m_SilenceSuspected;
                     });
}

std::optional<AppointPrimary>
PrimaryChange::choosePrimary(const GroupRecord &Group,
                             const Progress &Change) const {
  const ServerRecord *Best = nullptr;
  for (const auto &[Id, Server] : Group.m_Servers) {
    if (!isElectable(Group, Change, Server))
      continue;
    if (Best == nullptr || isBetterCandidate(Group, Change, Server, *Best))
      Best = &Server;
  }
  if (Best == nullptr)
    return std::nullopt;

  // Retain the servers that answered, so that writers wait for them; drop the
  // others, unless that would leave a single copy.
  AppointPrimary Choice{Group.m_Group, Group.m_Term, Best->m_Server, {}};
  for (const auto &[Id, Server] : Group.m_Servers) {
    if (Id != Best->m_Server && isElectable(Group, Change, Server))
      Choice.m_Retained.push_back(Id);
  }
  if (Choice.m_Retained.size() + 1 >= MinInSyncServers)
    return Choice;
  for (const auto &[Id, Server] : Group.m_Servers) {
    if (Id != Best->m_Server && Server.m_Sync == SyncState::InSync &&
        !Change.m_Fenced.contains(Id))
      Choice.m_Retained.push_back(Id);
  }
  return Choice;
}

bool PrimaryChange::isElectable(const GroupRecord &Group,
                                const Progress &Change,
                                const ServerRecord &Server) const {
  if (Server.m_Sync != SyncState::InSync ||
      !Change.m_Fenced.contains(Server.m_Server))
    return false;
  const ServerMonitor::ServerStatus *Status =
      m_Servers.find(Group.m_Group, Server.m_Server);
  return Status == nullptr || !Status->m_HasRegressed;
}

bool PrimaryChange::isBetterCandidate(const GroupRecord &Group,
                                      const Progress &Change,
                                      const ServerRecord &Candidate,
                                      const ServerRecord &Best) const {
  const auto Rank = [&](const ServerRecord &Server) {
    const LogPoint &Point = Change.m_Fenced.at(Server.m_Server);
    return std::tuple(!Server.m_Leaving, Group.m_Previous != Server.m_Server,
                      Point.m_Term, Point.m_Position,
                      countSessionsIn(Server.m_Domain));
  };
  return Rank(Candidate) > Rank(Best);
}

std::size_t
PrimaryChange::countSessionsIn(const FailureDomainId &Domain) const {
  std::size_t Count = 0;
  m_Context.state().sessions().forEachSession(
      [&](const SessionRecord &Session) {
        if (Session.m_Domain == Domain)
          ++Count;
      });
  return Count;
}

void PrimaryChange::promoteAndRedirect(const GroupRecord &Group, Instant Now) {
  const ServerRecord &Primary = Group.m_Servers.at(*Group.m_Primary);
  if (!m_Servers.isPromoted(Group)) {
    m_Calls.start(BackendCallKind::Promote, Group.m_Group, Primary,
                  Group.m_Term, Now);
    return;
  }
  Progress &Change = progress(Group);
  for (const auto &[Id, Server] : Group.m_Servers) {
    if (Group.m_Primary == Id || !needsFollowCall(Group, Change, Server, Now))
      continue;
    m_Calls.start(BackendCallKind::Follow, Group.m_Group, Server, Group.m_Term,
                  Now, &Primary);
  }
}

bool PrimaryChange::needsFollowCall(const GroupRecord &Group, Progress &Change,
                                    const ServerRecord &Server,
                                    Instant Now) const {
  if (!m_Servers.isFollowing(Group, Server.m_Server))
    return true;
  // A follower that does not advance may be connected to an address that no
  // server listens on.
  const Duration Again = m_Context.settings().m_FollowRetry;
  if (m_Servers.lag(Group, Server.m_Server, Now) < Again)
    return false;
  const ServerMonitor::ServerStatus *Status =
      m_Servers.find(Group.m_Group, Server.m_Server);
  Instant &Last = Change.m_FollowRetriedAt[Server.m_Server];
  if (Now - std::max(Last, Status->m_AdvancedAt) < Again)
    return false;
  Last = Now;
  return true;
}

} // namespace ragwortmux
