#include "ragwortmux/Version/PrimaryChange.h"

#include "ragwortmux/Version/ControlState.h"
#include "ragwortmux/Version/LeaderContext.h"
#include "ragwortmux/Version/ServerWatch.h"
#include "ragwortmux/Version/UpdateTracker.h"

#include <algorithm>
#include <tuple>

namespace ragwortmux {

namespace {

/// A term above the group's and those that its in-sync servers report.
Term nextTerm(const GroupRecord &Group, const ServerWatch &Servers) {
  Term Highest = Group.m_Term;
  for (const auto &[Id, Server] : Group.m_Servers) {
    const ServerWatch::Observed *Known = Servers.find(Group.m_Group, Id);
    if (Known != nullptr && Server.m_Sync == SyncState::InSync)
      Highest = std::max(Highest, Known->m_Point.m_Term);
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
  Progress &Known = progress(*Group);
  Known.m_Fenced[Call.m_Server] = Result.m_Point;
  if (!Known.m_FirstFencedAt)
    Known.m_FirstFencedAt = Now;
}

void PrimaryChange::evaluate(Instant Now) {
  m_Context.state().groups().forEachGroup([&](const GroupRecord &Group) {
    if (Group.m_Replication == ReplicationMode::Delegated)
      return;
    if (Group.m_Term == Term())
      appointFirst(Group, Now);
    else if (!Group.m_Primary)
      chooseNext(Group, Now);
    else
      replaceIfNeeded(Group, Now);
    if (Group.m_Primary)
      directServers(Group, Now);
  });
}

PrimaryChange::Progress &PrimaryChange::progress(const GroupRecord &Group) {
  Progress &Known = m_Groups[Group.m_Group];
  if (Known.m_Term == Group.m_Term)
    return Known;
  Known.m_Term = Group.m_Term;
  Known.m_Fenced.clear();
  Known.m_FirstFencedAt.reset();
  Known.m_EndedAt.reset();
  Known.m_AppointedAt.reset();
  Known.m_RetiringAt.reset();
  Known.m_DrainingAt.reset();
  Known.m_FollowedAt.clear();
  return Known;
}

void PrimaryChange::appointFirst(const GroupRecord &Group, Instant Now) {
  for (const auto &[Id, Server] : Group.m_Servers) {
    const ServerWatch::Observed *Known = m_Servers.find(Group.m_Group, Id);
    if (Known == nullptr || !Known->m_HasPoint ||
        Known->m_Role != BackendRole::Primary)
      continue;
    const Term First = std::max(Term(1), Known->m_Point.m_Term);
    m_Context.propose(AppointPrimary{Group.m_Group, First, Id, {}}, Now);
    return;
  }
}

void PrimaryChange::replaceIfNeeded(const GroupRecord &Group, Instant Now) {
  const bool Failed = m_Servers.hasFailed(Group.m_Group, *Group.m_Primary, Now);
  Progress &Known = progress(Group);
  const std::string Reason = whyReplace(Group, Known, Failed, Now);
  if (Reason.empty() || !hasCandidate(Group, Failed, Now))
    return;
  if (Known.m_EndedAt &&
      Now - *Known.m_EndedAt < m_Context.settings().m_ProposeRetry)
    return;
  if (!Known.m_EndedAt && !takeAllowance(Known, Now))
    return;
  Known.m_EndedAt = Now;
  m_Context.note("group " + Group.m_Group.value() + ": primary " +
                 Group.m_Primary->value() + " " + Reason);
  m_Context.propose(EndTerm{Group.m_Group, nextTerm(Group, m_Servers)}, Now);
}

std::string PrimaryChange::whyReplace(const GroupRecord &Group, Progress &Known,
                                      bool Failed, Instant Now) const {
  const ServerId &Primary = *Group.m_Primary;
  if (Failed)
    return "has failed";
  const ServerWatch::Observed *Observed =
      m_Servers.find(Group.m_Group, Primary);
  if (Observed != nullptr && Observed->m_HasRegressed)
    return "has lost part of its log";
  if (Observed != nullptr && Observed->m_Point.m_Term > Group.m_Term)
    return "reports a higher term";
  if (!Known.m_AppointedAt || m_Servers.isPromoted(Group))
    Known.m_AppointedAt = Now;
  if (Now - *Known.m_AppointedAt >= m_Context.settings().m_PromoteTimeout)
    return "was not promoted in time";
  const ServerRecord &Server = Group.m_Servers.at(Primary);
  if (Server.m_Leaving || !Server.m_Announced)
    return isDrained(Group, Known, Now) ? "is leaving" : "";
  Known.m_RetiringAt.reset();
  Known.m_DrainingAt.reset();
  return {};
}

bool PrimaryChange::isDrained(const GroupRecord &Group, Progress &Known,
                              Instant Now) const {
  // Ending the term at once would give requests in flight an unknown outcome.
  const ControlLeaderSettings &Settings = m_Context.settings();
  if (!Known.m_RetiringAt) {
    Known.m_RetiringAt = Now;
    Known.m_RetiringRevision = Group.m_Revision;
  }
  if (!Known.m_DrainingAt &&
      m_Updates.allConfirmed(Group.m_Group, Known.m_RetiringRevision))
    Known.m_DrainingAt = Now;
  return Now - *Known.m_RetiringAt >= Settings.m_HandoverLimit ||
         (Known.m_DrainingAt &&
          Now - *Known.m_DrainingAt >= Settings.m_HandoverDrain);
}

bool PrimaryChange::hasCandidate(const GroupRecord &Group, bool TakeLeaving,
                                 Instant Now) const {
  return std::any_of(
      Group.m_Servers.begin(), Group.m_Servers.end(), [&](const auto &Entry) {
        const auto &[Id, Server] = Entry;
        return Group.m_Primary != Id && Server.m_Sync == SyncState::InSync &&
               (TakeLeaving || !Server.m_Leaving) &&
               m_Servers.silence(Group.m_Group, Id, Now) <
                   m_Context.settings().m_SilenceFailed;
      });
}

bool PrimaryChange::takeAllowance(Progress &Known, Instant Now) const {
  // Token bucket: a burst of changes, then one per interval.
  const ControlLeaderSettings &Settings = m_Context.settings();
  const double Burst = Settings.m_ChangeBurst;
  const double Gained =
      Known.m_AllowanceAt
          ? std::chrono::duration<double>(Now - *Known.m_AllowanceAt) /
                std::chrono::duration<double>(Settings.m_ChangeInterval)
          : Burst;
  const double Allowance = std::min(Burst, Known.m_Allowance + Gained);
  if (Allowance < 1)
    return false;
  Known.m_Allowance = Allowance - 1;
  Known.m_AllowanceAt = Now;
  return true;
}

void PrimaryChange::chooseNext(const GroupRecord &Group, Instant Now) {
  // Wait until no session can acknowledge a write of the previous term.
  if (!m_Updates.allConfirmed(Group.m_Group, Group.m_TermRevision,
                              Group.m_LastSession))
    return;
  Progress &Known = progress(Group);
  for (const auto &[Id, Server] : Group.m_Servers) {
    if (Server.m_Sync == SyncState::InSync && !Known.m_Fenced.contains(Id))
      m_Calls.start(BackendCallKind::Fence, Group.m_Group, Server, Group.m_Term,
                    Now);
  }
  if (!isFencingDone(Group, Known, Now))
    return;
  if (const auto Choice = choose(Group, Known))
    m_Context.propose(*Choice, Now);
}

bool PrimaryChange::isFencingDone(const GroupRecord &Group,
                                  const Progress &Known, Instant Now) const {
  if (!Known.m_FirstFencedAt)
    return false;
  if (Now - *Known.m_FirstFencedAt >= m_Context.settings().m_FenceWait)
    return true;
  // Do not wait for servers that are silent anyway.
  return std::all_of(Group.m_Servers.begin(), Group.m_Servers.end(),
                     [&](const auto &Entry) {
                       const auto &[Id, Server] = Entry;
                       return Server.m_Sync != SyncState::InSync ||
                              Known.m_Fenced.contains(Id) ||
                              m_Servers.silence(Group.m_Group, Id, Now) >=
                                  m_Context.settings().m_SilenceSuspected;
                     });
}

std::optional<AppointPrimary>
PrimaryChange::choose(const GroupRecord &Group, const Progress &Known) const {
  const ServerRecord *Best = nullptr;
  for (const auto &[Id, Server] : Group.m_Servers) {
    if (!isElectable(Group, Known, Server))
      continue;
    if (Best == nullptr || isBetter(Group, Known, Server, *Best))
      Best = &Server;
  }
  if (Best == nullptr)
    return std::nullopt;

  // Retain the servers that answered, so that writers wait for them; drop the
  // others, unless that would leave a single copy.
  AppointPrimary Choice{Group.m_Group, Group.m_Term, Best->m_Server, {}};
  for (const auto &[Id, Server] : Group.m_Servers) {
    if (Id != Best->m_Server && isElectable(Group, Known, Server))
      Choice.m_Keep.push_back(Id);
  }
  if (Choice.m_Keep.size() + 1 >= MinInSyncServers)
    return Choice;
  for (const auto &[Id, Server] : Group.m_Servers) {
    if (Id != Best->m_Server && Server.m_Sync == SyncState::InSync &&
        !Known.m_Fenced.contains(Id))
      Choice.m_Keep.push_back(Id);
  }
  return Choice;
}

bool PrimaryChange::isElectable(const GroupRecord &Group, const Progress &Known,
                                const ServerRecord &Server) const {
  if (Server.m_Sync != SyncState::InSync ||
      !Known.m_Fenced.contains(Server.m_Server))
    return false;
  const ServerWatch::Observed *Observed =
      m_Servers.find(Group.m_Group, Server.m_Server);
  return Observed == nullptr || !Observed->m_HasRegressed;
}

bool PrimaryChange::isBetter(const GroupRecord &Group, const Progress &Known,
                             const ServerRecord &Candidate,
                             const ServerRecord &Best) const {
  const auto Rank = [&](const ServerRecord &Server) {
    const LogPoint &Point = Known.m_Fenced.at(Server.m_Server);
    return std::tuple(!Server.m_Leaving, Group.m_Previous != Server.m_Server,
                      Point.m_Term, Point.m_Position,
                      sessionsIn(Server.m_Domain));
  };
  return Rank(Candidate) > Rank(Best);
}

std::size_t PrimaryChange::sessionsIn(const FailureDomainId &Domain) const {
  std::size_t Count = 0;
  m_Context.state().sessions().forEachSession(
      [&](const SessionRecord &Session) {
        if (Session.m_Domain == Domain)
          ++Count;
      });
  return Count;
}

void PrimaryChange::directServers(const GroupRecord &Group, Instant Now) {
  const ServerRecord &Primary = Group.m_Servers.at(*Group.m_Primary);
  if (!m_Servers.isPromoted(Group)) {
    m_Calls.start(BackendCallKind::Promote, Group.m_Group, Primary,
                  Group.m_Term, Now);
    return;
  }
  Progress &Known = progress(Group);
  for (const auto &[Id, Server] : Group.m_Servers) {
    if (Group.m_Primary == Id || !mustFollow(Group, Known, Server, Now))
      continue;
    m_Calls.start(BackendCallKind::Follow, Group.m_Group, Server, Group.m_Term,
                  Now, &Primary);
  }
}

bool PrimaryChange::mustFollow(const GroupRecord &Group, Progress &Known,
                               const ServerRecord &Server, Instant Now) const {
  if (!m_Servers.isFollowing(Group, Server.m_Server))
    return true;
  // A follower that does not advance may be connected to an address that no
  // server listens on.
  const Duration Again = m_Context.settings().m_FollowAgain;
  if (m_Servers.lag(Group, Server.m_Server, Now) < Again)
    return false;
  const ServerWatch::Observed *Observed =
      m_Servers.find(Group.m_Group, Server.m_Server);
  Instant &Last = Known.m_FollowedAt[Server.m_Server];
  if (Now - std::max(Last, Observed->m_AdvancedAt) < Again)
    return false;
  Last = Now;
  return true;
}

} // namespace ragwortmux
