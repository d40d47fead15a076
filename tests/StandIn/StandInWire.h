#ifndef TESTS_STANDIN_STANDINWIRE_H
#define TESTS_STANDIN_STANDINWIRE_H

#include "tests/StandIn/StandInLogEntry.h"

#include <string_view>

namespace ragwortmux::standin {

/// \file
/// Encodes and decodes the frames of the replication stream and the journal
/// file: four bytes of length, one byte of kind, and the fields. A replica
/// opens the stream with a start-up message and one query, whose text is the
/// term runs of its log.

/// Kinds of frames.
enum class StandInFrameKind : char {
  Start = 'S',     ///< Term of the stream, and position up to which both logs
                   ///< are equal.
  Entry = 'E',     ///< The next entry of the log.
  KeepAlive = 'K', ///< Sent while there are no new entries; only in the
                   ///< stream.
  Fence = 'F',     ///< The term was raised; only in the journal.
  Promote = 'P',   ///< The server became primary; only in the journal.
  Follow = 'W',    ///< The server became a replica; only in the journal.
};

/// One frame of the replication stream or the journal.
struct StandInFrame final {
  StandInFrameKind m_Kind = StandInFrameKind::KeepAlive; ///< Kind of frame.
  StandInLogEntry m_Entry; ///< Entry frames use all of it, others only m_Point.
  std::string m_Address{}; ///< Follow frames: HOST:PORT of the primary.
};

/// Size of the length field of a frame.
inline constexpr std::size_t StandInFrameHeaderBytes = 4;

/// Encodes a frame with its length field.
std::string encodeFrame(const StandInFrame &Frame);
/// Length of the rest of a frame, from its length field.
std::size_t frameLength(std::string_view Header);
/// Decodes a frame without its length field; nothing if malformed.
std::optional<StandInFrame> decodeFrame(std::string_view Body);

/// Encodes the term runs of a log as text.
std::string encodeTermRuns(const std::vector<StandInTermRun> &Runs);
/// Decodes the term runs of a log; nothing if malformed.
std::optional<std::vector<StandInTermRun>>
decodeTermRuns(const std::string &Text);

} // namespace ragwortmux::standin

#endif // TESTS_STANDIN_STANDINWIRE_H
