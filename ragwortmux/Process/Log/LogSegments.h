#ifndef RAGWORTMUX_PROCESS_LOG_LOGSEGMENTS_H
#define RAGWORTMUX_PROCESS_LOG_LOGSEGMENTS_H

#include "ragwortmux/Core/ResultCode.h"
#include "ragwortmux/Process/Log/FileSystem.h"
#include "ragwortmux/Process/Log/LogRecords.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortmux {

/// The segment files of a log. Entries are only appended, in batches. A batch
/// is durable before the next one is written, so that after a crash only the
/// last batch can be incomplete.
class LogSegments final {
public:
  /// Starts a new segment once the current one exceeds \p SegmentBytes. Calls
  /// \p OnRepair with a message for the log about each repair.
  LogSegments(FileSystem &Files, std::size_t SegmentBytes,
              std::function<void(const std::string &)> OnRepair);

  /// True if \p Name is the name of a segment file.
  static bool isSegmentName(const std::string &Name);
  /// Name of the segment file number \p Number.
  static std::string fileName(std::uint64_t Number);
  /// Size in bytes of a segment without batches.
  static std::size_t emptySegmentBytes();

  /// Starts an empty log after the entry \p Previous and deletes all earlier
  /// segments.
  bool reset(const EntryId &Previous);

  /// Loads all segment files in \p Names, which must be sorted. Removes an
  /// incomplete record at the end of the last segment.
  bool load(const std::vector<std::string> &Names);

  /// Durably invalidates the entries from \p From on.
  bool truncateFrom(LogIndex From);

  /// Durably appends \p Batch.
  bool append(const LogBatch &Batch);

  /// After a failed write: truncates the open file after its last durable
  /// record.
  bool discardUnsynced();

  /// Deletes the segments that contain only entries up to \p Index.
  bool deleteUpTo(LogIndex Index);

  /// After load: moves out the loaded entries.
  std::vector<LogEntry> takeEntries() { return std::move(m_Entries); }
  /// After load: the entry before the first one.
  EntryId previous() const { return m_Previous; }

  /// Code of the last failure.
  ResultCode lastCode() const { return m_LastCode; }
  /// The reason of the last failure.
  const std::string &lastReason() const { return m_LastReason; }

private:
  /// A segment file that is in use.
  struct Segment final {
    std::uint64_t m_Number; ///< Number of the segment.
    LogIndex m_Previous;    ///< Index before its first entry.
  };

  bool startSegment(const LogSegmentHeader &Header);
  bool write(std::string_view Body);
  bool deleteFirstSegment();
  bool loadSegment(const std::string &Name, bool IsLast);
  bool truncateTail(const std::string &Name, std::size_t Size);
  bool replayHeader(const std::string &Name, const LogSegmentHeader &Header);
  bool replayBatch(const std::string &Name, LogBatch &&Batch);
  void beginSegment(const LogSegmentHeader &Header, bool StartsNewLog);
  void recordAppended(const EntryId &Id);
  std::optional<LogTerm> termAt(LogIndex Index) const;
  bool failCorrupt(const std::string &Reason);
  bool failWrite(const std::string &Reason);

  FileSystem &m_Files;              ///< The data folder.
  const std::size_t m_SegmentBytes; ///< See LogStorageSettings.
  const std::function<void(const std::string &)> m_OnRepair; ///< May be empty.

  std::vector<Segment> m_Segments; ///< Existing segments, ascending.
  std::string m_OpenFileName; ///< Name of m_File; empty before the first open.
  std::unique_ptr<AppendFile> m_File; ///< The last segment, open for appending.
  std::size_t m_FileBytes = 0;        ///< Size of its complete records.
  EntryId m_Previous;                 ///< See previous().
  EntryId m_Last;                     ///< The last entry.
  std::vector<EntryId> m_TermStarts;  ///< The first entry of each term.
  std::vector<LogEntry> m_Entries;    ///< Loaded entries, until takeEntries().

  ResultCode m_LastCode = ResultCode::Ok; ///< See lastCode().
  std::string m_LastReason;               ///< See lastReason().
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_LOG_LOGSEGMENTS_H
