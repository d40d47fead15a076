#include "ragwortmux/Process/Support/DigestKey.h"

#include <openssl/sha.h>

#include <array>
#include <string>

namespace ragwortmux {

KeyDigest digestKey(std::string_view Key) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> Digest{};
  SHA256(reinterpret_cast<const unsigned char *>(Key.data()), Key.size(),
         Digest.data());
  return KeyDigest(std::string(Digest.begin(), Digest.end()));
}

} // namespace ragwortmux
