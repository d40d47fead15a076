#include "ragwortmux/Connection/StableHash.h"

#include <boost/crc.hpp>

namespace ragwortmux {

namespace {

/// CRC-64 as in ECMA-182.
using Crc64 = boost::crc_optimal<64, 0x42F0E1EBA9EA3693ULL, 0, 0, false, false>;

} // namespace

std::uint64_t stableHash(std::string_view First, std::string_view Second) {
  Crc64 Sum;
  Sum.process_bytes(First.data(), First.size());
  Sum.process_byte(0); // distinguishes ("ab", "c") from ("a", "bc")
  Sum.process_bytes(Second.data(), Second.size());
  // A CRC is linear, so its bits are mixed with the finalizer of SplitMix64.
  std::uint64_t Mixed = Sum.checksum();
  Mixed = (Mixed ^ (Mixed >> 30U)) * 0xBF58476D1CE4E5B9ULL;
  Mixed = (Mixed ^ (Mixed >> 27U)) * 0x94D049BB133111EBULL;
  return Mixed ^ (Mixed >> 31U);
}

} // namespace ragwortmux
