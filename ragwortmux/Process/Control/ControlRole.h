#ifndef RAGWORTMUX_PROCESS_CONTROL_CONTROLROLE_H
#define RAGWORTMUX_PROCESS_CONTROL_CONTROLROLE_H

#include "ragwortmux/Process/Backend/BackendConnection.h"
#include "ragwortmux/Process/Control/ControlActor.h"
#include "ragwortmux/Process/Peers/LogDatagrams.h"
#include "ragwortmux/Process/Peers/RpcServer.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortmux {

class ActorSystem;
class ControlLoad;
class IoLoop;
class Metrics;
class PeerLink;
class Timeline;
struct ControlPeer;
struct ProcessSettings;

/// The control role of a process: runs the control node and connects it to the
/// other control hosts, the entry processes and the backend servers.
///
/// Lives on the event loop.
class ControlRole final {
public:
  ControlRole(IoLoop &Loop, ActorSystem &Actors,
              const ProcessSettings &Settings, Metrics &ProcessMetrics,
              Timeline &Events);
  ~ControlRole();
  ControlRole(const ControlRole &) = delete;
  ControlRole &operator=(const ControlRole &) = delete;

  /// Reads the data folder. False with lastCode() and lastReason() on failure.
  bool open();
  /// Calls a backend server in place of the PostgreSQL functions; calls \p Done
  /// with the result exactly once, on the event loop.
  using BackendCaller = std::function<void(
      const CallBackend &Call, std::function<void(BackendCallResult)> Done)>;
  void setBackendCaller(BackendCaller Caller) {
    m_BackendCaller = std::move(Caller);
  }
  /// Adds control hosts to contact besides the known ones.
  void addPeers(const std::vector<ControlPeer> &Peers);

  /// Sets the hooks for the calls that the control role answers.
  void serve(RpcServerHooks &Hooks);
  /// Starts the socket for datagrams, the ticks of the node and the
  /// identification of the other control hosts.
  void start();

  /// Hands the vote of this host to another control host, if there is one that
  /// can take its place. Calls \p Done once this host has been removed from the
  /// log, if there is none, or after a part of the drain timeout.
  void leave(std::function<void()> Done);

  /// True while this process is the leader.
  bool isLeader() const { return m_IsLeader; }
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
  struct KnownPeer;
  std::string ownAddress() const;
  /// True if control hosts that the settings do not list may take part.
  bool discoversPeers() const;
  void identifyPeers();
  void recordPeer(const std::string &Address, Instant AskedAt,
                  const IdentifyReply &Reply);
  void checkLeave();
  void finishLeave(std::string_view Why);
  bool hasRemovedThisHost(const IdentifyReply &Reply) const;
  void removeExpiredPeers();
  void reportPeers();
  void leadershipChanged(bool Ready);

  IoLoop &m_Loop;                        ///< The event loop.
  ActorSystem &m_Actors;                 ///< The actor system.
  const ProcessSettings &m_Settings;     ///< The process's settings.
  Metrics &m_Metrics;                    ///< The process's metrics.
  Timeline &m_Timeline;                  ///< The process's timeline.
  std::shared_ptr<ControlLoad> m_Load;   ///< Measures the node's work.
  std::unique_ptr<ControlActor> m_Actor; ///< Runs the node.
  LogDatagrams m_Datagrams;              ///< Small messages of the log.
  std::map<std::string, std::unique_ptr<PeerLink>>
      m_Links; ///< Other members, by address.
  std::map<ControlSessionId, UpdateListener>
      m_Listeners;          ///< Deliver updates to entry processes.
  IdentifyReply m_Identity; ///< The node's last answer to identify().
  std::map<std::string, KnownPeer> m_Peers; ///< Control hosts, by address.
  BackendCaller m_BackendCaller;            ///< See setBackendCaller().
  bool m_IsLeader = false;                  ///< See isLeader().
  bool m_IsLeaving = false;                 ///< leave() has been called.
  Instant m_LeaveUntil;                     ///< Latest time to end leave().
  std::function<void()> m_LeaveDone;        ///< Called at the end of leave().
  ResultCode m_LastCode = ResultCode::Ok;   ///< See lastCode().
  std::string m_LastReason;                 ///< See lastReason().
};

/// A control host that the settings list, that is a member of the log, or that
/// has asked to become one.
struct ControlRole::KnownPeer final {
  bool m_IsListed = false;  ///< The settings list it.
  bool m_IsBlank = false;   ///< It answered that its log is empty.
  bool m_IsLeaving = false; ///< It waits to be removed before it ends.
  std::string m_Voter;   ///< Identity of its data folder; empty: no answer yet.
  Instant m_AskedAt;     ///< When it was asked for its last answer.
  Instant m_AnsweredAt;  ///< Time of its last answer.
  Instant m_LastNamedAt; ///< When it last answered or was named by a peer.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_CONTROL_CONTROLROLE_H
