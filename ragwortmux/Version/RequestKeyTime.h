#ifndef RAGWORTMUX_VERSION_REQUESTKEYTIME_H
#define RAGWORTMUX_VERSION_REQUESTKEYTIME_H

#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Core/Time.h"

#include <optional>

namespace ragwortmux {

/// Returns \p Key in lower case, which is its canonical form; none if it is not
/// a UUID of version 7.
std::optional<RequestKey> canonicalRequestKey(const RequestKey &Key);

/// Returns the creation time of \p Key, which its leading 48 bits contain; none
/// if it is not a canonical UUID of version 7.
std::optional<WallTime> requestKeyTime(const RequestKey &Key);

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_REQUESTKEYTIME_H
