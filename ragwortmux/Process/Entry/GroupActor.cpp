#include "ragwortmux/Process/Entry/GroupActor.h"

#include "ragwortmux/Process/Loop/ActorSystem.h"
#include "ragwortmux/Process/Loop/SystemClock.h"
#include "ragwortmux/Request/GroupCore.h"

#include <caf/actor_system.hpp>
#include <caf/allowed_unsafe_message_type.hpp>
#include <caf/event_based_actor.hpp>
#include <caf/exit_reason.hpp>
#include <caf/scoped_actor.hpp>
#include <caf/send.hpp>
#include <caf/stateful_actor.hpp>

namespace ragwortmux {

/// A message with an event, which the actor moves out of it.
struct GroupEventMessage final {
  std::shared_ptr<GroupEvent> m_Event; ///< Never null; moved from once.
};

} // namespace ragwortmux

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(ragwortmux::GroupEventMessage)

namespace ragwortmux {

namespace {

/// The state of a group's actor.
struct GroupState final {
  GroupState(const GroupId &Group, const GroupSettings &Settings)
      : m_Group(Group), m_Core(Group, Settings) {}

  GroupId m_Group;                 ///< The group.
  GroupCore m_Core;                ///< The decision core.
  std::vector<ServerId> m_Servers; ///< Servers of the newest group record.
};

/// Applies one event and collects the resulting decision for the event loop.
GroupDecision handleEvent(GroupState &State, GroupEvent &&Event) {
  GroupDecision Decision;
  if (const auto *View = std::get_if<ViewChangedEvent>(&Event)) {
    State.m_Servers.clear();
    for (const ServerView &Server : View->m_View.m_Servers) {
      State.m_Servers.push_back(Server.m_Server);
    }
  }
  // Each renewal reports the demand, so it is computed once per renewal.
  if (std::holds_alternative<LeaseExtendedEvent>(Event)) {
    for (const ServerId &Server : State.m_Servers) {
      Decision.m_Demand.push_back(
          {State.m_Group, Server, State.m_Core.connectionDemand(Server)});
    }
  }
  applyEvent(State.m_Core, monotonicNow(), std::move(Event),
             Decision.m_Actions);
  Decision.m_NextTick = State.m_Core.nextDeadline();
  Decision.m_Drained = State.m_Core.isDrained();
  return Decision;
}

caf::behavior groupBehavior(caf::event_based_actor *Self,
                            const std::shared_ptr<GroupState> &State,
                            const GroupActor::DecisionHandler &OnDecision) {
  Self->set_default_handler(caf::drop);
  return {[State, OnDecision](const GroupEventMessage &Message) {
    OnDecision(handleEvent(*State, std::move(*Message.m_Event)));
  }};
}

} // namespace

struct GroupActor::Handle final {
  caf::actor m_Actor; ///< The actor.
};

GroupActor::GroupActor(ActorSystem &Actors, const GroupId &Group,
                       const GroupSettings &Settings,
                       DecisionHandler OnDecision)
    : m_Handle(std::make_unique<Handle>()) {
  const auto State = std::make_shared<GroupState>(Group, Settings);
  m_Handle->m_Actor =
      Actors.system().spawn(groupBehavior, State, std::move(OnDecision));
}

GroupActor::~GroupActor() {
  caf::anon_send_exit(m_Handle->m_Actor, caf::exit_reason::user_shutdown);
}

void GroupActor::send(GroupEvent Event) {
  caf::anon_send(
      m_Handle->m_Actor,
      GroupEventMessage{std::make_shared<GroupEvent>(std::move(Event))});
}

} // namespace ragwortmux
