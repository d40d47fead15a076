#include "ragwortmux/Process/Loop/SystemRandom.h"

#include <random>

namespace ragwortmux {

std::uint64_t systemRandom() {
  static thread_local std::random_device Device;
  constexpr unsigned Half = 32;
  return (static_cast<std::uint64_t>(Device()) << Half) | Device();
}

} // namespace ragwortmux
