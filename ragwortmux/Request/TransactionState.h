#ifndef RAGWORTMUX_REQUEST_TRANSACTIONSTATE_H
#define RAGWORTMUX_REQUEST_TRANSACTIONSTATE_H

#include "ragwortmux/Request/GroupEvents.h"

#include <optional>

namespace ragwortmux {

/// A caller's open transaction. Its connection serves nobody else until it
/// ends.
struct TransactionState final {
  ConnectionId m_Connection; ///< Its backend connection.
  ServerId m_Server;         ///< Where it runs.
  Term m_Term;               ///< Term of the connection.
  TransactionStatus m_Status =
      TransactionStatus::InTransaction; ///< As of the last answer.
  Instant m_IdleSince;                  ///< When the last answer came.
  std::optional<RequestId> m_Running;   ///< The statement that runs.
  GroupRequest m_First; ///< The request that began it: entry, session, key.
  AttemptId m_Attempt;  ///< If m_First has a key.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_TRANSACTIONSTATE_H
