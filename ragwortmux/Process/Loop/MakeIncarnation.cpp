#include "ragwortmux/Process/Loop/MakeIncarnation.h"

#include "ragwortmux/Process/Loop/SystemClock.h"
#include "ragwortmux/Process/Loop/SystemRandom.h"

namespace ragwortmux {

namespace {

constexpr unsigned RandomBits = 16;

} // namespace

Incarnation makeIncarnation() {
  const auto Milliseconds =
      static_cast<std::uint64_t>(wallNow().time_since_epoch().count());
  constexpr std::uint64_t Mask = (std::uint64_t{1} << RandomBits) - 1;
  return Incarnation((Milliseconds << RandomBits) | (systemRandom() & Mask));
}

} // namespace ragwortmux
