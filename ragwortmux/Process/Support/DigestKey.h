#ifndef RAGWORTMUX_PROCESS_SUPPORT_DIGESTKEY_H
#define RAGWORTMUX_PROCESS_SUPPORT_DIGESTKEY_H

#include "ragwortmux/Core/Ids.h"

#include <string_view>

namespace ragwortmux {

/// The SHA-256 digest of a caller key. Only digests are stored and passed on,
/// so that no log, core message or message between processes holds a key.
KeyDigest digestKey(std::string_view Key);

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_SUPPORT_DIGESTKEY_H
