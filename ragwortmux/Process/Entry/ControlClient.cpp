#include "ragwortmux/Process/Entry/ControlClient.h"

#include "ragwortmux/Process/Loop/IoLoop.h"
#include "ragwortmux/Process/Loop/SystemClock.h"
#include "ragwortmux/Process/Loop/SystemRandom.h"
#include "ragwortmux/Process/Peers/CommandCodec.h"
#include "ragwortmux/Process/Support/Log.h"
#include "ragwortmux/Process/Support/ProcessSettings.h"

#include <algorithm>
#include <utility>

namespace ragwortmux {

namespace {

/// How long reports are collected before they are sent together.
constexpr Duration ReportDelay = std::chrono::milliseconds(10);
/// Minimum time between two reports, so that many failing statements do not
/// become as many calls.
constexpr Duration ReportInterval = std::chrono::milliseconds(100);
/// Limit on the number of control hosts.
constexpr std::size_t MaxLinks = 64;

} // namespace

ControlClientSettings controlClientSettings(const ProcessSettings &Settings,
                                            std::uint16_t RpcPort,
                                            Incarnation OwnIncarnation,
                                            Metrics *ProcessMetrics) {
  ControlClientSettings Client;
  Client.m_Self = {Settings.m_Host, Settings.m_FailureDomain,
                   Settings.m_Address, RpcPort};
  Client.m_Incarnation = OwnIncarnation;
  Client.m_ControlPeers = Settings.m_ControlPeers;
  Client.m_RenewalInterval = Settings.m_RenewalInterval;
  Client.m_CallTimeout = Settings.m_RequestTimeout;
  Client.m_Drift.m_Percent = Settings.m_DriftPercent;
  Client.m_Drift.m_Fixed = Settings.m_Drift;
  Client.m_Metrics = ProcessMetrics;
  return Client;
}

ControlClient::ControlClient(IoLoop &Loop, const Secret &ClusterKey,
                             ControlClientSettings Settings,
                             ControlClientHooks Hooks)
    : m_Loop(Loop), m_ClusterKey(ClusterKey), m_Settings(std::move(Settings)),
      m_Hooks(std::move(Hooks)), m_Lease(m_Settings.m_Drift) {
  for (const ControlPeer &Peer : m_Settings.m_ControlPeers) {
    addLink(Peer.m_Endpoint);
  }
}

ControlClient::~ControlClient() = default;

void ControlClient::start() { scheduleMaintenance(Duration(0)); }

void ControlClient::addLink(const SocketAddress &Address) {
  PeerLinkSettings Link;
  Link.m_OwnHost = m_Settings.m_Self.m_Host;
  Link.m_Address = Address.m_Address;
  Link.m_Port = Address.m_Port;
  Link.m_CallTimeout = m_Settings.m_CallTimeout;
  Link.m_Metrics = m_Settings.m_Metrics;
  m_Links.push_back(std::make_unique<PeerLink>(m_Loop, m_ClusterKey, Link));
}

void ControlClient::addPeers(const std::vector<ControlPeer> &Peers) {
  for (const ControlPeer &Peer : Peers) {
    if (m_Links.size() >= MaxLinks) {
      return;
    }
    const bool IsKnown = std::ranges::any_of(
        m_Settings.m_ControlPeers, [&](const ControlPeer &Known) {
          return Known.m_Endpoint == Peer.m_Endpoint;
        });
    if (IsKnown) {
      continue;
    }
    m_Settings.m_ControlPeers.push_back(Peer);
    addLink(Peer.m_Endpoint);
  }
}

void ControlClient::renewNow() { scheduleMaintenance(Duration(0)); }

void ControlClient::scheduleMaintenance(Duration Delay) {
  const std::uint64_t Number = ++m_MaintenanceNumber;
  m_Loop.after(Delay, [this, Number] {
    // Skipped if maintenance was scheduled anew in the meantime.
    if (Number == m_MaintenanceNumber) {
      maintainSession();
    }
  });
}

void ControlClient::maintainSession() {
  if (m_Stopped) {
    return;
  }
  scheduleMaintenance(m_Settings.m_RenewalInterval);
  m_LeaseLog.check(monotonicNow(), m_Lease.validUntil());
  if (!m_IsRegistered) {
    openSession();
    return;
  }
  renew();
}

void ControlClient::openSession() {
  if (m_IsOpening) {
    return;
  }
  m_IsOpening = true;
  const std::size_t TargetIndex = m_LeaderIndex;
  leaderLink().openSession(
      m_Settings.m_Self, m_Settings.m_Incarnation,
      [this](ControlSessionId Session, const ControlUpdate &Update) {
        if (Session != m_Lease.session()) {
          return Confirmation();
        }
        applyUpdate(Update);
        return m_Hooks.m_Confirmation();
      },
      [this, TargetIndex](const std::optional<OpenSessionReply> &Reply) {
        m_IsOpening = false;
        if (!Reply || !Reply->m_Status.ok()) {
          noteAnswer(TargetIndex, Reply ? &Reply->m_Status : nullptr);
          Reply ? followLeaderHint(TargetIndex, Reply->m_Status)
                : switchToNextHost(TargetIndex);
          scheduleMaintenance(m_Backoff.nextPause(systemRandom()));
          return;
        }
        m_Backoff.reset();
        m_IsRegistered = TargetIndex == m_LeaderIndex;
        const bool Changed = Reply->m_Session != m_Lease.session();
        if (Changed) {
          m_Lease.sessionOpened(Reply->m_Session);
        }
        m_Hooks.m_SessionOpened(Reply->m_Session, Changed);
        scheduleMaintenance(Duration(0));
      });
}

void ControlClient::renew() {
  LeaseRenewal Renewal;
  const Confirmation Confirmed = m_Hooks.m_Confirmation();
  Renewal.m_Session = m_Lease.session();
  Renewal.m_Confirmed = Confirmed.m_Groups;
  Renewal.m_Catalogue = Confirmed.m_Catalogue;
  Renewal.m_Homes = Confirmed.m_Homes;
  Renewal.m_Demand = m_Hooks.m_Demand();
  if (m_Hooks.m_ServedGroups) {
    Renewal.m_ServedGroups = m_Hooks.m_ServedGroups();
  }
  Renewal.m_Sequence = m_Lease.renewalSent(monotonicNow());
  leaderLink().renew(
      Renewal,
      [this, TargetIndex = m_LeaderIndex, Session = Renewal.m_Session,
       Sequence = Renewal.m_Sequence](const std::optional<RenewReply> &Reply) {
        handleRenewReply(TargetIndex, Session, Sequence, Reply);
      });
}

void ControlClient::handleRenewReply(std::size_t TargetIndex,
                                     ControlSessionId Session,
                                     std::uint64_t Sequence,
                                     const std::optional<RenewReply> &Reply) {
  if (!Reply || !Reply->m_Status.ok()) {
    noteAnswer(TargetIndex, Reply ? &Reply->m_Status : nullptr);
  }
  if (!Reply) {
    switchToNextHost(TargetIndex);
    scheduleMaintenance(m_Backoff.nextPause(systemRandom()));
    return;
  }
  if (Reply->m_Status.m_Code == ResultCode::Unauthorized) {
    logWarn(Part::Control, "The control session has ended; opening a new one.");
    if (Session == m_Lease.session()) {
      m_Lease.sessionLost();
      m_IsRegistered = false;
    }
    scheduleMaintenance(Duration(0));
    return;
  }
  if (!Reply->m_Status.ok()) {
    followLeaderHint(TargetIndex, Reply->m_Status);
    scheduleMaintenance(m_Backoff.nextPause(systemRandom()));
    return;
  }
  // Records of an earlier session may be outdated.
  if (Session != m_Lease.session()) {
    return;
  }
  // The update is applied first: the lease covers only revisions that are
  // already in effect here.
  m_Backoff.reset();
  applyUpdate(Reply->m_Update);
  if (m_Lease.renewalGranted(Session, Sequence, Reply->m_Lease)) {
    m_LeaseLog.granted(monotonicNow(), m_Lease.validUntil());
    m_Hooks.m_LeaseExtended(m_Lease.validUntil());
  }
}

void ControlClient::noteAnswer(std::size_t TargetIndex,
                               const ControlStatus *Status) {
  const std::string Answer =
      Status == nullptr ? "no_answer"
                        : std::string(resultCodeInfo(Status->m_Code).m_Name);
  m_LeaseLog.answered(
      formatSocketAddress(m_Settings.m_ControlPeers[TargetIndex].m_Endpoint),
      Answer);
}

void ControlClient::applyUpdate(const ControlUpdate &Update) {
  m_Hooks.m_Update(Update);
}

void ControlClient::endSession(Duration Timeout, std::function<void()> Done) {
  m_Stopped = true;
  const auto PendingCallback =
      std::make_shared<std::function<void()>>(std::move(Done));
  const auto Finish = [PendingCallback] {
    if (const auto Callback = std::exchange(*PendingCallback, nullptr)) {
      Callback();
    }
  };
  command(EndSession{session()}, monotonicNow() + Timeout,
          [Finish](const CommandReply &) { Finish(); });
  // A single call to an unresponsive control host may take longer.
  m_Loop.after(Timeout, Finish);
}

void ControlClient::command(const ControlCommand &Command, Instant Deadline,
                            const std::function<void(CommandReply)> &Reply) {
  tryCommand(encodeCommand(Command), Deadline, Backoff(), Reply);
}

void ControlClient::tryCommand(const std::string &Bytes, Instant Deadline,
                               Backoff Pauses,
                               const std::function<void(CommandReply)> &Reply) {
  leaderLink().command(
      Bytes, [this, TargetIndex = m_LeaderIndex, Bytes, Deadline, Pauses,
              Reply](const std::optional<CommandReply> &Response) mutable {
        const bool Answered =
            Response && Response->m_Status.m_Code != ResultCode::NotLeader &&
            Response->m_Status.m_Code != ResultCode::Unreachable;
        if (Answered) {
          Reply(*Response);
          return;
        }
        Response ? followLeaderHint(TargetIndex, Response->m_Status)
                 : switchToNextHost(TargetIndex);
        const Duration Pause = Pauses.nextPause(systemRandom());
        if (monotonicNow() + Pause >= Deadline) {
          Reply({{ResultCode::Unreachable,
                  "no control leader answered before the deadline", ""},
                 {}});
          return;
        }
        m_Loop.after(Pause, [this, Bytes, Deadline, Pauses, Reply] {
          tryCommand(Bytes, Deadline, Pauses, Reply);
        });
      });
}

void ControlClient::query(const std::string &QueryKind, const std::string &Name,
                          Instant Deadline,
                          const std::function<void(QueryReply)> &Reply) {
  tryQuery(QueryKind, Name, Deadline, Backoff(), Reply);
}

void ControlClient::tryQuery(const std::string &QueryKind,
                             const std::string &Name, Instant Deadline,
                             Backoff Pauses,
                             const std::function<void(QueryReply)> &Reply) {
  leaderLink().query(
      QueryKind, Name,
      [this, TargetIndex = m_LeaderIndex, QueryKind, Name, Deadline, Pauses,
       Reply](const std::optional<QueryReply> &Response) mutable {
        if (Response && Response->m_Status.m_Code != ResultCode::NotLeader) {
          Reply(*Response);
          return;
        }
        Response ? followLeaderHint(TargetIndex, Response->m_Status)
                 : switchToNextHost(TargetIndex);
        const Duration Pause = Pauses.nextPause(systemRandom());
        if (monotonicNow() + Pause >= Deadline) {
          Reply({{ResultCode::Unreachable,
                  "no control leader answered before the deadline", ""},
                 ""});
          return;
        }
        m_Loop.after(Pause, [this, QueryKind, Name, Deadline, Pauses, Reply] {
          tryQuery(QueryKind, Name, Deadline, Pauses, Reply);
        });
      });
}

void ControlClient::takePermits(
    const std::vector<PermitDemand> &Demands,
    const std::function<void(const std::optional<PermitGrants> &)> &Reply) {
  leaderLink().takePermits(
      m_Lease.session(), Demands,
      [this, TargetIndex = m_LeaderIndex,
       Reply](const std::optional<TakePermitsReply> &Response) {
        if (Response && Response->m_Status.ok()) {
          Reply(Response->m_Grants);
          return;
        }
        if (!Response) {
          switchToNextHost(TargetIndex);
        } else if (Response->m_Status.m_Code == ResultCode::NotLeader) {
          followLeaderHint(TargetIndex, Response->m_Status);
        }
        Reply(std::nullopt);
      });
}

void ControlClient::announce(const ServerAnnouncement &Announcement) {
  const auto IsSameServer = [&](const ServerAnnouncement &Other) {
    return Other.m_Group == Announcement.m_Group &&
           Other.m_Server == Announcement.m_Server;
  };
  std::erase_if(m_Announcements, IsSameServer);
  m_Announcements.push_back(Announcement);
  scheduleReport();
}

void ControlClient::deliver(const ServerAnnouncement &Announcement,
                            Instant Deadline,
                            const std::function<void(bool Delivered)> &Reply) {
  tryDeliver(Announcement, Deadline, Backoff(), Reply);
}

void ControlClient::tryDeliver(
    const ServerAnnouncement &Announcement, Instant Deadline, Backoff Pauses,
    const std::function<void(bool Delivered)> &Reply) {
  leaderLink().report(
      m_Lease.session(), {Announcement}, {},
      [this, TargetIndex = m_LeaderIndex, Announcement, Deadline, Pauses,
       Reply](const std::optional<ControlStatus> &Status) mutable {
        if (Status && Status->ok()) {
          Reply(true);
          return;
        }
        Status ? followLeaderHint(TargetIndex, *Status)
               : switchToNextHost(TargetIndex);
        const Duration Pause = Pauses.nextPause(systemRandom());
        if (monotonicNow() + Pause >= Deadline) {
          Reply(false);
          return;
        }
        m_Loop.after(Pause, [this, Announcement, Deadline, Pauses, Reply] {
          tryDeliver(Announcement, Deadline, Pauses, Reply);
        });
      });
}

void ControlClient::scheduleReport() {
  if (m_IsReportScheduled) {
    return;
  }
  m_IsReportScheduled = true;
  const Instant Now = monotonicNow();
  const Instant Due =
      std::max(Now + ReportDelay, m_ReportedAt + ReportInterval);
  m_Loop.after(Due - Now, [this] {
    m_IsReportScheduled = false;
    m_ReportedAt = monotonicNow();
    sendReports();
  });
}

void ControlClient::reportSuspicion(const GroupId &Group,
                                    const ServerId &Server,
                                    SuspicionKind Kind) {
  ServerSuspicion Suspicion;
  Suspicion.m_Group = Group;
  Suspicion.m_Server = Server;
  Suspicion.m_Kind = Kind;
  const bool IsNoted =
      std::ranges::any_of(m_Suspicions, [&](const ServerSuspicion &Each) {
        return Each.m_Group == Group && Each.m_Server == Server &&
               Each.m_Kind == Kind;
      });
  if (!IsNoted) {
    m_Suspicions.push_back(Suspicion);
  }
  scheduleReport();
}

void ControlClient::sendReports() {
  if (m_Announcements.empty() && m_Suspicions.empty()) {
    return;
  }
  const auto Announcements = std::exchange(m_Announcements, {});
  const auto Suspicions = std::exchange(m_Suspicions, {});
  leaderLink().report(m_Lease.session(), Announcements, Suspicions,
                      [this, TargetIndex = m_LeaderIndex](
                          const std::optional<ControlStatus> &Status) {
                        // Servers repeat their announcements at short
                        // intervals, so a lost report is not sent again.
                        if (!Status) {
                          registerAgain(TargetIndex);
                        } else if (!Status->ok()) {
                          followLeaderHint(TargetIndex, *Status);
                        }
                      });
}

void ControlClient::registerAgain(std::size_t TargetIndex) {
  if (TargetIndex != m_LeaderIndex) {
    return;
  }
  m_IsRegistered = false;
  scheduleMaintenance(Duration(0));
}

void ControlClient::followLeaderHint(std::size_t TargetIndex,
                                     const ControlStatus &Status) {
  const auto Leader = parseSocketAddress(Status.m_Leader);
  if (!Leader) {
    switchToNextHost(TargetIndex);
    return;
  }
  addPeers({{HostId(Leader->m_Address), *Leader}});
  const auto Found = std::ranges::find(m_Settings.m_ControlPeers, *Leader,
                                       &ControlPeer::m_Endpoint);
  if (Found == m_Settings.m_ControlPeers.end()) {
    switchToNextHost(TargetIndex);
    return;
  }
  // Another reply may have selected a different host in the meantime.
  if (TargetIndex != m_LeaderIndex) {
    return;
  }
  m_LeaderIndex =
      static_cast<std::size_t>(Found - m_Settings.m_ControlPeers.begin());
  m_IsRegistered = m_IsRegistered && m_LeaderIndex == TargetIndex;
}

void ControlClient::switchToNextHost(std::size_t TargetIndex) {
  if (TargetIndex != m_LeaderIndex) {
    return;
  }
  m_LeaderIndex = (m_LeaderIndex + 1) % m_Links.size();
  m_IsRegistered = false;
}

} // namespace ragwortmux
