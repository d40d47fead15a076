#ifndef RAGWORTMUX_REQUEST_TRANSACTIONS_H
#define RAGWORTMUX_REQUEST_TRANSACTIONS_H

#include "ragwortmux/Request/GroupEvents.h"

#include <optional>

namespace ragwortmux {

struct GroupContext;
struct RequestState;
struct TransactionState;

/// Manages the callers' open transactions and the connections they occupy.
class Transactions final {
public:
  explicit Transactions(GroupContext &Context) : m_Context(Context) {}

  /// Runs a request of a caller that has an open transaction.
  void submit(RequestState &State);
  /// Sends the request on its transaction's connection, or retries after a
  /// pause.
  void trySend(RequestState &State);
  /// Ends the statement of \p State, which was answered with \p Status. The
  /// connection stays with the open transaction, returns to the pool if none is
  /// open, or is closed if no caller is left for the transaction.
  void completeStatement(RequestState &State, TransactionStatus Status);
  /// Aborts the transaction of \p Caller by closing its backend connection. If
  /// \p Code is set, the caller's connection is closed with it.
  void abort(CallerConnectionId Caller, std::optional<ResultCode> Code);
  /// Handles the loss of a transaction's connection between two statements.
  void connectionLost(ConnectionId Connection);
  /// Aborts write transactions of earlier terms that have no statement under
  /// way; their COMMIT was never sent.
  void abortPreviousTerms();
  /// Aborts transactions whose idle limit has expired.
  void tick();
  std::optional<Instant> nextDeadline() const;

private:
  void begin(RequestState &State, ConnectionId Connection,
             TransactionStatus Status);

  GroupContext &m_Context; ///< The group.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_TRANSACTIONS_H
