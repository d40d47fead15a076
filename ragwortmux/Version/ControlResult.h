#ifndef RAGWORTMUX_VERSION_CONTROLRESULT_H
#define RAGWORTMUX_VERSION_CONTROLRESULT_H

#include "ragwortmux/Core/ResultCode.h"
#include "ragwortmux/Version/CatalogueRecords.h"
#include "ragwortmux/Version/LedgerRecord.h"

#include <optional>
#include <string>
#include <utility>

namespace ragwortmux {

/// The result of applying a command to the control state.
struct ControlResult final {
  ResultCode m_Code = ResultCode::Ok; ///< Ok, or why the command was refused.
  std::string m_Reason;               ///< Human-readable reason of a refusal.
  Revision m_Revision; ///< The changed record's revision after the command.
  ControlSessionId m_Session; ///< OpenSession: the session.
  std::optional<ControlSessionId>
      m_EndedSession; ///< OpenSession: the session of the host's earlier run,
                      ///< which the command has ended.
  std::optional<CatalogueItem>
      m_CurrentItem; ///< CatalogueConflict: the current entry, if it exists.
  std::optional<LedgerRecord>
      m_Ledger; ///< Ledger commands: the key's current record, if there is one.

  bool ok() const { return m_Code == ResultCode::Ok; }

  /// Returns a refusal with \p Reason.
  static ControlResult refused(ResultCode Code, std::string Reason) {
    ControlResult Result;
    Result.m_Code = Code;
    Result.m_Reason = std::move(Reason);
    return Result;
  }

  /// Returns a success after which the record has revision \p Made.
  static ControlResult accepted(Revision Made) {
    ControlResult Result;
    Result.m_Revision = Made;
    return Result;
  }

  friend bool operator==(const ControlResult &,
                         const ControlResult &) = default;
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_CONTROLRESULT_H
