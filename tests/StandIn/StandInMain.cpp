#include "tests/StandIn/StandInServer.h"

#include <gflags/gflags.h>
#include <kj/async-unix.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <sstream>

DEFINE_string(group, "group", "Group announced");
DEFINE_string(server, "server", "Server id announced");
DEFINE_string(domain, "domain", "Failure domain announced");
DEFINE_uint32(port, 0, "Port on the loopback interface; 0: any free one");
DEFINE_string(announce_to, "",
              "HOST:PORT of the entry hosts to announce to, comma-separated");
DEFINE_uint32(announce_interval_ms, 100, "Time between announcements");
DEFINE_string(primary_address, "", "HOST:PORT to replicate from at the start");
DEFINE_bool(start_as_primary, false, "Start as primary of --initial_term");
DEFINE_uint64(initial_term, 1, "Term at the start");
DEFINE_uint32(slots, 5, "Statements that can run at a time");
DEFINE_uint32(connections, 35, "Connections that can be open at a time");
DEFINE_uint32(lock_timeout_ms, 2000,
              "Time that a statement waits for a row lock");
DEFINE_string(open_delay_ms, "0", "Delay before a session is opened, in ms");
DEFINE_string(statement_delay_ms, "0",
              "Run time of each data statement, in ms");
DEFINE_string(replication_delay_ms, "0",
              "Delay between receipt and application on a replica, in ms");
DEFINE_string(faults, "", "NAME=VALUE of faults to inject, comma-separated");
DEFINE_string(seed_sql, "", "Statements to run at the start of a primary");
DEFINE_string(
    data_file, "",
    "Journal to restore from and to append to; a journal with content "
    "overrides the flags for the initial role and --seed_sql");
DEFINE_string(record, "", "File to which a line is appended for each commit");
DEFINE_uint32(max_lifetime_s, 600, "Time after which the program exits, in s");

namespace ragwortmux::standin {

namespace {

/// Time that the event loop has for the exit after --max_lifetime_s, before
/// SIGALRM ends the process.
constexpr unsigned LifetimeGraceSeconds = 5;

std::vector<std::string> split(const std::string &List) {
  std::vector<std::string> Parts;
  std::istringstream Input(List);
  for (std::string Part; std::getline(Input, Part, ',');) {
    Parts.push_back(Part);
  }
  return Parts;
}

StandInSettings settingsFromFlags() {
  StandInSettings Settings;
  Settings.m_Group = FLAGS_group;
  Settings.m_Server = FLAGS_server;
  Settings.m_Domain = FLAGS_domain;
  Settings.m_Port = static_cast<std::uint16_t>(FLAGS_port);
  Settings.m_AnnounceTo = split(FLAGS_announce_to);
  Settings.m_AnnounceInterval =
      std::chrono::milliseconds(FLAGS_announce_interval_ms);
  Settings.m_Slots = FLAGS_slots;
  Settings.m_Connections = FLAGS_connections;
  Settings.m_LockTimeout = std::chrono::milliseconds(FLAGS_lock_timeout_ms);
  Settings.m_RecordFile = FLAGS_record;
  return Settings;
}

bool setFaults(StandInFaults &Faults) {
  bool Valid = Faults.set("open_delay_ms", FLAGS_open_delay_ms) &&
               Faults.set("statement_delay_ms", FLAGS_statement_delay_ms) &&
               Faults.set("lag_ms", FLAGS_replication_delay_ms);
  for (const std::string &Pair : split(FLAGS_faults)) {
    const std::size_t Equals = Pair.find('=');
    Valid = Valid && Equals != std::string::npos &&
            Faults.set(Pair.substr(0, Equals), Pair.substr(Equals + 1));
  }
  return Valid;
}

bool initializeRole(StandInServer &Server) {
  StandInContext &Context = Server.context();
  if (!FLAGS_data_file.empty() && Server.restore(FLAGS_data_file)) {
    return true;
  }
  if (FLAGS_start_as_primary) {
    Context.m_Store.promote(Term(FLAGS_initial_term));
  }
  if (!FLAGS_primary_address.empty()) {
    const std::size_t Colon = FLAGS_primary_address.rfind(':');
    const int Port = std::atoi(FLAGS_primary_address.c_str() + Colon + 1);
    Server.follow(Term(FLAGS_initial_term),
                  FLAGS_primary_address.substr(0, Colon),
                  static_cast<std::uint16_t>(Port));
  }
  return FLAGS_seed_sql.empty() || Server.runLocally(FLAGS_seed_sql);
}

int run() {
  // Ends the process even while the fault `freeze` blocks the event loop.
  alarm(FLAGS_max_lifetime_s + LifetimeGraceSeconds);
  kj::UnixEventPort::captureSignal(SIGTERM);
  auto Io = kj::setupAsyncIo();
  kj::Timer &Timer = Io.provider->getTimer();
  StandInServer Server(settingsFromFlags(), Io.provider->getNetwork(), Timer);
  if (!initializeRole(Server) || !setFaults(Server.context().m_Faults)) {
    std::cerr << "standin: bad flags: --seed_sql failed, or a fault has an "
                 "unknown name or a value that is not a number\n";
    return 1;
  }
  Server.listen();
  std::cout << "listening " << Server.port() << std::endl;
  Io.unixEventPort.onSignal(SIGTERM)
      .ignoreResult()
      .exclusiveJoin(Timer.afterDelay(FLAGS_max_lifetime_s * kj::SECONDS))
      .wait(Io.waitScope);
  return 0;
}

} // namespace

} // namespace ragwortmux::standin

int main(int ArgumentCount, char **Arguments) {
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  std::signal(SIGPIPE, SIG_IGN);

  return ragwortmux::standin::run();
}
