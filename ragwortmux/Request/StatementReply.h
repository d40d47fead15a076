#ifndef RAGWORTMUX_REQUEST_STATEMENTREPLY_H
#define RAGWORTMUX_REQUEST_STATEMENTREPLY_H

#include "ragwortmux/Request/GroupEvents.h"

#include <cstdint>
#include <optional>
#include <string>

namespace ragwortmux {

/// Outcome of a statement on a backend server.
enum class StatementOutcome : std::uint8_t {
  Done,               ///< Ran; the answer is complete.
  Busy,               ///< Not run: all slots are taken.
  Behind,             ///< Not run: its log lacks the required position.
  NotPrimary,         ///< Not run: it is not the primary.
  UnknownStatement,   ///< Not run: no prepared statement of this name.
  WrongServer,        ///< Not run: another server listens at this address.
  TooManyConnections, ///< Not run: its connection limit is reached.
  Malformed,          ///< Not run: the server could not parse the statement.
  SetUpFailed,        ///< Not run: a step of the set-up failed, so the session
                      ///< state of the connection is unknown.
  Failed,             ///< Ran and failed.
  TimedOut,           ///< Ran and exceeded the server's time limit.
};

/// True if the server has run the statement.
inline bool hasRun(StatementOutcome Outcome) {
  return Outcome == StatementOutcome::Done ||
         Outcome == StatementOutcome::Failed ||
         Outcome == StatementOutcome::TimedOut;
}

/// Complete reply of a backend server to one statement.
struct StatementReply final {
  StatementOutcome m_Outcome =
      StatementOutcome::Done; ///< Outcome of the statement.
  AnswerBody m_Body; ///< For Done: rows and completion message, as the server
                     ///< sent them.
  TransactionStatus m_Status =
      TransactionStatus::Idle;     ///< Transaction status after the statement.
  std::optional<LogPoint> m_Point; ///< Position of the server's log.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_STATEMENTREPLY_H
