#include "ragwortmux/Process/Control/ControlRole.h"

#include "ragwortmux/Process/Control/ControlLoad.h"
#include "ragwortmux/Process/Log/PosixFileSystem.h"
#include "ragwortmux/Process/Loop/IoLoop.h"
#include "ragwortmux/Process/Loop/SystemClock.h"
#include "ragwortmux/Process/Loop/SystemRandom.h"
#include "ragwortmux/Process/Peers/CommandCodec.h"
#include "ragwortmux/Process/Peers/LogMessageCodec.h"
#include "ragwortmux/Process/Peers/PeerLink.h"
#include "ragwortmux/Process/Support/Log.h"
#include "ragwortmux/Process/Support/Metrics.h"
#include "ragwortmux/Process/Support/ProcessSettings.h"
#include "ragwortmux/Process/Support/Timeline.h"

#include <algorithm>
#include <utility>

namespace ragwortmux {

namespace {

/// Interval between two ticks of the node.
constexpr Duration TickInterval = std::chrono::milliseconds(10);
/// Interval between two identify calls to each of the other control hosts.
constexpr Duration IdentifyInterval = std::chrono::milliseconds(500);
/// Timeout of a call to another control host.
constexpr Duration PeerTimeout = std::chrono::milliseconds(1000);
/// Largest answer of a backend server to a control call.
constexpr std::size_t MaxAnswerBytes = 4096;
/// A control host that has not answered for this long counts as lost.
constexpr Duration PeerLostTimeout = std::chrono::milliseconds(3000);
/// An unlisted control host is removed after this time without an answer and
/// without being named by a peer.
constexpr Duration PeerRetention = std::chrono::seconds(60);
/// Limit above which control hosts named by others are not added.
constexpr std::size_t MaxKnownPeers = 64;
/// Interval between two checks whether a leaving host has been removed.
constexpr Duration LeaveCheckInterval = std::chrono::milliseconds(100);
/// Part of the drain timeout for which a leaving host waits to be removed, in
/// percent.
constexpr int LeavePercent = 75;
constexpr int PercentBase = 100;

std::string callSql(const CallBackend &Call) {
  const std::string TermText = std::to_string(Call.m_Term.value());
  switch (Call.m_Kind) {
  case BackendCallKind::Fence:
    return "SELECT ragwortmux_fence(" + TermText + ")";
  case BackendCallKind::Promote:
    return "SELECT ragwortmux_promote(" + TermText + ")";
  case BackendCallKind::Follow:
    return "SELECT ragwortmux_follow(" + TermText + ", '" +
           Call.m_PrimaryAddress + "', " + std::to_string(Call.m_PrimaryPort) +
           ")";
  case BackendCallKind::Position:
    break;
  }
  return "SELECT ragwortmux_position()";
}

} // namespace

/// A call to a backend server over a connection of its own.
struct ControlRole::BackendCall final {
  CallBackend m_Call;                              ///< What to call.
  std::shared_ptr<BackendConnection> m_Connection; ///< The connection.
  bool m_IsCompleted = false; ///< The result was passed to the node.
};

ControlRole::ControlRole(IoLoop &Loop, ActorSystem &Actors,
                         const ProcessSettings &Settings,
                         Metrics &ProcessMetrics, Timeline &Events)
    : m_Loop(Loop), m_Actors(Actors), m_Settings(Settings),
      m_Metrics(ProcessMetrics), m_Timeline(Events),
      m_Load(std::make_shared<ControlLoad>(ProcessMetrics)),
      m_Datagrams(Loop, Settings.m_ClusterKey, [this](LogEnvelope Envelope) {
        m_Actor->receive(std::move(Envelope));
      }) {}

ControlRole::~ControlRole() = default;

bool ControlRole::open() {
  auto Owner =
      std::make_unique<ControlNodeOwner>([this] { return makeNode(); });
  if (!Owner->open(monotonicNow())) {
    m_LastCode = Owner->lastCode();
    m_LastReason = Owner->lastReason();
    return false;
  }
  m_Identity = Owner->node().identify();
  m_Identity.m_Host = m_Settings.m_Host;
  m_Actor = std::make_unique<ControlActor>(m_Loop, m_Actors, std::move(Owner),
                                           m_Load);
  return true;
}

void ControlRole::serve(RpcServerHooks &Hooks) {
  Hooks.m_LogMessage = [this](LogEnvelope Envelope) {
    m_Actor->receive(std::move(Envelope));
  };
  Hooks.m_Identify = [this](const std::string &From, bool IsLeaving) {
    if (discoversPeers() && parseSocketAddress(From) &&
        m_Peers.size() < MaxKnownPeers) {
      KnownPeer &Peer = m_Peers[From];
      Peer.m_LastNamedAt = monotonicNow();
      Peer.m_IsLeaving = IsLeaving;
    }
    return m_Identity;
  };
  Hooks.m_OpenSession = [this](const EntryAddress &Host, Incarnation Run,
                               const UpdateListener &Listener, auto Respond) {
    OpenSession Command{Host.m_Host, Run, Host.m_Domain, Host.m_Address,
                        Host.m_Port};
    m_Actor->openSession(
        Command, [this, Listener, Respond](const OpenSessionReply &Reply) {
          if (Reply.m_Status.ok()) {
            m_Listeners[Reply.m_Session] = Listener;
          }
          Respond(Reply);
        });
  };
  Hooks.m_Renew = [this](const LeaseRenewal &Renewal, auto Respond) {
    m_Actor->renew(Renewal, Respond);
  };
  Hooks.m_Report = [this](const std::vector<ServerAnnouncement> &Announcements,
                          const std::vector<ServerSuspicion> &Suspicions,
                          auto Respond) {
    m_Actor->report(Announcements, Suspicions, Respond);
  };
  Hooks.m_Command = [this](const std::string &Bytes, auto Respond) {
    std::string Reason;
    auto Command = decodeCommand(Bytes, Reason);
    if (!Command) {
      Respond({{ResultCode::BadArgument, Reason, ""}, {}});
      return;
    }
    m_Actor->command(std::move(*Command), Respond);
  };
  Hooks.m_Query = [this](const std::string &QueryKind, const std::string &Name,
                         auto Respond) {
    m_Actor->query(QueryKind, Name, Respond);
  };
  Hooks.m_TakePermits =
      [this](ControlSessionId Session, const std::vector<PermitDemand> &Demands,
             auto Respond) { m_Actor->takePermits(Session, Demands, Respond); };
}

void ControlRole::addPeers(const std::vector<ControlPeer> &Peers) {
  for (const ControlPeer &Peer : Peers) {
    m_Peers[formatSocketAddress(Peer.m_Endpoint)].m_LastNamedAt =
        monotonicNow();
  }
}

void ControlRole::start() {
  for (const ControlPeer &Peer : m_Settings.m_ControlPeers) {
    m_Peers[formatSocketAddress(Peer.m_Endpoint)].m_IsListed = true;
  }
  m_Peers[ownAddress()].m_LastNamedAt = monotonicNow();
  if (!m_Datagrams.listen(m_Settings.m_Address, m_Settings.m_RpcPort)) {
    logWarn(Part::Control,
            "The socket for datagrams cannot be opened; log messages use "
            "TCP only: {}.",
            m_Datagrams.lastReason());
  }
  m_Loop.every(TickInterval, [this] { m_Actor->tick(); });
  m_Loop.every(IdentifyInterval, [this] { identifyPeers(); });
  identifyPeers();
}

std::unique_ptr<ControlNode> ControlRole::makeNode() {
  LogStorageSettings Storage;
  Storage.m_ClusterName = m_Settings.m_Cluster;
  Storage.m_Random = systemRandom;
  Storage.m_OnRepair = [](const std::string &Text) {
    logWarn(Part::Log, "{}", Text);
  };
  ControlNodeSettings Node;
  Node.m_Address = ownAddress();
  Node.m_Bootstrap = m_Settings.m_Bootstrap;
  if (discoversPeers()) {
    Node.m_Voters = {m_Settings.targetVoters(), m_Settings.maxVoters()};
  }
  Node.m_Log.m_Random = systemRandom;
  Node.m_Log.m_HeartbeatInterval = m_Settings.m_Heartbeat;
  Node.m_Log.m_ElectionTimeoutMin = m_Settings.m_ElectionTimeout;
  Node.m_Log.m_ElectionTimeoutMax = m_Settings.m_ElectionTimeout * 2;
  // A leader must have stepped down before the next one can be elected.
  Node.m_Log.m_CheckQuorumTimeout = m_Settings.m_ElectionTimeout * 5 / 6;
  Node.m_Leader.m_Lease = m_Settings.m_Lease;
  Node.m_Leader.m_RenewalInterval = m_Settings.m_RenewalInterval;
  Node.m_Leader.m_Drift.m_Percent = m_Settings.m_DriftPercent;
  Node.m_Leader.m_Drift.m_Fixed = m_Settings.m_Drift;
  Node.m_Leader.m_SilenceFailed = m_Settings.m_AnnouncementSilence;
  Node.m_Leader.m_ShareCeiling = m_Settings.m_ConnectionShareMax;
  Node.m_Leader.m_ShareReservePercent = m_Settings.m_ConnectionReservePercent;
  Node.m_Leader.m_SilenceUnannounced = m_Settings.m_ServerSilence;
  Node.m_Limiter.m_Window = m_Settings.m_QuotaWindow;
  Node.m_Limiter.m_Overage = m_Settings.m_QuotaOverage;
  Node.m_Limiter.m_Slack = m_Settings.m_QuotaSlack;
  Node.m_Limiter.m_Drift = Node.m_Leader.m_Drift;
  Node.m_State.m_Ledger.m_Retention =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          m_Settings.m_LedgerRetention);
  return std::make_unique<ControlNode>(
      std::move(Node),
      std::make_unique<LogStorage>(
          std::move(Storage),
          std::make_unique<PosixFileSystem>(m_Settings.m_DataFolder)),
      ControlActor::hooksOnLoop(m_Loop, nodeHooks()));
}

ControlNodeHooks ControlRole::nodeHooks() {
  ControlNodeHooks Hooks;
  Hooks.m_SendLog = [this](const std::string &Address,
                           const LogEnvelope &Envelope) {
    sendLog(Address, Envelope);
  };
  Hooks.m_Push = [this](ControlSessionId Session, const ControlUpdate &Update) {
    push(Session, Update);
  };
  Hooks.m_CallBackend = [this](const CallBackend &Call) { callBackend(Call); };
  Hooks.m_WriteTimeline = [this](const std::string &Text) {
    TimelineEvent Event;
    Event.m_Kind = EventKind::SyncStateChanged;
    Event.m_Text = Text;
    m_Timeline.record(Event);
  };
  Hooks.m_LeadershipChanged = [this](bool Ready) { leadershipChanged(Ready); };
  Hooks.m_Load = m_Load;
  return Hooks;
}

PeerLink &ControlRole::link(const std::string &Address) {
  auto &Link = m_Links[Address];
  if (Link == nullptr) {
    const SocketAddress PeerAddress =
        parseSocketAddress(Address).value_or(SocketAddress());
    PeerLinkSettings Settings;
    Settings.m_OwnHost = m_Settings.m_Host;
    Settings.m_Address = PeerAddress.m_Address;
    Settings.m_Port = PeerAddress.m_Port;
    Settings.m_CallTimeout = PeerTimeout;
    Settings.m_Metrics = &m_Metrics;
    Link =
        std::make_unique<PeerLink>(m_Loop, m_Settings.m_ClusterKey, Settings);
  }
  return *Link;
}

void ControlRole::sendLog(const std::string &Address,
                          const LogEnvelope &Envelope) {
  const std::string Message = encodeLogEnvelope(Envelope);
  if (!m_Datagrams.send(Address, Message)) {
    link(Address).sendLogMessage(Message);
    return;
  }
  const MetricLabels Labels = {Address, "log_datagram"};
  m_Metrics.add(Metric::PeerCalls, Labels);
  m_Metrics.add(Metric::PeerBytes, Labels, Message.size());
}

void ControlRole::push(ControlSessionId Session, const ControlUpdate &Update) {
  const auto Found = m_Listeners.find(Session);
  if (Found == m_Listeners.end()) {
    m_Actor->pushFailed(Session);
    return;
  }
  m_Metrics.add(Metric::ControlPushes, {});
  m_Load->updatePushed(monotonicNow());
  Found->second(Session, Update,
                [this, Session](const std::optional<Confirmation> &Confirmed) {
                  if (Confirmed) {
                    m_Actor->revisionsConfirmed(Session, *Confirmed);
                  } else {
                    m_Actor->pushFailed(Session);
                  }
                });
}

std::string ControlRole::ownAddress() const {
  return formatSocketAddress({m_Settings.m_Address, m_Settings.m_RpcPort});
}

void ControlRole::callBackend(const CallBackend &Call) {
  if (m_BackendCaller) {
    m_BackendCaller(Call, [this](const BackendCallResult &Result) {
      m_Actor->backendCallCompleted(Result);
    });
    return;
  }
  const auto Running = std::make_shared<BackendCall>();
  Running->m_Call = Call;
  BackendConnectionSettings Settings;
  Settings.m_Address = Call.m_Address;
  Settings.m_Port = Call.m_Port;
  Settings.m_User = m_Settings.m_BackendUser;
  Settings.m_Database = m_Settings.m_BackendDatabase;
  Settings.m_ConnectTimeout = Call.m_Timeout;
  BackendConnection::Hooks Hooks;
  Hooks.m_Opened = [this, Running] { runBackendCall(Running); };
  Hooks.m_Failed = [this, Running](const std::string &Reason,
                                   const std::string &) {
    finishBackendCall(Running, std::nullopt, Reason);
  };
  Hooks.m_Lost = [this, Running](const std::string &Reason) {
    finishBackendCall(Running, std::nullopt, Reason);
  };
  Hooks.m_Answered = [this, Running](const StatementResult &Result) {
    finishBackendCall(Running, Result, Result.m_Message);
  };
  Running->m_Connection =
      BackendConnection::open(m_Loop, Settings, std::move(Hooks));
  m_Loop.after(Call.m_Timeout, [this, Running] {
    finishBackendCall(Running, std::nullopt,
                      "no answer within the timeout of the call");
  });
}

void ControlRole::runBackendCall(const std::shared_ptr<BackendCall> &Call) {
  Call->m_Connection->execute(callSql(Call->m_Call), MaxAnswerBytes);
}

void ControlRole::finishBackendCall(
    const std::shared_ptr<BackendCall> &Call,
    const std::optional<StatementResult> &Result, const std::string &Reason) {
  if (Call->m_IsCompleted) {
    return;
  }
  Call->m_IsCompleted = true;
  // The connection's hooks own the call and the call owns the connection. This
  // breaks the cycle, on a later turn because a hook may be running now.
  m_Loop.after(Duration(0), [Call] { Call->m_Connection = nullptr; });
  BackendCallResult Outcome;
  Outcome.m_Call = Call->m_Call.m_Call;
  Outcome.m_Reason = Reason;
  if (const auto Point = Result ? parseRowPoint(*Result) : std::nullopt) {
    constexpr std::size_t RoleColumn = 2;
    const std::vector<std::string> &Row = Result->m_FirstRow;
    const bool IsPrimary =
        Row.size() > RoleColumn && Row[RoleColumn] == "primary";
    Outcome.m_Ok = true;
    Outcome.m_Point = *Point;
    Outcome.m_Role = IsPrimary ? BackendRole::Primary : BackendRole::Replica;
  }
  m_Actor->backendCallCompleted(Outcome);
}

bool ControlRole::discoversPeers() const {
  return m_Settings.m_ControlVoters > 0;
}

void ControlRole::identifyPeers() {
  removeExpiredPeers();
  const std::string OwnAddress = ownAddress();
  const Instant Now = monotonicNow();
  m_Actor->identify([this, OwnAddress, Now](const IdentifyReply &Reply) {
    m_Identity = Reply;
    m_Identity.m_Host = m_Settings.m_Host;
    recordPeer(OwnAddress, Now, Reply);
    reportPeers();
  });
  std::vector<std::string> Others;
  for (const auto &[Address, Peer] : m_Peers) {
    if (Address != OwnAddress) {
      Others.push_back(Address);
    }
  }
  for (const std::string &Address : Others) {
    link(Address).identify(
        OwnAddress, m_IsLeaving,
        [this, Address, Now](const std::optional<IdentifyReply> &Reply) {
          if (!Reply) {
            return;
          }
          recordPeer(Address, Now, *Reply);
          if (m_IsLeaving && hasRemovedThisHost(*Reply)) {
            finishLeave("it has been removed from the log");
          }
        });
  }
}

void ControlRole::leave(std::function<void()> Done) {
  m_IsLeaving = true;
  m_Peers[ownAddress()].m_IsLeaving = true;
  m_LeaveDone = std::move(Done);
  m_LeaveUntil =
      monotonicNow() + m_Settings.m_DrainTimeout * LeavePercent / PercentBase;
  m_Loop.every(LeaveCheckInterval, [this] { checkLeave(); });
  checkLeave();
}

void ControlRole::checkLeave() {
  if (!m_LeaveDone) {
    return;
  }
  if (monotonicNow() >= m_LeaveUntil) {
    finishLeave("no other host has taken its vote in time");
    return;
  }
  identifyPeers();
  m_Actor->shouldAwaitRemoval([this](bool ShouldAwait) {
    if (!ShouldAwait) {
      finishLeave("the log needs no other host in its place");
    }
  });
}

void ControlRole::finishLeave(std::string_view Why) {
  if (!m_LeaveDone) {
    return;
  }
  logInfo(Part::Control, "This control host leaves: {}.", Why);
  std::exchange(m_LeaveDone, nullptr)();
}

bool ControlRole::hasRemovedThisHost(const IdentifyReply &Reply) const {
  // The leader sends a removed member nothing any more, so that it learns of
  // its removal from the configuration of another host.
  return m_Identity.m_Configuration > 0 &&
         Reply.m_Configuration > m_Identity.m_Configuration &&
         std::ranges::find(Reply.m_Members, ownAddress()) ==
             Reply.m_Members.end();
}

void ControlRole::recordPeer(const std::string &Address, Instant AskedAt,
                             const IdentifyReply &Reply) {
  const Instant Now = monotonicNow();
  KnownPeer &Peer = m_Peers[Address];
  // Answers may arrive out of order after a new connection.
  if (AskedAt < Peer.m_AskedAt) {
    return;
  }
  Peer.m_AskedAt = AskedAt;
  Peer.m_Voter = Reply.m_Voter;
  Peer.m_IsBlank = Reply.m_Blank;
  Peer.m_AnsweredAt = Now;
  Peer.m_LastNamedAt = Now;
  for (const std::string &Member : Reply.m_Members) {
    if (discoversPeers() && m_Peers.size() < MaxKnownPeers) {
      m_Peers[Member].m_LastNamedAt = Now;
    }
  }
}

void ControlRole::removeExpiredPeers() {
  const Instant Now = monotonicNow();
  std::erase_if(m_Peers, [&](const auto &Entry) {
    return !Entry.second.m_IsListed &&
           Now - Entry.second.m_LastNamedAt >= PeerRetention;
  });
}

void ControlRole::reportPeers() {
  const Instant Now = monotonicNow();
  std::vector<PeerIdentity> Peers;
  bool AllBlank = true;
  for (const auto &[Address, Peer] : m_Peers) {
    const bool IsReachable =
        !Peer.m_Voter.empty() && Now - Peer.m_AnsweredAt < PeerLostTimeout;
    if (Peer.m_IsListed) {
      AllBlank = AllBlank && IsReachable && Peer.m_IsBlank;
    }
    PeerIdentity Identified;
    Identified.m_Address = Address;
    Identified.m_IsListed = Peer.m_IsListed;
    Identified.m_IsLeaving = Peer.m_IsLeaving;
    Identified.m_AskedAt = Peer.m_AskedAt;
    if (IsReachable) {
      Identified.m_Voter = VoterId(Peer.m_Voter);
    }
    Peers.push_back(std::move(Identified));
  }
  // A host that is not listed never bootstraps; it waits until a leader adds
  // it.
  const bool IsListed = m_Peers[ownAddress()].m_IsListed;
  m_Actor->peersIdentified(Peers, AllBlank && IsListed);
}

void ControlRole::leadershipChanged(bool Ready) {
  m_IsLeader = Ready;
  m_Metrics.set(Metric::ControlLeader, {}, Ready ? 1 : 0);
  TimelineEvent Event;
  Event.m_Kind = Ready ? EventKind::LeaderElected : EventKind::LeaderLost;
  m_Timeline.record(Event);
  if (!Ready) {
    m_Listeners.clear();
  }
}

} // namespace ragwortmux
