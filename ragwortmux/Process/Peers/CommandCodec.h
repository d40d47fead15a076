#ifndef RAGWORTMUX_PROCESS_PEERS_COMMANDCODEC_H
#define RAGWORTMUX_PROCESS_PEERS_COMMANDCODEC_H

#include "ragwortmux/Version/ControlCommand.h"

#include <optional>
#include <string>
#include <string_view>

namespace ragwortmux {

struct ControlStateData;

/// \file
/// Encoding of the control log's commands and snapshots with Cap'n Proto.
///
/// Decoding refuses bytes whose structure is damaged. A damaged value may
/// decode to another value; the checksums of the log and of the snapshot files
/// detect that.

/// Encodes \p Command as one entry of the log.
std::string encodeCommand(const ControlCommand &Command);

/// Decodes the result of encodeCommand(). If \p Bytes are damaged, returns
/// nothing and sets \p Reason.
std::optional<ControlCommand> decodeCommand(std::string_view Bytes,
                                            std::string &Reason);

/// Encodes the whole replicated state as a snapshot.
std::string encodeState(const ControlStateData &Data);

/// Decodes the result of encodeState(). If \p Bytes are damaged, returns
/// nothing and sets \p Reason.
std::optional<ControlStateData> decodeState(std::string_view Bytes,
                                            std::string &Reason);

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_PEERS_COMMANDCODEC_H
