#ifndef RAGWORTMUX_PROCESS_DAEMON_H
#define RAGWORTMUX_PROCESS_DAEMON_H

#include "ragwortmux/Process/Loop/ActorSystem.h"
#include "ragwortmux/Process/Loop/IoLoop.h"
#include "ragwortmux/Process/Operators/HttpEndpoint.h"
#include "ragwortmux/Process/Operators/OperatorApi.h"
#include "ragwortmux/Process/Peers/RpcServer.h"
#include "ragwortmux/Process/ProtocolAdapter.h"
#include "ragwortmux/Process/Support/HybridClock.h"
#include "ragwortmux/Process/Support/Metrics.h"
#include "ragwortmux/Process/Support/ProcessSettings.h"
#include "ragwortmux/Process/Support/SettingFile.h"
#include "ragwortmux/Process/Support/Timeline.h"

#include <memory>

namespace ragwortmux {

class ControlRole;
class EntryRole;

/// The process of `ragwortmux serve`: starts the configured roles and network
/// endpoints, reloads the settings, and drains the roles at the end.
class Daemon final {
public:
  /// \p CreateAdapter creates the adapter if the settings name a caller
  /// protocol other than PostgreSQL.
  Daemon(ProcessSettings Settings, const ProtocolAdapterFactory &CreateAdapter);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  /// Serves until SIGTERM, SIGINT or a drain request of an operator; returns
  /// the exit status. Without an adapter, this line is written to standard
  /// output once all ports are listening:
  /// `ready caller=PORT http=PORT rpc=PORT`
  int run();

private:
  bool startRoles();
  bool startAdapterRoles();
  void startEndpoints();
  std::uint16_t startRpc();
  void startAdapterEndpoints();
  void createControlClient();
  void reloadSettings();
  void watchSignals();
  void watchReloadSignal();
  void drain();
  void leaveControl();
  void stop(int Status);
  std::string localStatus() const;

  const ProcessSettings m_Settings;       ///< The settings.
  HybridClock m_Clock;                    ///< Timestamps events.
  Timeline m_Timeline;                    ///< The event timeline.
  Metrics m_Metrics;                      ///< The metrics.
  IoLoop m_Loop;                          ///< The event loop.
  ActorSystem m_Actors;                   ///< The actor system.
  std::unique_ptr<ControlRole> m_Control; ///< Null without the control role.
  std::unique_ptr<EntryRole> m_Entry;     ///< Null without the entry role.
  std::unique_ptr<ProtocolAdapter>
      m_Adapter; ///< Null with the built-in protocols.
  std::unique_ptr<SessionEntryRole>
      m_SessionEntry; ///< Entry role with an adapter.
  std::unique_ptr<ControlClient> m_ControlClient; ///< Used by the adapter to
                                                  ///< reach the leader.
  SettingFile m_LoadedSettings;     ///< The settings file last loaded.
  std::unique_ptr<RpcServer> m_Rpc; ///< Serves other processes of the cluster.
  std::unique_ptr<OperatorApi> m_Api;   ///< Handles operators' requests.
  std::unique_ptr<HttpEndpoint> m_Http; ///< Serves HTTP.
  int m_ExitStatus = 0;                 ///< Result of run().
  bool m_Draining = false;              ///< drain() was called.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_DAEMON_H
