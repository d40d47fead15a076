#ifndef RAGWORTMUX_PROCESS_ENTRY_GROUPACTOR_H
#define RAGWORTMUX_PROCESS_ENTRY_GROUPACTOR_H

#include "ragwortmux/Process/Entry/GroupEvent.h"
#include "ragwortmux/Request/GroupSettings.h"
#include "ragwortmux/Version/ControlEvents.h"

#include <functional>
#include <memory>
#include <vector>

namespace ragwortmux {

class ActorSystem;

/// What a group's core decided in response to one event.
struct GroupDecision final {
  GroupActions m_Actions;            ///< To be performed in order.
  std::optional<Instant> m_NextTick; ///< When the next TickEvent is due.
  std::vector<ShareDemand> m_Demand; ///< Connections that the group could use;
                                     ///< set when the lease was extended.
  bool m_Drained = false;            ///< A drain has completed.
};

/// Handle of the actor that owns and runs one group's GroupCore.
///
/// Events are handled one at a time, in the order in which they were sent, on
/// the actor system's threads.
class GroupActor final {
public:
  /// Receives each decision, on a thread of the actor system.
  using DecisionHandler = std::function<void(GroupDecision Decision)>;

  GroupActor(ActorSystem &Actors, const GroupId &Group,
             const GroupSettings &Settings, DecisionHandler OnDecision);
  ~GroupActor();
  GroupActor(const GroupActor &) = delete;
  GroupActor &operator=(const GroupActor &) = delete;

  /// Sends \p Event to the actor. Safe from any thread.
  void send(GroupEvent Event);

private:
  struct Handle;
  std::unique_ptr<Handle> m_Handle; ///< The actor's address.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_ENTRY_GROUPACTOR_H
