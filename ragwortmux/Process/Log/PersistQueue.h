#ifndef RAGWORTMUX_PROCESS_LOG_PERSISTQUEUE_H
#define RAGWORTMUX_PROCESS_LOG_PERSISTQUEUE_H

#include "ragwortmux/Process/Log/LogAction.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace ragwortmux {

/// Gathers changes to be made durable and holds back the messages that rely on
/// them.
///
/// At most one PersistLog is out at a time; what comes in meanwhile is gathered
/// for the next one (group commit).
class PersistQueue final {
public:
  /// Everything up to \p Durable is on disk already.
  explicit PersistQueue(LogIndex Durable) : m_Durable(Durable) {}

  /// Term or vote have changed.
  void hardState(const LogHardState &State);
  /// An entry was added.
  void append(const LogEntry &Entry);
  /// Entries from \p From on are void.
  void truncateFrom(LogIndex From);
  /// The log is replaced by \p Snapshot.
  void replaceBy(std::shared_ptr<const LogSnapshot> Snapshot);
  /// The log has got a snapshot and is compacted up to \p CompactTo.
  void compact(std::shared_ptr<const LogSnapshot> Snapshot,
               const EntryId &CompactTo);

  /// Sends \p Envelope as soon as the hard state, and the log up to \p Needed,
  /// are durable.
  void send(LogEnvelope Envelope, LogIndex Needed);
  /// Drops held answers to append requests: their leader's term is over.
  void dropAppendReplies();

  /// The next action for the disk, if there is something to do and none is out.
  std::optional<PersistLog> takePersist();
  /// The messages that need not wait any more.
  std::vector<LogEnvelope> takeMessages();
  /// The action \p Sequence is durable. False if it is not the one that is out.
  bool confirm(std::uint64_t Sequence);

  /// The last entry that is durable.
  LogIndex durable() const { return m_Durable; }
  /// True if the newest term and vote are durable.
  bool hardStateDurable() const;

private:
  /// A message and the action it waits for.
  struct Held final {
    std::uint64_t m_Sequence; ///< Goes once this action is durable.
    LogEnvelope m_Envelope;   ///< The message.
  };

  std::uint64_t sequenceFor(LogIndex Needed) const;
  PersistLog &gather();

  std::uint64_t m_NextSequence = 1;      ///< Of the action being gathered.
  std::uint64_t m_DoneSequence = 0;      ///< Newest durable action.
  std::optional<PersistLog> m_Gathering; ///< The next action, if any.
  bool m_Out = false;                    ///< An action is with the shell.
  bool m_OutHasHardState = false;        ///< That action changes term or vote.
  LogIndex m_OutLast;              ///< Last entry durable with that action.
  LogIndex m_Durable;              ///< Last durable entry.
  LogIndex m_GatheredLast;         ///< Last entry durable with m_Gathering.
  std::deque<Held> m_Held;         ///< Messages that wait, in order.
  std::vector<LogEnvelope> m_Free; ///< Messages that may go.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_LOG_PERSISTQUEUE_H
