#include "ragwortmux/Version/DelegatedPrimaryChange.h"

#include "ragwortmux/Version/ControlState.h"
#include "ragwortmux/Version/LeaderContext.h"

#include <algorithm>

/// \file
/// The part of DelegatedPrimaryChange that orders a promotion and waits for its
/// effect, until the server is appointed or the promotion abandoned.

namespace ragwortmux {

void DelegatedPrimaryChange::promoteBest(const GroupRecord &Group,
                                         Progress &Change,
                                         const LogPoint &Acknowledged,
                                         Instant Now) {
  const ServerRecord *Choice = bestCandidate(Group, Change, Acknowledged, Now);
  if (Choice == nullptr)
    return;
  Change.m_PromotionTarget = Choice->m_Server;
  Change.m_PromotionStartedAt.reset();
  Change.m_PromotionAcceptedAt.reset();
  awaitPromotion(Group, Change, Now);
}

void DelegatedPrimaryChange::awaitPromotion(const GroupRecord &Group,
                                            Progress &Change, Instant Now) {
  const auto Server = Group.m_Servers.find(*Change.m_PromotionTarget);
  if (Server == Group.m_Servers.end() || hasPromotionFailed(Change, Now)) {
    abandonPromotion(Change, Now);
    return;
  }
  // A later leader must know of each order that may take effect.
  if (!Group.m_Ordered.contains(Server->first)) {
    m_Context.propose(
        OrderPromotion{Group.m_Group, Group.m_Term, Server->first}, Now);
    return;
  }
  orderPromotion(Group, Change, Server->second, Now);
  if (const PositionAnswer *Proof = proofOfPromotion(Group, Change)) {
    m_Context.propose(AppointPrimary{Group.m_Group,
                                     Group.m_Term,
                                     Server->first,
                                     {},
                                     Proof->m_Role.m_Term},
                      Now);
    return;
  }
  requestPosition(Group, Server->second, Change, Now);
}

void DelegatedPrimaryChange::orderPromotion(const GroupRecord &Group,
                                            Progress &Change,
                                            const ServerRecord &Server,
                                            Instant Now) {
  if (!Change.m_PromotionStartedAt) {
    Change.m_PromotionStartedAt = Now;
    if (Change.m_LastOrdered != Server.m_Server)
      Change.m_TermBeforeOrder = newestServerTerm(Group, Change);
    Change.m_LastOrdered = Server.m_Server;
  }
  // Repeat a promotion without a definite answer, but only to the same server:
  // two servers must never be promoted.
  if (!Change.m_PromotionAcceptedAt)
    m_Calls.start(BackendCallKind::Promote, Group.m_Group, Server, Group.m_Term,
                  Now);
}

const DelegatedPrimaryChange::PositionAnswer *
DelegatedPrimaryChange::proofOfPromotion(const GroupRecord &Group,
                                         const Progress &Change) const {
  const ServerId &Target = *Change.m_PromotionTarget;
  const auto Answer = Change.m_Answers.find(Target);
  if (Answer == Change.m_Answers.end() ||
      Answer->second.m_At < *Change.m_PromotionStartedAt)
    return nullptr;
  PromotionAttempt Attempt;
  Attempt.m_TermBefore = Change.m_TermBeforeOrder;
  Attempt.m_LastTerm = Group.m_ServerTerm;
  Attempt.m_IsLastPrimary = Group.m_Previous == Target;
  Attempt.m_IsOnlyOrder = Group.m_Ordered == std::set<ServerId>{Target};
  Attempt.m_AcceptedAt = Change.m_PromotionAcceptedAt;
  const PromotionState State = assessPromotion(
      Attempt, Answer->second.m_Role, m_Context.settings().m_PromotionEffect);
  return State == PromotionState::InEffect ? &Answer->second : nullptr;
}

bool DelegatedPrimaryChange::hasPromotionFailed(const Progress &Change,
                                                Instant Now) const {
  const ControlLeaderSettings &Settings = m_Context.settings();
  if (!Change.m_PromotionStartedAt)
    return false;
  if (!Change.m_PromotionAcceptedAt)
    return Now - *Change.m_PromotionStartedAt >= Settings.m_PromoteTimeout;
  if (Now - *Change.m_PromotionAcceptedAt >= Settings.m_PromotionLimit)
    return true;
  Instant LastSign = *Change.m_PromotionAcceptedAt;
  const auto Answer = Change.m_Answers.find(*Change.m_PromotionTarget);
  if (Answer != Change.m_Answers.end())
    LastSign = std::max(LastSign, Answer->second.m_At);
  return Now - LastSign >= Settings.m_PromoteTimeout;
}

void DelegatedPrimaryChange::abandonPromotion(Progress &Change,
                                              Instant Now) const {
  // The promote call may still arrive, but must not do so after that to another
  // server.
  Change.m_ExcludedUntil[*Change.m_PromotionTarget] =
      Now + m_Context.settings().m_PromotionInFlight +
      m_Context.settings().m_PromotionRefused;
  Change.m_NextPromotionAt = Now + m_Context.settings().m_PromotionInFlight;
  Change.m_PromotionTarget.reset();
}

} // namespace ragwortmux
