#ifndef RAGWORTMUX_REQUEST_REPLICALAG_H
#define RAGWORTMUX_REQUEST_REPLICALAG_H

#include "ragwortmux/Core/Time.h"

#include <optional>

namespace ragwortmux {

/// Estimates the lag of one replica from its own answers. Shows whether a read
/// has a chance to succeed there, not whether it is allowed.
///
/// Load pattern: replicas fall seconds behind. Without the estimate, each read
/// would first be sent to each lagging replica and refused.
class ReplicaLag final {
public:
  /// Records that at \p Now its log contained every commit acknowledged before
  /// \p CoveredUntil.
  void recordCovered(Instant Now, Instant CoveredUntil);
  /// Records that at \p Now its log lacked commits acknowledged before \p
  /// FloorTime.
  void recordBehind(Instant Now, Instant FloorTime);

  /// True if a read that needs every commit acknowledged before \p Floor is
  /// likely enough to succeed.
  bool isWorthTrying(Instant Now, Instant Floor) const;
  /// Last observed lag; none if unknown.
  std::optional<Duration> lag() const { return m_Lag; }

private:
  std::optional<Duration> m_Lag;     ///< Last observed lag.
  std::optional<Instant> m_BehindAt; ///< When it last refused a read as behind.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_REPLICALAG_H
