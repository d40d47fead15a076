#ifndef RAGWORTMUX_PROCESS_LOG_LOGFRAME_H
#define RAGWORTMUX_PROCESS_LOG_LOGFRAME_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// Framing of records in files: a length and two CRC32, one over the head and
/// one over the body, so that a broken length is not followed.

namespace ragwortmux {

/// Bytes that a frame has besides its body.
inline constexpr std::size_t LogFrameHeadBytes = 16;

/// \p Body as a frame.
std::string encodeFrame(std::string_view Body);

/// The body of the frame that \p Bytes begin with; null if it is incomplete or
/// broken.
std::optional<std::string_view> decodeFrame(std::string_view Bytes);

/// True if a whole and valid frame begins anywhere in \p Bytes.
bool containsFrame(std::string_view Bytes);

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_LOG_LOGFRAME_H
