#ifndef RAGWORTMUX_REQUEST_KEYEDREQUESTS_H
#define RAGWORTMUX_REQUEST_KEYEDREQUESTS_H

#include "ragwortmux/Request/GroupEvents.h"

#include <string>

namespace ragwortmux {

struct GroupContext;
struct RequestState;
struct TransactionState;

/// Runs requests with a key at most once: nothing is sent before a quorum has
/// stored the reservation, and an attempt without an answer is ended at the
/// current primary, which reports whether it committed.
class KeyedRequests final {
public:
  explicit KeyedRequests(GroupContext &Context) : m_Context(Context) {}

  /// Reserves the request's key for a new attempt. \p Aborted is the attempt of
  /// an ended session that held the key until now.
  void reserve(RequestState &State, const std::optional<AttemptId> &Aborted);
  void reserved(RequestState &State, const ReserveResult &Result);
  /// Handles that no caller waits for the pending reservation any more.
  void abandonReservation(RequestState &State);
  /// Ends the request's attempt at the primary as soon as there is one under
  /// the lease.
  void endAttempt(RequestState &State);
  void attemptEnded(RequestState &State, AttemptOutcome Outcome,
                    const std::optional<LogPoint> &Point);
  /// Releases the key of an attempt that was never sent or has aborted, after
  /// its caller was answered or has disconnected; then erases the request.
  void releaseKey(RequestState &State, ResultCode Code);
  /// Resolves the key of a transaction that this proxy aborted.
  void resolveTransaction(const TransactionState &Transaction);
  /// Handles the end of the request's pause.
  void handleTimer(RequestState &State);

private:
  void handleRefusal(RequestState &State, ResultCode Code);
  void sendReservation(RequestState &State,
                       const std::optional<AttemptId> &Aborted);
  void pause(RequestState &State, ResultCode Reason);
  bool isOrphaned(const AttemptId &Attempt) const;
  std::string attemptPrefix() const;
  void useRecordedOutcome(RequestState &State, const ReserveResult &Result);
  void handleAbort(RequestState &State);

  GroupContext &m_Context; ///< The group.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_KEYEDREQUESTS_H
