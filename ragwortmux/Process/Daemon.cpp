#include "ragwortmux/Process/Daemon.h"

#include "ragwortmux/Process/Control/ControlRole.h"
#include "ragwortmux/Process/Entry/EntryRole.h"
#include "ragwortmux/Process/Loop/SystemClock.h"
#include "ragwortmux/Process/Operators/HttpStatus.h"
#include "ragwortmux/Process/Support/CatalogueJson.h"
#include "ragwortmux/Process/Support/Log.h"

#include <csignal>
#include <cstdio>
#include <utility>

namespace ragwortmux {

namespace {

/// Number of threads of the actor system.
constexpr unsigned ActorThreads = 2;
/// Exit status if the process could not start.
constexpr int ExitCannotStart = 3;
/// Interval at which the settings file is checked for changes.
constexpr Duration SettingsCheckInterval = std::chrono::seconds(2);
/// Exit status if a drain timed out.
constexpr int ExitDrainTimeout = 4;

TimelineSettings timelineSettings(const ProcessSettings &Settings) {
  TimelineSettings Result;
  Result.m_Folder = Settings.m_TimelineFolder;
  Result.m_Host = Settings.m_Host;
  return Result;
}

/// Directs signals to the event loop. Must be called before any other thread is
/// created, since each new thread inherits the signal mask.
bool captureSignals() {
  kj::UnixEventPort::captureSignal(SIGTERM);
  kj::UnixEventPort::captureSignal(SIGINT);
  kj::UnixEventPort::captureSignal(SIGHUP);
  std::signal(SIGPIPE, SIG_IGN);
  return true;
}

TimelineEvent makeEvent(EventKind Kind) {
  TimelineEvent Event;
  Event.m_Kind = Kind;
  return Event;
}

} // namespace

Daemon::Daemon(ProcessSettings Settings,
               const ProtocolAdapterFactory &CreateAdapter)
    : m_Settings(std::move(Settings)), m_Clock(wallNow),
      m_Timeline(timelineSettings(m_Settings), m_Clock),
      m_Actors((captureSignals(), ActorThreads)) {
  if (m_Settings.m_Protocol != CallerProtocol::PostgreSql) {
    m_Adapter = CreateAdapter(m_Loop, m_Settings, m_Metrics);
  }
  m_Loop.watch().setObserver([this](LoopWork Work, Duration Delay) {
    m_Metrics.observe(Metric::LoopDelaySeconds,
                      {std::string(loopWorkName(Work))}, Delay);
  });
  std::vector<SettingFault> Faults;
  m_LoadedSettings = SettingFile::read(m_Settings.m_ConfigFile, Faults);
}

Daemon::~Daemon() = default;

int Daemon::run() {
  if (!startRoles()) {
    return ExitCannotStart;
  }
  if (m_Adapter) {
    startAdapterEndpoints();
  } else {
    startEndpoints();
  }
  watchSignals();
  m_Loop.every(Timeline::FlushInterval, [this] { m_Timeline.flush(); });
  if (m_Settings.m_MaxLifetime > Duration(0)) {
    m_Loop.after(m_Settings.m_MaxLifetime, [this] { stop(0); });
  }
  m_Timeline.record(makeEvent(EventKind::ProcessStarted));
  m_Loop.run();
  m_Timeline.record(makeEvent(EventKind::ProcessStopped));
  m_Timeline.flush();
  return m_ExitStatus;
}

bool Daemon::startRoles() {
  if (m_Settings.m_IsControl) {
    m_Control = std::make_unique<ControlRole>(m_Loop, m_Actors, m_Settings,
                                              m_Metrics, m_Timeline);
    if (!m_Control->open()) {
      logError(Part::Control, "Cannot start: {} {}: {}.",
               static_cast<unsigned>(m_Control->lastCode()),
               resultCodeInfo(m_Control->lastCode()).m_Name,
               m_Control->lastReason());
      return false;
    }
  }
  if (m_Adapter) {
    return startAdapterRoles();
  }
  if (m_Settings.m_IsEntry) {
    m_Entry = std::make_unique<EntryRole>(m_Loop, m_Actors, m_Settings,
                                          m_Metrics, m_Timeline);
  }
  return true;
}

bool Daemon::startAdapterRoles() {
  if (m_Control) {
    m_Control->setBackendCaller(m_Adapter->backendCaller());
    createControlClient();
  }
  if (m_Settings.m_IsEntry) {
    m_SessionEntry = std::make_unique<SessionEntryRole>(
        m_Loop, m_Settings, m_Metrics, m_Adapter->entryHooks());
  }
  return true;
}

void Daemon::createControlClient() {
  // This client never opens a session, so it needs no incarnation.
  m_ControlClient = std::make_unique<ControlClient>(
      m_Loop, m_Settings.m_ClusterKey,
      controlClientSettings(m_Settings, m_Settings.m_RpcPort, Incarnation(),
                            &m_Metrics),
      ControlClientHooks());
}

void Daemon::startAdapterEndpoints() {
  startRpc();
  if (m_Control) {
    m_Adapter->serveControl(*m_ControlClient);
    m_Control->start();
  }
  if (m_SessionEntry) {
    m_Adapter->serveEntry(*m_SessionEntry);
    m_SessionEntry->start();
  }
  if (m_Settings.m_MetricsPort != 0) {
    m_Http = std::make_unique<HttpEndpoint>(
        m_Loop,
        [this](const HttpRequest &) -> kj::Promise<HttpReply> {
          m_Metrics.set(Metric::LogLinesDropped, {},
                        static_cast<double>(droppedLogLines()));
          if (m_SessionEntry) {
            m_SessionEntry->updateMetrics();
          }
          return HttpReply{HttpOk, PrometheusContentType,
                           m_Metrics.renderPrometheus()};
        },
        httpLimits(m_Settings, MaxJsonBytes), &m_Metrics);
    m_Http->listen(m_Settings.m_Address, m_Settings.m_MetricsPort);
  }
  // The settings file may change without a SIGHUP.
  m_Loop.every(SettingsCheckInterval, [this] { reloadSettings(); });
  logInfo(Part::Process, "Started on {} as {}.", m_Settings.m_Address,
          m_Settings.m_Host.value());
}

void Daemon::reloadSettings() {
  std::vector<SettingFault> Faults;
  const SettingFile File = SettingFile::read(m_Settings.m_ConfigFile, Faults);
  if (!Faults.empty()) {
    logWarn(Part::Process, "The settings stay as they are: {}",
            describeAll(Faults));
    return;
  }
  if (File == m_LoadedSettings) {
    return;
  }
  m_LoadedSettings = File;
  auto Seeds = parseSeeds(File.value("control_seeds").value_or(""));
  if (!Seeds) {
    logWarn(Part::Process, "The new control_seeds cannot be read.");
    return;
  }
  for (ControlPeer &Peer : *Seeds) {
    completeSeed(Peer, m_Settings.m_RpcPort);
  }
  logInfo(Part::Process,
          "Reloaded the settings: {} control seeds are in force; "
          "other changes take effect after a restart.",
          Seeds->size());
  if (m_Control) {
    m_Control->addPeers(*Seeds);
    m_ControlClient->addPeers(*Seeds);
  }
  if (m_SessionEntry) {
    m_SessionEntry->addControlPeers(*Seeds);
  }
}

std::uint16_t Daemon::startRpc() {
  RpcServerHooks Hooks;
  Hooks.m_Metrics = &m_Metrics;
  if (m_Control) {
    m_Control->serve(Hooks);
  }
  if (m_Entry) {
    Hooks.m_StorePoint = [this](const SessionPointEntry &Entry) {
      return m_Entry->sessionPoints().storeLocally(Entry);
    };
    Hooks.m_FindPoint = [this](const SessionPointKey &Key) {
      return m_Entry->sessionPoints().findLocally(Key);
    };
  }
  if (m_SessionEntry) {
    Hooks.m_RunRelayed = [this](RelayPeerId Peer, SessionRequest Request,
                                RelayedCallers::Respond Reply) {
      m_SessionEntry->runRelayed(Peer, std::move(Request), std::move(Reply));
    };
    Hooks.m_RelayedCallerDisconnected = [this](RelayPeerId Peer,
                                               CallerConnectionId Caller) {
      m_SessionEntry->relayedCallerDisconnected(Peer, Caller);
    };
    Hooks.m_RelayClosed = [this](RelayPeerId Peer) {
      m_SessionEntry->relayClosed(Peer);
    };
  }
  RpcServerLimits Limits;
  Limits.m_MaxUnproved = m_Settings.m_RpcUnprovedMax;
  Limits.m_UnprovedBytes = m_Settings.m_RpcUnprovedBytes;
  Limits.m_ProofTimeout = m_Settings.m_RpcProofTimeout;
  m_Rpc = std::make_unique<RpcServer>(m_Loop, m_Settings.m_ClusterKey,
                                      std::move(Hooks), Limits);
  return m_Rpc->listen(m_Settings.m_Address, m_Settings.m_RpcPort);
}

void Daemon::startEndpoints() {
  const std::uint16_t RpcPort = startRpc();
  OperatorApiHooks Api;
  Api.m_Ready = [this] {
    return !m_Draining && (m_Entry == nullptr || m_Entry->isReady());
  };
  Api.m_Drain = [this] { drain(); };
  Api.m_LocalStatus = [this] { return localStatus(); };
  m_Api = std::make_unique<OperatorApi>(m_Settings.m_OperatorToken, m_Metrics,
                                        m_Entry.get(), std::move(Api));
  m_Http = std::make_unique<HttpEndpoint>(
      m_Loop,
      [this](const HttpRequest &Request) { return m_Api->handle(Request); },
      httpLimits(m_Settings, MaxJsonBytes), &m_Metrics);
  const std::uint16_t HttpPort =
      m_Http->listen(m_Settings.m_Address, m_Settings.m_HttpPort);
  const std::uint16_t CallerPort = m_Entry ? m_Entry->listen() : 0;
  if (m_Control) {
    m_Control->start();
  }
  if (m_Entry) {
    m_Entry->start(RpcPort);
  }
  logInfo(Part::Process, "Serving callers on {}, HTTP on {}, RPC on {}.",
          CallerPort, HttpPort, RpcPort);
  std::printf("ready caller=%u http=%u rpc=%u\n", CallerPort, HttpPort,
              RpcPort);
  std::fflush(stdout);
}

void Daemon::watchSignals() {
  const auto DrainOnSignal = [this](int Signal) {
    m_Loop.spawn(m_Loop.eventPort().onSignal(Signal).then(
        [this](siginfo_t &&) { drain(); }));
  };
  DrainOnSignal(SIGTERM);
  DrainOnSignal(SIGINT);
  watchReloadSignal();
}

void Daemon::watchReloadSignal() {
  m_Loop.spawn(m_Loop.eventPort().onSignal(SIGHUP).then([this](siginfo_t &&) {
    reloadSettings();
    watchReloadSignal();
  }));
}

void Daemon::drain() {
  if (m_Draining) {
    return;
  }
  m_Draining = true;
  logInfo(Part::Process, "Draining: new transactions are refused.");
  m_Timeline.record(makeEvent(EventKind::DrainStarted));
  m_Metrics.set(Metric::Draining, {}, 1);
  if (m_Entry == nullptr && m_SessionEntry == nullptr) {
    leaveControl();
    return;
  }
  m_Loop.after(m_Settings.m_DrainTimeout, [this] {
    logWarn(Part::Process, "The drain timed out.");
    stop(ExitDrainTimeout);
  });
  const auto Drained = [this] {
    logInfo(Part::Process, "Drain completed.");
    m_Timeline.record(makeEvent(EventKind::DrainEnded));
    leaveControl();
  };
  if (m_SessionEntry) {
    m_SessionEntry->drain(Drained);
  } else {
    m_Entry->drain(Drained);
  }
}

void Daemon::leaveControl() {
  if (m_Control == nullptr) {
    stop(0);
    return;
  }
  m_Control->leave([this] { stop(0); });
}

void Daemon::stop(int Status) {
  m_ExitStatus = Status;
  m_Loop.stop();
}

std::string Daemon::localStatus() const {
  if (m_Entry) {
    return m_Entry->statusJson();
  }
  return std::string("{\"leads\":") +
         (m_Control && m_Control->isLeader() ? "true" : "false") + "}";
}

} // namespace ragwortmux
