#ifndef RAGWORTMUX_CONNECTION_STABLEHASH_H
#define RAGWORTMUX_CONNECTION_STABLEHASH_H

#include <cstdint>
#include <string_view>

namespace ragwortmux {

/// Hashes two strings; the result is the same on all hosts and in all versions.
std::uint64_t stableHash(std::string_view First, std::string_view Second);

} // namespace ragwortmux

#endif // RAGWORTMUX_CONNECTION_STABLEHASH_H
