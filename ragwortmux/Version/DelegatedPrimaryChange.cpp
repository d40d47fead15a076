#include "ragwortmux/Version/DelegatedPrimaryChange.h"

#include "ragwortmux/Version/ControlState.h"
#include "ragwortmux/Version/GroupParticipants.h"
#include "ragwortmux/Version/LeaderContext.h"
#include "ragwortmux/Version/ServerMonitor.h"
#include "ragwortmux/Version/UpdateTracker.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace ragwortmux {

namespace {

/// The term that a delegated group starts with.
constexpr Term FirstTerm{1};

Term nextTerm(const GroupRecord &Group) {
  return Term(Group.m_Term.value() + 1);
}

} // namespace

void DelegatedPrimaryChange::becameLeader(Instant Now) {
  m_NoPromotionBefore.clear();
  m_Context.state().groups().forEachGroup([&](const GroupRecord &Group) {
    if (Group.m_Replication == ReplicationMode::Delegated && !Group.m_Primary)
      m_NoPromotionBefore[Group.m_Group] =
          Now + m_Context.settings().m_PromotionInFlight;
  });
}

void DelegatedPrimaryChange::callCompleted(const BackendCalls::Call &Call,
                                           const BackendCallResult &Result,
                                           Instant Now) {
  const GroupRecord *Group = m_Context.state().groups().find(Call.m_Group);
  if (Group == nullptr || Group->m_Replication != ReplicationMode::Delegated ||
      Group->m_Term != Call.m_Term)
    return;
  Progress &Change = progress(*Group);
  if (Call.m_Kind == BackendCallKind::Position) {
    if (Result.m_Ok) {
      Change.m_PositionFailedAt.erase(Call.m_Server);
      Change.m_Answers[Call.m_Server] = {
          Result.m_Point,
          {Result.m_Role, Result.m_ServerTerm, Call.m_StartedAt},
          Call.m_Number,
          Now};
    } else if (!Result.m_IsAlive) {
      Change.m_PositionFailedAt[Call.m_Server] = Now;
    }
    return;
  }
  if (Call.m_Kind != BackendCallKind::Promote ||
      Change.m_PromotionTarget != Call.m_Server)
    return;
  if (Result.m_Ok && !Change.m_PromotionAcceptedAt) {
    Change.m_PromotionAcceptedAt = Now;
  } else if (Result.m_Refused && !Change.m_PromotionAcceptedAt) {
    Change.m_ExcludedUntil[Call.m_Server] =
        Now + m_Context.settings().m_PromotionRefused;
    Change.m_PromotionTarget.reset();
  }
}

void DelegatedPrimaryChange::evaluate(const GroupRecord &Group, Instant Now) {
  if (Group.m_Replication != ReplicationMode::Delegated)
    return;
  if (Group.m_Term == Term())
    appointFirst(Group, Now);
  else if (Group.m_Primary)
    replaceIfNeeded(Group, Now);
  else
    electPrimary(Group, Now);
}

DelegatedPrimaryChange::Progress &
DelegatedPrimaryChange::progress(const GroupRecord &Group) {
  Progress &Change = m_Groups[Group.m_Group];
  if (Change.m_Term == Group.m_Term)
    return Change;
  Change = Progress();
  Change.m_Term = Group.m_Term;
  return Change;
}

void DelegatedPrimaryChange::appointFirst(const GroupRecord &Group,
                                          Instant Now) {
  Progress &Change = progress(Group);
  const Term Newest = newestServerTerm(Group, Change);
  std::optional<ServerId> Leading;
  for (const auto &[Id, Server] : Group.m_Servers) {
    if (m_Servers.find(Group.m_Group, Id) == nullptr)
      continue;
    requestPosition(Group, Server, Change, Now);
    const auto Answer = Change.m_Answers.find(Id);
    if (Answer == Change.m_Answers.end() ||
        Answer->second.m_Role.m_Role != BackendRole::Primary)
      continue;
    if (!Change.m_FirstClaimAt)
      Change.m_FirstClaimAt = Now;
    // Another one may have been promoted before the group was known here.
    if (Answer->second.m_Role.m_Term == Newest)
      Leading = Id;
  }
  if (Leading && hasHeardAll(Group, Change, Now))
    m_Context.propose(
        AppointPrimary{Group.m_Group, FirstTerm, *Leading, {}, Newest}, Now);
}

bool DelegatedPrimaryChange::hasHeardAll(const GroupRecord &Group,
                                         const Progress &Change,
                                         Instant Now) const {
  if (Now - *Change.m_FirstClaimAt >= m_Context.settings().m_FenceWait)
    return true;
  return std::all_of(Group.m_Servers.begin(), Group.m_Servers.end(),
                     [&](const auto &Entry) {
                       return Change.m_Answers.contains(Entry.first) ||
                              Change.m_PositionFailedAt.contains(Entry.first);
                     });
}

Term DelegatedPrimaryChange::newestServerTerm(const GroupRecord &Group,
                                              const Progress &Change) {
  Term Newest = Group.m_ServerTerm;
  for (const auto &[Id, Answer] : Change.m_Answers)
    Newest = std::max(Newest, Answer.m_Role.m_Term);
  return Newest;
}

void DelegatedPrimaryChange::replaceIfNeeded(const GroupRecord &Group,
                                             Instant Now) {
  Progress &Change = progress(Group);
  const std::string Reason = replacementReason(Group, Change, Now);
  if (Reason.empty() || !hasCandidate(Group, Now))
    return;
  if (Change.m_EndTermProposedAt &&
      Now - *Change.m_EndTermProposedAt < m_Context.settings().m_ProposeRetry)
    return;
  Change.m_EndTermProposedAt = Now;
  m_Context.addTimelineLine("group " + Group.m_Group.value() + ": primary " +
                            Group.m_Primary->value() + " " + Reason);
  m_Context.propose(EndTerm{Group.m_Group, nextTerm(Group)}, Now);
}

std::string DelegatedPrimaryChange::replacementReason(const GroupRecord &Group,
                                                      Progress &Change,
                                                      Instant Now) {
  const ControlLeaderSettings &Settings = m_Context.settings();
  const ServerRecord &Primary = Group.m_Servers.at(*Group.m_Primary);
  if (Primary.m_Leaving)
    return "leaves";
  const ServerMonitor::ReportCounts Counts =
      m_Servers.recentReports(Group.m_Group, Primary.m_Server, Now);
  const std::size_t Proxies = connectedProxies(Group, Primary);
  const bool IsSilent =
      m_Servers.announcementSilence(Group.m_Group, Primary.m_Server, Now) >=
      Settings.m_SilenceUnannounced;
  if (Counts.m_Unreachable == 0)
    Change.m_UnreachableSince.reset();
  const bool IsSuspected =
      Counts.m_Unreachable + Counts.m_NotPrimary + Counts.m_SlowAnswers > 0;
  if (!IsSuspected && !IsSilent)
    return {};
  requestPosition(Group, Primary, Change, Now);
  const auto Answer = Change.m_Answers.find(Primary.m_Server);
  if (Answer != Change.m_Answers.end() &&
      Answer->second.m_Role.m_Role != BackendRole::Primary &&
      Now - Answer->second.m_At <= Settings.m_EvidenceWindow)
    return "is no longer the primary";
  const auto Failed = Change.m_PositionFailedAt.find(Primary.m_Server);
  const bool ProbeFailed = Failed != Change.m_PositionFailedAt.end() &&
                           Now - Failed->second <= Settings.m_EvidenceWindow;
  // A single proxy's report is enough only if there is no other proxy.
  if (ProbeFailed &&
      Counts.m_Unreachable >= std::clamp<std::size_t>(Proxies, 1, 2))
    return "cannot be reached";
  if (ProbeFailed && IsSilent)
    return "is silent";
  // The leader reaches the primary: replace it only if many proxies do not.
  if (Counts.m_Unreachable == 0 ||
      Counts.m_Unreachable * 100 < Proxies * Settings.m_UnreachablePercent) {
    Change.m_UnreachableSince.reset();
    return {};
  }
  if (!Change.m_UnreachableSince)
    Change.m_UnreachableSince = Now;
  return Now - *Change.m_UnreachableSince >= Settings.m_UnreachableAfter
             ? "is cut off from many proxies"
             : "";
}

std::size_t
DelegatedPrimaryChange::connectedProxies(const GroupRecord &Group,
                                         const ServerRecord &Server) const {
  std::size_t Connected = 0;
  m_Context.state().shares().forEachShareOf(Group.m_Group, Server.m_Server,
                                            [&](const ShareRecord &Share) {
                                              if (Share.m_Share > 0)
                                                ++Connected;
                                            });
  return Connected > 0 ? Connected
                       : m_Participants.participants(Group.m_Group).size();
}

bool DelegatedPrimaryChange::hasCandidate(const GroupRecord &Group,
                                          Instant Now) const {
  return std::any_of(
      Group.m_Servers.begin(), Group.m_Servers.end(), [&](const auto &Entry) {
        return Group.m_Primary != Entry.first && !Entry.second.m_Leaving &&
               isAnnounced(Group, Entry.first, Now);
      });
}

void DelegatedPrimaryChange::electPrimary(const GroupRecord &Group,
                                          Instant Now) {
  Progress &Change = progress(Group);
  if (Change.m_PromotionTarget) {
    awaitPromotion(Group, Change, Now);
    return;
  }
  const bool IsSynchronous = isSynchronous(Group);
  for (const auto &[Id, Server] : Group.m_Servers) {
    if (isAnnounced(Group, Id, Now) ||
        (IsSynchronous && mayHoldCommits(Group, Server)))
      requestPosition(Group, Server, Change, Now);
  }
  if (!m_Updates.allConfirmed(Group.m_Group, Group.m_TermRevision,
                              Group.m_LastSession))
    return;
  if (!Change.m_AnswersCountSince) {
    // Earlier answers may lack writes that were acknowledged until now.
    discardAnswers(Change, Now);
    return;
  }
  const auto Earliest = m_NoPromotionBefore.find(Group.m_Group);
  if ((Earliest != m_NoPromotionBefore.end() && Now < Earliest->second) ||
      Now < Change.m_NextPromotionAt) {
    Change.m_AwaitsOrders = true;
    return;
  }
  if (std::exchange(Change.m_AwaitsOrders, false)) {
    // The terms in earlier answers may have ended since.
    discardAnswers(Change, Now);
    return;
  }
  if (!IsSynchronous) {
    if (hasEnoughAnswers(Group, Change, Now))
      promoteBest(Group, Change, LogPoint(), Now);
  } else if (const auto Acknowledged = acknowledgedPoint(Group, Change, Now)) {
    promoteBest(Group, Change, *Acknowledged, Now);
  } else {
    reportMissingAnswers(Group, Change, Now);
  }
}

void DelegatedPrimaryChange::discardAnswers(Progress &Change,
                                            Instant Now) const {
  Change.m_AnswersCountSince = Now;
  Change.m_LastOutdatedCall = m_Calls.last();
  Change.m_PositionCalledAt.clear();
}

bool DelegatedPrimaryChange::mayHoldCommits(const GroupRecord &Group,
                                            const ServerRecord &Server) {
  return !Server.m_HasEnded || Group.m_Previous == Server.m_Server;
}

std::optional<LogPoint> DelegatedPrimaryChange::acknowledgedPoint(
    const GroupRecord &Group, const Progress &Change, Instant Now) const {
  LogPoint Newest;
  bool HasReplica = false;
  bool IsReplicaMissing = false;
  for (const auto &[Id, Server] : Group.m_Servers) {
    if (Group.m_Previous == Id || !mayHoldCommits(Group, Server))
      continue;
    const PositionAnswer *Answer = freshAnswer(Change, Id);
    HasReplica = HasReplica || Answer != nullptr;
    IsReplicaMissing = IsReplicaMissing || Answer == nullptr;
    if (Answer != nullptr && isBefore(Newest, Answer->m_Point))
      Newest = Answer->m_Point;
  }
  // One of the replicas has each commit, and the primary itself has all.
  if (HasReplica && !IsReplicaMissing)
    return Newest;
  // The other replicas may be about to answer, and the primary was replaced for
  // a reason.
  const Duration Waited = Now - *Change.m_AnswersCountSince;
  if (Waited < m_Context.settings().m_FenceWait)
    return std::nullopt;
  const PositionAnswer *OfPrimary =
      Group.m_Previous ? freshAnswer(Change, *Group.m_Previous) : nullptr;
  if (OfPrimary == nullptr)
    return std::nullopt;
  return isBefore(Newest, OfPrimary->m_Point) ? OfPrimary->m_Point : Newest;
}

void DelegatedPrimaryChange::reportMissingAnswers(const GroupRecord &Group,
                                                  Progress &Change,
                                                  Instant Now) {
  const Duration Waited = Now - *Change.m_AnswersCountSince;
  if (Change.m_IsMissingReported || Waited < m_Context.settings().m_FenceWait)
    return;
  Change.m_IsMissingReported = true;
  std::string Missing;
  for (const auto &[Id, Server] : Group.m_Servers) {
    if (mayHoldCommits(Group, Server) && freshAnswer(Change, Id) == nullptr)
      Missing += (Missing.empty() ? "" : ", ") + Id.value();
  }
  m_Context.addTimelineLine("group " + Group.m_Group.value() +
                            ": no primary until one of " + Missing +
                            " answers, which may hold acknowledged commits");
}

bool DelegatedPrimaryChange::hasEnoughAnswers(const GroupRecord &Group,
                                              const Progress &Change,
                                              Instant Now) const {
  const ControlLeaderSettings &Settings = m_Context.settings();
  const Duration Waited = Now - *Change.m_AnswersCountSince;
  std::size_t Servers = 0;
  std::size_t Answered = 0;
  std::size_t Failed = 0;
  LogPosition Highest;
  LogPosition HighestOfCandidates;
  for (const auto &[Id, Server] : Group.m_Servers) {
    if (!isAnnounced(Group, Id, Now))
      continue;
    ++Servers;
    const PositionAnswer *Answer = freshAnswer(Change, Id);
    if (Answer == nullptr) {
      const bool IsFailedPrimary =
          Group.m_Previous == Id && Change.m_PositionFailedAt.contains(Id);
      Failed += IsFailedPrimary ? 1 : 0;
      continue;
    }
    ++Answered;
    Highest = std::max(Highest, Answer->m_Point.m_Position);
    if (!Server.m_Leaving)
      HighestOfCandidates =
          std::max(HighestOfCandidates, Answer->m_Point.m_Position);
  }
  // Do not wait for the failed primary. Wait for replicas whose calls failed,
  // because one of them may be the most advanced, and for replicas of a leaving
  // primary, which still sends them what they lack.
  const bool IsComplete = Answered > 0 && Answered + Failed == Servers;
  if (IsComplete && HighestOfCandidates >= Highest)
    return true;
  return Waited >= (IsComplete ? Settings.m_CatchUpWait : Settings.m_FenceWait);
}

bool DelegatedPrimaryChange::isSynchronous(const GroupRecord &Group) const {
  const GroupPolicy *Policy =
      m_Context.state().catalogue().policy(Group.m_Group);
  return Policy != nullptr && Policy->m_SyncReplicas > 0;
}

const ServerRecord *DelegatedPrimaryChange::bestCandidate(
    const GroupRecord &Group, const Progress &Change,
    const LogPoint &Acknowledged, Instant Now) const {
  const ServerRecord *Best = nullptr;
  const auto Rank = [&](const ServerRecord &Server) {
    const PositionAnswer *Answer = freshAnswer(Change, Server.m_Server);
    return std::tuple(!Server.m_Leaving, Answer->m_Point.m_Term,
                      Answer->m_Point.m_Position,
                      Group.m_Previous != Server.m_Server);
  };
  for (const auto &[Id, Server] : Group.m_Servers) {
    const PositionAnswer *Answer = freshAnswer(Change, Id);
    if (Answer == nullptr || !isAnnounced(Group, Id, Now) ||
        isBefore(Answer->m_Point, Acknowledged))
      continue;
    // A promotion that was abandoned may have succeeded since.
    const bool LeadsNewTerm = Answer->m_Role.m_Role == BackendRole::Primary &&
                              Answer->m_Role.m_Term > Group.m_ServerTerm;
    const auto Refused = Change.m_ExcludedUntil.find(Id);
    if (!LeadsNewTerm && Refused != Change.m_ExcludedUntil.end() &&
        Now < Refused->second)
      continue;
    if (Best == nullptr || Rank(Server) > Rank(*Best))
      Best = &Server;
  }
  return Best;
}

const DelegatedPrimaryChange::PositionAnswer *
DelegatedPrimaryChange::freshAnswer(const Progress &Change,
                                    const ServerId &Server) const {
  const auto Found = Change.m_Answers.find(Server);
  if (Found == Change.m_Answers.end() ||
      Found->second.m_Call <= Change.m_LastOutdatedCall)
    return nullptr;
  return &Found->second;
}

bool DelegatedPrimaryChange::isAnnounced(const GroupRecord &Group,
                                         const ServerId &Server,
                                         Instant Now) const {
  return Group.m_Servers.at(Server).m_Announced &&
         m_Servers.announcementSilence(Group.m_Group, Server, Now) <
             m_Context.settings().m_SilenceUnannounced;
}

void DelegatedPrimaryChange::requestPosition(const GroupRecord &Group,
                                             const ServerRecord &Server,
                                             Progress &Change, Instant Now) {
  const auto [CalledAt, IsFirst] =
      Change.m_PositionCalledAt.try_emplace(Server.m_Server, Now);
  if (!IsFirst &&
      Now - CalledAt->second < m_Context.settings().m_PositionCallInterval)
    return;
  CalledAt->second = Now;
  m_Calls.start(BackendCallKind::Position, Group.m_Group, Server, Group.m_Term,
                Now);
}

} // namespace ragwortmux
