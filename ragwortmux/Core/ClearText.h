#ifndef RAGWORTMUX_CORE_CLEARTEXT_H
#define RAGWORTMUX_CORE_CLEARTEXT_H

#include <cstddef>
#include <string>

namespace ragwortmux {

/// Overwrites \p Count bytes at \p Data with zeros. The writes are volatile
/// because the compiler may leave out writes to memory that is not read again.
inline void clearBytes(void *Data, std::size_t Count) {
  volatile char *Bytes = static_cast<char *>(Data);
  for (std::size_t Index = 0; Index < Count; ++Index)
    Bytes[Index] = 0;
}

/// Overwrites a secret in \p Text, including the allocated memory behind its
/// end, and makes it empty.
inline void clearText(std::string &Text) {
  Text.resize(Text.capacity());
  clearBytes(Text.data(), Text.size());
  Text.clear();
}

} // namespace ragwortmux

#endif // RAGWORTMUX_CORE_CLEARTEXT_H
