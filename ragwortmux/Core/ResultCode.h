#ifndef RAGWORTMUX_CORE_RESULTCODE_H
#define RAGWORTMUX_CORE_RESULTCODE_H

#include <cstdint>
#include <span>
#include <string_view>

namespace ragwortmux {

/// Numbered results shown to callers and operators and in logs. The same table
/// is in docs/RESULT_CODES.md.
enum class ResultCode : std::uint16_t {
  Ok = 0,

  // 1xx: the request was not run.
  NotRunNoPrimary = 101,
  NotRunQueueFull = 102,
  NotRunDeadline = 103,
  NotRunNoConnection = 104,
  NotRunDraining = 105,
  NotRunTermRefused = 106,
  NotRunNoLease = 107,
  NotRunUnknownEntry = 108,
  NotRunTooOld = 109,
  NotRunKeyExpired = 110,
  NotRunLedgerUnavailable = 111,
  NotRunRolledBack = 112,
  NotRunNotCovered = 113,
  NotRunKeyInUse = 114,
  NotRunBadRequest = 115,
  NotRunUnknownStatement = 116,
  NotRunCatalogueDiffers = 117,
  NotRunUnknownKey = 118,
  NotRunRateLimited = 119,

  // 2xx: it is not known whether the request was run.
  OutcomeUnknown = 201,
  OutcomeUnknownTermEnded = 202,

  // 3xx: the request was run, but its answer cannot be returned completely.
  RanAnswerTooLarge = 301,
  RanAnswerLost = 302,
  RanEarlier = 303,
  RanFailed = 304,
  RanTimedOut = 305,

  // 4xx: operator commands and settings.
  BadSetting = 401,
  BadArgument = 402,
  CatalogueConflict = 403,
  CatalogueInvalid = 404,
  CatalogueNotFound = 405,
  NotLeader = 406,
  Unauthorized = 407,
  Unreachable = 408,

  // 5xx: files and internal state.
  LogCorrupt = 501,
  LogWriteFailed = 502,
  WrongIdentity = 503,
};

/// One row of the result code table.
struct ResultCodeInfo final {
  ResultCode m_Code;           ///< Code number.
  std::string_view m_Name;     ///< Name in logs and answers.
  std::string_view m_SqlState; ///< SQLSTATE sent to PostgreSQL callers; empty
                               ///< if the code is never sent to callers.
  std::string_view m_Meaning;  ///< One sentence that explains the code.
};

/// All result codes, in ascending order of their numbers.
std::span<const ResultCodeInfo> allResultCodes();

/// Returns the row of \p Code.
const ResultCodeInfo &resultCodeInfo(ResultCode Code);

/// True if \p Code means that the request was not run.
bool isNotRun(ResultCode Code);

} // namespace ragwortmux

#endif // RAGWORTMUX_CORE_RESULTCODE_H
