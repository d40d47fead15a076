#ifndef RAGWORTMUX_PROCESS_LOG_LOGFRAME_H
#define RAGWORTMUX_PROCESS_LOG_LOGFRAME_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// Framing of records in files: a magic number, the length of the body and two
/// CRC-32 checksums, one of the header and one of the body. The checksum of the
/// header protects against the use of a corrupt length.

namespace ragwortmux {

/// Size in bytes of the header of a frame.
inline constexpr std::size_t LogFrameHeaderBytes = 16;

/// Returns \p Body as a frame.
std::string encodeFrame(std::string_view Body);

/// Returns the body of the frame at the start of \p Bytes; null if the frame is
/// incomplete or corrupt.
std::optional<std::string_view> decodeFrame(std::string_view Bytes);

/// True if \p Bytes contain a complete and valid frame at any position.
bool containsFrame(std::string_view Bytes);

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_LOG_LOGFRAME_H
