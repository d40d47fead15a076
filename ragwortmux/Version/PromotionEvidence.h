#ifndef RAGWORTMUX_VERSION_PROMOTIONEVIDENCE_H
#define RAGWORTMUX_VERSION_PROMOTIONEVIDENCE_H

#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Core/Time.h"
#include "ragwortmux/Version/ControlEvents.h"

#include <optional>

namespace ragwortmux {

/// What a server's answer to a position call shows about the order to promote
/// it. See docs/design/promotions.md.
enum class PromotionState : std::uint8_t {
  Given,     ///< The order has not taken effect yet.
  InEffect,  ///< The server leads the group's newest term.
  Overtaken, ///< The server leads a term, but another server may lead a newer
             ///< one; the order may still take effect.
};

/// An order to promote a server of a delegated group, and what was known when
/// it was given.
struct PromotionAttempt final {
  Term m_TermBefore; ///< Newest term that any server of the group had shown
                     ///< before the order was sent.
  Term m_LastTerm;   ///< Term that the last appointed primary led; 0: unknown.
  bool m_IsLastPrimary = false; ///< The server is that primary.
  bool m_IsOnlyOrder = false;   ///< No other server was ordered to lead since
                                ///< that primary was appointed.
  std::optional<Instant> m_AcceptedAt; ///< When the order was accepted.
};

/// A server's answer to a position call.
struct RoleAnswer final {
  BackendRole m_Role = BackendRole::Replica; ///< Its role.
  Term m_Term;         ///< Newest term that it knows; for a primary, the term
                       ///< that it leads.
  Instant m_AskedAt{}; ///< When the call was made.
};

/// Decides what \p Answer shows about \p Attempt. \p EffectLimit is the longest
/// time from the acceptance of an order until it takes effect.
PromotionState assessPromotion(const PromotionAttempt &Attempt,
                               const RoleAnswer &Answer, Duration EffectLimit);

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_PROMOTIONEVIDENCE_H
