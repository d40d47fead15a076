#ifndef RAGWORTMUX_REQUEST_REPLICAAGE_H
#define RAGWORTMUX_REQUEST_REPLICAAGE_H

#include "ragwortmux/Core/Time.h"

#include <optional>

namespace ragwortmux {

/// How far one replica lags, as far as its own answers show; tells where a read
/// has a chance, never that it is allowed there.
///
/// Answers the load pattern of replicas that fall seconds behind: without it
/// each read would ask each lagging replica first.
class ReplicaAge final {
public:
  /// At \p Now its log held everything up to \p CoveredUntil.
  void noteCovered(Instant Now, Instant CoveredUntil);
  /// At \p Now its log lacked what was acknowledged until \p Lacked.
  void noteBehind(Instant Now, Instant Lacked);

  /// True if a read that needs everything up to \p Floor is worth a try.
  bool isWorthTrying(Instant Now, Instant Floor) const;
  /// The lag last seen; none if nothing is known.
  std::optional<Duration> lag() const { return m_Lag; }

private:
  std::optional<Duration> m_Lag;     ///< Lag last seen.
  std::optional<Instant> m_BehindAt; ///< When it last refused a read.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_REPLICAAGE_H
