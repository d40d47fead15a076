#include "bench/EntryHosts/EntryHostsRun.h"

#include "bench/EntryHosts/HeartbeatSender.h"
#include "bench/EntryHosts/LogCounts.h"
#include "ragwortmux/Process/Loop/SystemClock.h"
#include "tests/Platform/Socket.h"
#include "tests/Platform/WireConfiguration.h"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <future>
#include <sstream>

namespace ragwortmux {

namespace {

constexpr int HttpOk = 200;
/// Longest wait for the first configuration to be accepted.
constexpr Duration ConfigurationTimeout = std::chrono::seconds(15);
/// Pause between two attempts to put a configuration.
constexpr Duration AttemptPause = std::chrono::milliseconds(200);
/// Step of primes by which callers choose their next host.
constexpr std::uint32_t HostStep = 7;

std::int64_t wallMs() { return wallNow().time_since_epoch().count(); }

double toSeconds(Duration Length) {
  return std::chrono::duration<double>(Length).count();
}

/// Sum of the values of all Prometheus lines in \p Text that start with
/// \p Prefix.
double sumOf(const std::string &Text, const std::string &Prefix) {
  std::istringstream Lines(Text);
  double Sum = 0;
  for (std::string Line; std::getline(Lines, Line);) {
    if (Line.starts_with(Prefix)) {
      Sum += std::stod(Line.substr(Line.rfind(' ')));
    }
  }
  return Sum;
}

} // namespace

EntryHostsRun::EntryHostsRun(const RunSettings &Settings)
    : m_Settings(Settings), m_Hosts(Settings) {}

EntryHostsRun::~EntryHostsRun() = default;

bool EntryHostsRun::run() {
  startServers();
  if (!m_Hosts.startControl()) {
    m_LastReason = m_Hosts.lastReason();
    return false;
  }
  const Instant Deadline = monotonicNow() + ConfigurationTimeout;
  while (!putConfiguration(1)) {
    if (monotonicNow() >= Deadline) {
      m_LastReason = "the first configuration was not accepted in time";
      return false;
    }
    waitFor(AttemptPause);
  }
  m_StartMs = wallMs();
  if (!m_Hosts.startEntry()) {
    m_LastReason = m_Hosts.lastReason();
    return false;
  }
  m_Hosts.limit();
  startCallers();
  std::vector<double> ControlBefore;
  for (std::uint32_t Host = 0; Host < m_Settings.m_ControlHosts; ++Host) {
    ControlBefore.push_back(m_Hosts.controlSeconds(Host));
  }
  waitFor(m_Settings.m_Length / 4);
  if (m_Settings.m_LosesLeader) {
    loseLeader();
  }
  waitFor(m_Settings.m_Length / 4);
  // In a thread, because the call blocks and the servers and callers run here.
  auto Replaced =
      std::async(std::launch::async, [this] { return putConfiguration(2); });
  waitFor(m_Settings.m_Length / 2);
  m_WasReplaced = Replaced.get();
  const double Seconds = toSeconds(m_Settings.m_Length);
  for (std::uint32_t Host = 0; Host < m_Settings.m_ControlHosts; ++Host) {
    const double Used = m_Hosts.controlSeconds(Host) - ControlBefore[Host];
    m_ControlShares.push_back(Used / Seconds);
  }
  for (std::uint32_t Host = 0; Host < m_Settings.m_EntryHosts; ++Host) {
    m_EntryShare +=
        m_Hosts.entrySeconds(Host) / Seconds / m_Settings.m_EntryHosts;
  }
  m_Metrics = metricRows();
  for (const auto &Caller : m_Callers) {
    Caller->finish();
  }
  m_Hosts.stop();
  return true;
}

void EntryHostsRun::startServers() {
  std::vector<ServerHeartbeat> Heartbeats;
  for (std::uint32_t Group = 0; Group < m_Settings.m_Groups; ++Group) {
    m_Groups.push_back(
        {fmt::format("group-{}", Group), fmt::format("server-{}-0", Group), 0});
    for (std::uint32_t Server = 0; Server < m_Settings.m_Servers; ++Server) {
      m_Servers.push_back(std::make_unique<ServerStandIn>(
          m_Loop, m_Groups.back(), fmt::format("server-{}-{}", Group, Server),
          m_Settings.m_Connections));
      Heartbeats.push_back(
          {m_Groups.back().m_Name, m_Servers.back()->id(),
           m_Servers.back()->address(),
           fmt::format("domain-{}", Server % m_Settings.m_Domains),
           Server == 0});
    }
  }
  std::vector<std::string> Receivers;
  for (std::uint32_t Host = 0; Host < m_Settings.m_ControlHosts; ++Host) {
    Receivers.push_back(m_Hosts.controlAddress(Host));
  }
  m_Heartbeats = std::make_unique<HeartbeatSender>(
      std::move(Heartbeats), std::move(Receivers), m_Settings.m_HttpPort);
}

std::string EntryHostsRun::configuration(std::uint64_t Version) const {
  std::vector<std::string> Services;
  for (const GroupStandIn &Group : m_Groups) {
    Services.push_back(Group.m_Name);
  }
  return platform::wireConfiguration(Version, Services,
                                     m_Settings.m_Connections);
}

bool EntryHostsRun::putConfiguration(std::uint64_t Version) {
  for (std::uint32_t Host = 0; Host < m_Settings.m_ControlHosts; ++Host) {
    if (platform::httpCall(m_Hosts.controlAddress(Host), m_Settings.m_HttpPort,
                           "POST", "/config/replace",
                           configuration(Version)) == HttpOk) {
      return true;
    }
  }
  return false;
}

void EntryHostsRun::startCallers() {
  for (std::uint32_t Index = 0; Index < m_Settings.m_Callers; ++Index) {
    const std::string Group =
        fmt::format("group-{}", Index % m_Settings.m_Groups);
    m_Callers.push_back(std::make_unique<CallerStandIn>(
        m_Loop, fmt::format("caller{}", Index), Group,
        [this, Index](std::uint32_t Attempt) {
          return m_Hosts.entryAddress((Index + Attempt * HostStep) %
                                      m_Settings.m_EntryHosts);
        },
        m_Settings.m_CallerPort, m_Settings.m_Pause, m_Outcomes));
    m_Callers.back()->start();
  }
}

void EntryHostsRun::waitFor(Duration Length) {
  m_Loop.timer().afterDelay(toKj(Length)).wait(m_Loop.waitScope());
}

std::string EntryHostsRun::controlMetrics(std::uint32_t Host) const {
  std::string Body;
  platform::httpCall(m_Hosts.controlAddress(Host), m_Settings.m_MetricsPort,
                     "GET", "/metrics", "", &Body);
  return Body;
}

void EntryHostsRun::loseLeader() {
  for (std::uint32_t Host = 0; Host < m_Settings.m_ControlHosts; ++Host) {
    if (sumOf(controlMetrics(Host), "ragwortmux_control_leader ") > 0) {
      m_Hosts.killControl(Host);
      return;
    }
  }
}

std::string EntryHostsRun::metricRows() const {
  std::string Text;
  for (std::uint32_t Host = 0; Host < m_Settings.m_ControlHosts; ++Host) {
    Text += controlMetrics(Host) + "\n";
  }
  std::ofstream(m_Settings.m_Folder / "control-metrics.txt") << Text;
  const std::string Calls = "ragwortmux_peer_calls_total{peer=\"";
  std::string Rows =
      fmt::format("| pushes of the control processes | {:.0f} | |\n",
                  sumOf(Text, "ragwortmux_control_pushes_total"));
  Rows += fmt::format("| bytes that the control processes sent | {:.0f} | |\n",
                      sumOf(Text, "ragwortmux_peer_bytes_total"));
  Rows += fmt::format("| tasks of the control nodes; their time in s | "
                      "{:.0f}; {:.2f} | |\n",
                      sumOf(Text, "ragwortmux_control_task_seconds_count"),
                      sumOf(Text, "ragwortmux_control_task_seconds_sum"));
  Rows += fmt::format("| time of renewals; of confirmations in s | "
                      "{:.2f}; {:.2f} | |\n",
                      sumOf(Text, "ragwortmux_control_task_seconds_sum{task="
                                  "\"renewal\"}"),
                      sumOf(Text, "ragwortmux_control_task_seconds_sum{task="
                                  "\"confirmation\"}"));
  return Rows;
}

std::string EntryHostsRun::report() const {
  const auto HalfMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(m_Settings.m_Length)
          .count() /
      2;
  LogCounts Counts(m_StartMs, m_StartMs + HalfMs);
  std::uint32_t Number = 0;
  for (const std::string &Log : m_Hosts.logs()) {
    Counts.add(Log);
    std::ofstream(m_Settings.m_Folder / fmt::format("{}.log", Number++)) << Log;
  }
  std::string Table = "| measure | whole load | second half |\n"
                      "| --- | --- | --- |\n";
  Table +=
      fmt::format("| entry hosts; control hosts; groups; callers | {}; {}; "
                  "{}; {} | |\n",
                  m_Settings.m_EntryHosts, m_Settings.m_ControlHosts,
                  m_Settings.m_Groups, m_Settings.m_Callers);
  Table += Counts.toMarkdownRows();
  Table += m_Metrics;
  Table += fmt::format(
      "| processor share of control processes, highest; mean of entry "
      "processes | {:.1f}%; {:.1f}% | |\n",
      *std::ranges::max_element(m_ControlShares) * 100, m_EntryShare * 100);
  Table += fmt::format("| control leader killed | {} | |\n",
                       m_Settings.m_LosesLeader ? "yes" : "no");
  std::uint64_t Refused = 0;
  std::size_t Peak = 0;
  for (const auto &Server : m_Servers) {
    Refused += Server->refusedConnections();
    Peak = std::max(Peak, Server->peakConnections());
  }
  Table += fmt::format("| connections refused by backend servers; peak of one "
                       "| {}; {} | |\n",
                       Refused, Peak);
  Table += fmt::format("| heartbeats accepted; failed | {}; {} | |\n",
                       m_Heartbeats->accepted(), m_Heartbeats->failed());
  Table += fmt::format("| second configuration accepted | {} | |\n",
                       m_WasReplaced ? "yes" : "no");
  for (const auto &[Outcome, Count] : m_Outcomes) {
    Table += fmt::format("| outcome {} | {} | |\n", Outcome, Count);
  }
  return Table;
}

} // namespace ragwortmux
