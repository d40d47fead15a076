#ifndef RAGWORTMUX_PROCESS_LOG_LOGACTION_H
#define RAGWORTMUX_PROCESS_LOG_LOGACTION_H

#include "ragwortmux/Process/Log/LogMessage.h"

#include <memory>
#include <optional>
#include <variant>
#include <vector>

/// \file
/// What ReplicatedLog asks its shell to do. Actions are done in order.

namespace ragwortmux {

/// Send a message; it may be dropped if the receiver cannot be reached.
struct SendMessage final {
  LogEnvelope m_Envelope; ///< The message and its two ends.
};

/// Make these changes durable, in the order of the members, then call
/// ReplicatedLog::persisted with m_Sequence; on failure persistFailed. There is
/// at most one at a time that is not confirmed.
struct PersistLog final {
  std::uint64_t m_Sequence = 0;                  ///< Number of this action.
  std::optional<LogHardState> m_HardState;       ///< New term and vote.
  std::shared_ptr<const LogSnapshot> m_Snapshot; ///< New snapshot, or null.
  bool m_ReplaceLog = false; ///< True: the log before this action is void;
                             ///< it goes on after m_Snapshot.
  std::optional<LogIndex> m_TruncateFrom; ///< Entries from here on are void.
  std::vector<LogEntry> m_Append; ///< Entries to add; the first has the index
                                  ///< after the last one left.
  std::optional<EntryId> m_CompactTo; ///< Entries up to this one may be
                                      ///< deleted, the snapshot covers them.
};

/// Apply committed entries, in order, to the user's state. Entries that are not
/// of kind Payload change nothing there.
struct ApplyEntries final {
  std::vector<LogEntry> m_Entries; ///< Contiguous after all applied earlier.
};

/// Replace the user's state.
struct RestoreSnapshot final {
  std::shared_ptr<const LogSnapshot> m_Snapshot; ///< Never null.
};

/// This member leads from now on. Its state is complete only once the no-op
/// entry of the term is applied; LeaderReady says so.
struct BecameLeader final {
  LogTerm m_Term; ///< The term led.
};

/// This leader has applied everything that earlier terms committed.
struct LeaderReady final {
  LogTerm m_Term; ///< The term led.
};

/// This member no longer leads. Proposals not yet applied may still commit.
struct LostLeadership final {
  LogTerm m_Term; ///< The term that was led.
};

/// This member was still the leader at a moment after confirmLeadership was
/// called, and had applied everything committed before that call.
struct LeadershipConfirmed final {
  ConfirmationToken m_Token; ///< As given to confirmLeadership.
};

/// Leadership was lost before it could be confirmed.
struct ConfirmationDropped final {
  ConfirmationToken m_Token; ///< As given to confirmLeadership.
};

/// What became of a proposal that this member did not apply.
enum class ProposalFate : std::uint8_t {
  NotCommitted = 0, ///< Another entry is committed at its index; it never runs.
  Unknown = 1,      ///< A snapshot covers its index; look into the state.
};

/// A proposal of this member will not be applied here as such.
struct ProposalDropped final {
  EntryId m_Id;                                     ///< As returned by propose.
  ProposalFate m_Fate = ProposalFate::NotCommitted; ///< What became of it.
};

/// Any action.
using LogAction =
    std::variant<SendMessage, PersistLog, ApplyEntries, RestoreSnapshot,
                 BecameLeader, LeaderReady, LostLeadership, LeadershipConfirmed,
                 ConfirmationDropped, ProposalDropped>;

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_LOG_LOGACTION_H
