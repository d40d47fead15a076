#include "bench/Measure/MeasureRun.h"

#include "bench/Measure/PromiseCheck.h"

#include <cstdlib>
#include <iostream>
#include <sstream>

namespace ragwortmux {

namespace {

using Clock = std::chrono::steady_clock;

/// Load time after the last loss, in which the cluster recovers.
constexpr std::chrono::seconds TailTime(3);
/// Pause between the last request and the check of the promises.
constexpr std::chrono::seconds SettleTime(1);
/// Only a gap that begins within this time after a loss is attributed to it.
constexpr std::chrono::seconds MaxGap(8);

/// Sum of all samples of a metric in the Prometheus text format.
double sumMetric(const std::string &Text, const std::string &Name) {
  double Sum = 0;
  std::istringstream Lines(Text);
  for (std::string Line; std::getline(Lines, Line);) {
    const bool Found =
        Line.starts_with(Name + "{") || Line.starts_with(Name + " ");
    if (Found) {
      Sum += std::strtod(Line.c_str() + Line.rfind(' '), nullptr);
    }
  }
  return Sum;
}

} // namespace

MeasureRun::MeasureRun(const Workload &UserWorkload,
                       const ClusterSettings &Settings,
                       const LoadSettings &Load, const FaultSettings &Faults)
    : m_Cluster(UserWorkload, Settings), m_Record(UserWorkload.m_Groups) {
  m_Summary.m_Workload = UserWorkload;
  m_Summary.m_Load = Load;
  m_Summary.m_Faults = Faults;
  m_Summary.m_Record = &m_Record;
}

bool MeasureRun::run() {
  std::cerr << m_Summary.m_Workload.m_Name << ": starting "
            << m_Summary.m_Workload.m_EntryHosts << " hosts\n";
  if (!m_Cluster.start()) {
    m_LastReason = m_Cluster.lastReason();
    return false;
  }
  runLoad();
  if (!m_Cluster.areHostsRunning()) {
    m_LastReason = m_Cluster.lastReason();
    return false;
  }
  m_Summary.m_Usage = m_Cluster.readUsage();
  readMetrics();
  std::this_thread::sleep_for(SettleTime);
  PromiseCheck Check(m_Cluster, m_Record);
  Check.run();
  m_Summary.m_Bookings = Check.bookings();
  m_Summary.m_Unknown = Check.unknown();
  m_Summary.m_UnknownRan = Check.unknownRan();
  readCounts();
  m_Cluster.stop();
  return true;
}

void MeasureRun::runLoad() {
  LoadClient Load(m_Cluster, m_Record, m_Summary.m_Load);
  FaultPlan Plan(m_Cluster, Load, m_Summary.m_Faults);
  const auto Start = Clock::now();
  Load.start();
  Plan.run([&](const std::string &Line) {
    const auto Elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
        Clock::now() - Start);
    std::cerr << m_Summary.m_Workload.m_Name << ": " << Elapsed.count()
              << " ms, " << m_Record.answers() << " answers, " << Line << '\n';
  });
  std::this_thread::sleep_for(TailTime);
  Load.stop();
  m_Summary.m_Seconds =
      std::chrono::duration<double>(Clock::now() - Start).count();
  getloadavg(&m_Summary.m_MachineLoad, 1);
  measureGaps(Plan);
}

void MeasureRun::measureGaps(const FaultPlan &Plan) {
  const auto End = Clock::now();
  for (const PrimaryLoss &Loss : Plan.losses()) {
    GapRecord Gap;
    Gap.m_Loss = Loss;
    if (Loss.m_Injected) {
      Gap.m_Gap = m_Record.longestGap(
          Loss.m_Group, Loss.m_LostAt,
          std::min<Clock::time_point>(Loss.m_LostAt + MaxGap, End));
    }
    m_Summary.m_Gaps.push_back(Gap);
  }
}

void MeasureRun::readCounts() {
  const Workload &UserWorkload = m_Summary.m_Workload;
  for (std::uint32_t Group = 0; Group < UserWorkload.m_Groups; ++Group) {
    for (std::uint32_t Server = 0; Server < UserWorkload.m_Servers; ++Server) {
      ServerCounts Counts;
      Counts.m_Name =
          "db-" + std::to_string(Group) + "-" + std::to_string(Server);
      const std::pair<const char *, std::uint64_t *> Fields[] = {
          {"connections_open", &Counts.m_ConnectionsOpen},
          {"connections_peak", &Counts.m_ConnectionsPeak},
          {"slots_peak", &Counts.m_SlotsPeak},
          {"refusals", &Counts.m_Refusals},
      };
      for (const auto &Row :
           m_Cluster.queryServer(Group, Server, "SELECT standin_stats()")) {
        for (const auto &[Name, Value] : Fields) {
          if (Row.size() == 2 && Row[0] == Name) {
            *Value = std::stoull(Row[1]);
          }
        }
      }
      m_Summary.m_Servers.push_back(std::move(Counts));
    }
  }
}

void MeasureRun::readMetrics() {
  double Opened = 0;
  double Retries = 0;
  for (std::uint32_t Host = 0; Host < m_Summary.m_Workload.m_EntryHosts;
       ++Host) {
    const std::string Text = m_Cluster.httpGet(Host, "/metrics");
    Opened += sumMetric(Text, "ragwortmux_backend_connections_opened_total");
    Retries += sumMetric(Text, "ragwortmux_retries_total");
  }
  m_Summary.m_ConnectionsOpened = static_cast<std::uint64_t>(Opened);
  m_Summary.m_Retries = static_cast<std::uint64_t>(Retries);
}

} // namespace ragwortmux
