#include "bench/Measure/OverheadRun.h"

#include "bench/Measure/ClientConnection.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <thread>

namespace ragwortmux {

namespace {

using Clock = std::chrono::steady_clock;

constexpr const char *ReadSql = "SELECT v FROM readings WHERE k = 'm1'";
constexpr std::chrono::milliseconds RequestTimeout(2'000);
constexpr std::chrono::seconds ThroughputTime(3);
constexpr std::size_t WarmUpReads = 500;
constexpr std::size_t TimedReads = 5000;
constexpr std::size_t Callers = 16;

Workload makeOneGroupWorkload() {
  Workload UserWorkload = *findWorkload("nilerack");
  UserWorkload.m_Groups = 1;
  UserWorkload.m_EntryHosts = 3;
  UserWorkload.m_Slots = 64;
  UserWorkload.m_Connections = 200;
  UserWorkload.m_OpenDelay = Workload::Milliseconds(0);
  UserWorkload.m_DomainDelay = Workload::Milliseconds(0);
  UserWorkload.m_StatementDelay = Workload::Milliseconds(0);
  return UserWorkload;
}

} // namespace

std::string OverheadSummary::toMarkdown() const {
  std::array<char, 1024> Text;
  std::snprintf(Text.data(), Text.size(),
                "### overhead\n\n| measure | direct | through a proxy | "
                "difference |\n| --- | --- | --- | --- |\n"
                "| median of one read, one caller | %.0f us | %.0f us | "
                "%.0f us added |\n"
                "| reads per second, %zu callers | %.0f | %.0f | %.1f%% |\n",
                m_DirectMedianUs, m_ProxyMedianUs,
                m_ProxyMedianUs - m_DirectMedianUs, Callers, m_DirectPerSecond,
                m_ProxyPerSecond, 100 * m_ProxyPerSecond / m_DirectPerSecond);
  return Text.data();
}

OverheadRun::OverheadRun(const ClusterSettings &Settings)
    : m_Cluster(makeOneGroupWorkload(), Settings) {}

bool OverheadRun::run() {
  if (!m_Cluster.start()) {
    return false;
  }
  // Server 1 is a replica in the failure domain of host 1.
  constexpr std::uint32_t Near = 1;
  const std::uint16_t Server = m_Cluster.serverPort(0, Near);
  const std::uint16_t Host = m_Cluster.callerPort(Near);
  const std::string Entry = Cluster::entryName(LoadClass::AgedRead, 0);
  m_Summary.m_DirectMedianUs = measureMedianUs(Server, "db");
  m_Summary.m_ProxyMedianUs = measureMedianUs(Host, Entry);
  m_Summary.m_DirectPerSecond = measureReadsPerSecond(Server, "db");
  m_Summary.m_ProxyPerSecond = measureReadsPerSecond(Host, Entry);
  m_Cluster.stop();
  return true;
}

double OverheadRun::measureMedianUs(std::uint16_t Port,
                                    const std::string &Database) const {
  ClientConnection Client(Port, Database);
  std::vector<double> Times;
  for (std::size_t Read = 0; Read < WarmUpReads + TimedReads; ++Read) {
    const auto Begin = Clock::now();
    const bool Done = Client.run(ReadSql, RequestTimeout).ok();
    if (Done && Read >= WarmUpReads) {
      Times.push_back(
          std::chrono::duration<double, std::micro>(Clock::now() - Begin)
              .count());
    }
  }
  if (Times.empty()) {
    return 0;
  }
  std::ranges::sort(Times);
  return Times[Times.size() / 2];
}

double OverheadRun::measureReadsPerSecond(std::uint16_t Port,
                                          const std::string &Database) const {
  std::atomic<std::uint64_t> Answers = 0;
  std::vector<std::thread> Threads;
  const auto End = Clock::now() + ThroughputTime;
  for (std::size_t Caller = 0; Caller < Callers; ++Caller) {
    Threads.emplace_back([&] {
      ClientConnection Client(Port, Database);
      while (Clock::now() < End) {
        Answers += Client.run(ReadSql, RequestTimeout).ok() ? 1 : 0;
      }
    });
  }
  for (std::thread &Thread : Threads) {
    Thread.join();
  }
  return static_cast<double>(Answers) /
         std::chrono::duration<double>(ThroughputTime).count();
}

} // namespace ragwortmux
