#include "ragwortmux/Process/Daemon.h"

#include "ragwortmux/Process/ControlRole.h"
#include "ragwortmux/Process/EntryRole.h"
#include "ragwortmux/Process/Support/CatalogueJson.h"
#include "ragwortmux/Process/Support/Log.h"
#include "ragwortmux/Process/SystemClock.h"

#include <csignal>
#include <cstdio>
#include <utility>

namespace ragwortmux {

namespace {

/// Threads that the groups' actors share.
constexpr unsigned ActorThreads = 2;
/// Exit status if the process cannot start.
constexpr int ExitCannotStart = 3;
/// Exit status if a drain did not end in time.
constexpr int ExitDrainTimeout = 4;

TimelineSettings timelineSettings(const ProcessSettings &Settings) {
  TimelineSettings Result;
  Result.m_Folder = Settings.m_TimelineFolder;
  Result.m_Host = Settings.m_Host;
  return Result;
}

/// Signals are taken by the event loop; they must be blocked before any other
/// thread is made.
bool captureSignals() {
  kj::UnixEventPort::captureSignal(SIGTERM);
  kj::UnixEventPort::captureSignal(SIGINT);
  std::signal(SIGPIPE, SIG_IGN);
  return true;
}

TimelineEvent makeEvent(EventKind Kind) {
  TimelineEvent Event;
  Event.m_Kind = Kind;
  return Event;
}

} // namespace

Daemon::Daemon(ProcessSettings Settings)
    : m_Settings(std::move(Settings)), m_Clock(wallNow),
      m_Timeline(timelineSettings(m_Settings), m_Clock),
      m_Actors((captureSignals(), ActorThreads)) {}

Daemon::~Daemon() = default;

int Daemon::run() {
  if (!startRoles()) {
    return ExitCannotStart;
  }
  startEndpoints();
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
  if (m_Settings.m_IsEntry) {
    m_Entry = std::make_unique<EntryRole>(m_Loop, m_Actors, m_Settings,
                                          m_Metrics, m_Timeline);
  }
  return true;
}

void Daemon::startEndpoints() {
  RpcServerHooks Hooks;
  if (m_Control) {
    m_Control->serve(Hooks);
  }
  if (m_Entry) {
    Hooks.m_StorePoint = [this](const SessionPointEntry &Entry) {
      return m_Entry->sessionPoints().storeHere(Entry);
    };
    Hooks.m_FindPoint = [this](const SessionPointKey &Key) {
      return m_Entry->sessionPoints().findHere(Key);
    };
  }
  m_Rpc = std::make_unique<RpcServer>(m_Loop, m_Settings.m_ClusterKey,
                                      std::move(Hooks));
  const std::uint16_t RpcPort =
      m_Rpc->listen(m_Settings.m_Address, m_Settings.m_RpcPort);
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
      MaxJsonBytes);
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
  const auto Watch = [this](int Signal) {
    m_Loop.spawn(m_Loop.eventPort().onSignal(Signal).then(
        [this](siginfo_t &&) { drain(); }));
  };
  Watch(SIGTERM);
  Watch(SIGINT);
}

void Daemon::drain() {
  if (m_Draining) {
    return;
  }
  m_Draining = true;
  logInfo(Part::Process, "Draining: no new transactions.");
  m_Timeline.record(makeEvent(EventKind::DrainStarted));
  m_Metrics.set(Metric::Draining, {}, 1);
  if (m_Entry == nullptr) {
    stop(0);
    return;
  }
  m_Loop.after(m_Settings.m_DrainTimeout, [this] {
    logWarn(Part::Process, "The drain did not end in time.");
    stop(ExitDrainTimeout);
  });
  m_Entry->drain([this] {
    m_Timeline.record(makeEvent(EventKind::DrainEnded));
    stop(0);
  });
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
         (m_Control && m_Control->leads() ? "true" : "false") + "}";
}

} // namespace ragwortmux
