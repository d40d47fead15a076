#ifndef RAGWORTMUX_PROCESS_CONTROL_CONTROLACTOR_H
#define RAGWORTMUX_PROCESS_CONTROL_CONTROLACTOR_H

#include "ragwortmux/Process/Control/ControlNode.h"
#include "ragwortmux/Process/Control/ControlNodeOwner.h"
#include "ragwortmux/Process/Control/ControlTaskKind.h"

#include <atomic>
#include <functional>
#include <memory>

namespace ragwortmux {

class ActorSystem;
class ControlLoad;
class IoLoop;

/// Runs a ControlNode in an actor with a thread of its own, because the node
/// blocks on disk writes.
///
/// Called on the event loop; hooks and replies run on the event loop too.
class ControlActor final {
public:
  template <typename Reply> using Respond = std::function<void(Reply)>;

  /// \p Owner must be open. \p Load measures the tasks.
  ControlActor(IoLoop &Loop, ActorSystem &Actors,
               std::unique_ptr<ControlNodeOwner> Owner,
               std::shared_ptr<ControlLoad> Load);
  ~ControlActor();
  ControlActor(const ControlActor &) = delete;
  ControlActor &operator=(const ControlActor &) = delete;

  /// Returns \p Hooks with each call posted to the event loop, for the
  /// constructor of the node.
  static ControlNodeHooks hooksOnLoop(IoLoop &Loop,
                                      const ControlNodeHooks &Hooks);

  void receive(LogEnvelope Envelope);
  void tick();
  void openSession(OpenSession Command, Respond<OpenSessionReply> Reply);
  void renew(LeaseRenewal Renewal, Respond<RenewReply> Reply);
  void report(std::vector<ServerAnnouncement> Announcements,
              std::vector<ServerSuspicion> Suspicions,
              Respond<ControlStatus> Reply);
  void command(ControlCommand Command, Respond<CommandReply> Reply);
  void query(std::string QueryKind, std::string Name,
             Respond<QueryReply> Reply);
  void takePermits(ControlSessionId Session, std::vector<PermitDemand> Demands,
                   Respond<TakePermitsReply> Reply);
  void revisionsConfirmed(ControlSessionId Session, Confirmation Confirmed);
  void pushFailed(ControlSessionId Session);
  void backendCallCompleted(BackendCallResult Result);
  void peersIdentified(std::vector<PeerIdentity> Peers, bool AllBlank);
  void identify(Respond<IdentifyReply> Reply);
  void shouldAwaitRemoval(Respond<bool> Reply);

private:
  using Task = std::function<void(ControlNode &Node, Instant Now)>;
  struct Handle;

  void send(ControlTaskKind Kind, Task Work);
  template <typename Reply>
  Respond<Reply> replyOnLoop(Respond<Reply> Callback) const;

  IoLoop &m_Loop;                      ///< Runs hooks and replies.
  std::unique_ptr<Handle> m_Handle;    ///< Refers to the actor.
  std::shared_ptr<ControlLoad> m_Load; ///< Measures the tasks.
  std::shared_ptr<std::atomic<bool>>
      m_IsTickPending; ///< A tick waits to be handled by the actor.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_CONTROL_CONTROLACTOR_H
