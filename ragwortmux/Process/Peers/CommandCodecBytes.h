#ifndef RAGWORTMUX_PROCESS_PEERS_COMMANDCODECBYTES_H
#define RAGWORTMUX_PROCESS_PEERS_COMMANDCODECBYTES_H

#include "ragwortmux/Process/Peers/CapnpBytes.h"

#include <capnp/serialize.h>
#include <kj/exception.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// Encoding and decoding of one Cap'n Proto message; decoding refuses damaged
/// bytes.

namespace ragwortmux {

/// Encodes one message whose root \p Write fills.
template <typename Root, typename Writer>
std::string encodeStored(const Writer &Write) {
  capnp::MallocMessageBuilder Message;
  Write(Message.initRoot<Root>());
  const auto Words = capnp::messageToFlatArray(Message);
  const auto Bytes = Words.asBytes();
  return {reinterpret_cast<const char *>(Bytes.begin()), Bytes.size()};
}

/// Decodes the message in \p Bytes with \p Read. If they are damaged, returns
/// nothing and sets \p Reason.
template <typename Root, typename Value, typename Reader>
std::optional<Value> decodeStored(std::string_view Bytes, std::string &Reason,
                                  const Reader &Read) {
  // A valid message has each word visited about once; the limit stops damaged
  // pointers from causing more visits.
  constexpr std::uint64_t SpareWords = 1024;
  std::optional<Value> Decoded;
  // Cap'n Proto throws on damaged input; the exception is caught here.
  const auto Failure = kj::runCatchingExceptions([&] {
    KJ_REQUIRE(Bytes.size() % sizeof(capnp::word) == 0,
               "the length is not a whole number of words");
    const auto Words = toWords(Bytes);
    capnp::ReaderOptions Options;
    Options.traversalLimitInWords = Words.size() * 2 + SpareWords;
    capnp::FlatArrayMessageReader Message(Words, Options);
    KJ_REQUIRE(Message.getEnd() == Words.end(), "bytes after the message");
    Decoded = Read(Message.getRoot<Root>());
  });
  KJ_IF_MAYBE (Exception, Failure) {
    Reason = Exception->getDescription().cStr();
    return std::nullopt;
  }
  return Decoded;
}

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_PEERS_COMMANDCODECBYTES_H
