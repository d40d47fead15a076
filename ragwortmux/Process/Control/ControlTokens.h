#ifndef RAGWORTMUX_PROCESS_CONTROL_CONTROLTOKENS_H
#define RAGWORTMUX_PROCESS_CONTROL_CONTROLTOKENS_H

#include <cstdint>

/// \file
/// Bits that tell a control node's confirmation tokens from those of its
/// ControlLeader.

namespace ragwortmux {

/// Set in the confirmation tokens of queries.
inline constexpr std::uint64_t QueryTokenBit = std::uint64_t{1} << 63U;
/// Set in the confirmation tokens of promotions.
inline constexpr std::uint64_t PromotionTokenBit = std::uint64_t{1} << 62U;

/// Set in the confirmation tokens of permits.
inline constexpr std::uint64_t PermitTokenBit = std::uint64_t{1} << 61U;

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_CONTROL_CONTROLTOKENS_H
