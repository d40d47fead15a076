#ifndef RAGWORTMUX_REQUEST_WRITEREQUESTS_H
#define RAGWORTMUX_REQUEST_WRITEREQUESTS_H

#include "ragwortmux/Request/GroupEvents.h"

namespace ragwortmux {

struct GroupContext;
struct RequestState;

/// What happens to a write from the backend's answer to the caller's.
class WriteRequests final {
public:
  explicit WriteRequests(GroupContext &Context) : m_Context(Context) {}

  /// Takes a new write.
  void start(RequestState &State);
  void answered(RequestState &State, BackendAnswer Result);
  /// The connection is gone and no answer will come.
  void lost(RequestState &State);
  /// The term of a sent or committed write has ended.
  void termEnded(RequestState &State);
  /// Takes the next step towards the answer: applied where it has to be, point
  /// stored, outcome recorded, acknowledged.
  void advance(RequestState &State);
  /// Ends a request whose transaction cannot go on: tells \p Code, closes the
  /// transaction, settles its key.
  void giveUpTransaction(RequestState &State, ResultCode Code);
  /// Goes on with every commit that is applied everywhere by now.
  void checkReplicating();
  void pointStored(RequestState &State, bool Stored);
  /// Records the outcome in the ledger, again and again if it cannot take it.
  void record(RequestState &State);
  /// Sends the outcome to the ledger once.
  void sendRecord(const RequestState &State);
  /// The ledger has the outcome, or could not take it.
  void outcomeRecorded(RequestState &State, bool Recorded);
  /// The caller is gone; what was sent is settled without it.
  void callerGone(RequestState &State);
  /// The caller's wait is over.
  void expired(RequestState &State);
  /// A pause or a bounded wait of the request is over.
  void wake(RequestState &State);

private:
  bool refusedUnrun(RequestState &State, const BackendAnswer &Result);
  void retryUnrun(RequestState &State, ResultCode Reason);
  bool mayBeAcknowledged(const RequestState &State) const;
  void storePoint(RequestState &State);
  void pauseRecording(RequestState &State);
  void goOnUnrecorded(RequestState &State);
  void acknowledge(RequestState &State);
  void tellAcknowledged(RequestState &State);
  void expiredRecording(RequestState &State);
  void expiredUnsent(RequestState &State);

  GroupContext &m_Context; ///< The group.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_WRITEREQUESTS_H
