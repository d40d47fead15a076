#ifndef RAGWORTMUX_REQUEST_CALLERSESSION_H
#define RAGWORTMUX_REQUEST_CALLERSESSION_H

#include "ragwortmux/Connection/SessionState.h"
#include "ragwortmux/Core/ResultCode.h"
#include "ragwortmux/Request/Statement.h"
#include "ragwortmux/Request/StatementReply.h"
#include "ragwortmux/Version/LogPoint.h"

#include <cstddef>
#include <map>
#include <memory>
#include <optional>

namespace ragwortmux {

/// A caller's stateful session: its state between statements, and the
/// statements that need no backend server.
class CallerSession final {
public:
  CallerSession() : m_State(std::make_shared<SessionState>()) {}

  /// Returns the result if \p Submitted needs no backend server, otherwise
  /// nothing; for an Execute it then sets in \p Submitted whether the prepared
  /// statement writes. A statement that the transaction status does not allow
  /// is refused as not run.
  std::optional<ResultCode> answerLocally(Statement &Submitted);

  /// Handles the answer to a forwarded statement; \p Written is the primary's
  /// log position if the statement made writes durable.
  void answered(TransactionStatus Status, const GroupId &Group,
                const std::optional<LogPoint> &Written);

  /// Status of the caller's transaction.
  TransactionStatus status() const { return m_Status; }
  /// Snapshot that later changes of the session do not affect.
  std::shared_ptr<const SessionState> state() const { return m_State; }
  /// Bytes of the session's values and prepared statements.
  std::size_t stateBytes() const { return m_StateBytes; }
  /// The definition of the prepared statement \p Name, or null.
  const PreparedStatement *prepared(const std::string &Name) const;
  /// The position of the session's last acknowledged write to \p Group, if any;
  /// kept for every group, because an entry may move to another group and back.
  std::optional<LogPoint> lastWrite(const GroupId &Group) const;

private:
  SessionState &mutableState();
  bool forgetPrepared(const std::string &Name);

  std::shared_ptr<SessionState> m_State; ///< Shared with running statements.
  std::size_t m_StateBytes = 0;          ///< See stateBytes().
  TransactionStatus m_Status = TransactionStatus::Idle; ///< See status().
  std::map<GroupId, LogPoint>
      m_LastWrites; ///< See lastWrite(); one for each group written to.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_CALLERSESSION_H
