#ifndef RAGWORTMUX_VERSION_LEDGERRECORD_H
#define RAGWORTMUX_VERSION_LEDGERRECORD_H

#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Core/ResultCode.h"

#include <cstdint>
#include <string>

namespace ragwortmux {

/// The phase of a keyed request.
enum class LedgerPhase : std::uint8_t {
  Reserved, ///< An attempt has reserved the key and may be running.
  Ran,      ///< The attempt committed; m_Code and m_Answer are its outcome.
  NotRun,   ///< The attempt can never commit; the key may be reserved again.
};

/// The record of a keyed request in the request ledger.
struct LedgerRecord final {
  OwnerId m_Owner;     ///< Owner of the request; each owner has its own keys.
  RequestKey m_Key;    ///< The key in lower case.
  AttemptId m_Attempt; ///< The last attempt that reserved the key.
  ControlSessionId m_Session; ///< Session of the proxy that runs the attempt.
  GroupId m_Group;            ///< The group in which the attempt runs.
  Term m_Term;                ///< The group's term when the key was reserved.
  LedgerPhase m_Phase = LedgerPhase::Reserved; ///< Phase of the request.
  ResultCode m_Code = ResultCode::Ok;          ///< The outcome, once known.
  std::string m_Answer; ///< The whole answer, if the request ran and the answer
                        ///< is not too long.

  friend bool operator==(const LedgerRecord &, const LedgerRecord &) = default;
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_LEDGERRECORD_H
