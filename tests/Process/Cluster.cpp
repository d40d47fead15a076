#include "Cluster.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cassert>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace ragwortmux {

namespace {

namespace json = boost::json;

/// Value of `--max_lifetime_s`.
constexpr const char *MaxLifetimeS = "180";
/// Ports of a host: callers, HTTP and RPC.
constexpr std::size_t PortsPerHost = 3;

std::string loopbackAddress(std::uint16_t Port) {
  return "127.0.0.1:" + std::to_string(Port);
}

/// Returns the value at \p Path in the JSON document \p Text; null if there is
/// none.
json::value findMember(const std::string &Text,
                       std::initializer_list<const char *> Path) {
  boost::system::error_code Error;
  json::value Value = json::parse(Text, Error);
  for (const char *Name : Path) {
    if (Error || !Value.is_object() || !Value.as_object().contains(Name)) {
      return nullptr;
    }
    json::value Inner = Value.as_object().at(Name);
    Value = std::move(Inner);
  }
  return Value;
}

/// Returns the path and parameters of an HTTP request that changes the
/// catalogue.
std::string changePath(const std::string &Name, std::uint64_t ExpectedRevision,
                       const std::string &ChangeId) {
  return "/v1/catalogue/" + Name +
         "?expect_revision=" + std::to_string(ExpectedRevision) +
         "&change_id=" + ChangeId + "&operator=test";
}

} // namespace

Cluster::Cluster(ClusterSettings Settings)
    : m_Settings(std::move(Settings)),
      m_Ports(m_Settings.m_Hosts * PortsPerHost + m_Settings.m_Servers) {
  std::string Template = std::filesystem::temp_directory_path() / "rwm-XXXXXX";
  m_Folder = mkdtemp(Template.data());
  const std::vector<std::uint16_t> &Ports = m_Ports.ports();
  assert(!Ports.empty());
  std::size_t NextPort = 0;
  for (unsigned Index = 0; Index < m_Settings.m_Hosts; ++Index) {
    HostInstance Host;
    Host.m_CallerPort = Ports[NextPort++];
    Host.m_HttpPort = Ports[NextPort++];
    Host.m_RpcPort = Ports[NextPort++];
    Host.m_Folder = m_Folder + "/data-" + std::to_string(Index);
    const std::string Separator = m_Peers.empty() ? "" : ",";
    m_Peers += Separator + "host-" + std::to_string(Index) + "=" +
               loopbackAddress(Host.m_RpcPort);
    m_AnnounceTo += Separator + loopbackAddress(Host.m_HttpPort);
    m_Hosts.push_back(std::move(Host));
  }
  for (unsigned Index = 0; Index < m_Settings.m_Servers; ++Index) {
    ServerInstance Server;
    Server.m_Port = Ports[NextPort++];
    Server.m_RecordPath = m_Folder + "/commits-" + std::to_string(Index);
    m_Servers.push_back(std::move(Server));
  }
}

Cluster::~Cluster() {
  m_Hosts.clear();
  m_Servers.clear();
  std::error_code Ignored;
  std::filesystem::remove_all(m_Folder, Ignored);
}

bool Cluster::start() {
  for (unsigned Index = 0; Index < m_Settings.m_Hosts; ++Index) {
    startHost(Index);
  }
  for (unsigned Index = 0; Index < m_Settings.m_Servers; ++Index) {
    startServer(Index, Index == 0);
  }
  const auto CreateEntry = [this](const char *Name, const char *Class) {
    return createEntry(Name, Class, {});
  };
  const bool Created =
      CreateEntry("bookings", "booking") && CreateEntry("writes", "write") &&
      CreateEntry("hires", "session-read") && CreateEntry("stock", "aged-read");
  if (!Created) {
    printStartFailure("an entry was not created or not served by all hosts");
    return false;
  }
  const auto AllReady = [this] {
    for (unsigned Index = 0; Index < m_Settings.m_Hosts; ++Index) {
      if (catalogueRevision(Index) < 4) {
        return false;
      }
    }
    return m_Settings.m_Servers == 0 || isInSync(m_Settings.m_Servers);
  };
  if (!waitUntil(AllReady)) {
    printStartFailure("a host lacks the catalogue or a server is not in sync");
    return false;
  }
  return true;
}

void Cluster::printStartFailure(const std::string &Step) const {
  constexpr std::size_t TailBytes = 3000;
  std::cerr << "Cluster::start failed: " << Step << '\n';
  for (unsigned Index = 0; Index < m_Settings.m_Hosts; ++Index) {
    const ChildProcess &Host = *m_Hosts[Index].m_Process;
    const std::string Text = Host.output() + Host.errors();
    std::cerr << "host " << Index << ": " << status(Index) << '\n'
              << Text.substr(Text.size() - std::min(Text.size(), TailBytes))
              << '\n';
  }
}

void Cluster::startHost(unsigned Index) {
  HostInstance &Host = m_Hosts[Index];
  ChildProcessSettings Settings;
  Settings.m_Program = RAGWORTMUX_BINARY_DIR "/bin/ragwortmux";
  Settings.m_Arguments = {"serve",
                          "--host=host-" + std::to_string(Index),
                          "--failure_domain=domain-" + std::to_string(Index),
                          "--roles=entry,control",
                          std::string("--bootstrap=") +
                              (Index == 0 ? "true" : "false"),
                          "--caller_port=" + std::to_string(Host.m_CallerPort),
                          "--http_port=" + std::to_string(Host.m_HttpPort),
                          "--rpc_port=" + std::to_string(Host.m_RpcPort),
                          "--control_peers=" + m_Peers,
                          "--data_folder=" + Host.m_Folder,
                          std::string("--max_lifetime_s=") + MaxLifetimeS};
  Settings.m_Arguments.insert(Settings.m_Arguments.end(),
                              m_Settings.m_HostFlags.begin(),
                              m_Settings.m_HostFlags.end());
  Settings.m_Environment = {
      {"RAGWORTMUX_CLUSTER_KEY", "test-cluster-key"},
      {"RAGWORTMUX_OPERATOR_TOKEN", "test-operator-token"}};
  Host.m_Process = std::make_unique<ChildProcess>(Settings);
  Host.m_Process->start();
  Host.m_Process->waitForLine("ready ", std::chrono::seconds(10));
}

void Cluster::deleteHostData(unsigned Index) {
  std::filesystem::remove_all(m_Hosts[Index].m_Folder);
}

void Cluster::startServer(unsigned Index, bool AsPrimary) {
  ServerInstance &Server = m_Servers[Index];
  ChildProcessSettings Settings;
  Settings.m_Program = RAGWORTMUX_BINARY_DIR "/standin-backend";
  Settings.m_Arguments = {"--group=ledger",
                          "--server=db-" + std::to_string(Index),
                          "--domain=domain-" + std::to_string(Index),
                          "--port=" + std::to_string(Server.m_Port),
                          "--announce_to=" + m_AnnounceTo,
                          "--record=" + Server.m_RecordPath,
                          std::string("--max_lifetime_s=") + MaxLifetimeS,
                          AsPrimary ? std::string("--start_as_primary")
                                    : "--primary_address=" +
                                          loopbackAddress(m_Servers[0].m_Port)};
  Settings.m_Arguments.insert(Settings.m_Arguments.end(),
                              m_Settings.m_ServerFlags.begin(),
                              m_Settings.m_ServerFlags.end());
  Server.m_Process = std::make_unique<ChildProcess>(Settings);
  Server.m_Process->start();
  Server.m_Process->waitForPort();
}

PgAnswer Cluster::runOnServer(unsigned Index, const std::string &Sql) {
  return runOnce(m_Servers[Index].m_Port, "control", Sql);
}

bool Cluster::setFault(unsigned Index, const std::string &Name,
                       unsigned Value) {
  const std::string Number = std::to_string(Value);
  return runOnServer(Index,
                     "SELECT standin_fault('" + Name + "','" + Number + "')")
             .value() == Number;
}

std::uint64_t Cluster::counter(unsigned Index, const std::string &Name) {
  for (const auto &Row : runOnServer(Index, "SELECT standin_stats()").m_Rows) {
    if (Row.at(0) == Name) {
      return std::stoull(Row.at(1));
    }
  }
  return 0;
}

std::vector<std::string> Cluster::commits() const {
  std::vector<std::string> Lines;
  for (const ServerInstance &Server : m_Servers) {
    std::ifstream File(Server.m_RecordPath);
    for (std::string Line; std::getline(File, Line);) {
      Lines.push_back(Line);
    }
  }
  return Lines;
}

std::size_t Cluster::countCommits(const std::string &Text) const {
  const auto Lines = commits();
  return static_cast<std::size_t>(
      std::ranges::count_if(Lines, [&](const std::string &Line) {
        return Line.find(Text) != std::string::npos;
      }));
}

std::string Cluster::status(unsigned Index) const {
  return httpCall(httpPort(Index), "GET", "/v1/status").m_Body;
}

int Cluster::primary() const {
  for (unsigned Index = 0; Index < m_Settings.m_Hosts; ++Index) {
    const auto Groups = findMember(status(Index), {"cluster", "groups"});
    if (!Groups.is_array() || Groups.as_array().empty()) {
      continue;
    }
    const auto &Primary = Groups.as_array()[0].as_object().at("primary");
    return Primary.is_string() ? Primary.as_string().back() - '0' : -1;
  }
  return -1;
}

unsigned Cluster::waitForPrimary() const {
  int Primary = -1;
  waitUntil([&] {
    Primary = primary();
    return Primary >= 0;
  });
  return static_cast<unsigned>(Primary);
}

int Cluster::leader() const {
  for (unsigned Index = 0; Index < m_Settings.m_Hosts; ++Index) {
    const HttpAnswer Metrics = httpCall(httpPort(Index), "GET", "/metrics");
    if (Metrics.m_Body.find("ragwortmux_control_leader 1") !=
        std::string::npos) {
      return static_cast<int>(Index);
    }
  }
  return -1;
}

bool Cluster::isInSync(unsigned Count) const {
  for (unsigned Index = 0; Index < m_Settings.m_Hosts; ++Index) {
    const auto Groups = findMember(status(Index), {"cluster", "groups"});
    if (!Groups.is_array() || Groups.as_array().empty()) {
      continue;
    }
    const auto &Group = Groups.as_array()[0].as_object();
    const auto &Servers = Group.at("servers").as_array();
    const auto InSync =
        std::ranges::count_if(Servers, [](const json::value &Server) {
          return Server.as_object().at("sync").as_string() == "in-sync";
        });
    return Group.at("primary").is_string() &&
           static_cast<unsigned>(InSync) >= Count;
  }
  return false;
}

HttpAnswer Cluster::putEntry(unsigned Host, const std::string &Name,
                             const std::string &Class,
                             std::uint64_t ExpectedRevision,
                             const std::string &ChangeId,
                             const EntryLimits &Limits) const {
  json::object Entry;
  Entry["name"] = Name;
  Entry["group"] = "ledger";
  Entry["owner"] = "owner";
  Entry["class"] = Class;
  if (Class == "aged-read") {
    Entry["max_age_ms"] = 2000;
  }
  for (const auto &[Limit, Value] : Limits) {
    Entry[Limit] = Value;
  }
  return httpCall(httpPort(Host), "PUT",
                  changePath(Name, ExpectedRevision, ChangeId),
                  json::serialize(Entry));
}

HttpAnswer Cluster::deleteEntry(unsigned Host, const std::string &Name,
                                std::uint64_t ExpectedRevision,
                                const std::string &ChangeId) const {
  return httpCall(httpPort(Host), "DELETE",
                  changePath(Name, ExpectedRevision, ChangeId));
}

bool Cluster::createEntry(const std::string &Name, const std::string &Class,
                          const EntryLimits &Limits) const {
  const bool Created = waitUntil([&] {
    return putEntry(0, Name, Class, 0, "create-" + Name, Limits).m_Status ==
           200;
  });
  return Created && std::ranges::all_of(m_Hosts, [&](const HostInstance &Host) {
           PgClient Caller(Host.m_CallerPort);
           return waitUntil([&] { return Caller.connect("", Name); });
         });
}

std::uint64_t Cluster::catalogueRevision(unsigned Index) const {
  const auto Revision =
      findMember(status(Index), {"process", "catalogue_revision"});
  boost::system::error_code Error;
  return Revision.is_null() ? 0 : Revision.to_number<std::uint64_t>(Error);
}

PgAnswer Cluster::book(unsigned Host, const std::string &Key,
                       const std::string &RequestKey,
                       const std::string &Session) const {
  CallerSettings Options;
  if (!RequestKey.empty()) {
    Options["request_key"] = RequestKey;
  }
  if (!Session.empty()) {
    Options["session"] = Session;
  }
  return runOnce(callerPort(Host), "bookings",
                 "INSERT INTO hires VALUES ('" + Key + "', 'dryer')", Options);
}

bool Cluster::bookUntilAcknowledged(unsigned Host,
                                    const std::string &Key) const {
  const std::string RequestKey = generateRequestKey();
  return waitUntil([&] { return book(Host, Key, RequestKey, "clerk").m_Ok; });
}

PgAnswer Cluster::read(unsigned Host, const std::string &Key,
                       const std::string &Session) const {
  return runOnce(callerPort(Host), "hires",
                 "SELECT v FROM hires WHERE k = '" + Key + "'",
                 {{"session", Session}});
}

} // namespace ragwortmux
