#include "ragwortmux/Version/PromotionEvidence.h"

namespace ragwortmux {

namespace {

/// True if the server still leads, or already leads, because nobody else can
/// have been promoted since the last primary was appointed.
bool isAlone(const PromotionAttempt &Attempt, const RoleAnswer &Answer) {
  if (!Attempt.m_IsOnlyOrder)
    return false;
  if (Attempt.m_IsLastPrimary)
    return Answer.m_Term >= Attempt.m_LastTerm;
  // A primary of an earlier term that has not learned of the last one.
  return Attempt.m_LastTerm != Term() && Answer.m_Term > Attempt.m_LastTerm;
}

/// True if the order was accepted so long ago that it would have raised the
/// server's term, had another server been promoted after it.
bool isUnchangedByOrder(const PromotionAttempt &Attempt,
                        const RoleAnswer &Answer, Duration EffectLimit) {
  return Attempt.m_AcceptedAt &&
         Answer.m_AskedAt >= *Attempt.m_AcceptedAt + EffectLimit;
}

} // namespace

PromotionState assessPromotion(const PromotionAttempt &Attempt,
                               const RoleAnswer &Answer, Duration EffectLimit) {
  if (Answer.m_Role != BackendRole::Primary)
    return PromotionState::Given;
  // Each promotion that takes effect begins the next term.
  if (Answer.m_Term > Attempt.m_TermBefore)
    return PromotionState::InEffect;
  if (isAlone(Attempt, Answer) ||
      isUnchangedByOrder(Attempt, Answer, EffectLimit))
    return PromotionState::InEffect;
  return PromotionState::Overtaken;
}

} // namespace ragwortmux
