#include "bench/Measure/Cluster.h"

#include "bench/Measure/HttpCall.h"
#include "bench/Measure/ProcessUsage.h"
#include "tests/StandIn/ChildProcess.h"
#include "tests/StandIn/PgClient.h"

#include <fstream>

namespace ragwortmux {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char *ClusterKey = "measure-cluster-key";
constexpr const char *OperatorToken = "measure-operator-token";
constexpr std::uint16_t PortsPerHost = 3;
constexpr std::uint16_t ServerPortOffset = 60;
constexpr milliseconds ReadyTimeout(20'000);
constexpr milliseconds FaultTimeout(2'000);
constexpr milliseconds StopTimeout(1'500);
constexpr unsigned HttpOk = 200;

std::string flag(const std::string &Name, const std::string &Value) {
  return "--" + Name + "=" + Value;
}

std::string flag(const std::string &Name, std::uint64_t Value) {
  return flag(Name, std::to_string(Value));
}

std::string local(std::uint16_t Port) {
  return "127.0.0.1:" + std::to_string(Port);
}

std::string setFaultSql(const std::string &Name, unsigned Value) {
  return "SELECT standin_fault('" + Name + "', '" + std::to_string(Value) +
         "')";
}

} // namespace

Cluster::Cluster(const Workload &UserWorkload, ClusterSettings Settings)
    : m_Workload(UserWorkload), m_Settings(std::move(Settings)) {}

Cluster::~Cluster() { stop(); }

bool Cluster::start() {
  if (!startHosts()) {
    return false;
  }
  m_Servers.resize(std::size_t(m_Workload.m_Groups) * m_Workload.m_Servers);
  for (std::uint32_t Group = 0; Group < m_Workload.m_Groups; ++Group) {
    for (std::uint32_t Server = 0; Server < m_Workload.m_Servers; ++Server) {
      if (!startServer(Group, Server)) {
        return false;
      }
    }
  }
  return putEntries() && waitUntilReady();
}

void Cluster::stop() {
  m_FaultConnections.clear();
  // A suspended process does not handle SIGTERM, so it is resumed first; the
  // destructor of ChildProcess kills processes that have not exited.
  for (auto *List : {&m_Hosts, &m_Servers}) {
    for (const auto &Process : *List) {
      if (Process) {
        Process->resume();
        Process->terminate();
      }
    }
  }
  const auto Deadline = std::chrono::steady_clock::now() + StopTimeout;
  for (std::size_t Index = 0; Index < m_Hosts.size(); ++Index) {
    const auto Left = std::chrono::duration_cast<milliseconds>(
        Deadline - std::chrono::steady_clock::now());
    m_Hosts[Index]->waitForExit(std::max(Left, milliseconds(0)));
    std::ofstream(m_Settings.m_Folder /
                  ("host-" + std::to_string(Index) + ".log"))
        << m_Hosts[Index]->output() << m_Hosts[Index]->errors();
  }
  m_Hosts.clear();
  m_Servers.clear();
}

bool Cluster::startHosts() {
  std::string Peers;
  for (std::uint32_t Host = 0; Host < m_Workload.m_ControlHosts; ++Host) {
    Peers += (Peers.empty() ? "host-" : ",host-") + std::to_string(Host) + "=" +
             local(rpcPort(Host));
  }
  for (std::uint32_t Host = 0; Host < m_Workload.m_EntryHosts; ++Host) {
    const bool Control = Host < m_Workload.m_ControlHosts;
    const std::string Name = "host-" + std::to_string(Host);
    ChildProcessSettings Child;
    Child.m_Program = m_Settings.m_Programs / "bin" / "ragwortmux";
    Child.m_Environment = {{"RAGWORTMUX_CLUSTER_KEY", ClusterKey},
                           {"RAGWORTMUX_OPERATOR_TOKEN", OperatorToken}};
    Child.m_Arguments = {
        "serve",
        flag("host", Name),
        flag("failure_domain",
             m_Workload.m_Domains[Host % m_Workload.m_Domains.size()]),
        flag("roles", Control ? "entry,control" : "entry"),
        flag("bootstrap", Host == 0 ? "true" : "false"),
        flag("caller_port", callerPort(Host)),
        flag("http_port", httpPort(Host)),
        flag("rpc_port", rpcPort(Host)),
        flag("control_peers", Peers),
        flag("max_callers", 5000),
        flag("drain_timeout_s", 1),
        flag("timeline_folder", m_Settings.m_Folder / "timeline"),
        flag("max_lifetime_s", m_Settings.m_LifetimeSeconds)};
    if (Control) {
      Child.m_Arguments.push_back(
          flag("data_folder", m_Settings.m_Folder / ("data-" + Name)));
    }
    m_Hosts.push_back(std::make_unique<ChildProcess>(std::move(Child)));
    if (!m_Hosts.back()->start()) {
      m_LastReason = m_Hosts.back()->lastReason();
      return false;
    }
  }
  return true;
}

bool Cluster::startServer(std::uint32_t Group, std::uint32_t Server) {
  const std::string Name =
      "db-" + std::to_string(Group) + "-" + std::to_string(Server);
  // The list begins with an entry host in the failure domain of the server.
  std::string Announce;
  for (std::uint32_t Step = 0; Step < m_Workload.m_EntryHosts; ++Step) {
    const std::uint32_t Host = (Server + Step) % m_Workload.m_EntryHosts;
    Announce += (Announce.empty() ? "" : ",") + local(httpPort(Host));
  }
  ChildProcessSettings Child;
  Child.m_Program = m_Settings.m_Programs / "standin-backend";
  Child.m_Arguments = {
      flag("group", groupName(Group)),
      flag("server", Name),
      flag("domain",
           m_Workload.m_Domains[Server % m_Workload.m_Domains.size()]),
      flag("port", serverPort(Group, Server)),
      flag("announce_to", Announce),
      flag("slots", m_Workload.m_Slots),
      flag("connections", m_Workload.m_Connections),
      flag("open_delay_ms", m_Workload.m_OpenDelay.count()),
      flag("statement_delay_ms", m_Workload.m_StatementDelay.count()),
      flag("replication_delay_ms", m_Workload.m_DomainDelay.count()),
      flag("data_file", m_Settings.m_Folder / (Name + ".journal")),
      flag("record", recordFile(Group, Server)),
      flag("max_lifetime_s", m_Settings.m_LifetimeSeconds)};
  if (Server == 0) {
    Child.m_Arguments.emplace_back("--start_as_primary");
    Child.m_Arguments.push_back(flag("seed_sql", seedSql()));
  } else {
    Child.m_Arguments.push_back(
        flag("primary_address", local(serverPort(Group, 0))));
  }
  auto &Process = m_Servers[serverIndex(Group, Server)];
  Process = std::make_unique<ChildProcess>(std::move(Child));
  if (!Process->start() || !Process->waitForPort()) {
    m_LastReason = Name + ": " + Process->lastReason();
    return false;
  }
  return true;
}

std::string Cluster::seedSql() const {
  std::string Sql;
  const auto Insert = [&Sql](const char *Table, const std::string &Key) {
    Sql.append("INSERT INTO ").append(Table).append(" VALUES ('").append(Key);
    Sql.append("','").append(Key).append(":0');");
  };
  for (std::uint32_t Session = 0; Session < m_Workload.m_Sessions; ++Session) {
    const std::string Key = "s" + std::to_string(Session);
    Insert("stock", Key);
    Insert("deposits", Key);
  }
  for (std::uint32_t Meter = 0; Meter < m_Workload.m_Meters; ++Meter) {
    Insert("readings", "m" + std::to_string(Meter));
  }
  return Sql;
}

bool Cluster::putEntries() {
  for (std::uint32_t Group = 0; Group < m_Workload.m_Groups; ++Group) {
    for (const LoadClass Class :
         {LoadClass::Booking, LoadClass::Write, LoadClass::SessionRead,
          LoadClass::AgedRead}) {
      const auto MaxAge =
          Class == LoadClass::AgedRead ? m_Workload.m_MaxAge.count() : 0;
      if (!putEntry(entryName(Class, Group), Group, loadClassName(Class),
                    static_cast<std::uint32_t>(MaxAge))) {
        return false;
      }
    }
    if (!putEntry(probeEntry(Group), Group, "booking", 0)) {
      return false;
    }
  }
  return true;
}

bool Cluster::putEntry(const std::string &Name, std::uint32_t Group,
                       std::string_view Class, std::uint32_t MaxAgeMs) {
  HttpCall Call;
  Call.m_Port = httpPort(0);
  Call.m_Method = "PUT";
  Call.m_Path = "/v1/catalogue/" + Name +
                "?expect_revision=0&operator=measure&change_id=measure-" + Name;
  Call.m_Body = R"({"name":")" + Name + R"(","group":")" + groupName(Group) +
                R"(","owner":")" + m_Workload.m_Name + R"(","class":")" +
                std::string(Class) + R"(","deadline_ms":5000,"max_age_ms":)" +
                std::to_string(MaxAgeMs) + "}";
  Call.m_Token = OperatorToken;
  HttpAnswer Answer;
  const bool Done = waitUntil(
      [&] {
        Answer = callHttp(Call);
        return Answer.m_Status == HttpOk;
      },
      ReadyTimeout);
  if (!Done) {
    m_LastReason =
        "catalogue entry " + Name + " was not accepted: " + Answer.m_Body;
  }
  return Done;
}

bool Cluster::waitUntilReady() {
  for (std::uint32_t Host = 0; Host < m_Workload.m_EntryHosts; ++Host) {
    if (!waitUntil([&] { return !httpGet(Host, "/readyz").empty(); },
                   ReadyTimeout)) {
      m_LastReason = "host-" + std::to_string(Host) +
                     " is not ready: /readyz gave no 200 in time";
      return false;
    }
  }
  return true;
}

void Cluster::killServer(std::uint32_t Group, std::uint32_t Server) {
  m_Servers[serverIndex(Group, Server)]->kill();
}

void Cluster::restartServer(std::uint32_t Group, std::uint32_t Server) {
  startServer(Group, Server);
}

void Cluster::freezeServer(std::uint32_t Group, std::uint32_t Server,
                           bool Frozen) {
  ChildProcess &Process = *m_Servers[serverIndex(Group, Server)];
  Frozen ? Process.stop() : Process.resume();
}

void Cluster::isolateServer(std::uint32_t Group, std::uint32_t Server) {
  PgClient First(serverPort(Group, Server));
  First.connect();
  First.send(setFaultSql("silent_connections", 1));
  First.receive(milliseconds(50));
  // The fault affects only connections that are open when it is set, so that
  // this new connection can set and clear the other faults.
  auto FaultConnection = std::make_unique<PgClient>(serverPort(Group, Server));
  FaultConnection->connect();
  FaultConnection->send(setFaultSql("refuse_connections", 1) + ";" +
                        setFaultSql("stop_announcing", 1));
  FaultConnection->receive(FaultTimeout);
  m_FaultConnections[serverIndex(Group, Server)] = std::move(FaultConnection);
}

void Cluster::reconnectServer(std::uint32_t Group, std::uint32_t Server) {
  const auto Found = m_FaultConnections.find(serverIndex(Group, Server));
  if (Found == m_FaultConnections.end()) {
    return;
  }
  Found->second->send(setFaultSql("refuse_connections", 0) + ";" +
                      setFaultSql("stop_announcing", 0));
  Found->second->receive(FaultTimeout);
  m_FaultConnections.erase(Found);
}

void Cluster::freezeHost(std::uint32_t Host, bool Frozen) {
  Frozen ? m_Hosts[Host]->stop() : m_Hosts[Host]->resume();
}

std::optional<std::uint32_t> Cluster::findPrimary(std::uint32_t Group) {
  std::optional<std::uint32_t> Primary;
  unsigned long HighestTerm = 0;
  for (std::uint32_t Server = 0; Server < m_Workload.m_Servers; ++Server) {
    const auto Rows =
        queryServer(Group, Server, "SELECT ragwortmux_position()");
    if (Rows.empty() || Rows[0].size() < 3 || Rows[0][2] != "primary") {
      continue;
    }
    const unsigned long Term = std::stoul(Rows[0][0]);
    if (Term >= HighestTerm) {
      HighestTerm = Term;
      Primary = Server;
    }
  }
  return Primary;
}

std::vector<std::vector<std::string>>
Cluster::queryServer(std::uint32_t Group, std::uint32_t Server,
                     const std::string &Sql) {
  PgClient Client(serverPort(Group, Server));
  if (!m_Servers[serverIndex(Group, Server)]->isRunning() ||
      !Client.connect() || !Client.send(Sql)) {
    return {};
  }
  const auto Answer = Client.receive(seconds(10));
  return Answer ? Answer->m_Rows : std::vector<std::vector<std::string>>();
}

std::string Cluster::httpGet(std::uint32_t Host,
                             const std::string &Path) const {
  HttpCall Call;
  Call.m_Port = httpPort(Host);
  Call.m_Path = Path;
  Call.m_Token = OperatorToken;
  const HttpAnswer Answer = callHttp(Call);
  return Answer.m_Status == HttpOk ? Answer.m_Body : std::string();
}

std::vector<ProcessUsage> Cluster::readUsage() const {
  std::vector<ProcessUsage> All;
  for (std::size_t Host = 0; Host < m_Hosts.size(); ++Host) {
    All.push_back(readProcessUsage("host-" + std::to_string(Host),
                                   m_Hosts[Host]->processId()));
  }
  for (std::size_t Index = 0; Index < m_Servers.size(); ++Index) {
    const std::string Name = "db-" +
                             std::to_string(Index / m_Workload.m_Servers) +
                             "-" + std::to_string(Index % m_Workload.m_Servers);
    All.push_back(readProcessUsage(Name, m_Servers[Index]->processId()));
  }
  return All;
}

bool Cluster::areHostsRunning() {
  for (const auto &Host : m_Hosts) {
    if (!Host->isRunning()) {
      m_LastReason = "an entry host exited: " + Host->errors();
      return false;
    }
  }
  return true;
}

std::uint16_t Cluster::callerPort(std::uint32_t Host) const {
  return static_cast<std::uint16_t>(m_Settings.m_BasePort +
                                    PortsPerHost * Host);
}

std::uint16_t Cluster::httpPort(std::uint32_t Host) const {
  return callerPort(Host) + 1;
}

std::uint16_t Cluster::rpcPort(std::uint32_t Host) const {
  return callerPort(Host) + 2;
}

std::uint16_t Cluster::serverPort(std::uint32_t Group,
                                  std::uint32_t Server) const {
  return static_cast<std::uint16_t>(m_Settings.m_BasePort + ServerPortOffset +
                                    serverIndex(Group, Server));
}

std::string Cluster::groupName(std::uint32_t Group) const {
  return m_Workload.m_GroupPrefix + "-" + std::to_string(Group);
}

std::filesystem::path Cluster::recordFile(std::uint32_t Group,
                                          std::uint32_t Server) const {
  return m_Settings.m_Folder / ("db-" + std::to_string(Group) + "-" +
                                std::to_string(Server) + ".record");
}

std::string Cluster::entryName(LoadClass Class, std::uint32_t Group) {
  return std::string(loadClassName(Class)) + "-" + std::to_string(Group);
}

std::string Cluster::probeEntry(std::uint32_t Group) {
  return "probe-" + std::to_string(Group);
}

std::uint32_t Cluster::serverIndex(std::uint32_t Group,
                                   std::uint32_t Server) const {
  return Group * m_Workload.m_Servers + Server;
}

} // namespace ragwortmux
