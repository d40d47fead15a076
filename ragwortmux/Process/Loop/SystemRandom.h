#ifndef RAGWORTMUX_PROCESS_LOOP_SYSTEMRANDOM_H
#define RAGWORTMUX_PROCESS_LOOP_SYSTEMRANDOM_H

#include <cstdint>

namespace ragwortmux {

/// Returns 64 unpredictable bits from the operating system, for identities and
/// keys.
std::uint64_t systemRandom();

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_LOOP_SYSTEMRANDOM_H
