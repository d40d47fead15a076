#ifndef RAGWORTMUX_VERSION_REQUESTKEYTIME_H
#define RAGWORTMUX_VERSION_REQUESTKEYTIME_H

#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Core/Time.h"

#include <optional>

namespace ragwortmux {

/// \p Key in lower case, so that two spellings are one key; none if it is not
/// a UUID of version 7.
std::optional<RequestKey> canonicalRequestKey(const RequestKey &Key);

/// When \p Key was made, read from its leading 48 bits; none if it is not a
/// canonical UUID of version 7.
std::optional<WallTime> requestKeyTime(const RequestKey &Key);

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_REQUESTKEYTIME_H
