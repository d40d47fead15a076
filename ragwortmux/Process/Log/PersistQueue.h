#ifndef RAGWORTMUX_PROCESS_LOG_PERSISTQUEUE_H
#define RAGWORTMUX_PROCESS_LOG_PERSISTQUEUE_H

#include "ragwortmux/Process/Log/LogAction.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace ragwortmux {

/// Collects changes that must become durable, and delays messages until the
/// changes that they depend on are durable.
///
/// At most one PersistLog action is in progress at a time. Changes that arrive
/// meanwhile are collected for the next one (group commit).
class PersistQueue final {
public:
  /// All entries up to \p Durable are already on disk.
  explicit PersistQueue(LogIndex Durable) : m_Durable(Durable) {}

  /// Adds a change of term or vote.
  void updateHardState(const LogHardState &State);
  /// Adds an entry at the end of the log.
  void append(const LogEntry &Entry);
  /// Deletes the entries from \p From on.
  void truncateFrom(LogIndex From);
  /// Replaces the whole log by \p Snapshot.
  void replaceWith(std::shared_ptr<const LogSnapshot> Snapshot);
  /// Stores \p Snapshot and deletes entries up to \p CompactTo.
  void compact(std::shared_ptr<const LogSnapshot> Snapshot,
               const EntryId &CompactTo);

  /// Sends \p Envelope as soon as the hard state and the log up to the entry
  /// \p Needed are durable.
  void send(LogEnvelope Envelope, LogIndex Needed);
  /// Discards delayed replies to append requests, because the term of the
  /// leader that sent these requests has ended.
  void dropAppendReplies();

  /// Returns the next action for the disk; null if nothing is to be persisted
  /// or an action is still in progress.
  std::optional<PersistLog> takePersist();
  /// Returns the messages that can be sent now.
  std::vector<LogEnvelope> takeMessages();
  /// Records that the action \p Sequence is durable. False if it is not the
  /// action in progress.
  bool confirm(std::uint64_t Sequence);

  /// The last durable entry.
  LogIndex durable() const { return m_Durable; }
  /// True if the current term and vote are durable.
  bool isHardStateDurable() const;

private:
  /// A message that waits for an action to become durable.
  struct DelayedMessage final {
    std::uint64_t m_Sequence; ///< The action that it waits for.
    LogEnvelope m_Envelope;   ///< The message.
  };

  std::uint64_t requiredSequence(LogIndex Needed) const;
  PersistLog &pendingAction();

  std::uint64_t m_NextSequence = 1; ///< Number of the next action to be taken.
  std::uint64_t m_DurableSequence = 0; ///< Number of the newest durable action.
  std::optional<PersistLog> m_Pending; ///< Next action; null if no change.
  bool m_IsInFlight = false;           ///< True while an action is in progress.
  bool m_InFlightHasHardState = false; ///< That action changes term or vote.
  LogIndex m_InFlightLast; ///< Last entry that is durable after that action.
  LogIndex m_Durable;      ///< See durable().
  LogIndex m_PendingLast;  ///< Last entry that is durable after m_Pending.
  std::deque<DelayedMessage> m_DelayedMessages; ///< Delayed messages, in order.
  std::vector<LogEnvelope> m_ReadyMessages; ///< Messages that can be sent now.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_LOG_PERSISTQUEUE_H
