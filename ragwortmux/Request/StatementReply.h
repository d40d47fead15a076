#ifndef RAGWORTMUX_REQUEST_STATEMENTREPLY_H
#define RAGWORTMUX_REQUEST_STATEMENTREPLY_H

#include "ragwortmux/Request/GroupEvents.h"

#include <cstdint>
#include <optional>
#include <string>

namespace ragwortmux {

/// How a backend server dealt with a statement.
enum class StatementOutcome : std::uint8_t {
  Done,               ///< Ran; the answer is whole.
  Busy,               ///< Not run: all slots are taken.
  Behind,             ///< Not run: its log lacks the position asked for.
  NotPrimary,         ///< Not run: it is not the primary.
  UnknownStatement,   ///< Not run: no prepared statement of this name.
  WrongServer,        ///< Not run: another server listens at this address.
  TooManyConnections, ///< Not run: its connection limit is reached.
  Malformed,          ///< Not run: it did not understand the statement.
  ReplayFailed,       ///< Not known: a step of the session's replay failed, so
                      ///< the statement may have run with other values.
  Failed,             ///< Ran and failed.
  TimedOut,           ///< Ran and took too long for the server.
};

/// A backend server's whole reply to one statement.
struct StatementReply final {
  StatementOutcome m_Outcome = StatementOutcome::Done; ///< How it went.
  AnswerBody m_Body; ///< Done: rows and completion, as the server sent them.
  TransactionStatus m_Status = TransactionStatus::Idle; ///< Afterwards.
  std::optional<LogPoint> m_Point; ///< Position of the server's log.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_STATEMENTREPLY_H
