#include "ragwortmux/Version/PromotionEvidence.h"

#include <boost/test/unit_test.hpp>

namespace ragwortmux::test {

namespace {

using namespace std::chrono_literals;

constexpr Duration EffectLimit = 2s;
constexpr Instant AcceptedAt{10s};

/// Whether the server that answers is the last appointed primary.
enum class Target : std::uint8_t { LastPrimary, Other };
/// Whether another server was ordered to lead since that primary was appointed.
enum class Orders : std::uint8_t { ToItOnly, ToOthersToo };

/// One row: an order, an answer of its server, and what that shows. The last
/// primary led term 5.
struct EvidenceCase final {
  const char *m_Name;     ///< Name in messages.
  Target m_Target;        ///< Who was ordered to lead.
  Orders m_Orders;        ///< Who else was.
  std::uint64_t m_Before; ///< Newest term that was known before the order.
  BackendRole m_Role;     ///< Role in the answer.
  std::uint64_t m_Term;   ///< Term in the answer.
  Duration m_Asked;       ///< Time from the acceptance to the call.
  PromotionState m_State; ///< What the answer shows.
};

constexpr auto Replica = BackendRole::Replica;
constexpr auto Primary = BackendRole::Primary;

constexpr EvidenceCase EvidenceCases[] = {
    {"a replica", Target::Other, Orders::ToItOnly, 5, Replica, 5, 100ms,
     PromotionState::Given},
    {"a replica, long after the order", Target::Other, Orders::ToItOnly, 5,
     Replica, 5, 3s, PromotionState::Given},
    {"the next term", Target::Other, Orders::ToItOnly, 5, Primary, 6, 100ms,
     PromotionState::InEffect},
    {"the next term, others ordered before", Target::Other, Orders::ToOthersToo,
     6, Primary, 7, 100ms, PromotionState::InEffect},
    {"a primary of an earlier term", Target::Other, Orders::ToItOnly, 5,
     Primary, 4, 100ms, PromotionState::Overtaken},
    {"a primary of an earlier term before the order", Target::Other,
     Orders::ToItOnly, 5, Primary, 4, -100ms, PromotionState::Overtaken},
    {"a primary of the last primary's term", Target::Other, Orders::ToItOnly, 5,
     Primary, 5, 100ms, PromotionState::Overtaken},
    {"promoted by an earlier leader of control", Target::Other,
     Orders::ToItOnly, 6, Primary, 6, -100ms, PromotionState::InEffect},
    {"promoted earlier, then another one was ordered", Target::Other,
     Orders::ToOthersToo, 6, Primary, 6, 100ms, PromotionState::Overtaken},
    {"the same, unchanged long after the order", Target::Other,
     Orders::ToOthersToo, 6, Primary, 6, 2s, PromotionState::InEffect},
    {"the last primary still leads", Target::LastPrimary, Orders::ToItOnly, 5,
     Primary, 5, -100ms, PromotionState::InEffect},
    {"the last primary, another one was ordered", Target::LastPrimary,
     Orders::ToOthersToo, 5, Primary, 5, 1900ms, PromotionState::Overtaken},
    {"the last primary, unchanged long after the order", Target::LastPrimary,
     Orders::ToOthersToo, 5, Primary, 5, 2s, PromotionState::InEffect},
};

} // namespace

BOOST_AUTO_TEST_SUITE(PromotionEvidenceTest)

// Guards against the appointment of a server that only believes that it leads.
BOOST_AUTO_TEST_CASE(AnswersProveWhatTheyCan) {
  for (const EvidenceCase &Each : EvidenceCases) {
    PromotionAttempt Attempt;
    Attempt.m_TermBefore = Term(Each.m_Before);
    Attempt.m_LastTerm = Term(5);
    Attempt.m_IsLastPrimary = Each.m_Target == Target::LastPrimary;
    Attempt.m_IsOnlyOrder = Each.m_Orders == Orders::ToItOnly;
    Attempt.m_AcceptedAt = AcceptedAt;
    const RoleAnswer Answer{Each.m_Role, Term(Each.m_Term),
                            AcceptedAt + Each.m_Asked};
    BOOST_TEST((assessPromotion(Attempt, Answer, EffectLimit) == Each.m_State),
               Each.m_Name);
  }
}

// An order without an answer proves nothing, however long it is ago.
BOOST_AUTO_TEST_CASE(OrderWithoutAnswerIsNoProof) {
  PromotionAttempt Attempt;
  Attempt.m_TermBefore = Term(5);
  Attempt.m_LastTerm = Term(5);
  Attempt.m_IsLastPrimary = true;
  const RoleAnswer Answer{BackendRole::Primary, Term(5), AcceptedAt + 1h};
  BOOST_TEST((assessPromotion(Attempt, Answer, EffectLimit) ==
              PromotionState::Overtaken));
}

// A record from before the servers' terms were kept.
BOOST_AUTO_TEST_CASE(UnknownLastTermIsNoProof) {
  PromotionAttempt Attempt;
  Attempt.m_TermBefore = Term(5);
  Attempt.m_IsOnlyOrder = true;
  const RoleAnswer Answer{BackendRole::Primary, Term(5), AcceptedAt};
  BOOST_TEST((assessPromotion(Attempt, Answer, EffectLimit) ==
              PromotionState::Overtaken));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ragwortmux::test
