#ifndef RAGWORTMUX_REQUEST_STATEMENT_H
#define RAGWORTMUX_REQUEST_STATEMENT_H

#include "ragwortmux/Core/StrongId.h"

#include <cstdint>
#include <string>

namespace ragwortmux {

/// Id that a caller gave one of its statements.
using StatementId = StrongId<struct StatementIdTag, std::string>;

/// What a statement of a stateful session does.
enum class StatementKind : std::uint8_t {
  Begin,      ///< Begins a transaction that may write.
  BeginRead,  ///< Begins a transaction that only reads.
  Commit,     ///< Commits the open transaction.
  Rollback,   ///< Rolls the open transaction back.
  Read,       ///< Reads data.
  Write,      ///< Writes data.
  Execute,    ///< Runs a prepared statement.
  SetValue,   ///< Sets a value of the session.
  Prepare,    ///< Prepares a statement under a name.
  Deallocate, ///< Removes a prepared statement.
};

/// One statement of a stateful session.
struct Statement final {
  StatementId m_Id;                           ///< Id that the caller gave it.
  StatementKind m_Kind = StatementKind::Read; ///< What it does.
  std::string m_Text;    ///< Text from the caller, forwarded unchanged.
  std::string m_Name;    ///< SetValue: the value's name. Prepare, Execute and
                         ///< Deallocate: the prepared statement's name.
  std::string m_Rest;    ///< SetValue: the value. Prepare: the definition.
                         ///< Execute: the arguments.
  bool m_Writes = false; ///< True for Write, and for Prepare and Execute of a
                         ///< statement that writes.
};

/// True if \p Kind begins a transaction.
inline bool isBegin(StatementKind Kind) {
  return Kind == StatementKind::Begin || Kind == StatementKind::BeginRead;
}

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_STATEMENT_H
