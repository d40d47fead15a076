#ifndef RAGWORTMUX_REQUEST_SESSIONREQUESTSTATE_H
#define RAGWORTMUX_REQUEST_SESSIONREQUESTSTATE_H

#include "ragwortmux/Request/PositionHistory.h"
#include "ragwortmux/Request/SessionEvents.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ragwortmux {

/// State of a statement that SessionCore has not answered yet.
struct SessionRequestState final {
  SessionRequest m_Request;     ///< As submitted.
  Instant m_Deadline;           ///< Latest time for the answer.
  bool m_InTransaction = false; ///< Runs in its caller's open transaction.
  bool m_CommitsWrites = false; ///< It commits a transaction that wrote.
  bool m_IsCallerDisconnected =
      false; ///< The caller has disconnected, so no answer is sent.
  bool m_IsWaiting = false;   ///< The statement is in the queue.
  bool m_NeedsPermit = false; ///< It must take a permit of its workspace before
                              ///< it is sent for the first time.
  bool m_AwaitsPermit = false; ///< It could be sent but for the permit.
  std::optional<ConnectionId> m_Connection; ///< Connection on which it runs;
                                            ///< empty while it is not sent.
  ServerId m_Server;                        ///< Server it was last sent to.
  Term m_Term; ///< Term it was last sent in; in a transaction, the
               ///< transaction's term.
  bool m_UnderLease =
      false;        ///< It was sent to the primary under a valid lease.
  Instant m_SentAt; ///< Time it was last sent.
  std::optional<PositionHistory::Sample>
      m_Floor;               ///< Read floor it was sent with.
  std::uint32_t m_Tries = 0; ///< Number of times it was sent.
  std::uint32_t m_Pauses =
      0; ///< Number of pauses because a server had no free slot.
  std::optional<Instant> m_NotBefore; ///< Earliest time for the next try.
  std::vector<ServerId> m_Avoid;      ///< Servers that failed to run it.
  bool m_IsPlacementDecided = false;  ///< CrossDomainPolicy has decided on it.
  bool m_HasLeaveReason = false;   ///< It has had a reason to leave the failure
                                   ///< domain.
  bool m_IsSilenceHandled = false; ///< The missing answer has been acted upon;
                                   ///< see SessionCore::checkSilence().
  bool m_IsSettingUp = false; ///< Its connection is being given the session
                              ///< state of the caller; it is not sent yet.
  std::optional<SessionStep>
      m_Prepare;              ///< For Execute: step to send with the statement.
  std::string m_PreparedName; ///< For Execute: name of the prepared statement
                              ///< on the connection.
  bool m_MayHaveRun = false; ///< A try was lost, so a refusal must not say that
                             ///< it has not run.
  bool m_HoldsSlot = false;  ///< It is counted in SessionCore::m_SlotsHeld.
  std::optional<Instant> m_ReviewAt; ///< While it waits: when its chances are
                                     ///< reviewed next.
  ShedReason m_Shed = ShedReason::None; ///< Why it is refused, if to shed load.
  ResultCode m_LastReason =
      ResultCode::NotRunDeadline; ///< Why it has not run so far.

  /// True if the statement is a write outside a transaction.
  bool isSingleWrite() const {
    return !m_InTransaction && m_Request.m_Statement.m_Writes;
  }
  /// True if success may make writes durable: a commit, or a write outside a
  /// transaction.
  bool isCommit() const {
    return isSingleWrite() ||
           m_Request.m_Statement.m_Kind == StatementKind::Commit;
  }
  /// True if success makes writes durable and not only may do so.
  bool makesDurable() const { return isSingleWrite() || m_CommitsWrites; }
  /// When it misses its latency target; none without a target.
  std::optional<Instant> lateAt() const {
    const Duration Target = m_Request.m_Entry->m_Limits.m_LatencyTarget;
    return Target > Duration(0) ? std::optional(m_Request.m_Arrived + Target)
                                : std::nullopt;
  }
  /// Prepared statement that it executes; null if none.
  const PreparedStatement *prepared() const {
    return m_Request.m_Prepared ? &*m_Request.m_Prepared : nullptr;
  }
  /// True if only the primary may run it.
  bool needsPrimary() const {
    return m_Request.m_Statement.m_Writes ||
           m_Request.m_Statement.m_Kind == StatementKind::Begin ||
           m_Request.m_Entry->m_Class == TrafficClass::PrimarySession;
  }
  /// True if \p Server has failed to run it.
  bool avoids(const ServerId &Server) const {
    return std::find(m_Avoid.begin(), m_Avoid.end(), Server) != m_Avoid.end();
  }
};

/// A caller's open transaction.
struct SessionTransaction final {
  std::optional<ConnectionId>
      m_Connection; ///< Backend connection; empty once the transaction is lost.
  ServerId m_Server;       ///< Server on which it runs.
  WorkspaceId m_Workspace; ///< Workspace of its caller; empty: none.
  Term m_Term;             ///< Term of the group at its start.
  bool m_ReadOnly = false; ///< It was begun as a read-only transaction.
  bool m_Wrote = false;    ///< It has sent a write.
  TransactionStatus m_Status =
      TransactionStatus::InTransaction; ///< Status reported by the last reply.
  std::optional<RequestId> m_Running;   ///< The statement under way.
  Instant m_IdleSince;                  ///< When the last statement ended.
  Duration m_IdleLimit{0};              ///< Longest time without a statement.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_SESSIONREQUESTSTATE_H
