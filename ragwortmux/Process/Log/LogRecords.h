#ifndef RAGWORTMUX_PROCESS_LOG_LOGRECORDS_H
#define RAGWORTMUX_PROCESS_LOG_LOGRECORDS_H

#include "ragwortmux/Process/Log/LogEntry.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Serialization of the records in the files of the log. Decoding returns null
/// for bytes that are not a valid record of the requested type.

namespace ragwortmux {

/// Version of the file format; the first field of each record.
inline constexpr std::uint32_t LogFormatVersion = 1;

/// Type of a record.
enum class LogRecordKind : std::uint8_t {
  Identity = 1,  ///< LogIdentity.
  HardState = 2, ///< LogHardState.
  Snapshot = 3,  ///< LogSnapshot.
  Segment = 4,   ///< LogSegmentHeader, the first record of each segment.
  Batch = 5,     ///< LogBatch, all other records of a segment.
};

/// Identity of a data folder.
struct LogIdentity final {
  VoterId m_Voter;           ///< The voter that the folder belongs to.
  std::string m_ClusterName; ///< The cluster of this voter.
};

/// Header of a segment: how the segment continues the earlier ones.
struct LogSegmentHeader final {
  std::uint64_t m_Number = 0; ///< Increases by one from segment to segment.
  EntryId m_Previous;     ///< The entry before the first one of the segment;
                          ///< later entries in earlier segments are invalid.
  bool m_IsReset = false; ///< True: all earlier segments are invalid.
};

/// Entries that are written and synced together.
struct LogBatch final {
  std::vector<LogEntry> m_Entries; ///< Contiguous with the preceding batch.
};

std::string encodeRecord(const LogIdentity &Identity);    ///< Serializes it.
std::string encodeRecord(const LogHardState &State);      ///< Serializes it.
std::string encodeRecord(const LogSnapshot &Snapshot);    ///< Serializes it.
std::string encodeRecord(const LogSegmentHeader &Header); ///< Serializes it.
std::string encodeRecord(const LogBatch &Batch);          ///< Serializes it.

/// Deserializes one record. \p Record is one of the types that encodeRecord
/// takes.
template <typename Record>
std::optional<Record> decodeRecord(std::string_view Bytes);

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_LOG_LOGRECORDS_H
