#include "ragwortmux/Process/GroupActor.h"

#include "ragwortmux/Process/ActorHost.h"
#include "ragwortmux/Process/SystemClock.h"
#include "ragwortmux/Request/GroupCore.h"

#include <caf/actor_system.hpp>
#include <caf/allowed_unsafe_message_type.hpp>
#include <caf/event_based_actor.hpp>
#include <caf/exit_reason.hpp>
#include <caf/scoped_actor.hpp>
#include <caf/send.hpp>
#include <caf/stateful_actor.hpp>

namespace ragwortmux {

/// The message that carries an event; actors move it out.
struct GroupEventMessage final {
  std::shared_ptr<GroupEvent> m_Event; ///< Never null, read once.
};

} // namespace ragwortmux

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(ragwortmux::GroupEventMessage)

namespace ragwortmux {

namespace {

caf::behavior groupBehavior(caf::event_based_actor *Self,
                            const std::shared_ptr<GroupCore> &Core,
                            const GroupActor::Sink &Decisions) {
  Self->set_default_handler(caf::drop);
  return {[Core, Decisions](const GroupEventMessage &Message) {
    GroupDecision Decision;
    applyEvent(*Core, monotonicNow(), std::move(*Message.m_Event),
               Decision.m_Actions);
    Decision.m_NextTick = Core->nextDeadline();
    Decision.m_Drained = Core->drained();
    Decisions(std::move(Decision));
  }};
}

} // namespace

struct GroupActor::Handle final {
  caf::actor m_Actor; ///< The actor.
};

GroupActor::GroupActor(ActorHost &Actors, const GroupId &Group,
                       const GroupSettings &Settings, Sink Decisions)
    : m_Handle(std::make_unique<Handle>()) {
  const auto Core = std::make_shared<GroupCore>(Group, Settings);
  m_Handle->m_Actor =
      Actors.system().spawn(groupBehavior, Core, std::move(Decisions));
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
