#ifndef RAGWORTMUX_VERSION_LEDGERRECORD_H
#define RAGWORTMUX_VERSION_LEDGERRECORD_H

#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Core/ResultCode.h"

#include <cstdint>
#include <string>

namespace ragwortmux {

/// What is known about a keyed request.
enum class LedgerPhase : std::uint8_t {
  Reserved, ///< An attempt may be running.
  Ran,      ///< The attempt committed; m_Code and m_Answer are its outcome.
  NotRun,   ///< The attempt can never commit; the key may be reserved again.
};

/// A keyed request in the ledger.
struct LedgerRecord final {
  OwnerId m_Owner;            ///< Whose request; owners do not share keys.
  RequestKey m_Key;           ///< The key in lower case.
  AttemptId m_Attempt;        ///< The attempt that holds the reservation.
  ControlSessionId m_Session; ///< The proxy's session that runs the attempt.
  GroupId m_Group;            ///< Where the attempt runs.
  Term m_Term;                ///< The term in which it was reserved.
  LedgerPhase m_Phase = LedgerPhase::Reserved; ///< What is known.
  ResultCode m_Code = ResultCode::Ok;          ///< The outcome, once known.
  std::string m_Answer; ///< The whole answer, if it ran and fits.

  friend bool operator==(const LedgerRecord &, const LedgerRecord &) = default;
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_LEDGERRECORD_H
