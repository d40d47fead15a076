#ifndef RAGWORTMUX_CONNECTION_BACKOFF_H
#define RAGWORTMUX_CONNECTION_BACKOFF_H

#include "ragwortmux/Core/Time.h"

#include <cstdint>

namespace ragwortmux {

/// Limits of the pauses between two attempts.
struct BackoffSettings final {
  Duration m_First = std::chrono::milliseconds(30);  ///< Longest first pause.
  Duration m_Limit = std::chrono::milliseconds(240); ///< Longest pause of all;
                                                     ///< at least m_First.
};

/// Pauses between attempts that fail: each is up to twice as long as the one
/// before, and random, so that hosts that failed together come back apart.
///
/// Load pattern: control has no leader for a moment, and hundreds of hosts look
/// for one. At a fixed short pause their calls take up the processors of the
/// control hosts, so that the next leader is lost too.
class Backoff final {
public:
  Backoff() = default;
  explicit Backoff(const BackoffSettings &Settings) : m_Settings(Settings) {}

  /// The pause before the next attempt: at least half of the longest one.
  /// \p Random is uniform over all 64 bits.
  Duration nextPause(std::uint64_t Random);
  /// An attempt has succeeded.
  void reset() { m_Failures = 0; }

private:
  BackoffSettings m_Settings;   ///< The limits.
  std::uint32_t m_Failures = 0; ///< Attempts that failed in a row.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_CONNECTION_BACKOFF_H
