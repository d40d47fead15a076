#ifndef RAGWORTMUX_PROCESS_LOG_LOGMESSAGE_H
#define RAGWORTMUX_PROCESS_LOG_LOGMESSAGE_H

#include "ragwortmux/Process/Log/LogEntry.h"

#include <variant>

/// \file
/// The messages that members of the replicated log send each other. They may
/// be lost, repeated and reordered.

namespace ragwortmux {

/// Asks for a vote, or whether a vote would be granted.
struct VoteRequest final {
  LogTerm m_Term;          ///< The term to lead; for a pre-vote the one that
                           ///< the sender would enter.
  bool m_PreVote = false;  ///< True: only asks, binds nobody.
  bool m_Transfer = false; ///< True: the leader asked the sender to take over,
                           ///< so that voters need not wait for its time-out.
  EntryId m_Last;          ///< Last entry of the sender's log.
};

/// Answers a VoteRequest.
struct VoteReply final {
  LogTerm m_Term;         ///< If granted the term asked for, else the sender's.
  bool m_PreVote = false; ///< As in the request.
  bool m_Granted = false; ///< True if the vote is, or would be, granted.
};

/// Brings entries; without entries a heartbeat.
struct AppendRequest final {
  LogTerm m_Term;                  ///< The leader's term.
  EntryId m_Previous;              ///< Entry before the first of m_Entries.
  std::vector<LogEntry> m_Entries; ///< Contiguous, after m_Previous.
  LogIndex m_Commit;               ///< The leader's commit index.
  std::uint64_t m_Round = 0;       ///< Heartbeat round, echoed by the answer.
};

/// Brings the whole state to a member that lags behind the leader's log.
struct SnapshotRequest final {
  LogTerm m_Term;            ///< The leader's term.
  LogSnapshot m_Snapshot;    ///< The state with its last entry and members.
  std::uint64_t m_Round = 0; ///< Heartbeat round, echoed by the answer.
};

/// Answers an AppendRequest or a SnapshotRequest.
struct AppendReply final {
  LogTerm m_Term;            ///< The sender's term.
  bool m_Accepted = false;   ///< False: m_Previous is not in the sender's log,
                             ///< or the request's term is over.
  LogIndex m_Match;          ///< If accepted: the sender's log is durable and
                             ///< equal to the leader's up to here.
  LogIndex m_Rejected;       ///< If refused: the index of m_Previous.
  LogIndex m_Hint;           ///< If refused: the leader should try from the
                             ///< entry after this one.
  std::uint64_t m_Round = 0; ///< As in the request.
};

/// Tells a voter to start an election at once: the leader hands over.
struct TimeoutNowRequest final {
  LogTerm m_Term; ///< The leader's term.
};

/// Any message between members.
using LogMessage =
    std::variant<VoteRequest, VoteReply, AppendRequest, SnapshotRequest,
                 AppendReply, TimeoutNowRequest>;

/// A message with its two ends. Both ids travel with it: a host whose data
/// folder is a new one must not answer for the lost one.
struct LogEnvelope final {
  VoterId m_From;       ///< Sender.
  VoterId m_To;         ///< Receiver; anyone else ignores the message.
  LogMessage m_Message; ///< The message.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_LOG_LOGMESSAGE_H
