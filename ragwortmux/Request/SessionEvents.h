#ifndef RAGWORTMUX_REQUEST_SESSIONEVENTS_H
#define RAGWORTMUX_REQUEST_SESSIONEVENTS_H

#include "ragwortmux/Connection/BackendSession.h"
#include "ragwortmux/Request/CrossDomainEvents.h"
#include "ragwortmux/Request/LastWrite.h"
#include "ragwortmux/Request/Statement.h"
#include "ragwortmux/Request/StatementReply.h"
#include "ragwortmux/Version/ControlEvents.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// \file
/// Input and output types of SessionCore.

namespace ragwortmux {

/// A statement of a stateful session for its database group.
struct SessionRequest final {
  RequestId m_Id;              ///< Unique within the process.
  CallerConnectionId m_Caller; ///< Caller connection of the session.
  std::shared_ptr<const CatalogueEntry>
      m_Entry;             ///< Catalogue entry that the caller named.
  WorkspaceId m_Workspace; ///< Workspace of the caller; empty if the entry is
                           ///< open to all.
  Statement m_Statement;   ///< The statement.
  std::shared_ptr<const SessionState>
      m_State; ///< Session state to run the statement with.
  std::optional<PreparedStatement>
      m_Prepared;        ///< For Execute: the prepared statement.
  LastWrite m_LastWrite; ///< The session's last write to this group.
  Instant m_Arrived;     ///< Arrival time; the deadline counts from here.
};

/// Opens a connection; completed by connectionOpened() or connectionFailed().
struct OpenSessionConnection final {
  ConnectionId m_Connection; ///< Id assigned by the core.
  ServerId m_Server;         ///< Server to connect to.
  WorkspaceId m_Workspace;   ///< Workspace to connect for; empty: none.
};

/// Closes a connection at once, even if a statement runs on it; no event
/// follows.
struct CloseSessionConnection final {
  ConnectionId m_Connection; ///< The connection.
};

/// Gives a connection a session state; completed by one statementAnswered(),
/// whose outcome is Done only if all steps succeeded, or by connectionLost().
struct SetUpSession final {
  ConnectionId m_Connection;        ///< The connection.
  std::vector<SessionStep> m_Steps; ///< Steps to run, in order; at least one.
};

/// Runs a statement; completed by statementAnswered() or connectionLost().
struct RunStatement final {
  ConnectionId m_Connection; ///< The connection.
  std::optional<SessionStep>
      m_Prepare; ///< For Execute: prepares the statement first. If it fails and
                 ///< the statement has not run, the outcome is SetUpFailed.
  std::string m_PreparedName; ///< For Execute: name of the prepared statement
                              ///< on this connection.
  Statement m_Statement;      ///< The statement.
  bool m_IsInternal =
      false; ///< The statement was issued by this proxy, not by a caller.
  std::optional<LogPoint>
      m_Floor; ///< Position that the server's log must contain; otherwise the
               ///< server refuses the statement as Behind.
};

/// Checks that an open connection responds, without using a slot; completed by
/// statementAnswered() or connectionLost().
struct ProbeConnection final {
  ConnectionId m_Connection; ///< The connection.
};

/// Answers a caller's statement. Each statement gets exactly one answer unless
/// its caller has disconnected.
struct SessionAnswer final {
  RequestId m_Request;         ///< The request.
  CallerConnectionId m_Caller; ///< Caller to be answered.
  GroupId m_Group;             ///< Database group of the statement.
  ResultCode m_Code =
      ResultCode::Ok; ///< Ok: m_Body is forwarded to the caller.
  AnswerBody m_Body;  ///< Rows and completion message; may be null.
  TransactionStatus m_Status = TransactionStatus::Idle; ///< Afterwards.
  std::optional<LogPoint>
      m_Point; ///< Position of the server's log after the statement.
  std::optional<LogPoint>
      m_Written; ///< Position of the commit; set if writes became durable and
                 ///< the server named it.
  bool m_IsWriteUnplaced =
      false; ///< Writes became durable, at a position that is not known.
  std::optional<LogPoint>
      m_PrimaryPoint; ///< m_Point, if it covers every write that was
                      ///< acknowledged before the statement was sent.
};

/// Reports a suspected fault of a server to control.
struct ReportServer final {
  ServerId m_Server;                                    ///< The server.
  SuspicionKind m_Kind = SuspicionKind::ConnectRefused; ///< Kind of fault.
};

/// Decision about a statement, for the log.
enum class SessionDecision : std::uint8_t {
  Sent,     ///< Sent to a server.
  Answered, ///< Answered from a server's reply.
  Retried,  ///< Returned to the queue.
  Refused,  ///< Answered as not run.
  Unknown,  ///< Answered as outcome unknown.
};

/// Why a statement was refused to shed load.
enum class ShedReason : std::uint8_t {
  None,     ///< It was not refused, or for another reason.
  Deadline, ///< It could not be served before its deadline.
  Count,    ///< The queue had too many statements.
  Bytes,    ///< The statements of the queue were too large.
};

/// Log record of one decision with its inputs.
struct SessionDecisionRecord final {
  SessionDecision m_Decision = SessionDecision::Sent; ///< The decision.
  StatementId m_Statement; ///< Id that the caller gave the statement.
  EntryName m_Entry;       ///< Catalogue entry of the statement.
  ServerId m_Server;       ///< Server that was involved; empty if none.
  ResultCode m_Code =
      ResultCode::Ok;      ///< Outcome, or reason of a retry or refusal.
  Revision m_View;         ///< Revision of the group record.
  Term m_Term;             ///< Term of the group.
  Duration m_LeaseLeft{0}; ///< Remaining lease time; 0 without a lease.
  std::optional<Duration>
      m_FloorAge;            ///< Age of the read floor, if one was sent.
  Duration m_Waited{0};      ///< Time since arrival.
  Duration m_Running{0};     ///< Time since it was last sent; 0 if never sent.
  bool m_IsRead = false;     ///< The statement writes nothing.
  bool m_AtPrimary = false;  ///< m_Server is the primary.
  std::uint32_t m_Tries = 0; ///< Number of times it was sent.
  ShedReason m_Shed = ShedReason::None; ///< For a refusal to shed load.
  WorkspaceId m_Workspace;              ///< Workspace of the caller.
};

/// An action for the caller of SessionCore to execute, in order.
using SessionAction =
    std::variant<OpenSessionConnection, CloseSessionConnection, SetUpSession,
                 RunStatement, ProbeConnection, SessionAnswer, ReportServer,
                 SessionDecisionRecord, CrossDomainChange>;

/// Actions in order of execution.
using SessionActions = std::vector<SessionAction>;

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_SESSIONEVENTS_H
