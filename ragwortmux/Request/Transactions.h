#ifndef RAGWORTMUX_REQUEST_TRANSACTIONS_H
#define RAGWORTMUX_REQUEST_TRANSACTIONS_H

#include "ragwortmux/Request/GroupEvents.h"

#include <optional>

namespace ragwortmux {

struct GroupContext;
struct RequestState;
struct TransactionState;

/// Callers' open transactions and the connections that they own.
class Transactions final {
public:
  explicit Transactions(GroupContext &Context) : m_Context(Context) {}

  /// Runs a request of a caller that has an open transaction.
  void submit(RequestState &State);
  /// Sends the request on its transaction's connection, or tries again after a
  /// pause.
  void trySend(RequestState &State);
  /// The statement of \p State was answered with \p Status: keeps, hands over
  /// or gives back the connection.
  void settleConnection(RequestState &State, TransactionStatus Status);
  /// Closes the transaction of \p Caller, which rolls it back. A caller that is
  /// still there gets its connection closed with \p Code.
  void kill(CallerConnectionId Caller, std::optional<ResultCode> Code);
  /// The connection of a transaction that waits for its caller broke.
  void connectionLost(ConnectionId Connection);
  /// Closes the open transactions of terms before the view's that wait for
  /// their callers: their COMMIT was never sent.
  void closeOldTerms();
  /// Closes transactions that have waited too long for their callers.
  void tick();
  std::optional<Instant> nextDeadline() const;

private:
  void begin(RequestState &State, ConnectionId Connection,
             TransactionStatus Status);

  GroupContext &m_Context; ///< The group.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_TRANSACTIONS_H
