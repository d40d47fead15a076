#include "ragwortmux/Process/Peers/ClusterProof.h"

#include "ragwortmux/Process/Support/Secret.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <cstddef>

namespace ragwortmux {

std::string makeNonce() {
  constexpr std::size_t NonceBytes = 32;
  std::string Nonce(NonceBytes, '\0');
  RAND_bytes(reinterpret_cast<unsigned char *>(Nonce.data()),
             static_cast<int>(Nonce.size()));
  return Nonce;
}

std::string clusterProof(const Secret &Key, std::string_view Nonce,
                         std::string_view Host) {
  std::string Message(Nonce);
  Message += Host;
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned Length = 0;
  HMAC(EVP_sha256(), Key.plainText().data(),
       static_cast<int>(Key.plainText().size()),
       reinterpret_cast<const unsigned char *>(Message.data()), Message.size(),
       Digest.data(), &Length);
  return {reinterpret_cast<const char *>(Digest.data()), Length};
}

} // namespace ragwortmux
