#ifndef RAGWORTMUX_PROCESS_LOG_LOGACTION_H
#define RAGWORTMUX_PROCESS_LOG_LOGACTION_H

#include "ragwortmux/Core/Time.h"
#include "ragwortmux/Process/Log/LogMessage.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

/// \file
/// Actions that ReplicatedLog returns to its owner, to be performed in order.

namespace ragwortmux {

/// Send a message; it may be dropped if the receiver is unreachable.
struct SendMessage final {
  LogEnvelope m_Envelope; ///< The message with its sender and receiver.
};

/// Make these changes durable, in the order of the data members, then call
/// ReplicatedLog::persisted with m_Sequence, or persistFailed on failure. At
/// most one such action is unconfirmed at a time.
struct PersistLog final {
  std::uint64_t m_Sequence = 0;                  ///< Number of this action.
  std::optional<LogHardState> m_HardState;       ///< New term and vote.
  std::shared_ptr<const LogSnapshot> m_Snapshot; ///< New snapshot, or null.
  bool m_ReplaceLog = false; ///< True: delete the whole log; it continues
                             ///< after m_Snapshot.
  std::optional<LogIndex> m_TruncateFrom; ///< Delete the entries from here on.
  std::vector<LogEntry> m_Append; ///< Entries to append; the first one follows
                                  ///< the last remaining entry.
  std::optional<EntryId> m_CompactTo; ///< Entries up to this one can be
                                      ///< deleted: the snapshot covers them.
};

/// Apply committed entries, in order, to the user's state. Only entries of kind
/// Payload affect this state.
struct ApplyEntries final {
  std::vector<LogEntry> m_Entries; ///< Contiguous with earlier actions.
};

/// Replace the user's state by the state in a snapshot.
struct RestoreSnapshot final {
  std::shared_ptr<const LogSnapshot> m_Snapshot; ///< Never null.
};

/// This member has become the leader. Its state is complete only once the no-op
/// entry of the term is applied; LeaderReady reports this.
struct BecameLeader final {
  LogTerm m_Term; ///< The new leader's term.
};

/// This leader has applied all entries that were committed in earlier terms.
struct LeaderReady final {
  LogTerm m_Term; ///< The leader's term.
};

/// Why a member is no longer the leader.
enum class LeadershipLoss : std::uint8_t {
  QuorumSilent = 0,  ///< No quorum answered a heartbeat round in time.
  HigherTerm = 1,    ///< A message of a higher term arrived.
  Removed = 2,       ///< This member is no longer a voter.
  PersistFailed = 3, ///< The log could not be written.
};

/// Name of \p Reason in logs.
std::string_view leadershipLossName(LeadershipLoss Reason);

/// This member is no longer the leader. Proposals that are not yet applied may
/// still be committed.
struct LostLeadership final {
  LogTerm m_Term; ///< The term in which it was the leader.
  LeadershipLoss m_Reason = LeadershipLoss::QuorumSilent; ///< The reason.
  Instant m_QuorumContactAt{}; ///< Start of the newest heartbeat round that a
                               ///< quorum answered.
};

/// This member was still the leader at some time after the call of
/// confirmLeadership, and has applied all entries committed before that call.
struct LeadershipConfirmed final {
  ConfirmationToken m_Token; ///< As passed to confirmLeadership.
};

/// Leadership was lost before it could be confirmed.
struct ConfirmationDropped final {
  ConfirmationToken m_Token; ///< As passed to confirmLeadership.
};

/// Outcome of a proposal that this member did not apply.
enum class ProposalOutcome : std::uint8_t {
  NotCommitted = 0, ///< Another entry is committed at its index: it will never
                    ///< be applied.
  Unknown = 1, ///< A snapshot covers its index: it may be part of the state.
};

/// A proposal of this member will not be returned in ApplyEntries.
struct ProposalDropped final {
  EntryId m_Id; ///< Id returned for the proposal.
  ProposalOutcome m_Outcome = ProposalOutcome::NotCommitted; ///< Its outcome.
};

/// Any action.
using LogAction =
    std::variant<SendMessage, PersistLog, ApplyEntries, RestoreSnapshot,
                 BecameLeader, LeaderReady, LostLeadership, LeadershipConfirmed,
                 ConfirmationDropped, ProposalDropped>;

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_LOG_LOGACTION_H
