#ifndef RAGWORTMUX_REQUEST_GROUPSETTINGS_H
#define RAGWORTMUX_REQUEST_GROUPSETTINGS_H

#include "ragwortmux/Connection/ConnectionPool.h"
#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Core/Time.h"
#include "ragwortmux/Request/RetryBudget.h"

#include <cstdint>
#include <string>

namespace ragwortmux {

/// How GroupCore decides.
struct GroupSettings final {
  FailureDomainId
      m_Domain; ///< This proxy's domain; near servers are preferred.
  std::string m_AttemptPrefix; ///< Unique for each run of each process; attempt
                               ///< ids start with it.
  Duration m_LeaseMargin = std::chrono::milliseconds(
      50); ///< What a lease must still last for a write to be sent.
  Duration m_CoverWait =
      std::chrono::milliseconds(30); ///< How long a session read waits for a
                                     ///< replica before it takes the primary.
  Duration m_BackoffMin =
      std::chrono::milliseconds(2); ///< First pause after a full server.
  Duration m_BackoffMax =
      std::chrono::milliseconds(50); ///< Longest pause after a full server.
  Duration m_TransactionIdle = std::chrono::seconds(
      30); ///< How long an open transaction may wait for its next statement.
  Duration m_RecordWait = std::chrono::milliseconds(
      250); ///< How long an answer waits for its record in the ledger.
  Duration m_EndAttemptRetry = std::chrono::milliseconds(
      100); ///< Pause before an attempt that could not be ended is tried again.
  std::uint32_t m_SilentReadPercent =
      33; ///< A read that is not answered within this part of its deadline is
          ///< retried elsewhere.
  std::uint32_t m_SilentKeyedPercent =
      67; ///< A keyed write that is not answered within this part of its
          ///< deadline is ended, so that its outcome is known in time.
  bool m_AllowSingleServer =
      false; ///< A group that has one server only may acknowledge alone.
  RetryBudgetSettings m_Retry;   ///< Limits retries.
  ConnectionPoolSettings m_Pool; ///< Rules of the connections.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_GROUPSETTINGS_H
