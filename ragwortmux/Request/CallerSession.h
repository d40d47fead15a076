#ifndef RAGWORTMUX_REQUEST_CALLERSESSION_H
#define RAGWORTMUX_REQUEST_CALLERSESSION_H

#include "ragwortmux/Connection/SessionState.h"
#include "ragwortmux/Core/ResultCode.h"
#include "ragwortmux/Request/GroupEvents.h"
#include "ragwortmux/Request/LastWrite.h"
#include "ragwortmux/Request/Statement.h"

#include <cstddef>
#include <map>
#include <memory>
#include <optional>

namespace ragwortmux {

struct SessionAnswer;

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

  /// Handles the answer to the statement that answerLocally() did not answer.
  void answered(const SessionAnswer &Answer);
  /// The open transaction, if any, has been rolled back.
  void rolledBack() { m_Status = TransactionStatus::Idle; }

  /// Status of the caller's transaction.
  TransactionStatus status() const { return m_Status; }
  /// Snapshot that later changes of the session do not affect.
  std::shared_ptr<const SessionState> state() const { return m_State; }
  /// Bytes of the session's values and prepared statements.
  std::size_t stateBytes() const { return m_StateBytes; }
  /// The definition of the prepared statement \p Name, or null.
  const PreparedStatement *prepared(const std::string &Name) const;
  /// The session's last write to \p Group; kept for every group, because an
  /// entry may move to another group and back.
  LastWrite lastWrite(const GroupId &Group) const;

private:
  std::optional<ResultCode> localResult(Statement &Submitted);
  SessionState &mutableState();
  bool forgetPrepared(const std::string &Name);

  std::shared_ptr<SessionState> m_State; ///< Shared with running statements.
  std::size_t m_StateBytes = 0;          ///< See stateBytes().
  TransactionStatus m_Status = TransactionStatus::Idle; ///< See status().
  bool m_MayCommit =
      false; ///< The statement under way may make writes durable.
  std::map<GroupId, LastWrite>
      m_LastWrites; ///< See lastWrite(); one for each group written to.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_CALLERSESSION_H
