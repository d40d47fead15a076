#ifndef RAGWORTMUX_REQUEST_SESSIONREQUESTSTATE_H
#define RAGWORTMUX_REQUEST_SESSIONREQUESTSTATE_H

#include "ragwortmux/Request/PositionHistory.h"
#include "ragwortmux/Request/SessionEvents.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

namespace ragwortmux {

/// A statement that SessionCore has not answered yet.
struct SessionRequestState final {
  SessionRequest m_Request;     ///< As submitted.
  Instant m_Deadline;           ///< Answered by then.
  bool m_InTransaction = false; ///< Runs on its caller's open transaction.
  bool m_CallerGone = false;    ///< Nobody waits for the answer.
  bool m_IsWaiting = false;     ///< It is in the queue.
  std::optional<ConnectionId> m_Connection; ///< Set while it is sent.
  ServerId m_Server;                        ///< Where it was sent last.
  Term m_Term;               ///< Term of the group when it was sent.
  bool m_UnderLease = false; ///< It was sent to the primary under the lease.
  Instant m_SentAt;          ///< When it was sent last.
  std::optional<PositionHistory::Sample>
      m_Floor;                ///< The floor that it was sent with.
  std::uint32_t m_Tries = 0;  ///< Times sent.
  std::uint32_t m_Pauses = 0; ///< Times that it waited for a full server.
  std::optional<Instant> m_NotBefore; ///< It is not sent before this.
  std::vector<ServerId> m_Avoid;      ///< Servers that could not run it.
  bool m_SilenceSeen = false; ///< Its server was suspected because of it.
  ResultCode m_LastReason = ResultCode::NotRunDeadline; ///< Last obstacle.

  /// True if the statement makes writes durable by itself.
  bool isSingleWrite() const {
    return !m_InTransaction && m_Request.m_Statement.m_Writes;
  }
  /// True if its success makes writes durable: a write of its own or a commit.
  bool isCommit() const {
    return isSingleWrite() ||
           m_Request.m_Statement.m_Kind == StatementKind::Commit;
  }
  /// What it executes, null if it executes nothing prepared.
  const PreparedStatement *prepared() const {
    return m_Request.m_Prepared ? &*m_Request.m_Prepared : nullptr;
  }
  /// True if only the primary may run it.
  bool needsPrimary() const {
    return m_Request.m_Statement.m_Writes ||
           m_Request.m_Statement.m_Kind == StatementKind::Begin ||
           m_Request.m_Entry->m_Class == TrafficClass::PrimarySession;
  }
  /// True if \p Server could not run it.
  bool avoids(const ServerId &Server) const {
    return std::find(m_Avoid.begin(), m_Avoid.end(), Server) != m_Avoid.end();
  }
};

/// A caller's open transaction.
struct SessionTransaction final {
  std::optional<ConnectionId>
      m_Connection;        ///< Its connection; none: the transaction is lost.
  ServerId m_Server;       ///< Where it runs.
  Term m_Term;             ///< Term of the group when it began.
  bool m_ReadOnly = false; ///< It was begun to read only.
  bool m_Wrote = false;    ///< A write was sent in it.
  TransactionStatus m_Status = TransactionStatus::InTransaction; ///< Status.
  std::optional<RequestId> m_Running; ///< The statement under way.
  Instant m_IdleSince;                ///< When the last one ended.
  Duration m_IdleLimit{0};            ///< How long it may wait.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_SESSIONREQUESTSTATE_H
