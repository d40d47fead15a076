#include "ragwortmux/Version/DelegatedPrimaryChange.h"

#include "ragwortmux/Version/ControlState.h"
#include "ragwortmux/Version/LeaderContext.h"
#include "ragwortmux/Version/ServerWatch.h"
#include "ragwortmux/Version/UpdateTracker.h"

#include <algorithm>
#include <tuple>

namespace ragwortmux {

namespace {

/// The term that a delegated group starts with.
constexpr Term FirstTerm{1};

Term nextTerm(const GroupRecord &Group) {
  return Term(Group.m_Term.value() + 1);
}

} // namespace

void DelegatedPrimaryChange::becameLeader(Instant Now) {
  m_NotBefore.clear();
  m_Context.state().groups().forEachGroup([&](const GroupRecord &Group) {
    if (Group.m_Replication == ReplicationMode::Delegated && !Group.m_Primary)
      m_NotBefore[Group.m_Group] =
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
  Progress &Known = progress(*Group);
  if (Call.m_Kind == BackendCallKind::Position) {
    if (Result.m_Ok) {
      Known.m_FailedAt.erase(Call.m_Server);
      Known.m_Stated[Call.m_Server] = {Result.m_Point, Result.m_Role,
                                       Call.m_Number, Now};
    } else if (!Result.m_IsAlive) {
      Known.m_FailedAt[Call.m_Server] = Now;
    }
    return;
  }
  if (Call.m_Kind != BackendCallKind::Promote ||
      Known.m_Ordered != Call.m_Server)
    return;
  if (Result.m_Ok && !Known.m_IsAccepted) {
    Known.m_IsAccepted = true;
    Known.m_AcceptedAt = Now;
  } else if (Result.m_Refused && !Known.m_IsAccepted) {
    Known.m_RefusedUntil[Call.m_Server] =
        Now + m_Context.settings().m_PromotionRefused;
    Known.m_Ordered.reset();
  }
}

void DelegatedPrimaryChange::evaluate(Instant Now) {
  m_Context.state().groups().forEachGroup([&](const GroupRecord &Group) {
    if (Group.m_Replication != ReplicationMode::Delegated)
      return;
    if (Group.m_Term == Term())
      appointFirst(Group, Now);
    else if (Group.m_Primary)
      watchPrimary(Group, Now);
    else
      chooseNext(Group, Now);
  });
}

DelegatedPrimaryChange::Progress &
DelegatedPrimaryChange::progress(const GroupRecord &Group) {
  Progress &Known = m_Groups[Group.m_Group];
  if (Known.m_Term == Group.m_Term)
    return Known;
  Known = Progress();
  Known.m_Term = Group.m_Term;
  return Known;
}

void DelegatedPrimaryChange::appointFirst(const GroupRecord &Group,
                                          Instant Now) {
  Progress &Known = progress(Group);
  for (const auto &[Id, Server] : Group.m_Servers) {
    const ServerWatch::Observed *Observed = m_Servers.find(Group.m_Group, Id);
    if (Observed == nullptr || Observed->m_Role != BackendRole::Primary)
      continue;
    ask(Group, Server, Known, Now);
    const auto Answer = Known.m_Stated.find(Id);
    if (Answer == Known.m_Stated.end() ||
        Answer->second.m_Role != BackendRole::Primary)
      continue;
    m_Context.propose(AppointPrimary{Group.m_Group, FirstTerm, Id, {}}, Now);
    return;
  }
}

void DelegatedPrimaryChange::watchPrimary(const GroupRecord &Group,
                                          Instant Now) {
  Progress &Known = progress(Group);
  const std::string Reason = whyReplace(Group, Known, Now);
  if (Reason.empty() || !hasCandidate(Group, Now))
    return;
  if (Known.m_EndedAt &&
      Now - *Known.m_EndedAt < m_Context.settings().m_ProposeRetry)
    return;
  Known.m_EndedAt = Now;
  m_Context.note("group " + Group.m_Group.value() + ": primary " +
                 Group.m_Primary->value() + " " + Reason);
  m_Context.propose(EndTerm{Group.m_Group, nextTerm(Group)}, Now);
}

std::string DelegatedPrimaryChange::whyReplace(const GroupRecord &Group,
                                               Progress &Known, Instant Now) {
  const ControlLeaderSettings &Settings = m_Context.settings();
  const ServerRecord &Primary = Group.m_Servers.at(*Group.m_Primary);
  if (Primary.m_Leaving)
    return "leaves";
  const ServerWatch::Complaints Complaints =
      m_Servers.complaints(Group.m_Group, Primary.m_Server, Now);
  const std::size_t Sessions = m_Context.state().sessions().size();
  const bool Silent =
      m_Servers.announcementSilence(Group.m_Group, Primary.m_Server, Now) >=
      Settings.m_SilenceUnannounced;
  if (Complaints.m_Unreachable == 0)
    Known.m_DoubtedSince.reset();
  const bool IsDoubted = Complaints.m_Unreachable + Complaints.m_NotPrimary +
                             Complaints.m_Doubted >
                         0;
  if (!IsDoubted && !Silent)
    return {};
  ask(Group, Primary, Known, Now);
  const auto Answer = Known.m_Stated.find(Primary.m_Server);
  if (Answer != Known.m_Stated.end() &&
      Answer->second.m_Role != BackendRole::Primary &&
      Now - Answer->second.m_At <= Settings.m_EvidenceWindow)
    return "is no longer the primary";
  const auto Failed = Known.m_FailedAt.find(Primary.m_Server);
  const bool ProbeFailed = Failed != Known.m_FailedAt.end() &&
                           Now - Failed->second <= Settings.m_EvidenceWindow;
  // A single proxy's report is enough only if there is no other proxy.
  if (ProbeFailed &&
      Complaints.m_Unreachable >= std::min<std::size_t>(2, Sessions))
    return "cannot be reached";
  if (ProbeFailed && Silent)
    return "is silent";
  // The leader reaches the primary: replace it only if many proxies do not.
  if (Complaints.m_Unreachable * 100 < Sessions * Settings.m_CutOffPercent) {
    Known.m_DoubtedSince.reset();
    return {};
  }
  if (!Known.m_DoubtedSince)
    Known.m_DoubtedSince = Now;
  return Now - *Known.m_DoubtedSince >= Settings.m_CutOffAfter
             ? "is cut off from many proxies"
             : "";
}

bool DelegatedPrimaryChange::hasCandidate(const GroupRecord &Group,
                                          Instant Now) const {
  return std::any_of(
      Group.m_Servers.begin(), Group.m_Servers.end(), [&](const auto &Entry) {
        return Group.m_Primary != Entry.first && !Entry.second.m_Leaving &&
               isAnnounced(Group, Entry.first, Now);
      });
}

void DelegatedPrimaryChange::chooseNext(const GroupRecord &Group, Instant Now) {
  Progress &Known = progress(Group);
  if (Known.m_Ordered) {
    awaitPromotion(Group, Known, Now);
    return;
  }
  for (const auto &[Id, Server] : Group.m_Servers) {
    if (isAnnounced(Group, Id, Now))
      ask(Group, Server, Known, Now);
  }
  if (!m_Updates.allConfirmed(Group.m_Group, Group.m_TermRevision,
                              Group.m_LastSession))
    return;
  if (!Known.m_ConfirmedAt) {
    // Earlier answers may lack writes that were acknowledged until now.
    Known.m_ConfirmedAt = Now;
    Known.m_CallsBefore = m_Calls.last();
    Known.m_AskedAt.clear();
    return;
  }
  const auto NotBefore = m_NotBefore.find(Group.m_Group);
  if (NotBefore != m_NotBefore.end() && Now < NotBefore->second)
    return;
  if (Now >= Known.m_NextOrderAt && areAnswersIn(Group, Known, Now))
    promoteBest(Group, Known, Now);
}

void DelegatedPrimaryChange::promoteBest(const GroupRecord &Group,
                                         Progress &Known, Instant Now) {
  const ServerRecord *Choice = best(Group, Known, Now);
  if (Choice == nullptr)
    return;
  Known.m_Ordered = Choice->m_Server;
  Known.m_OrderedAt = Now;
  Known.m_IsAccepted = false;
  m_Calls.start(BackendCallKind::Promote, Group.m_Group, *Choice, Group.m_Term,
                Now);
}

void DelegatedPrimaryChange::awaitPromotion(const GroupRecord &Group,
                                            Progress &Known, Instant Now) {
  const auto Server = Group.m_Servers.find(*Known.m_Ordered);
  if (Server == Group.m_Servers.end() ||
      Now - (Known.m_IsAccepted ? Known.m_AcceptedAt : Known.m_OrderedAt) >=
          m_Context.settings().m_PromoteTimeout) {
    giveUpOrder(Known, Now);
    return;
  }
  // Repeat a promotion without a definite answer, but only to the same server:
  // two servers must never be promoted.
  if (!Known.m_IsAccepted)
    m_Calls.start(BackendCallKind::Promote, Group.m_Group, Server->second,
                  Group.m_Term, Now);
  const auto Answer = Known.m_Stated.find(*Known.m_Ordered);
  if (Answer != Known.m_Stated.end() &&
      Answer->second.m_At >= Known.m_OrderedAt &&
      Answer->second.m_Role == BackendRole::Primary) {
    m_Context.propose(
        AppointPrimary{Group.m_Group, Group.m_Term, *Known.m_Ordered, {}}, Now);
    return;
  }
  ask(Group, Server->second, Known, Now);
}

void DelegatedPrimaryChange::giveUpOrder(Progress &Known, Instant Now) const {
  // The promote call may still arrive, but must not do so after that to another
  // server.
  Known.m_RefusedUntil[*Known.m_Ordered] =
      Now + m_Context.settings().m_PromotionInFlight +
      m_Context.settings().m_PromotionRefused;
  Known.m_NextOrderAt = Now + m_Context.settings().m_PromotionInFlight;
  Known.m_Ordered.reset();
}

bool DelegatedPrimaryChange::areAnswersIn(const GroupRecord &Group,
                                          const Progress &Known,
                                          Instant Now) const {
  const ControlLeaderSettings &Settings = m_Context.settings();
  const Duration Waited = Now - *Known.m_ConfirmedAt;
  std::size_t Servers = 0;
  std::size_t Answered = 0;
  std::size_t Failed = 0;
  LogPosition Most;
  LogPosition MostOfCandidates;
  for (const auto &[Id, Server] : Group.m_Servers) {
    if (!isAnnounced(Group, Id, Now))
      continue;
    ++Servers;
    const Stated *Answer = fresh(Known, Id);
    if (Answer == nullptr) {
      const bool IsFailedPrimary =
          Group.m_Previous == Id && Known.m_FailedAt.contains(Id);
      Failed += IsFailedPrimary ? 1 : 0;
      continue;
    }
    ++Answered;
    Most = std::max(Most, Answer->m_Point.m_Position);
    if (!Server.m_Leaving)
      MostOfCandidates = std::max(MostOfCandidates, Answer->m_Point.m_Position);
  }
  if (isSynchronous(Group)) {
    // Every acknowledged commit is on the primary and on at least one replica,
    // so the answers of all servers but one are enough.
    return Answered + 1 >= std::max<std::size_t>(Servers, 2) &&
           MostOfCandidates >= Most;
  }
  // Do not wait for the failed primary. Wait for replicas whose calls failed,
  // because one of them may be the most advanced, and for replicas of a leaving
  // primary, which still sends them what they lack.
  const bool AllIn = Answered > 0 && Answered + Failed == Servers;
  if (AllIn && MostOfCandidates >= Most)
    return true;
  return Waited >= (AllIn ? Settings.m_CatchUpWait : Settings.m_FenceWait);
}

bool DelegatedPrimaryChange::isSynchronous(const GroupRecord &Group) const {
  const GroupPolicy *Policy =
      m_Context.state().catalogue().policy(Group.m_Group);
  return Policy != nullptr && Policy->m_SyncReplicas > 0;
}

const ServerRecord *DelegatedPrimaryChange::best(const GroupRecord &Group,
                                                 const Progress &Known,
                                                 Instant Now) const {
  const ServerRecord *Best = nullptr;
  const auto Rank = [&](const ServerRecord &Server) {
    const Stated *Answer = fresh(Known, Server.m_Server);
    return std::tuple(!Server.m_Leaving, Answer->m_Point.m_Term,
                      Answer->m_Point.m_Position,
                      Group.m_Previous != Server.m_Server);
  };
  for (const auto &[Id, Server] : Group.m_Servers) {
    const auto Refused = Known.m_RefusedUntil.find(Id);
    if (fresh(Known, Id) == nullptr || !isAnnounced(Group, Id, Now) ||
        (Refused != Known.m_RefusedUntil.end() && Now < Refused->second))
      continue;
    if (Best == nullptr || Rank(Server) > Rank(*Best))
      Best = &Server;
  }
  return Best;
}

const DelegatedPrimaryChange::Stated *
DelegatedPrimaryChange::fresh(const Progress &Known,
                              const ServerId &Server) const {
  const auto Found = Known.m_Stated.find(Server);
  if (Found == Known.m_Stated.end() ||
      Found->second.m_Call <= Known.m_CallsBefore)
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

void DelegatedPrimaryChange::ask(const GroupRecord &Group,
                                 const ServerRecord &Server, Progress &Known,
                                 Instant Now) {
  const auto [Asked, IsFirst] =
      Known.m_AskedAt.try_emplace(Server.m_Server, Now);
  if (!IsFirst && Now - Asked->second < m_Context.settings().m_AskAgain)
    return;
  Asked->second = Now;
  m_Calls.start(BackendCallKind::Position, Group.m_Group, Server, Group.m_Term,
                Now);
}

} // namespace ragwortmux
