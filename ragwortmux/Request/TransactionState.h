#ifndef RAGWORTMUX_REQUEST_TRANSACTIONSTATE_H
#define RAGWORTMUX_REQUEST_TRANSACTIONSTATE_H

#include "ragwortmux/Request/GroupEvents.h"

#include <optional>

namespace ragwortmux {

/// A caller's open transaction. Its connection serves no other caller until it
/// ends.
struct TransactionState final {
  ConnectionId m_Connection; ///< Backend connection.
  ServerId m_Server;         ///< Server on which it runs.
  Term m_Term;               ///< Term of the connection.
  TransactionStatus m_Status =
      TransactionStatus::InTransaction; ///< Status reported by the last answer.
  Instant m_IdleSince;                  ///< Time of the last answer.
  std::optional<RequestId> m_Running; ///< Request whose statement runs, if any.
  GroupRequest m_FirstRequest; ///< Request that began it; provides entry,
                               ///< session and key.
  AttemptId
      m_Attempt; ///< Attempt of the key; empty if m_FirstRequest has none.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_TRANSACTIONSTATE_H
