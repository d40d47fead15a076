#ifndef RAGWORTMUX_REQUEST_REQUESTSTATE_H
#define RAGWORTMUX_REQUEST_REQUESTSTATE_H

#include "ragwortmux/Request/GroupEvents.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace ragwortmux {

/// SQLSTATE with which a server refuses the term of a connection; nothing was
/// run.
inline constexpr std::string_view TermRefusedState = "72000";
/// SQLSTATE with which a server refuses a statement because it has no free
/// slot; nothing was run.
inline constexpr std::string_view ServerFullState = "53300";

/// What a request waits for.
enum class RequestPhase : std::uint8_t {
  ReservingKey,  ///< The ledger's answer to the reservation.
  FindingPoint,  ///< The lookup of its session's point.
  Queued,        ///< A connection, or the end of a pause.
  Sent,          ///< The backend server's answer.
  EndingAttempt, ///< The primary's report on whether its attempt committed.
  Replicating,   ///< Replication of its commit.
  StoringPoint,  ///< Storage of its commit position at the session homes.
  Recording,     ///< Recording of its outcome in the ledger.
};

/// State of a request from its submission to its last effect.
struct RequestState final {
  GroupRequest m_Request;                      ///< As submitted.
  RequestPhase m_Phase = RequestPhase::Queued; ///< What it waits for.
  Instant m_Deadline;                          ///< Latest time for the answer.
  bool m_Answered =
      false; ///< The caller was answered or has disconnected; the request
             ///< remains only to resolve its key or connection.
  bool m_InTransaction = false; ///< Runs on the connection of its caller's
                                ///< open transaction.
  bool m_ClosesCaller = false; ///< Its transaction was aborted, so the caller's
                               ///< connection is closed after the answer.
  bool m_CountsWaiting = false; ///< Counted against its entry's queue.

  // Where it runs or ran last.
  std::optional<ConnectionId> m_Connection; ///< Connection on which it runs;
                                            ///< empty while it is not sent.
  ServerId m_Server;                        ///< Server it was last sent to.
  Term m_Term; ///< Term of that connection; for a commit that was found later,
               ///< the primary's term.
  Instant m_SentAt; ///< Time it was last sent.

  // Pauses and retries.
  Instant m_QueuedAt;               ///< When it was last queued.
  std::optional<Instant> m_RetryAt; ///< Earliest time for the next try.
  std::uint32_t m_Pauses = 0; ///< Number of pauses so far; each one is longer.
  ResultCode m_LastReason =
      ResultCode::NotRunDeadline; ///< Why it has not run so far.

  // Reads.
  bool m_IsSilenceHandled =
      false; ///< Its missing answer has been handled once.
  std::optional<LogPoint> m_Token; ///< Log position that the answer must cover.
  bool m_OnlyPrimary = false; ///< Only the primary may serve it, because its
                              ///< session's point is unknown.
  bool m_StoresFirstPoint =
      false; ///< The primary's answer provides the unknown session point.
  std::vector<ServerId> m_Avoid; ///< Servers that failed to serve it.

  // Keys.
  AttemptId m_Attempt;     ///< Attempt that runs or is being ended.
  bool m_Reserved = false; ///< The ledger has reserved the key for m_Attempt.
  bool m_OfEndedSession = false; ///< m_Attempt belongs to an ended session.
  bool m_AwaitsReply = false; ///< ReserveRequestKey or EndAttempt is under way.
  Term m_EndAttemptTerm;      ///< Term of the EndAttempt under way.

  // The answer of a write.
  ResultCode m_Code = ResultCode::Ok; ///< Result code for the caller.
  std::optional<BackendAnswer>
      m_Answer; ///< The backend server's answer, if there is one.
  std::optional<LogPoint> m_Commit; ///< Log position of its commit.
  bool m_PointStored = false;       ///< The session homes have stored m_Commit.
  bool m_OutcomeRecorded = false;   ///< The ledger has the outcome.
  bool m_WasRecorded = false; ///< The outcome came from the ledger, so neither
                              ///< lease nor replication needs to be checked.
};

/// True if requests of \p Class change data.
inline bool isWrite(TrafficClass Class) {
  return Class == TrafficClass::Booking || Class == TrafficClass::Write;
}

/// True if \p State is a write with an idempotency key.
inline bool isKeyed(const RequestState &State) {
  return State.m_Request.m_Key && isWrite(State.m_Request.m_Entry->m_Class);
}

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_REQUESTSTATE_H
