#ifndef RAGWORTMUX_PROCESS_PEERS_LOGMESSAGECODEC_H
#define RAGWORTMUX_PROCESS_PEERS_LOGMESSAGECODEC_H

#include "ragwortmux/Process/Log/LogMessage.h"

#include <optional>
#include <string>
#include <string_view>

namespace ragwortmux {

/// Encodes \p Envelope as the bytes of one Cap'n Proto message.
std::string encodeLogEnvelope(const LogEnvelope &Envelope);

/// Decodes the result of encodeLogEnvelope(); empty if \p Bytes are damaged.
std::optional<LogEnvelope> decodeLogEnvelope(std::string_view Bytes);

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_PEERS_LOGMESSAGECODEC_H
