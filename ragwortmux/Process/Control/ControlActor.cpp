#include "ragwortmux/Process/Control/ControlActor.h"

#include "ragwortmux/Process/Control/ControlLoad.h"
#include "ragwortmux/Process/Control/TaskBatch.h"
#include "ragwortmux/Process/Loop/ActorSystem.h"
#include "ragwortmux/Process/Loop/IoLoop.h"
#include "ragwortmux/Process/Loop/SystemClock.h"

#include <caf/actor_system.hpp>
#include <caf/allowed_unsafe_message_type.hpp>
#include <caf/event_based_actor.hpp>
#include <caf/exit_reason.hpp>
#include <caf/send.hpp>

#include <utility>

namespace ragwortmux {

/// Message to the actor: one call to the node.
struct ControlTaskMessage final {
  std::function<void(ControlNode &Node, Instant Now)> m_Work; ///< The call.
  ControlTaskKind m_Kind;                                     ///< Its kind.
  Instant m_PostedAt; ///< When it was sent.
};

} // namespace ragwortmux

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(ragwortmux::ControlTaskMessage)

namespace ragwortmux {

namespace {

/// True if a task of \p Kind is to overtake others: the leader's quorum depends
/// on it.
bool isUrgent(ControlTaskKind Kind) {
  return Kind == ControlTaskKind::LogMessage || Kind == ControlTaskKind::Tick;
}

caf::behavior controlBehavior(caf::event_based_actor *Self,
                              const std::shared_ptr<ControlNodeOwner> &Owner,
                              const std::shared_ptr<ControlLoad> &Load) {
  Self->set_default_handler(caf::drop);
  const auto Batch = std::make_shared<TaskBatch>();
  return {[Owner, Load, Batch](const ControlTaskMessage &Message) {
    const Instant Now = monotonicNow();
    Load->taskStarted(Message.m_Kind, Message.m_PostedAt, Now);
    Batch->taskStarted(Now);
    Owner->tick(Now);
    Owner->node().beginBatch();
    Message.m_Work(Owner->node(), Now);
    const Instant End = monotonicNow();
    if (Batch->taskEnded(End, Load->waitingTasks())) {
      Owner->node().endBatch(End);
    }
    Load->taskEnded(monotonicNow());
  }};
}

} // namespace

struct ControlActor::Handle final {
  caf::actor m_Actor; ///< The actor.
};

ControlActor::ControlActor(IoLoop &Loop, ActorSystem &Actors,
                           std::unique_ptr<ControlNodeOwner> Owner,
                           std::shared_ptr<ControlLoad> Load)
    : m_Loop(Loop), m_Handle(std::make_unique<Handle>()),
      m_Load(std::move(Load)),
      m_IsTickPending(std::make_shared<std::atomic<bool>>(false)) {
  m_Handle->m_Actor = Actors.system().spawn<caf::detached>(
      controlBehavior, std::shared_ptr<ControlNodeOwner>(std::move(Owner)),
      m_Load);
}

ControlActor::~ControlActor() {
  caf::anon_send_exit(m_Handle->m_Actor, caf::exit_reason::user_shutdown);
}

ControlNodeHooks ControlActor::hooksOnLoop(IoLoop &Loop,
                                           const ControlNodeHooks &Hooks) {
  ControlNodeHooks PostedHooks;
  PostedHooks.m_SendLog = [&Loop,
                           Send = Hooks.m_SendLog](const std::string &Address,
                                                   LogEnvelope Envelope) {
    auto Shared = std::make_shared<LogEnvelope>(std::move(Envelope));
    Loop.post([Send, Address, Shared] { Send(Address, std::move(*Shared)); });
  };
  PostedHooks.m_Push = [&Loop, Push = Hooks.m_Push](ControlSessionId Session,
                                                    ControlUpdate Update) {
    auto Shared = std::make_shared<ControlUpdate>(std::move(Update));
    Loop.post([Push, Session, Shared] { Push(Session, std::move(*Shared)); });
  };
  PostedHooks.m_CallBackend =
      [&Loop, Call = Hooks.m_CallBackend](const CallBackend &Action) {
        Loop.post([Call, Action] { Call(Action); });
      };
  PostedHooks.m_WriteTimeline =
      [&Loop, Write = Hooks.m_WriteTimeline](const std::string &Text) {
        Loop.post([Write, Text] { Write(Text); });
      };
  PostedHooks.m_LeadershipChanged =
      [&Loop, Changed = Hooks.m_LeadershipChanged](bool Ready) {
        Loop.post([Changed, Ready] { Changed(Ready); });
      };
  PostedHooks.m_Load = Hooks.m_Load;
  return PostedHooks;
}

void ControlActor::receive(LogEnvelope Envelope) {
  send(ControlTaskKind::LogMessage,
       [Envelope = std::move(Envelope)](ControlNode &Node, Instant Now) {
         Node.receive(Now, Envelope);
       });
}

void ControlActor::tick() {
  // If the actor is late, ticks must not pile up before its other messages.
  if (m_IsTickPending->exchange(true)) {
    return;
  }
  send(ControlTaskKind::Tick,
       [IsPending = m_IsTickPending](ControlNode &Node, Instant Now) {
         *IsPending = false;
         Node.tick(Now, wallNow());
       });
}

void ControlActor::openSession(OpenSession Command,
                               Respond<OpenSessionReply> Reply) {
  send(ControlTaskKind::OpenSession,
       [Command = std::move(Command),
        Reply = replyOnLoop(std::move(Reply))](ControlNode &Node, Instant Now) {
         Node.openSession(Now, Command, Reply);
       });
}

void ControlActor::renew(LeaseRenewal Renewal, Respond<RenewReply> Reply) {
  send(ControlTaskKind::Renewal,
       [Renewal = std::move(Renewal),
        Reply = replyOnLoop(std::move(Reply))](ControlNode &Node, Instant Now) {
         Node.renew(Now, Renewal, Reply);
       });
}

void ControlActor::report(std::vector<ServerAnnouncement> Announcements,
                          std::vector<ServerSuspicion> Suspicions,
                          Respond<ControlStatus> Reply) {
  send(ControlTaskKind::Report,
       [Announcements = std::move(Announcements),
        Suspicions = std::move(Suspicions),
        Reply = replyOnLoop(std::move(Reply))](ControlNode &Node, Instant Now) {
         Node.report(Now, Announcements, Suspicions, Reply);
       });
}

void ControlActor::command(ControlCommand Command,
                           Respond<CommandReply> Reply) {
  send(ControlTaskKind::Command,
       [Command = std::move(Command),
        Reply = replyOnLoop(std::move(Reply))](ControlNode &Node, Instant Now) {
         Node.command(Now, Command, Reply);
       });
}

void ControlActor::query(std::string QueryKind, std::string Name,
                         Respond<QueryReply> Reply) {
  send(ControlTaskKind::Query,
       [QueryKind = std::move(QueryKind), Name = std::move(Name),
        Reply = replyOnLoop(std::move(Reply))](ControlNode &Node, Instant Now) {
         Node.query(Now, QueryKind, Name, Reply);
       });
}

void ControlActor::takePermits(ControlSessionId Session,
                               std::vector<PermitDemand> Demands,
                               Respond<TakePermitsReply> Reply) {
  send(ControlTaskKind::Permits,
       [Session, Demands = std::move(Demands),
        Reply = replyOnLoop(std::move(Reply))](ControlNode &Node, Instant Now) {
         Node.takePermits(Now, Session, Demands, Reply);
       });
}

void ControlActor::revisionsConfirmed(ControlSessionId Session,
                                      Confirmation Confirmed) {
  send(ControlTaskKind::Confirmation,
       [Session, Confirmed = std::move(Confirmed)](ControlNode &Node,
                                                   Instant Now) {
         Node.revisionsConfirmed(Now, Session, Confirmed);
       });
}

void ControlActor::pushFailed(ControlSessionId Session) {
  send(ControlTaskKind::Confirmation,
       [Session](ControlNode &Node, Instant) { Node.pushFailed(Session); });
}

void ControlActor::backendCallCompleted(BackendCallResult Result) {
  send(ControlTaskKind::BackendResult,
       [Result = std::move(Result)](ControlNode &Node, Instant Now) {
         Node.backendCallCompleted(Now, Result);
       });
}

void ControlActor::peersIdentified(std::vector<PeerIdentity> Peers,
                                   bool AllBlank) {
  send(ControlTaskKind::Peers,
       [Peers = std::move(Peers), AllBlank](ControlNode &Node, Instant Now) {
         Node.peersIdentified(Now, Peers, AllBlank);
       });
}

void ControlActor::identify(Respond<IdentifyReply> Reply) {
  send(ControlTaskKind::Identify,
       [Reply = replyOnLoop(std::move(Reply))](ControlNode &Node, Instant) {
         Reply(Node.identify());
       });
}

void ControlActor::shouldAwaitRemoval(Respond<bool> Reply) {
  send(ControlTaskKind::Identify,
       [Reply = replyOnLoop(std::move(Reply))](ControlNode &Node, Instant) {
         Reply(Node.shouldAwaitRemoval());
       });
}

void ControlActor::send(ControlTaskKind Kind, Task Work) {
  m_Load->taskPosted();
  ControlTaskMessage Message{std::move(Work), Kind, monotonicNow()};
  if (isUrgent(Kind)) {
    caf::anon_send<caf::message_priority::high>(m_Handle->m_Actor,
                                                std::move(Message));
  } else {
    caf::anon_send(m_Handle->m_Actor, std::move(Message));
  }
}

template <typename Reply>
ControlActor::Respond<Reply>
ControlActor::replyOnLoop(Respond<Reply> Callback) const {
  IoLoop &Loop = m_Loop;
  // The callback's captures belong to the event loop, so it must be destroyed
  // there too, whichever thread releases the last reference.
  const auto DestroyOnLoop = [&Loop](Respond<Reply> *Old) {
    Loop.post([Old] { std::default_delete<Respond<Reply>>()(Old); });
  };
  const std::shared_ptr<Respond<Reply>> SharedCallback(
      std::make_unique<Respond<Reply>>(std::move(Callback)).release(),
      DestroyOnLoop);
  return [&Loop, SharedCallback](Reply Value) {
    auto Shared = std::make_shared<Reply>(std::move(Value));
    Loop.post(
        [SharedCallback, Shared] { (*SharedCallback)(std::move(*Shared)); });
  };
}

} // namespace ragwortmux
