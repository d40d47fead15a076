#ifndef RAGWORTMUX_PROCESS_ENTRY_ENTRYROLE_H
#define RAGWORTMUX_PROCESS_ENTRY_ENTRYROLE_H

#include "ragwortmux/Process/Entry/CallerServer.h"
#include "ragwortmux/Process/Entry/ControlClient.h"
#include "ragwortmux/Process/Entry/GroupDriver.h"
#include "ragwortmux/Process/Entry/SessionPointStore.h"
#include "ragwortmux/Version/CatalogueCache.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace ragwortmux {

class ActorSystem;
class IoLoop;
class Metrics;
class Timeline;
struct ProcessSettings;

/// The entry role of a process: serves callers over the PostgreSQL protocol,
/// drives the decision core of each group and maintains the control session.
///
/// Used on the event loop's thread only.
class EntryRole final {
public:
  EntryRole(IoLoop &Loop, ActorSystem &Actors, const ProcessSettings &Settings,
            Metrics &ProcessMetrics, Timeline &Events);
  ~EntryRole();
  EntryRole(const EntryRole &) = delete;
  EntryRole &operator=(const EntryRole &) = delete;

  /// Listens for callers; returns the port.
  std::uint16_t listen();
  /// Opens the control session. \p RpcPort is the port on which this process
  /// serves RPC.
  void start(std::uint16_t RpcPort);

  /// Refuses new transactions; \p Done is called once all callers have
  /// disconnected and control has been asked to end the session.
  void drain(std::function<void()> Done);
  /// True while new callers are accepted: the catalogue is known and no drain
  /// has started.
  bool isReady() const;

  /// The client of the control hosts.
  ControlClient &control() { return *m_Control; }
  /// The log positions of callers' sessions.
  SessionPointStore &sessionPoints() { return m_SessionPoints; }
  /// The state of this process as JSON, for operators.
  std::string statusJson() const;

private:
  bool hasLease() const;
  void createControlClient(std::uint16_t RpcPort);
  void createCallerServer();
  ResultCode refuseKey(const EntryName &Entry, const WorkspaceId &Previous);
  GroupDriver &findOrCreateDriver(const GroupId &Group);
  GroupDriverHooks driverHooks(const GroupId &Group);
  void applyUpdate(const ControlUpdate &Update);
  Confirmation confirmation() const;
  void submit(GroupRequest Request);
  void reserveKey(const GroupId &Group, const ReserveRequestKey &Action);
  void sendReservation(const GroupId &Group, const ReserveRequestKey &Action);
  void recordOutcome(const GroupId &Group, const RecordKeyOutcome &Action);
  void checkDrained();
  void endSession();

  IoLoop &m_Loop;                           ///< The event loop.
  ActorSystem &m_Actors;                    ///< The actor system.
  const ProcessSettings &m_Settings;        ///< The process's settings.
  Metrics &m_Metrics;                       ///< The process's metrics.
  Timeline &m_Timeline;                     ///< The process's event timeline.
  CatalogueCache m_Catalogue;               ///< The catalogue in use.
  WorkspaceMetrics m_WorkspaceMetrics;      ///< Metrics by workspace.
  Incarnation m_Incarnation;                ///< Identifies this process start.
  SessionPointStore m_SessionPoints;        ///< Log positions of sessions.
  std::unique_ptr<ControlClient> m_Control; ///< Control session and lease.
  std::unique_ptr<CallerServer> m_Callers;  ///< Connections of callers.
  std::map<GroupId, std::shared_ptr<GroupDriver>>
      m_Groups;                      ///< Drivers by group.
  Instant m_LeaseExpiry{};           ///< End of the lease.
  std::function<void()> m_DrainDone; ///< Passed to drain().
  bool m_Draining = false;           ///< drain() was called.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_ENTRY_ENTRYROLE_H
