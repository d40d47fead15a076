#ifndef RAGWORTMUX_REQUEST_REQUESTSTATE_H
#define RAGWORTMUX_REQUEST_REQUESTSTATE_H

#include "ragwortmux/Request/GroupEvents.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace ragwortmux {

/// SQLSTATE of a server that refuses a connection's term before it runs
/// anything.
inline constexpr std::string_view TermRefusedState = "72000";
/// SQLSTATE of a server without a free slot, before it runs anything.
inline constexpr std::string_view ServerFullState = "53300";

/// What a request waits for.
enum class RequestPhase : std::uint8_t {
  ReservingKey,  ///< The ledger's answer.
  FindingPoint,  ///< The point of its session.
  Queued,        ///< A connection, or the end of a pause.
  Sent,          ///< The backend's answer.
  EndingAttempt, ///< The primary's word on whether an attempt committed.
  Replicating,   ///< Its commit to be applied where it has to be.
  StoringPoint,  ///< Its commit position to be kept at the session's homes.
  Recording,     ///< Its outcome to be kept in the ledger.
};

/// A request between submit and its last effect.
struct RequestState final {
  GroupRequest m_Request;                      ///< As submitted.
  RequestPhase m_Phase = RequestPhase::Queued; ///< What it waits for.
  Instant m_Deadline;                          ///< End of the caller's wait.
  bool m_Answered = false;      ///< The caller has its answer or is gone; the
                                ///< request only settles its key or connection.
  bool m_InTransaction = false; ///< Runs on the connection of its caller's
                                ///< open transaction.
  bool m_ClosesCaller = false;  ///< Its transaction is gone, so the caller's
                                ///< connection is closed after the answer.
  bool m_CountsWaiting = false; ///< Counted against its entry's queue.

  // Where it runs.
  std::optional<ConnectionId> m_Connection; ///< While it is sent.
  ServerId m_Server;                        ///< Where it was sent last.
  Term m_Term;                              ///< In which term.
  Instant m_SentAt;                         ///< When.

  // Pauses and retries.
  Instant m_QueuedAt;               ///< When it began to wait for a server.
  std::optional<Instant> m_RetryAt; ///< Nothing is tried before.
  std::uint32_t m_Pauses = 0;       ///< Pauses so far; each is longer.
  ResultCode m_LastReason =
      ResultCode::NotRunDeadline; ///< Why it has not run so far.

  // Reads.
  bool m_WasSilent = false; ///< It was retried for want of an answer once.
  std::optional<LogPoint> m_Token; ///< What the answer must cover.
  bool m_OnlyPrimary = false;      ///< Its session's point is not known.
  bool m_Establish = false;        ///< The answer may make it known.
  std::vector<ServerId> m_Avoid;   ///< Servers that failed it.

  // Keys.
  AttemptId m_Attempt;           ///< The attempt that runs or is ended.
  bool m_Reserved = false;       ///< The ledger confirmed m_Attempt.
  bool m_OfEndedSession = false; ///< m_Attempt is another session's.
  bool m_AwaitsReply = false; ///< ReserveRequestKey or EndAttempt is under way.
  Term m_AskedTerm;           ///< Term of the EndAttempt under way.

  // The answer of a write.
  ResultCode m_Code = ResultCode::Ok;    ///< What the caller will be told.
  std::optional<BackendAnswer> m_Answer; ///< The backend's answer, if kept.
  std::optional<LogPoint> m_Commit;      ///< Where its commit is.
  bool m_PointStored = false;            ///< Its session's homes keep m_Commit.
  bool m_OutcomeRecorded = false; ///< The ledger has the outcome, or took too
                                  ///< long.
  bool m_WasRecorded = false; ///< The outcome came from the ledger, so neither
                              ///< lease nor replication is in question.
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
