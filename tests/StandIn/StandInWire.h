#ifndef TESTS_STANDIN_STANDINWIRE_H
#define TESTS_STANDIN_STANDINWIRE_H

#include "tests/StandIn/StandInLogEntry.h"

#include <string_view>

namespace ragwortmux::standin {

/// \file
/// Frames of a length of four bytes, a kind and a body. They make up the
/// replication stream, which a replica opens with a start-up message and one
/// query that holds the shape of its log, and the journal file.

/// Kinds of frames.
enum class StandInFrameKind : char {
  Start = 'S',     ///< The point up to which the logs are equal.
  Entry = 'E',     ///< The next entry of the log.
  KeepAlive = 'K', ///< Nothing new; only in the stream.
  Fence = 'F',     ///< A higher term; only in the journal.
  Promote = 'P',   ///< The server is primary now; only in the journal.
  Follow = 'W',    ///< The server is a replica now; only in the journal.
};

/// One frame.
struct StandInFrame final {
  StandInFrameKind m_Kind = StandInFrameKind::KeepAlive; ///< What it is.
  StandInLogEntry m_Entry; ///< Only of Entry more than the point is used.
  std::string m_Address{}; ///< Of Follow: HOST:PORT of the primary.
};

/// Bytes of a frame's length field.
inline constexpr std::size_t StandInFrameHeaderBytes = 4;

/// A whole frame with its length.
std::string encodeFrame(const StandInFrame &Frame);
/// Length of what follows a frame's length field.
std::size_t frameLength(std::string_view Header);
/// Reads what follows a frame's length field; nothing if malformed.
std::optional<StandInFrame> decodeFrame(std::string_view Body);

/// The shape of a log as text.
std::string encodeTermRuns(const std::vector<StandInTermRun> &Runs);
/// Reads the shape of a log; nothing if malformed.
std::optional<std::vector<StandInTermRun>>
decodeTermRuns(const std::string &Text);

} // namespace ragwortmux::standin

#endif // TESTS_STANDIN_STANDINWIRE_H
