#ifndef RAGWORTMUX_PROCESS_ENTRY_CONTROLCLIENT_H
#define RAGWORTMUX_PROCESS_ENTRY_CONTROLCLIENT_H

#include "ragwortmux/Connection/Backoff.h"
#include "ragwortmux/Process/Entry/LeaseLog.h"
#include "ragwortmux/Process/Peers/ControlMessages.h"
#include "ragwortmux/Process/Peers/PeerLink.h"
#include "ragwortmux/Process/Support/ControlPeer.h"
#include "ragwortmux/Version/ControlCommand.h"
#include "ragwortmux/Version/ProxyLease.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ragwortmux {

class IoLoop;
class Metrics;
class Secret;
struct ProcessSettings;

/// Settings of the connection from an entry process to the control hosts.
struct ControlClientSettings final {
  EntryAddress m_Self;                     ///< Address of this process.
  Incarnation m_Incarnation;               ///< Identifies this process start.
  std::vector<ControlPeer> m_ControlPeers; ///< All control hosts.
  Duration m_RenewalInterval{0};           ///< Time between two renewals.
  Duration m_CallTimeout{0};               ///< Timeout of one RPC call.
  DriftBound m_Drift;           ///< Bound on the drift between clocks.
  Metrics *m_Metrics = nullptr; ///< Counts calls; null: none does.
};

/// The control client settings of a process with \p Settings that serves RPC
/// on \p RpcPort.
ControlClientSettings controlClientSettings(const ProcessSettings &Settings,
                                            std::uint16_t RpcPort,
                                            Incarnation OwnIncarnation,
                                            Metrics *ProcessMetrics);

/// Callbacks from the client into its process, called on the event loop.
struct ControlClientHooks final {
  /// Applies an update; it must be in effect when the call returns.
  std::function<void(const ControlUpdate &Update)> m_Update;
  /// Returns the revisions that this process has put into effect.
  std::function<Confirmation()> m_Confirmation;
  /// Returns the number of connections that the groups could use.
  std::function<std::vector<ShareDemand>()> m_Demand;
  /// Returns the groups that this process serves; not set, or none returned:
  /// all groups.
  std::function<std::optional<std::set<GroupId>>()> m_ServedGroups;
  /// Called when the lease was extended to \p ValidUntil.
  std::function<void(Instant ValidUntil)> m_LeaseExtended;
  /// Called when a session was opened; \p Changed is false if it is the session
  /// that the client had before.
  std::function<void(ControlSessionId Session, bool Changed)> m_SessionOpened;
};

/// The entry role's client of the control hosts: finds the leader, maintains
/// the control session and its lease, receives updates, and sends reports and
/// commands.
class ControlClient final {
public:
  ControlClient(IoLoop &Loop, const Secret &ClusterKey,
                ControlClientSettings Settings, ControlClientHooks Hooks);
  ~ControlClient();
  ControlClient(const ControlClient &) = delete;
  ControlClient &operator=(const ControlClient &) = delete;

  /// Opens a session and renews it periodically.
  void start();
  /// Adds control hosts that are not known yet.
  void addPeers(const std::vector<ControlPeer> &Peers);
  /// Ends the session without opening another; commands are still sent. \p Done
  /// is called exactly once, when control has answered or after \p Timeout.
  void endSession(Duration Timeout, std::function<void()> Done);
  /// Renews the lease immediately instead of at the next interval, for example
  /// to confirm newly applied revisions early.
  void renewNow();

  /// Proposes an idempotent command to the leader; retried until \p Deadline.
  void command(const ControlCommand &Command, Instant Deadline,
               const std::function<void(CommandReply)> &Reply);
  /// Queries the leader's state; retried until \p Deadline.
  void query(const std::string &QueryKind, const std::string &Name,
             Instant Deadline, const std::function<void(QueryReply)> &Reply);

  /// Takes permits for operations of limited workspaces from the leader, in one
  /// attempt. The reply is empty if no leader answered; the next attempt may go
  /// to another host.
  void takePermits(
      const std::vector<PermitDemand> &Demands,
      const std::function<void(const std::optional<PermitGrants> &)> &Reply);

  /// Sends an announcement with the next report. Of each server, only the
  /// newest announcement is sent.
  void announce(const ServerAnnouncement &Announcement);
  /// Sends an announcement until the leader has accepted it or \p Deadline has
  /// passed.
  void deliver(const ServerAnnouncement &Announcement, Instant Deadline,
               const std::function<void(bool Delivered)> &Reply);
  /// Reports to the leader that a server may have failed.
  void reportSuspicion(const GroupId &Group, const ServerId &Server,
                       SuspicionKind Kind);

  /// The control session; 0 if there is none.
  ControlSessionId session() const { return m_Lease.session(); }
  /// The end of the lease.
  Instant leaseExpiry() const { return m_Lease.validUntil(); }

private:
  void maintainSession();
  void openSession();
  void renew();
  void handleRenewReply(std::size_t TargetIndex, ControlSessionId Session,
                        std::uint64_t Sequence,
                        const std::optional<RenewReply> &Reply);
  void applyUpdate(const ControlUpdate &Update);
  /// Notes an answer of the host \p TargetIndex other than a grant; null: the
  /// call failed.
  void noteAnswer(std::size_t TargetIndex, const ControlStatus *Status);
  void addLink(const SocketAddress &Address);
  void scheduleReport();
  void sendReports();
  void tryCommand(const std::string &Bytes, Instant Deadline, Backoff Pauses,
                  const std::function<void(CommandReply)> &Reply);
  void tryQuery(const std::string &QueryKind, const std::string &Name,
                Instant Deadline, Backoff Pauses,
                const std::function<void(QueryReply)> &Reply);
  void tryDeliver(const ServerAnnouncement &Announcement, Instant Deadline,
                  Backoff Pauses,
                  const std::function<void(bool Delivered)> &Reply);
  /// Opens the session again at the same host, because the connection over
  /// which it pushes has ended with a failed call.
  void registerAgain(std::size_t TargetIndex);
  void followLeaderHint(std::size_t TargetIndex, const ControlStatus &Status);
  void switchToNextHost(std::size_t TargetIndex);
  void scheduleMaintenance(Duration Delay);
  PeerLink &leaderLink() { return *m_Links[m_LeaderIndex]; }

  IoLoop &m_Loop;                   ///< The event loop.
  const Secret &m_ClusterKey;       ///< Authenticates this process.
  ControlClientSettings m_Settings; ///< Addresses and timeouts.
  ControlClientHooks m_Hooks;       ///< Callbacks of the process.
  std::vector<std::unique_ptr<PeerLink>>
      m_Links;                           ///< One for each control host.
  std::size_t m_LeaderIndex = 0;         ///< Index of the presumed leader.
  ProxyLease m_Lease;                    ///< Session and lease.
  LeaseLog m_LeaseLog;                   ///< Log lines about the lease.
  Backoff m_Backoff;                     ///< Pauses while no leader answers.
  bool m_IsRegistered = false;           ///< The leader pushes updates here.
  bool m_Stopped = false;                ///< endSession() was called.
  bool m_IsOpening = false;              ///< An openSession call is in flight.
  bool m_IsReportScheduled = false;      ///< sendReports() is scheduled.
  Instant m_ReportedAt{};                ///< When reports were last sent.
  std::uint64_t m_MaintenanceNumber = 0; ///< Number of the newest scheduled
                                         ///< call; older ones are skipped.
  std::vector<ServerAnnouncement> m_Announcements; ///< For the next report.
  std::vector<ServerSuspicion> m_Suspicions;       ///< For the next report.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_ENTRY_CONTROLCLIENT_H
