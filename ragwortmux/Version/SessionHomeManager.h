#ifndef RAGWORTMUX_VERSION_SESSIONHOMEMANAGER_H
#define RAGWORTMUX_VERSION_SESSIONHOMEMANAGER_H

#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Core/Time.h"

#include <optional>
#include <vector>

namespace ragwortmux {

class LeaderContext;
class UpdateTracker;

/// Maintains the list of session homes: the hosts with open sessions. A change
/// is prepared and, once all sessions have confirmed it, activated.
class SessionHomeManager final {
public:
  SessionHomeManager(LeaderContext &Context, const UpdateTracker &Updates)
      : m_Context(Context), m_Updates(Updates) {}

  void reset();
  /// Proposes the next step of a change if it is due.
  void evaluate(Instant Now);

private:
  std::vector<HostId> openHosts() const;
  /// True if the list of open hosts may become the list of session homes.
  bool isStable(Instant Now) const;

  LeaderContext &m_Context;       ///< Shared.
  const UpdateTracker &m_Updates; ///< What sessions have confirmed.
  std::vector<HostId>
      m_OpenHosts;            ///< Hosts with open sessions in ascending order.
  Instant m_OpenHostsSince{}; ///< When that list last changed.
  std::optional<Instant> m_FirstOpenedAt; ///< When the first host was seen.
  Instant m_EvaluatedAt{};                ///< When evaluate() last acted.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_SESSIONHOMEMANAGER_H
