#include "ragwortmux/Process/Support/HybridClock.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace ragwortmux {

HybridTime makeHybridTime(std::uint64_t Ms, std::uint64_t Counter) {
  assert(Ms <= MaxHybridMs && Counter <= MaxHybridCounter);
  return HybridTime((Ms << HybridCounterBits) | Counter);
}

std::uint64_t hybridMs(HybridTime Time) {
  return Time.value() >> HybridCounterBits;
}

std::uint64_t hybridCounter(HybridTime Time) {
  return Time.value() & MaxHybridCounter;
}

HybridClock::HybridClock(WallClockHook Wall) : m_Wall(std::move(Wall)) {
  assert(m_Wall);
}

HybridTime HybridClock::now() {
  const std::lock_guard Lock(m_Mutex);

  // The counter carries over into the milliseconds, so that the time still
  // increases when one millisecond has more events than the counter can number.
  const HybridTime Next(m_Last.value() + 1);
  m_Last = std::max(Next, makeHybridTime(wallMs(), 0));
  return m_Last;
}

bool HybridClock::merge(HybridTime Received) {
  const std::lock_guard Lock(m_Mutex);
  if (hybridMs(Received) > wallMs() + MaxAhead.count())
    return false;
  m_Last = std::max(m_Last, Received);
  return true;
}

std::uint64_t HybridClock::wallMs() const {
  const std::int64_t Ms = m_Wall().time_since_epoch().count();
  return std::clamp<std::int64_t>(Ms, 0, MaxHybridMs);
}

} // namespace ragwortmux
