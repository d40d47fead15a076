#ifndef RAGWORTMUX_PROCESS_LOG_LOGMESSAGE_H
#define RAGWORTMUX_PROCESS_LOG_LOGMESSAGE_H

#include "ragwortmux/Process/Log/LogEntry.h"

#include <variant>

/// \file
/// Messages between the members of the replicated log. They may be lost,
/// duplicated and reordered.

namespace ragwortmux {

/// Requests a vote or a pre-vote.
struct VoteRequest final {
  LogTerm m_Term; ///< The term of the election; for a pre-vote the term
                  ///< that the sender would enter.
  bool m_IsPreVote = false;  ///< True: only asks whether the vote would be
                             ///< granted; the receiver's term and vote stay.
  bool m_IsTransfer = false; ///< True: the leader has transferred its
                             ///< leadership to the sender, so voters do not
                             ///< wait for the election timeout.
  EntryId m_Last;            ///< Last entry of the sender's log.
};

/// Reply to a VoteRequest.
struct VoteReply final {
  LogTerm m_Term; ///< Granted: the requested term; else the sender's term.
  bool m_IsPreVote = false; ///< As in the request.
  bool m_Granted = false;   ///< True if the vote or pre-vote is granted.
};

/// Transfers entries; without entries a heartbeat.
struct AppendRequest final {
  LogTerm m_Term;                  ///< The leader's term.
  EntryId m_Previous;              ///< The entry before m_Entries.
  std::vector<LogEntry> m_Entries; ///< Contiguous, after m_Previous.
  LogIndex m_CommitIndex;          ///< The leader's commit index.
  std::uint64_t m_Round = 0;       ///< Heartbeat round, returned in the reply.
};

/// Transfers the whole state to a member that needs entries that the leader has
/// compacted.
struct SnapshotRequest final {
  LogTerm m_Term;            ///< The leader's term.
  LogSnapshot m_Snapshot;    ///< The snapshot.
  std::uint64_t m_Round = 0; ///< Heartbeat round, returned in the reply.
};

/// Reply to an AppendRequest or a SnapshotRequest.
struct AppendReply final {
  LogTerm m_Term;          ///< The sender's term.
  bool m_Accepted = false; ///< False: m_Previous is not in the sender's log,
                           ///< or the term of the request has ended.
  LogIndex m_MatchIndex;   ///< Accepted: up to here the sender's log is durable
                           ///< and equal to the leader's.
  LogIndex m_RejectedIndex;  ///< Rejected: the index of m_Previous.
  LogIndex m_HintIndex;      ///< Rejected: the leader should continue with the
                             ///< entry after this one.
  std::uint64_t m_Round = 0; ///< As in the request.
};

/// Requests that a voter starts an election at once, to transfer leadership.
struct TimeoutNowRequest final {
  LogTerm m_Term; ///< The leader's term.
};

/// Any message between members.
using LogMessage =
    std::variant<VoteRequest, VoteReply, AppendRequest, SnapshotRequest,
                 AppendReply, TimeoutNowRequest>;

/// A message with its sender and receiver. Both are voter ids, not addresses: a
/// host with a new data folder must not receive messages for the lost one.
struct LogEnvelope final {
  VoterId m_From;       ///< Sender.
  VoterId m_To;         ///< Receiver; all other members ignore the message.
  LogMessage m_Message; ///< The message.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_LOG_LOGMESSAGE_H
