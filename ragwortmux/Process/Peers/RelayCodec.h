#ifndef RAGWORTMUX_PROCESS_PEERS_RELAYCODEC_H
#define RAGWORTMUX_PROCESS_PEERS_RELAYCODEC_H

#include "ragwortmux/Process/Generated/Cluster.capnp.h"
#include "ragwortmux/Request/SessionEvents.h"

#include <optional>

/// \file
/// Conversions between relayed statements, their answers and the Cap'n Proto
/// form of both.

namespace ragwortmux {

/// Writes \p Request with its age at \p Now, because an Instant of one process
/// means nothing in another.
void writeRpc(rpc::RelayedStatement::Builder Out, const SessionRequest &Request,
              Instant Now);
/// Reads a request that arrived its age before \p Now; none if a value is
/// invalid.
std::optional<SessionRequest> readRpc(rpc::RelayedStatement::Reader In,
                                      Instant Now);

/// Leaves out the group and the ids of the request and its caller; the RPC call
/// implies them. An answer that is too large for a message becomes
/// RanAnswerTooLarge.
void writeRpc(rpc::RelayedAnswer::Builder Out, const SessionAnswer &Answer);
/// Does not set what writeRpc() leaves out; none if a value is invalid.
std::optional<SessionAnswer> readRpc(rpc::RelayedAnswer::Reader In);

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_PEERS_RELAYCODEC_H
