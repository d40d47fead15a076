#ifndef RAGWORTMUX_PROCESS_LOG_ENTRYLOG_H
#define RAGWORTMUX_PROCESS_LOG_ENTRYLOG_H

#include "ragwortmux/Process/Log/LogEntry.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace ragwortmux {

/// The in-memory part of the log: the entries after a compacted prefix, the
/// snapshot that covers this prefix, and the configurations of the members.
class EntryLog final {
public:
  /// Takes over the state loaded from a data folder.
  explicit EntryLog(LogInitialState &&Initial);

  /// Appends \p Entry, which must follow last().
  void append(LogEntry Entry);

  /// Removes all entries from \p From on. The entry \p From must not be
  /// compacted.
  void truncateFrom(LogIndex From);

  /// Replaces the whole log by \p Snapshot.
  void replaceWith(std::shared_ptr<const LogSnapshot> Snapshot);

  /// Stores \p Snapshot, whose last entry must be in the log, and removes older
  /// entries, except for the last \p Trailing entries that it covers, as far as
  /// they have at most \p TrailingBytes of payload.
  void compact(std::shared_ptr<const LogSnapshot> Snapshot,
               std::size_t Trailing, std::size_t TrailingBytes);

  /// The last entry; if no entries are in memory, previous().
  EntryId last() const;
  /// The last compacted entry.
  EntryId previous() const { return m_Previous; }
  /// The term of the entry at \p Index; null if it is before previous() or
  /// after last().
  std::optional<LogTerm> termAt(LogIndex Index) const;
  /// True if the log contains the entry \p Id. False for entries before
  /// previous(), whose terms are not known.
  bool contains(const EntryId &Id) const;
  /// The entry at \p Index, which must be in memory.
  const LogEntry &at(LogIndex Index) const;
  /// Copies entries from \p From to \p To, at most \p MaxEntries entries and
  /// \p MaxBytes of payload. A single entry may exceed \p MaxBytes.
  std::vector<LogEntry> slice(LogIndex From, LogIndex To,
                              std::size_t MaxEntries,
                              std::size_t MaxBytes) const;
  /// Payload bytes of the entries in memory.
  std::size_t payloadBytes() const {
    return payloadBytes(m_Previous.m_Index, last().m_Index);
  }
  /// Payload bytes of the entries after \p After up to \p To. Entries that are
  /// not in memory do not count.
  std::size_t payloadBytes(LogIndex After, LogIndex To) const;
  /// The first entry in memory that has the same term as the entry \p Index.
  LogIndex firstOfTerm(LogIndex Index) const;
  /// The newest snapshot; null if there is none.
  const std::shared_ptr<const LogSnapshot> &snapshot() const {
    return m_Snapshot;
  }
  /// The latest configuration in the log, committed or not.
  const LogMembership &membership() const;
  /// The configuration before membership(), or membership() if the earlier one
  /// is no longer known.
  const LogMembership &previousMembership() const;
  /// The configuration in force after the entry \p Index.
  const LogMembership &membershipAt(LogIndex Index) const;
  /// Index of the entry that contains membership(), or of the last entry of the
  /// snapshot that does; 0 if there is neither.
  LogIndex membershipIndex() const;

private:
  /// A configuration and the entry that contains it.
  struct Configuration final {
    LogIndex m_Index;           ///< Its entry, or the last one of the snapshot.
    LogMembership m_Membership; ///< The configuration.
  };

  void addConfiguration(const LogEntry &Entry);
  void addEntry(LogEntry Entry);
  std::uint64_t bytesUpTo(LogIndex Index) const;

  EntryId m_Previous;              ///< See previous().
  std::deque<LogEntry> m_Entries;  ///< Entries in memory, contiguous.
  std::uint64_t m_BytesBefore = 0; ///< Payload bytes of all removed entries.
  std::deque<std::uint64_t>
      m_BytesUpTo; ///< For each of m_Entries, the payload bytes of all entries
                   ///< up to and including it.
  std::shared_ptr<const LogSnapshot> m_Snapshot; ///< See snapshot().
  std::deque<Configuration> m_Configurations;    ///< Never empty, ascending.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_LOG_ENTRYLOG_H
