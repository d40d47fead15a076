#ifndef RAGWORTMUX_REQUEST_KEYEDREQUESTS_H
#define RAGWORTMUX_REQUEST_KEYEDREQUESTS_H

#include "ragwortmux/Request/GroupEvents.h"

#include <string>

namespace ragwortmux {

struct GroupContext;
struct RequestState;
struct TransactionState;

/// At most once for requests with a key: nothing is sent before a quorum holds
/// the reservation, and an attempt without an answer is ended at the current
/// primary, which tells whether it committed.
class KeyedRequests final {
public:
  explicit KeyedRequests(GroupContext &Context) : m_Context(Context) {}

  /// Reserves the request's key for a new attempt. \p Aborted: the attempt of
  /// an ended session that held the key until now.
  void reserve(RequestState &State, const std::optional<AttemptId> &Aborted);
  void reserved(RequestState &State, const ReserveResult &Result);
  /// Nobody waits any more for the reservation that is being made.
  void leaveReservation(RequestState &State);
  /// Asks the primary to end the request's attempt, as soon as there is one
  /// under the lease.
  void endAttempt(RequestState &State);
  void attemptEnded(RequestState &State, AttemptOutcome Outcome,
                    const std::optional<LogPoint> &Point);
  /// Frees the key of an attempt that was never sent or has aborted, after its
  /// caller has been told or has gone; then forgets the request.
  void giveBack(RequestState &State, ResultCode Code);
  /// Settles the key of a transaction that was closed from this side.
  void settleTransaction(const TransactionState &Transaction);
  /// The pause of the request is over.
  void wake(RequestState &State);

private:
  void refused(RequestState &State, ResultCode Code);
  void sendReservation(RequestState &State,
                       const std::optional<AttemptId> &Aborted);
  void pause(RequestState &State, ResultCode Reason);
  bool isLeftOver(const AttemptId &Attempt) const;
  std::string attemptPrefix() const;
  void recorded(RequestState &State, const ReserveResult &Result);
  void aborted(RequestState &State);

  GroupContext &m_Context; ///< The group.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_KEYEDREQUESTS_H
