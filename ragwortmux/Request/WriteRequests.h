#ifndef RAGWORTMUX_REQUEST_WRITEREQUESTS_H
#define RAGWORTMUX_REQUEST_WRITEREQUESTS_H

#include "ragwortmux/Request/GroupEvents.h"

namespace ragwortmux {

struct GroupContext;
struct RequestState;

/// Handles writes: retries, replication, session points, ledger records and
/// acknowledgement.
class WriteRequests final {
public:
  explicit WriteRequests(GroupContext &Context) : m_Context(Context) {}

  /// Starts a new write.
  void start(RequestState &State);
  void handleAnswer(RequestState &State, BackendAnswer Result);
  /// Handles the loss of the connection: no answer will arrive.
  void handleLostAnswer(RequestState &State);
  /// Handles the end of the term of a sent or committed write.
  void handleTermEnd(RequestState &State);
  /// Takes the next step towards the acknowledgement: replicated, session point
  /// stored, outcome recorded, acknowledged.
  void advance(RequestState &State);
  /// Ends a request whose transaction cannot continue: answers with \p Code,
  /// aborts the transaction and resolves its key.
  void abandonTransaction(RequestState &State, ResultCode Code);
  /// Advances every commit that is replicated by now.
  void checkReplicating();
  void pointStored(RequestState &State, bool Stored);
  /// Records the outcome in the ledger, with retries while the ledger is
  /// unavailable.
  void record(RequestState &State);
  /// Sends the outcome to the ledger once.
  void sendRecord(const RequestState &State);
  /// Handles the ledger's answer; \p Recorded is false if the outcome was not
  /// recorded.
  void outcomeRecorded(RequestState &State, bool Recorded);
  /// Tries a request again after a pause; \p Reason says why it has not run.
  void retryRefused(RequestState &State, ResultCode Reason);
  /// Handles that the caller has disconnected: a sent statement is completed
  /// without it.
  void callerDisconnected(RequestState &State);
  /// Handles the deadline of the request.
  void handleDeadline(RequestState &State);
  /// Handles the end of a pause or of a bounded wait of the request.
  void handleTimer(RequestState &State);

private:
  bool retryIfRefused(RequestState &State, const BackendAnswer &Result);
  bool canBeAcknowledged(const RequestState &State) const;
  void storePoint(RequestState &State);
  void scheduleRecordRetry(RequestState &State);
  void acknowledgeUnrecorded(RequestState &State);
  void acknowledge(RequestState &State);
  void sendAcknowledgement(RequestState &State);
  void handleDeadlineWhileRecording(RequestState &State);
  void handleDeadlineBeforeSend(RequestState &State);

  GroupContext &m_Context; ///< The group.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_WRITEREQUESTS_H
