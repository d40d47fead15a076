#ifndef REVIEW_STANDINS_DEPLOYMENT_H
#define REVIEW_STANDINS_DEPLOYMENT_H

#include "review/standins/Net.h"
#include "review/standins/Record.h"
#include "review/standins/Service.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <random>
#include <sstream>
#include <string>
#include <vector>

namespace review {

/// Waits until \p Condition holds; false after \p Limit.
inline bool waitUntil(Milliseconds Limit,
                      const std::function<bool()> &Condition) {
  const auto End = Clock::now() + Limit;
  while (Clock::now() < End) {
    if (Condition())
      return true;
    pause(Milliseconds(20));
  }
  return false;
}

/// A route of a configuration.
struct Route final {
  std::string m_Database;           ///< Name of the database.
  std::string m_Kind;               ///< Kind of the route.
  std::string m_Service;            ///< Service that it goes to.
  unsigned m_TimeoutMs = 1000;      ///< Limit of a statement.
  unsigned m_MaxStalenessMs = 2500; ///< For the kinds that allow an age.
};

/// The processes of the project, with the platform and the operator around
/// them.
class Deployment final {
public:
  struct Node final {
    std::string m_Role;    ///< "entry" or "control".
    std::string m_Name;    ///< Name of the machine.
    std::string m_Zone;    ///< Its zone.
    std::string m_Address; ///< Its IP address.
    pid_t m_Process = -1;  ///< Id of the running process; -1: none.
  };

  static constexpr std::uint16_t FrontPort = 8784;
  static constexpr std::uint16_t ReadyPort = 8785;
  static constexpr std::uint16_t ControlPort = 8782;

  explicit Deployment(Record &Log)
      : m_Record(Log), m_Prefix(randomPrefix()),
        m_Folder(std::filesystem::temp_directory_path() /
                 ("ragwortmux-review-" + std::to_string(::getpid()))),
        m_Platform(m_Prefix + "4") {
    std::filesystem::create_directories(m_Folder);
  }

  /// Ends all processes, removes the temporary folder and exits. The threads
  /// of the stand-ins end with it.
  [[noreturn]] void exit(int Status) {
    killAll();
    std::error_code Ignored;
    std::filesystem::remove_all(m_Folder, Ignored);
    m_Record.add("exit status " + std::to_string(Status));
    std::_Exit(Status);
  }
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;

  /// An address of a backend server.
  std::string serverAddress() {
    return m_Prefix + std::to_string(30 + m_Servers++);
  }

  void addNode(const std::string &Role, const std::string &Zone) {
    const std::size_t Number = m_Nodes.size() + 1;
    m_Nodes.push_back({Role,
                       (Role == "control" ? "core-" : "front-") + Zone + "-" +
                           std::to_string(Number),
                       Zone, m_Prefix + std::to_string(100 + Number)});
  }

  std::vector<std::string> controlAddresses() const {
    std::vector<std::string> Addresses;
    for (const Node &Each : m_Nodes) {
      if (Each.m_Role == "control")
        Addresses.push_back(Each.m_Address);
    }
    return Addresses;
  }

  Node &entry(std::size_t Number = 0) {
    for (Node &Each : m_Nodes) {
      if (Each.m_Role == "entry" && Number-- == 0)
        return Each;
    }
    std::abort();
  }

  /// Starts all processes, serves promotions of \p Services, sends the first
  /// configuration and waits until all entry machines are ready.
  bool start(const std::vector<Service *> &Services,
             const std::vector<Route> &Routes) {
    m_Services = Services;
    std::thread([this] { servePromotions(); }).detach();
    for (Service *Each : Services)
      Each->start(controlAddresses(), ControlPort);
    for (Node &Each : m_Nodes)
      startProcess(Each, true);
    if (!waitUntil(Milliseconds(15000), [&] { return configure(Routes); }))
      return fail("no configuration was accepted");
    return waitUntil(Milliseconds(15000), [&] { return areEntriesReady(); }) ||
           fail("the entry machines did not become ready");
  }

  /// Sends a configuration of the next version once; true if it was
  /// acknowledged.
  bool configure(const std::vector<Route> &Routes) {
    const std::string Body = configuration(++m_Version, Routes);
    for (const std::string &Address : controlAddresses()) {
      const int Status =
          callHttp(Address, ControlPort, "POST /config/replace", Body);
      m_Record.add("configuration " + std::to_string(m_Version) + " at " +
                   Address + ": " + std::to_string(Status));
      if (Status == 200)
        return true;
    }
    return false;
  }

  void startProcess(Node &Which, bool IsBootstrap) {
    const std::string Settings =
        (m_Folder / Which.m_Name).string() + ".settings";
    std::ofstream(Settings) << render(Which, IsBootstrap);
    const std::string Output = (m_Folder / Which.m_Name).string() + ".log";
    const std::vector<std::string> Words = command(Which.m_Role);
    Which.m_Process = ::fork();
    if (Which.m_Process != 0)
      return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int File =
        ::open(Output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(File, STDOUT_FILENO);
    ::dup2(File, STDERR_FILENO);
    ::setenv("RAGWORTMUX_CONFIG", Settings.c_str(), 1);
    ::setenv("RAGWORTMUX_CLUSTER_KEY", "processes-of-one-deployment-0001", 1);
    ::setenv("RAGWORTMUX_OPERATOR_TOKEN", "no-operator-interface-is-open-01",
             1);
    std::vector<char *> Arguments;
    for (const std::string &Word : Words)
      Arguments.push_back(const_cast<char *>(Word.c_str()));
    Arguments.push_back(nullptr);
    ::execv(Arguments.front(), Arguments.data());
    std::_Exit(127);
  }

  void kill(Node &Which) {
    if (Which.m_Process <= 0)
      return;
    ::kill(Which.m_Process, SIGKILL);
    ::waitpid(Which.m_Process, nullptr, 0);
    Which.m_Process = -1;
  }

  void killAll() {
    for (Node &Each : m_Nodes)
      kill(Each);
  }

  void restartAll() {
    for (Node &Each : m_Nodes)
      startProcess(Each, false);
  }

  /// True if all processes still run.
  bool areAllRunning() {
    for (const Node &Each : m_Nodes) {
      if (Each.m_Process > 0 &&
          ::waitpid(Each.m_Process, nullptr, WNOHANG) != 0)
        return false;
    }
    return true;
  }

  bool areEntriesReady() {
    for (const Node &Each : m_Nodes) {
      if (Each.m_Role == "entry" &&
          callHttp(Each.m_Address, ReadyPort, "GET /ready", "") != 200)
        return false;
    }
    return true;
  }

  unsigned m_SyncReplicas = 0;    ///< Of all services.
  unsigned m_MaxConnections = 34; ///< Of each server.
  unsigned m_IdleMs = 3000;       ///< How long a transaction may rest.

private:
  /// Three bytes of loopback addresses that no other run is likely to use.
  static std::string randomPrefix() {
    std::random_device Random;
    return "127." + std::to_string(10 + Random() % 240) + "." +
           std::to_string(1 + Random() % 250) + ".";
  }

  bool fail(const std::string &Reason) {
    m_Record.add(Reason);
    return false;
  }

  /// The words of `run` of a role of the deploy file.
  static std::vector<std::string> command(const std::string &Role) {
    std::ifstream File("deploy/system.toml");
    std::string Line;
    bool IsInRole = false;
    std::vector<std::string> Words;
    while (std::getline(File, Line)) {
      if (Line.starts_with("["))
        IsInRole = Line == "[roles." + Role + "]";
      if (!IsInRole || !Line.starts_with("run = \""))
        continue;
      std::istringstream Text(Line.substr(7, Line.rfind('"') - 7));
      Words.assign(std::istream_iterator<std::string>(Text), {});
    }
    return Words;
  }

  /// Fills in the role's template as the platform does.
  std::string render(const Node &Which, bool IsBootstrap) const {
    std::string Seeds;
    for (const std::string &Address : controlAddresses())
      Seeds += (Seeds.empty() ? "" : ",") + Address + ":" +
               std::to_string(ControlPort);
    const auto At = [&](std::uint16_t Port) {
      return Which.m_Address + ":" + std::to_string(Port);
    };
    const std::map<std::string, std::string> Values = {
        {"nodeName", Which.m_Name},
        {"zone", Which.m_Zone},
        {"ip", Which.m_Address},
        {"listen.control", At(ControlPort)},
        {"listen.front", At(FrontPort)},
        {"listen.readyAddr", At(ReadyPort)},
        {"internalPorts.0", "7440"},
        {"seeds", Seeds},
        {"faultTolerance.machines", "1"},
        {"bootstrap", IsBootstrap ? "true" : "false"},
        {"dataDir", (m_Folder / (Which.m_Name + ".data")).string()},
        {"cloudApi.address",
         m_Prefix + "4:" + std::to_string(m_Platform.port())},
        {"bounds.graceS", "6"}};
    std::ifstream File("deploy/" + Which.m_Role + ".settings");
    std::string Text(std::istreambuf_iterator<char>(File), {});
    for (const auto &[Name, Value] : Values) {
      const std::string Placeholder = "{{" + Name + "}}";
      for (std::size_t Found = Text.find(Placeholder);
           Found != std::string::npos; Found = Text.find(Placeholder))
        Text.replace(Found, Placeholder.size(), Value);
    }
    return Text;
  }

  std::string configuration(unsigned Version,
                            const std::vector<Route> &Routes) const {
    std::string Text =
        "{\"version\":" + std::to_string(Version) + ",\"routes\":[";
    for (const Route &Each : Routes) {
      Text += (Text.back() == '[' ? "" : ",");
      Text += R"({"name":"r-)" + Each.m_Database + R"(","dbName":")" +
              Each.m_Database + R"(","pathPrefix":"/","kind":")" + Each.m_Kind +
              R"(","timeoutMs":)" + std::to_string(Each.m_TimeoutMs) +
              R"(,"targetLatencyMs":400,"priority":1,"service":")" +
              Each.m_Service + R"(","maxAttempts":2)";
      if (Each.m_Kind != "primary")
        Text += R"(,"maxStalenessMs":)" + std::to_string(Each.m_MaxStalenessMs);
      Text += "}";
    }
    Text += R"(],"services":[)";
    for (const Service *Each : m_Services) {
      Text += (Text.back() == '[' ? "" : ",");
      Text += R"({"name":")" + Each->m_Name +
              R"(","healthPath":"/health","maxConns":)" +
              std::to_string(m_MaxConnections) +
              R"(,"protocol":"h1","tls":false,"syncReplicas":)" +
              std::to_string(m_SyncReplicas) + "}";
    }
    return Text +
           R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,)"
           R"("headerTimeoutMs":3000,"idleTimeoutMs":15000,)"
           R"("txIdleMs":)" +
           std::to_string(m_IdleMs) + "}}";
  }

  void servePromotions() {
    while (const auto From = m_Platform.accept()) {
      const auto Call = readHttp(*From, Milliseconds(2000));
      if (!Call)
        continue;
      const auto Field = [&](const std::string &Name) {
        const std::string Start = "\"" + Name + "\":\"";
        const std::size_t At = Call->m_Body.find(Start) + Start.size();
        return Call->m_Body.substr(At, Call->m_Body.find('"', At) - At);
      };
      bool IsAccepted = false;
      for (Service *Each : m_Services)
        IsAccepted = IsAccepted || (Each->m_Name == Field("service") &&
                                    Each->promote(Field("id")));
      m_Record.add("promotion of " + Field("id") +
                   " was ordered: " + (IsAccepted ? "200" : "409"));
      From->send(std::string("HTTP/1.1 ") +
                 (IsAccepted ? "200 OK" : "409 Conflict") +
                 "\r\nContent-Length: 0\r\n\r\n");
    }
  }

  Record &m_Record;                  ///< The record.
  std::string m_Prefix;              ///< First bytes of all addresses.
  std::filesystem::path m_Folder;    ///< Settings, data and logs.
  Listener m_Platform;               ///< Where promotions are ordered.
  std::vector<Node> m_Nodes;         ///< The machines.
  std::vector<Service *> m_Services; ///< The services.
  unsigned m_Version = 0;            ///< Of the newest configuration.
  unsigned m_Servers = 0;            ///< Number of server addresses given.
};

} // namespace review

#endif // REVIEW_STANDINS_DEPLOYMENT_H
