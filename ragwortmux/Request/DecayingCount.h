#ifndef RAGWORTMUX_REQUEST_DECAYINGCOUNT_H
#define RAGWORTMUX_REQUEST_DECAYINGCOUNT_H

#include "ragwortmux/Core/Time.h"

#include <cmath>

namespace ragwortmux {

/// A sum whose parts fade exponentially with their age. At a steady rate it is
/// close to the sum over one memory length.
class DecayingCount final {
public:
  explicit DecayingCount(Duration Memory) : m_Memory(Memory) {}

  /// Adds \p Amount at \p Now.
  void add(Instant Now, double Amount) {
    m_Value = value(Now) + Amount;
    m_At = Now;
  }
  /// The sum as it has faded until \p Now.
  double value(Instant Now) const {
    if (Now <= m_At)
      return m_Value;
    return m_Value * std::exp(-static_cast<double>((Now - m_At).count()) /
                              static_cast<double>(m_Memory.count()));
  }

private:
  Duration m_Memory;  ///< Age at which a part has faded to 1/e.
  double m_Value = 0; ///< The sum at m_At.
  Instant m_At;       ///< Time of the last addition.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_DECAYINGCOUNT_H
