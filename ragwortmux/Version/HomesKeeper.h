#ifndef RAGWORTMUX_VERSION_HOMESKEEPER_H
#define RAGWORTMUX_VERSION_HOMESKEEPER_H

#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Core/Time.h"

#include <vector>

namespace ragwortmux {

class LeaderContext;
class UpdateTracker;

/// Lets the session homes follow the hosts with open sessions, in two steps.
class HomesKeeper final {
public:
  HomesKeeper(LeaderContext &Context, const UpdateTracker &Updates)
      : m_Context(Context), m_Updates(Updates) {}

  void reset() { m_Wanted.clear(); }
  /// Proposes the step that is due.
  void evaluate(Instant Now);

private:
  std::vector<HostId> openHosts() const;

  LeaderContext &m_Context;       ///< Shared.
  const UpdateTracker &m_Updates; ///< What sessions have confirmed.
  std::vector<HostId> m_Wanted;   ///< Hosts with open sessions, ascending.
  Instant m_WantedSince{};        ///< Since when.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_HOMESKEEPER_H
