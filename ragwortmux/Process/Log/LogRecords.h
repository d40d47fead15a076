#ifndef RAGWORTMUX_PROCESS_LOG_LOGRECORDS_H
#define RAGWORTMUX_PROCESS_LOG_LOGRECORDS_H

#include "ragwortmux/Process/Log/LogEntry.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// The records in the log's files, as bytes. Decoding yields null for bytes
/// that are not such a record.

namespace ragwortmux {

/// Version of the file format; the first thing in each record.
inline constexpr std::uint32_t LogFormatVersion = 1;

/// Which record a file or frame holds.
enum class LogRecordKind : std::uint8_t {
  Identity = 1,  ///< LogIdentity.
  HardState = 2, ///< LogHardState.
  Snapshot = 3,  ///< LogSnapshot.
  Segment = 4,   ///< LogSegmentHead, first in each segment.
  Batch = 5,     ///< LogBatch, all others in a segment.
};

/// Whose data folder it is.
struct LogIdentity final {
  VoterId m_Voter;           ///< The member.
  std::string m_ClusterName; ///< The cluster that it belongs to.
};

/// How a segment relates to those before it.
struct LogSegmentHead final {
  std::uint64_t m_Number = 0; ///< Rises by one from segment to segment.
  EntryId m_Previous;         ///< The entry before the segment's first; what
                              ///< came after it in earlier segments is void.
  bool m_Reset = false;       ///< True: all of the earlier segments is void.
};

/// Entries that became durable together.
struct LogBatch final {
  std::vector<LogEntry> m_Entries; ///< Contiguous, after those before.
};

std::string encodeRecord(const LogIdentity &Identity); ///< As bytes.
std::string encodeRecord(const LogHardState &State);   ///< As bytes.
std::string encodeRecord(const LogSnapshot &Snapshot); ///< As bytes.
std::string encodeRecord(const LogSegmentHead &Head);  ///< As bytes.
std::string encodeRecord(const LogBatch &Batch);       ///< As bytes.

/// From the bytes of one record; \p Record is one of the types above.
template <typename Record>
std::optional<Record> decodeRecord(std::string_view Bytes);

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_LOG_LOGRECORDS_H
