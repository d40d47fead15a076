#ifndef RAGWORTMUX_PROCESS_SUPPORT_UUIDV7_H
#define RAGWORTMUX_PROCESS_SUPPORT_UUIDV7_H

#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Core/Time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

namespace ragwortmux {

/// Returns 64 unpredictable bits per call.
using RandomHook = std::function<std::uint64_t()>;

/// A new request key: a UUID of version 7 in lower case, 8-4-4-4-12 digits.
/// \p Now must not be before 1970.
RequestKey makeRequestKey(WallTime Now, const RandomHook &Random);

/// The time in a UUID of version 7; none if \p Text is not such a UUID in lower
/// case.
std::optional<WallTime> uuidV7Time(std::string_view Text);

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_SUPPORT_UUIDV7_H
