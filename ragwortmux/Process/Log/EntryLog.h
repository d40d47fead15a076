#ifndef RAGWORTMUX_PROCESS_LOG_ENTRYLOG_H
#define RAGWORTMUX_PROCESS_LOG_ENTRYLOG_H

#include "ragwortmux/Process/Log/LogEntry.h"

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace ragwortmux {

/// The part of the log that is held in memory: entries after a compacted prefix
/// and the snapshot that covers the prefix. Knows which configuration is in
/// force.
class EntryLog final {
public:
  /// Takes over what a data folder held.
  explicit EntryLog(LogInitialState &&Initial);

  /// Adds an entry, which must follow last().
  void append(LogEntry Entry);

  /// Drops all entries from \p From on, which must not be compacted.
  void truncateFrom(LogIndex From);

  /// Replaces the whole log by \p Snapshot.
  void replaceBy(std::shared_ptr<const LogSnapshot> Snapshot);

  /// Keeps \p Snapshot, whose last entry must be in the log, and drops entries
  /// but for \p Trailing before its last one.
  void compact(std::shared_ptr<const LogSnapshot> Snapshot,
               std::size_t Trailing);

  /// The last entry, or the one before an empty log.
  EntryId last() const;
  /// The last entry that is compacted away.
  EntryId previous() const { return m_Previous; }
  /// The term of the entry at \p Index; null if compacted or not there.
  std::optional<LogTerm> termAt(LogIndex Index) const;
  /// True if \p Id is in the log, as far as its term is known.
  bool contains(const EntryId &Id) const;
  /// The entry at \p Index, which must be in memory.
  const LogEntry &at(LogIndex Index) const;
  /// Up to \p MaxEntries entries from \p From on with up to \p MaxBytes of
  /// payload, but at least one if there is any.
  std::vector<LogEntry> slice(LogIndex From, LogIndex To,
                              std::size_t MaxEntries,
                              std::size_t MaxBytes) const;
  /// The first entry of the run of equal terms that \p Index is in, as far as
  /// it is in memory.
  LogIndex firstOfTerm(LogIndex Index) const;
  /// The newest snapshot; null if there is none.
  const std::shared_ptr<const LogSnapshot> &snapshot() const {
    return m_Snapshot;
  }
  /// The latest configuration in the log, committed or not.
  const LogMembership &membership() const;
  /// The configuration before membership(), if it is still known.
  const LogMembership &previousMembership() const;
  /// The configuration as of the entry \p Index.
  const LogMembership &membershipAt(LogIndex Index) const;
  /// Index of the entry that made membership(); 0 if before the log.
  LogIndex membershipIndex() const;

private:
  /// A configuration and the entry it came with.
  struct Configuration final {
    LogIndex m_Index;           ///< Its entry, or the snapshot's last one.
    LogMembership m_Membership; ///< All members.
  };

  void addConfiguration(const LogEntry &Entry);

  EntryId m_Previous;             ///< The entry before m_Entries.
  std::deque<LogEntry> m_Entries; ///< Contiguous.
  std::shared_ptr<const LogSnapshot> m_Snapshot; ///< Newest, or null.
  std::deque<Configuration> m_Configurations;    ///< Never empty, ascending.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_LOG_ENTRYLOG_H
