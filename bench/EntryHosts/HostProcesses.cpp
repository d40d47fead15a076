#include "bench/EntryHosts/HostProcesses.h"

#include "bench/Measure/ProcessUsage.h"
#include "tests/StandIn/ChildProcess.h"

#include <fstream>
#include <utility>

namespace ragwortmux {

namespace {

/// Time after which a process ends by itself, beyond the length of the load.
constexpr std::chrono::seconds LifetimeReserve(60);

std::string flag(const std::string &Name, const std::string &Value) {
  return "--" + Name + "=" + Value;
}

std::string flag(const std::string &Name, std::uint64_t Value) {
  return flag(Name, std::to_string(Value));
}

} // namespace

HostProcesses::HostProcesses(const RunSettings &Settings)
    : m_Settings(Settings) {
  std::string Seeds;
  for (std::uint32_t Index = 0; Index < Settings.m_ControlHosts; ++Index) {
    Seeds += (Index == 0 ? "" : ",") + controlAddress(Index) + ":1";
  }
  std::ofstream(Settings.m_Folder / "settings")
      << "control_seeds=" << Seeds << "\n";
}

HostProcesses::~HostProcesses() { stop(); }

std::string HostProcesses::controlAddress(std::uint32_t Index) const {
  return "127.0.1." + std::to_string(Index + 1);
}

std::string HostProcesses::entryAddress(std::uint32_t Index) const {
  return "127.0.2." + std::to_string(Index + 1);
}

bool HostProcesses::startControl() {
  for (std::uint32_t Index = 0; Index < m_Settings.m_ControlHosts; ++Index) {
    const auto Data =
        m_Settings.m_Folder / ("control-" + std::to_string(Index));
    std::filesystem::create_directories(Data);
    m_Control.push_back(
        start("control", Index,
              {flag("address", controlAddress(Index)), flag("caller_port", 0),
               flag("control_voters", m_Settings.m_ControlVoters),
               flag("bootstrap", "true"), flag("data_folder", Data),
               flag("promotion_address", "127.0.0.1:1"),
               flag("server_silence_ms", 4200), flag("connection_share_max", 5),
               flag("connection_reserve_percent", 25),
               flag("metrics_port", m_Settings.m_MetricsPort)}));
    if (m_Control.back() == nullptr) {
      return false;
    }
  }
  return true;
}

bool HostProcesses::startEntry() {
  for (std::uint32_t Index = 0; Index < m_Settings.m_EntryHosts; ++Index) {
    m_Entry.push_back(
        start("entry", Index,
              {flag("address", entryAddress(Index)),
               flag("caller_port", m_Settings.m_CallerPort),
               flag("max_callers", 3000), flag("connect_timeout_ms", 400),
               flag("drain_timeout_s", 1)}));
    if (m_Entry.back() == nullptr) {
      return false;
    }
  }
  return true;
}

std::unique_ptr<ChildProcess>
HostProcesses::start(const std::string &Role, std::uint32_t Index,
                     std::vector<std::string> Flags) {
  const auto Lifetime =
      std::chrono::duration_cast<std::chrono::seconds>(m_Settings.m_Length) +
      LifetimeReserve;
  ChildProcessSettings Child;
  Child.m_Program = RAGWORTMUX_BINARY_DIR "/bin/ragwortmux";
  Child.m_Arguments = {
      "serve",
      flag("protocol", "platform"),
      flag("roles", Role),
      flag("host", Role + "-" + std::to_string(Index)),
      flag("failure_domain",
           "domain-" + std::to_string(Index % m_Settings.m_Domains)),
      flag("http_port", m_Settings.m_HttpPort),
      flag("rpc_port", m_Settings.m_RpcPort),
      flag("config", m_Settings.m_Folder / "settings"),
      flag("lease_ms", 1100),
      flag("renewal_interval_ms", 300),
      flag("heartbeat_ms", 50),
      flag("election_timeout_ms", 250),
      flag("request_timeout_ms", 500),
      flag("log_format", "json"),
      flag("log_output", "stdout"),
      flag("log_lines_per_s", 100),
      flag("max_lifetime_s", static_cast<std::uint64_t>(Lifetime.count()))};
  Child.m_Arguments.insert(Child.m_Arguments.end(), Flags.begin(), Flags.end());
  Child.m_Environment = {
      {"RAGWORTMUX_CLUSTER_KEY", "entry-hosts-cluster-key"},
      {"RAGWORTMUX_OPERATOR_TOKEN", "entry-hosts-operator-token"}};
  auto Process = std::make_unique<ChildProcess>(std::move(Child));
  if (!Process->start()) {
    m_LastReason = Process->lastReason();
    return nullptr;
  }
  return Process;
}

void HostProcesses::limit() {
  for (const auto &Process : m_Control) {
    m_Limiter.add(Process->processId(), m_Settings.m_ControlShare);
  }
  for (const auto &Process : m_Entry) {
    m_Limiter.add(Process->processId(), m_Settings.m_EntryShare);
  }
  m_Limiter.start();
}

void HostProcesses::killControl(std::uint32_t Index) {
  m_Limiter.remove(m_Control[Index]->processId());
  m_Control[Index]->kill();
}

void HostProcesses::stop() {
  m_Limiter.stop();
  for (auto *List : {&m_Entry, &m_Control}) {
    for (const auto &Process : *List) {
      Process->kill();
    }
  }
}

double HostProcesses::controlSeconds(std::uint32_t Index) const {
  return readProcessUsage("", m_Control[Index]->processId()).m_ProcessorSeconds;
}

double HostProcesses::entrySeconds(std::uint32_t Index) const {
  return readProcessUsage("", m_Entry[Index]->processId()).m_ProcessorSeconds;
}

std::vector<std::string> HostProcesses::logs() const {
  std::vector<std::string> Logs;
  for (const auto *List : {&m_Control, &m_Entry}) {
    for (const auto &Process : *List) {
      Logs.push_back(Process->output());
    }
  }
  return Logs;
}

} // namespace ragwortmux
