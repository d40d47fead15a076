#ifndef RAGWORTMUX_CONNECTION_ISREADYFORCALLERS_H
#define RAGWORTMUX_CONNECTION_ISREADYFORCALLERS_H

#include "ragwortmux/Core/Time.h"

namespace ragwortmux {

/// True if a host should get new callers. Its leases last \p Lease, and the
/// current one ends at \p LeaseExpiry.
///
/// Hosts of a failure domain that is cut off from the others can serve few
/// requests. The load balancer needs two failed probes, one second apart, to
/// direct their callers elsewhere, so every 100 ms saved here avoids 100 ms of
/// refusals. A host therefore stops being ready once a lease renewal is overdue
/// by more than a round trip. An election of the control leader is shorter than
/// two probes and does not make the balancer remove a host.
bool isReadyForCallers(Instant Now, Instant LeaseExpiry, Duration Lease);

} // namespace ragwortmux

#endif // RAGWORTMUX_CONNECTION_ISREADYFORCALLERS_H
