#ifndef RAGWORTMUX_REQUEST_SESSIONCORESETTINGS_H
#define RAGWORTMUX_REQUEST_SESSIONCORESETTINGS_H

#include "ragwortmux/Connection/ConnectionPool.h"
#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Core/Time.h"
#include "ragwortmux/Request/CrossDomainSettings.h"
#include "ragwortmux/Request/QueueEstimate.h"
#include "ragwortmux/Request/RetryBudget.h"

#include <cstddef>
#include <cstdint>

namespace ragwortmux {

/// Time limits and thresholds of SessionCore.
struct SessionCoreSettings final {
  FailureDomainId
      m_Domain; ///< This host's failure domain; servers in it are preferred.
  Duration m_LeaseMargin = std::chrono::milliseconds(
      30); ///< Minimum remaining lease time for sending a statement.
  Duration m_HandoverWait = std::chrono::milliseconds(
      150); ///< Longest time for which running commits delay the confirmation
            ///< that their term has ended.
  Duration m_TransactionIdle = std::chrono::seconds(
      30); ///< Idle limit of a transaction whose catalogue entry sets none.
  Duration m_AgeMargin = std::chrono::milliseconds(
      30); ///< Safety margin subtracted from the maximum age of a read.
  Duration m_BusyPause =
      std::chrono::milliseconds(8); ///< First pause after a server had no free
                                    ///< slot; doubles with each retry.
  Duration m_BusyPauseMax =
      std::chrono::milliseconds(120); ///< Upper limit of that pause.
  Duration m_NotPrimaryPause = std::chrono::milliseconds(
      40); ///< Pause after a server refused a statement because it is not the
           ///< primary.
  std::uint32_t m_SilentPercent =
      35; ///< A statement without an answer after this percentage of its
          ///< deadline makes its server suspect; a read is then run on another
          ///< server.
  std::uint32_t m_ShareWithoutLease =
      1; ///< Connections to each server after the lease has expired, for reads
         ///< whose age is proven. The rest of the share may belong to another
         ///< host by then.
  Duration m_RollbackTimeout = std::chrono::seconds(
      1); ///< How long the answer to a rollback for a caller that has left is
          ///< waited for; closing the connection rolls back too.
  std::uint32_t m_MaxTries =
      8; ///< Maximum number of times that one statement is sent.
  Duration m_NoLeaseTimeout = std::chrono::milliseconds(
      400); ///< How long after the end of a lease statements that need one wait
            ///< for the next; later they are refused at once.
  Duration m_UnreachableTimeout = std::chrono::milliseconds(
      1200); ///< How long statements wait for an unreachable primary before
             ///< they are refused at once. A primary that only this host cannot
             ///< reach is not replaced.
  RetryBudgetSettings
      m_Retry; ///< Limits how many statements are abandoned and run again.
  RetryBudgetSettings m_WorkspaceRetry{
      20, 4}; ///< The same for each workspace and server where callers belong
              ///< to workspaces; there are many, so each saves few.
  Duration m_SlotTimeout = std::chrono::milliseconds(
      400); ///< Where callers belong to workspaces: time after which a
            ///< statement without an answer no longer counts as using a slot of
            ///< its server. Otherwise lost answers would use up all of them.
  bool m_ShedLoad = false; ///< Refuses statements that can no longer be served
                           ///< in time, and those beyond the following limits.
  std::size_t m_MaxQueued = 4096; ///< Maximum number of queued statements.
  std::size_t m_MaxQueuedBytes =
      std::size_t{16} << 20U; ///< Maximum size of their texts. Larger than one
                              ///< statement, which may have 1 MiB.
  QueueEstimateSettings m_Estimate;  ///< When a statement cannot be served.
  CrossDomainSettings m_CrossDomain; ///< Limits of the reads that leave the
                                     ///< failure domain.
  ConnectionPoolSettings m_Pool;     ///< Settings of the connection pool.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_SESSIONCORESETTINGS_H
