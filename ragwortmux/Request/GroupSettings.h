#ifndef RAGWORTMUX_REQUEST_GROUPSETTINGS_H
#define RAGWORTMUX_REQUEST_GROUPSETTINGS_H

#include "ragwortmux/Connection/ConnectionPool.h"
#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Core/Time.h"
#include "ragwortmux/Request/RetryBudget.h"

#include <cstdint>
#include <string>

namespace ragwortmux {

/// Time limits and thresholds of GroupCore.
struct GroupSettings final {
  FailureDomainId
      m_Domain; ///< This proxy's failure domain; servers in it are preferred.
  std::string m_AttemptPrefix; ///< Prefix of attempt ids; unique for each run
                               ///< of each process.
  Duration m_LeaseMargin = std::chrono::milliseconds(
      50); ///< Minimum remaining lease time for sending a write.
  Duration m_CoverWait =
      std::chrono::milliseconds(30); ///< How long a session read waits for a
                                     ///< replica before it uses the primary.
  Duration m_BackoffMin = std::chrono::milliseconds(
      2); ///< First pause after a server had no free slot.
  Duration m_BackoffMax = std::chrono::milliseconds(
      50); ///< Longest pause after a server had no free slot.
  Duration m_TransactionIdle =
      std::chrono::seconds(30); ///< Idle limit of an open transaction.
  Duration m_RecordWait =
      std::chrono::milliseconds(250); ///< How long an answer waits until the
                                      ///< ledger has recorded the outcome.
  Duration m_EndAttemptRetry = std::chrono::milliseconds(
      100); ///< Pause before retrying to end an attempt.
  std::uint32_t m_SilentReadPercent =
      33; ///< A read without an answer after this percentage of its deadline is
          ///< retried on another server.
  std::uint32_t m_SilentKeyedPercent =
      67; ///< The attempt of a keyed write without an answer after this
          ///< percentage of its deadline is ended, so that its outcome is known
          ///< before the deadline.
  bool m_AllowSingleServer = false; ///< A group with a single server may
                                    ///< acknowledge writes without a replica.
  RetryBudgetSettings m_Retry;      ///< Limits retries.
  ConnectionPoolSettings m_Pool;    ///< Settings of the connection pool.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_GROUPSETTINGS_H
