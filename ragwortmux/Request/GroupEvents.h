#ifndef RAGWORTMUX_REQUEST_GROUPEVENTS_H
#define RAGWORTMUX_REQUEST_GROUPEVENTS_H

#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Core/ResultCode.h"
#include "ragwortmux/Core/Time.h"
#include "ragwortmux/Version/CatalogueEntry.h"
#include "ragwortmux/Version/LogPoint.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// \file
/// Input and output types of GroupCore.

namespace ragwortmux {

/// Encoded answer messages of the caller protocol, without ReadyForQuery.
using AnswerBody = std::shared_ptr<const std::string>;

/// Status of a backend connection's transaction, as in ReadyForQuery.
enum class TransactionStatus : std::uint8_t {
  Idle,          ///< No transaction is open.
  InTransaction, ///< A transaction is open.
  Failed,        ///< A transaction is open and can only be rolled back.
};

/// A caller's request to a database group.
struct GroupRequest final {
  RequestId m_Id;              ///< Unique within the process.
  CallerConnectionId m_Caller; ///< Caller connection it arrived on.
  std::shared_ptr<const CatalogueEntry>
      m_Entry;             ///< Catalogue entry that the caller named.
  WorkspaceId m_Workspace; ///< Workspace of the caller; empty if the entry is
                           ///< open to all.
  std::string m_Sql;       ///< Statement text, forwarded unchanged.
  std::optional<LogPoint> m_Token; ///< Log position that a read must cover.
  SessionName m_Session; ///< The caller's session, see scopeToWorkspace(); may
                         ///< be empty.
  std::optional<RequestKey> m_Key; ///< Idempotency key of a write.
  std::optional<Duration>
      m_MaxAge;      ///< Maximum age set by the caller of an aged read.
  Instant m_Arrived; ///< Arrival time; the deadline counts from here.
};

/// Complete answer of a backend server to one statement.
struct BackendAnswer final {
  bool m_Ok = true;       ///< False if the server answered with an error.
  std::string m_SqlState; ///< The error's SQLSTATE; empty if m_Ok.
  TransactionStatus m_Status =
      TransactionStatus::Idle; ///< Transaction status after the statement.
  std::optional<LogPoint>
      m_Point; ///< Last `ragwortmux.position` reported on the connection, even
               ///< if unchanged by this statement.
  std::size_t m_Bytes = 0; ///< Size of the whole answer.
  AnswerBody m_Body;       ///< The encoded answer.
  bool m_Truncated =
      false; ///< The answer exceeded the size limit; m_Body is incomplete.
  bool m_IsTagFailure = false;   ///< The attempt tag could not be set, so the
                                 ///< statement was not sent.
  bool m_ChangesSession = false; ///< A command of the statement changed state
                                 ///< of the session that outlives it.
};

/// Ledger's answer to ReserveRequestKey.
enum class ReserveStatus : std::uint8_t {
  Reserved,           ///< A quorum has stored the reservation.
  Recorded,           ///< The outcome is already recorded: m_Code and m_Body.
  InUse,              ///< An attempt of a live session holds the key.
  HeldByEndedSession, ///< The attempt m_Attempt of an ended session holds the
                      ///< key and must be ended first.
  Refused,            ///< Not run, for the reason m_Code.
  Unavailable,        ///< No quorum answered.
};

/// Answer to ReserveRequestKey.
struct ReserveResult final {
  ReserveStatus m_Status =
      ReserveStatus::Unavailable; ///< Status of the reservation.
  AttemptId m_Attempt; ///< With InUse and HeldByEndedSession: the attempt that
                       ///< holds the key.
  ResultCode m_Code =
      ResultCode::Ok; ///< With Recorded and Refused: the result.
  AnswerBody m_Body;  ///< With Recorded: the recorded answer; null if none.
  std::optional<LogPoint>
      m_Point; ///< With Recorded: the recorded commit position.
};

/// How an attempt ended, from `ragwortmux_end_attempt`.
enum class AttemptOutcome : std::uint8_t {
  Committed, ///< Its transaction is part of the primary's history.
  Aborted,   ///< It can never commit in the primary's history.
  Failed,    ///< The primary did not report an outcome.
};

/// Fault of a backend server that a proxy suspects.
enum class SuspicionCause : std::uint8_t {
  ConnectRefused, ///< A connection could not be opened.
  Silent,         ///< Opening a connection timed out.
  MonitorFailed,  ///< The connection of the position monitor failed.
  TermRefused,    ///< The server refused the current term.
};

/// Opens a connection for \p m_Term; completed by connectionOpened() or
/// connectionFailed().
struct OpenConnection final {
  ConnectionId m_Connection; ///< Id assigned by the core.
  ServerId m_Server;         ///< Server to connect to.
  Term m_Term;               ///< Value of `ragwortmux.term` on the connection.
};

/// Closes a connection at once, even if a statement runs on it; completed by
/// connectionClosed().
struct CloseConnection final {
  ConnectionId m_Connection; ///< The connection.
};

/// Runs a statement; completed by statementAnswered() or connectionLost().
struct SendStatement final {
  ConnectionId m_Connection; ///< The connection.
  std::string m_Sql;         ///< The statement text.
  std::optional<AttemptId>
      m_Attempt; ///< Attempt tag to set before the statement (`SET
                 ///< ragwortmux.attempt`); an empty id clears the tag of an
                 ///< earlier statement.
  std::uint32_t m_MaxAnswerBytes =
      0; ///< Size limit; a larger answer is read to its end and discarded.
};

/// Requests that the server cancels an abandoned statement, which frees its
/// slot and locks at once. A separate CloseConnection closes the connection.
struct CancelStatement final {
  ConnectionId m_Connection; ///< The connection.
};

/// Answers a caller's request. Each submitted request gets at most one answer,
/// and exactly one unless its caller has disconnected.
struct Answer final {
  RequestId m_Request; ///< The request.
  ResultCode m_Code =
      ResultCode::Ok; ///< Ok: m_Body is the backend server's answer, which may
                      ///< be a database error.
  std::string m_Reason; ///< Text of the error message if m_Code is not Ok.
  AnswerBody m_Body;    ///< Answer to forward; may be null.
  std::optional<LogPoint> m_Token; ///< New token for the caller.
  TransactionStatus m_Status =
      TransactionStatus::Idle; ///< Transaction status for ReadyForQuery.
  std::optional<Term>
      m_NeedsLease; ///< Term that the lease must still cover when the answer is
                    ///< written; otherwise the caller gets
                    ///< OutcomeUnknownTermEnded.
};

/// Reserves a key in the ledger; completed by keyReserved(). Retried with the
/// same attempt if the ledger was unavailable.
struct ReserveRequestKey final {
  RequestId m_Request; ///< The request.
  RequestKey m_Key;    ///< Request key.
  OwnerId m_Owner;     ///< Owner of the key.
  AttemptId m_Attempt; ///< Attempt to reserve the key for.
  Term m_Term;         ///< Current term of the group.
  std::optional<AttemptId>
      m_Aborted; ///< Attempt of an ended session that holds the key. The
                 ///< primary of m_Term reported it as aborted; the ledger must
                 ///< resolve that first.
};

/// Records a key's outcome in the ledger; completed by outcomeRecorded(). A
/// not-run code releases the key.
struct RecordKeyOutcome final {
  RequestId m_Request;                ///< The request.
  RequestKey m_Key;                   ///< Request key.
  OwnerId m_Owner;                    ///< Owner of the key.
  AttemptId m_Attempt;                ///< Attempt that holds the key.
  ResultCode m_Code = ResultCode::Ok; ///< Result code that a resend gets.
  AnswerBody m_Body;                  ///< Answer; null if lost.
  std::optional<LogPoint> m_Point;    ///< Position of the commit.
  bool m_OfEndedSession =
      false;   ///< m_Attempt belongs to an ended session; the primary of m_Term
               ///< reported it as committed.
  Term m_Term; ///< Term in which the outcome was determined.
};

/// Ends an attempt at the primary of \p m_Term; completed by attemptEnded().
struct EndAttempt final {
  RequestId m_Request; ///< The request.
  ServerId m_Server;   ///< The current primary.
  Term m_Term;         ///< Term of the primary.
  AttemptId m_Attempt; ///< Attempt to end.
};

/// Looks up a session's point at its session homes; completed by
/// sessionPointFound().
struct FindSessionPoint final {
  RequestId m_Request;   ///< The request.
  SessionName m_Session; ///< The session.
};

/// Stores a session's point at its session homes; completed by
/// sessionPointStored() if m_Request is set.
struct StoreSessionPoint final {
  std::optional<RequestId>
      m_Request;         ///< Request that waits for the result, if any.
  SessionName m_Session; ///< The session.
  LogPoint m_Point;      ///< Log position to store.
  std::optional<RequestId>
      m_LookedUpBy; ///< Set if the session homes had no entry for the session
                    ///< at this request's FindSessionPoint: they store the
                    ///< point only if they still have none, see
                    ///< SessionHome::storeIfNotRemoved().
};

/// Starts monitoring a server's log position on a connection without a term,
/// which counts against the connection share.
struct StartPositionMonitor final {
  ServerId m_Server; ///< The server.
};

/// Stops monitoring a server's log position and closes the connection used for
/// it.
struct StopPositionMonitor final {
  ServerId m_Server; ///< The server.
};

/// Reports a suspected fault of a server to control.
struct ReportSuspicion final {
  ServerId m_Server; ///< The server.
  Term m_Term;       ///< Term of the view.
  SuspicionCause m_Cause = SuspicionCause::ConnectRefused; ///< Kind of fault.
};

/// Closes a caller's connection with an error because its transaction was
/// aborted.
struct CloseCaller final {
  CallerConnectionId m_Caller;        ///< The caller.
  ResultCode m_Code = ResultCode::Ok; ///< Result code of the error.
};

/// An action for the caller of GroupCore to execute, in order.
using GroupAction =
    std::variant<OpenConnection, CloseConnection, SendStatement,
                 CancelStatement, Answer, ReserveRequestKey, RecordKeyOutcome,
                 EndAttempt, FindSessionPoint, StoreSessionPoint,
                 StartPositionMonitor, StopPositionMonitor, ReportSuspicion,
                 CloseCaller>;

/// Actions in order of execution.
using GroupActions = std::vector<GroupAction>;

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_GROUPEVENTS_H
