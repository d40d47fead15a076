#ifndef RAGWORTMUX_PROCESS_SUPPORT_HYBRIDCLOCK_H
#define RAGWORTMUX_PROCESS_SUPPORT_HYBRIDCLOCK_H

#include "ragwortmux/Core/StrongId.h"
#include "ragwortmux/Core/Time.h"

#include <cstdint>
#include <functional>
#include <mutex>

namespace ragwortmux {

/// A hybrid logical time: 48 bits of Unix milliseconds, then a 16-bit counter.
/// Used only to order events for display, never for decisions.
using HybridTime = StrongId<struct HybridTimeTag, std::uint64_t>;

/// Number of bits of the counter.
inline constexpr unsigned HybridCounterBits = 16;
/// Largest value of the counter.
inline constexpr std::uint64_t MaxHybridCounter =
    (1ULL << HybridCounterBits) - 1;
/// Largest number of milliseconds.
inline constexpr std::uint64_t MaxHybridMs =
    (1ULL << (64U - HybridCounterBits)) - 1;

/// The time of \p Ms and \p Counter, which must be in range.
HybridTime makeHybridTime(std::uint64_t Ms, std::uint64_t Counter);
/// Unix milliseconds of \p Time.
std::uint64_t hybridMs(HybridTime Time);
/// Counter of \p Time.
std::uint64_t hybridCounter(HybridTime Time);

/// A hybrid logical clock: an event caused by another event, in this or another
/// process, always has the later time. Thread-safe.
class HybridClock final {
public:
  /// Reads the wall clock.
  using WallClockHook = std::function<WallTime()>;

  /// How far ahead of the wall clock a received time may be.
  static constexpr std::chrono::milliseconds MaxAhead = std::chrono::minutes(1);

  explicit HybridClock(WallClockHook Wall);

  /// The time of a local event or of a message about to be sent; later than all
  /// times returned or merged before.
  HybridTime now();

  /// Advances the clock to the time of a received message. Returns false and
  /// changes nothing if it is more than MaxAhead ahead of the wall clock, so
  /// that one host with a wrong clock does not advance the clocks of all
  /// others.
  bool merge(HybridTime Received);

private:
  std::uint64_t wallMs() const;

  WallClockHook m_Wall; ///< Reads the wall clock.
  std::mutex m_Mutex;   ///< Guards m_Last.
  HybridTime m_Last;    ///< The latest time returned or merged.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_SUPPORT_HYBRIDCLOCK_H
