#include "ragwortmux/Connection/Backoff.h"

#include <algorithm>

namespace ragwortmux {

namespace {

/// Keeps the doubled pause within its type.
constexpr std::uint32_t MaxDoublings = 16;

} // namespace

Duration Backoff::nextPause(std::uint64_t Random) {
  const Duration Longest =
      std::min(m_Settings.m_Limit, m_Settings.m_First * (1U << m_Failures));
  m_Failures = std::min(m_Failures + 1, MaxDoublings);
  const Duration Shortest = Longest / 2;
  const auto Span =
      static_cast<std::uint64_t>((Longest - Shortest).count()) + 1;
  return Shortest + Duration(static_cast<Duration::rep>(Random % Span));
}

} // namespace ragwortmux
