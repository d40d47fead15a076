#ifndef RAGWORTMUX_PROCESS_PEERS_CLUSTERPROOF_H
#define RAGWORTMUX_PROCESS_PEERS_CLUSTERPROOF_H

#include <string>
#include <string_view>

namespace ragwortmux {

class Secret;

/// Returns 32 random bytes, the challenge for a new connection.
std::string makeNonce();

/// Computes the proof of knowing \p Key: HMAC-SHA256(key, nonce + host).
std::string clusterProof(const Secret &Key, std::string_view Nonce,
                         std::string_view Host);

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_PEERS_CLUSTERPROOF_H
