#ifndef RAGWORTMUX_REQUEST_CALLERSESSION_H
#define RAGWORTMUX_REQUEST_CALLERSESSION_H

#include "ragwortmux/Connection/SessionState.h"
#include "ragwortmux/Core/ResultCode.h"
#include "ragwortmux/Request/Statement.h"
#include "ragwortmux/Request/StatementReply.h"
#include "ragwortmux/Version/LogPoint.h"

#include <memory>
#include <optional>

namespace ragwortmux {

/// A caller's session with state: what it holds between statements, and which
/// statements are answered without a backend server.
class CallerSession final {
public:
  CallerSession() : m_State(std::make_shared<SessionState>()) {}

  /// Answers \p Asked here, or returns nothing and leaves in \p Asked whether a
  /// prepared statement writes. A statement that a transaction's state does not
  /// allow is refused as not run.
  std::optional<ResultCode> answerLocally(Statement &Asked);

  /// A forwarded statement was answered with this status; \p Written is the
  /// primary's position if the statement made writes durable.
  void answered(TransactionStatus Status, const GroupId &Group,
                const std::optional<LogPoint> &Written);

  /// The state of the caller's transaction.
  TransactionStatus status() const { return m_Status; }
  /// A copy that later changes of the session do not touch.
  std::shared_ptr<const SessionState> state() const { return m_State; }
  /// The definition of the prepared statement \p Name, or null.
  const PreparedStatement *prepared(const std::string &Name) const;
  /// The position of the session's last write to \p Group, if any.
  std::optional<LogPoint> lastWrite(const GroupId &Group) const;

private:
  SessionState &changeState();

  std::shared_ptr<SessionState> m_State; ///< Shared with running statements.
  TransactionStatus m_Status = TransactionStatus::Idle; ///< See status().
  GroupId m_WrittenGroup;              ///< Where the last write went.
  std::optional<LogPoint> m_LastWrite; ///< Its position.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_CALLERSESSION_H
