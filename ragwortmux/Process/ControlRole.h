#ifndef RAGWORTMUX_PROCESS_CONTROLROLE_H
#define RAGWORTMUX_PROCESS_CONTROLROLE_H

#include "ragwortmux/Process/BackendConnection.h"
#include "ragwortmux/Process/ControlActor.h"
#include "ragwortmux/Process/RpcServer.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace ragwortmux {

class ActorHost;
class IoLoop;
class Metrics;
class PeerLink;
class Timeline;
struct ProcessSettings;

/// The control role of a process: runs the control node, connects it with the
/// other control hosts, the entry processes and the backend servers.
///
/// Lives on the event loop.
class ControlRole final {
public:
  ControlRole(IoLoop &Loop, ActorHost &Actors, const ProcessSettings &Settings,
              Metrics &Figures, Timeline &Events);
  ~ControlRole();
  ControlRole(const ControlRole &) = delete;
  ControlRole &operator=(const ControlRole &) = delete;

  /// Reads the data folder. False with lastCode() and lastReason() on failure.
  bool open();
  /// Fills in what control answers to other processes.
  void serve(RpcServerHooks &Hooks);
  /// Starts to take part.
  void start();

  /// True while this process is the leader.
  bool leads() const { return m_Leads; }
  ResultCode lastCode() const { return m_LastCode; }
  const std::string &lastReason() const { return m_LastReason; }

private:
  struct BackendCall;
  ControlNodeHooks nodeHooks();
  std::unique_ptr<ControlNode> makeNode();
  PeerLink &link(const std::string &Address);
  void sendLog(const std::string &Address, const LogEnvelope &Envelope);
  void push(ControlSessionId Session, const ControlUpdate &Update);
  void callBackend(const CallBackend &Call);
  void runBackendCall(const std::shared_ptr<BackendCall> &Call);
  void finishBackendCall(const std::shared_ptr<BackendCall> &Call,
                         const std::optional<StatementResult> &Result,
                         const std::string &Reason);
  void identifyPeers();
  void leadershipChanged(bool Ready);

  IoLoop &m_Loop;                        ///< The event loop.
  ActorHost &m_Actors;                   ///< The actor system.
  const ProcessSettings &m_Settings;     ///< The process's settings.
  Metrics &m_Metrics;                    ///< The process's metrics.
  Timeline &m_Timeline;                  ///< The process's time line.
  std::unique_ptr<ControlActor> m_Actor; ///< Runs the node.
  std::map<std::string, std::unique_ptr<PeerLink>>
      m_Links; ///< Other members, by address.
  std::map<ControlSessionId, UpdateListener> m_Listeners; ///< Entry processes.
  IdentifyReply m_Identity;               ///< As the node last said.
  bool m_Leads = false;                   ///< See leads().
  ResultCode m_LastCode = ResultCode::Ok; ///< See lastCode().
  std::string m_LastReason;               ///< See lastReason().
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_CONTROLROLE_H
