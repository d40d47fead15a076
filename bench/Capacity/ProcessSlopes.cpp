#include "bench/Capacity/ProcessSlopes.h"

#include "bench/Capacity/SlopeTable.h"
#include "bench/Measure/ClientConnection.h"
#include "bench/Measure/Cluster.h"
#include "bench/Measure/ProcessUsage.h"

#include <gflags/gflags.h>

#include <chrono>
#include <iostream>
#include <memory>
#include <thread>

DEFINE_uint32(base_port, 24000, "First of the ports used");

namespace ragwortmux {

namespace {

constexpr std::uint32_t LifetimeSeconds = 120;
constexpr std::chrono::seconds SettleTime(4);
constexpr std::chrono::seconds MeasuredTime(5);
constexpr std::chrono::milliseconds RequestTimeout(5'000);

/// A cluster without load and simulated delays, with files in a temporary
/// folder.
class IdleCluster final {
public:
  IdleCluster(std::uint32_t Groups, std::uint32_t Hosts)
      : m_Folder(std::filesystem::temp_directory_path() /
                 "ragwortmux-capacity"),
        m_Cluster(makeWorkload(Groups, Hosts), makeSettings(m_Folder)) {}
  ~IdleCluster() {
    m_Cluster.stop();
    std::filesystem::remove_all(m_Folder);
  }
  IdleCluster(const IdleCluster &) = delete;
  IdleCluster &operator=(const IdleCluster &) = delete;

  bool start() {
    if (!m_Cluster.start()) {
      std::cerr << "capacity: " << m_Cluster.lastReason() << '\n';
      return false;
    }
    std::this_thread::sleep_for(SettleTime);
    return true;
  }
  Cluster &cluster() { return m_Cluster; }

private:
  static Workload makeWorkload(std::uint32_t Groups, std::uint32_t Hosts) {
    Workload UserWorkload = *findWorkload("nilerack");
    UserWorkload.m_Groups = Groups;
    UserWorkload.m_EntryHosts = Hosts;
    UserWorkload.m_Sessions = 1;
    UserWorkload.m_Meters = 1;
    UserWorkload.m_OpenDelay = Workload::Milliseconds(0);
    UserWorkload.m_DomainDelay = Workload::Milliseconds(0);
    return UserWorkload;
  }
  static ClusterSettings makeSettings(const std::filesystem::path &Folder) {
    std::filesystem::remove_all(Folder);
    std::filesystem::create_directories(Folder);
    ClusterSettings Settings;
    Settings.m_Programs = RAGWORTMUX_BINARY_DIR;
    Settings.m_Folder = Folder;
    Settings.m_BasePort = static_cast<std::uint16_t>(FLAGS_base_port);
    Settings.m_LifetimeSeconds = LifetimeSeconds;
    return Settings;
  }

  const std::filesystem::path m_Folder; ///< Removed by the destructor.
  Cluster m_Cluster;                    ///< Cluster under measurement.
};

/// Resources that a process uses per second.
struct ResourceRate final {
  double m_CorePercent = 0; ///< Processor time, % of a core.
  double m_Bytes = 0;       ///< Bytes read and written.
};

ResourceRate computeResourceRate(const ProcessUsage &Before,
                                 const ProcessUsage &After) {
  const double Seconds = std::chrono::duration<double>(MeasuredTime).count();
  return {100 * (After.m_ProcessorSeconds - Before.m_ProcessorSeconds) /
              Seconds,
          static_cast<double>(After.m_IoBytes - Before.m_IoBytes) / Seconds};
}

void addIdlePoint(SlopeTable &Table, double Size, std::uint32_t Groups,
                  std::uint32_t Hosts) {
  IdleCluster Idle(Groups, Hosts);
  if (!Idle.start()) {
    return;
  }
  const auto Before = Idle.cluster().readUsage();
  std::this_thread::sleep_for(MeasuredTime);
  const auto After = Idle.cluster().readUsage();
  // The control host with the highest processor time is taken as the leader;
  // the last host has only the entry role.
  ResourceRate Leader;
  for (std::uint32_t Host = 0; Host < 3; ++Host) {
    const ResourceRate HostRate =
        computeResourceRate(Before[Host], After[Host]);
    if (HostRate.m_CorePercent > Leader.m_CorePercent) {
      Leader = HostRate;
    }
  }
  const ResourceRate Entry =
      computeResourceRate(Before[Hosts - 1], After[Hosts - 1]);
  Table.add(Size, {Leader.m_CorePercent, Leader.m_Bytes, Entry.m_CorePercent,
                   Entry.m_Bytes,
                   static_cast<double>(After[Hosts - 1].m_ResidentBytes)});
}

} // namespace

void printCallerSlopes() {
  SlopeTable Table("Resident memory of an entry process by idle callers",
                   "callers", {"memory, bytes"});
  IdleCluster Idle(1, 4);
  if (!Idle.start()) {
    return;
  }
  constexpr std::uint32_t Host = 3;
  std::vector<std::unique_ptr<ClientConnection>> Callers;
  for (const std::size_t Count : {250U, 500U, 1000U, 2000U, 4000U}) {
    while (Callers.size() < Count) {
      Callers.push_back(std::make_unique<ClientConnection>(
          Idle.cluster().callerPort(Host),
          Cluster::entryName(LoadClass::AgedRead, 0)));
      Callers.back()->run("SET ragwortmux.session = 'clerk'", RequestTimeout);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    Table.add(static_cast<double>(Count),
              {static_cast<double>(
                  Idle.cluster().readUsage()[Host].m_ResidentBytes)});
  }
  Table.print();
}

void printControlSlopes() {
  const std::vector<std::string> Values = {
      "leader, % of a core", "leader, bytes/s", "entry, % of a core",
      "entry, bytes/s", "entry, memory"};
  SlopeTable Groups("Idle processes by groups, 4 hosts", "groups", Values);
  for (const std::uint32_t Size : {1U, 3U, 6U, 12U}) {
    addIdlePoint(Groups, Size, Size, 4);
  }
  Groups.print();
  SlopeTable Hosts("Idle processes by entry processes, 3 groups",
                   "entry processes", Values);
  for (const std::uint32_t Size : {4U, 7U, 10U, 15U}) {
    addIdlePoint(Hosts, Size, 3, Size);
  }
  Hosts.print();
}

} // namespace ragwortmux
