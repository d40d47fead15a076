#include "ragwortmux/Connection/IsReadyForCallers.h"

namespace ragwortmux {

namespace {

/// Minimum remaining time of the lease, in percent of its length. Renewals are
/// sent after about a quarter of the length, so less means that one was missed.
constexpr int MinRemainingLeasePercent = 45;
constexpr int PercentBase = 100;

} // namespace

bool isReadyForCallers(Instant Now, Instant LeaseExpiry, Duration Lease) {
  return Now + Lease * MinRemainingLeasePercent / PercentBase < LeaseExpiry;
}

} // namespace ragwortmux
