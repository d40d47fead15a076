#include "ragwortmux/Connection/IsReady.h"

namespace ragwortmux {

namespace {

/// Minimum remaining time of the lease, in percent of its length. Renewals are
/// sent after about a quarter of the length, so less means that one was missed.
constexpr int LeastLeasePercent = 45;
constexpr int PercentBase = 100;

} // namespace

bool isReadyForCallers(Instant Now, Instant LeaseUntil, Duration Lease) {
  return Now + Lease * LeastLeasePercent / PercentBase < LeaseUntil;
}

} // namespace ragwortmux
