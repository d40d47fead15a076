#ifndef RAGWORTMUX_PROCESS_PEERS_CAPNPBYTES_H
#define RAGWORTMUX_PROCESS_PEERS_CAPNPBYTES_H

#include <capnp/common.h>
#include <capnp/message.h>
#include <kj/string.h>

#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>

/// \file
/// Conversions between Cap'n Proto's types and the standard library's.

namespace ragwortmux {

/// Copies a Text to a string.
inline std::string toString(capnp::Text::Reader Text) {
  return {Text.cStr(), Text.size()};
}

/// Copies a Data to a string.
inline std::string toString(capnp::Data::Reader Data) {
  return {reinterpret_cast<const char *>(Data.begin()), Data.size()};
}

/// Refers to a string as a Text, without a copy.
inline kj::StringPtr toText(const std::string &Text) {
  return {Text.c_str(), Text.size()};
}

/// Refers to a string as a Data, without a copy.
inline kj::ArrayPtr<const kj::byte> toData(std::string_view Bytes) {
  return kj::arrayPtr(reinterpret_cast<const kj::byte *>(Bytes.data()),
                      Bytes.size());
}

/// Copies \p Bytes to memory aligned for a Cap'n Proto reader; bytes after the
/// last whole word are dropped.
inline kj::Array<capnp::word> toWords(std::string_view Bytes) {
  auto Words = kj::heapArray<capnp::word>(Bytes.size() / sizeof(capnp::word));
  std::memcpy(Words.begin(), Bytes.data(), Words.asBytes().size());
  return Words;
}

/// Size of a message that is read with \p Message, without its framing.
template <typename Reader> std::uint64_t sizeInBytes(const Reader &Message) {
  return Message.totalSize().wordCount * sizeof(capnp::word);
}

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_PEERS_CAPNPBYTES_H
