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
DEFINE_string(announce_to, "", "HOST:PORT of entry hosts, comma-separated");
DEFINE_uint32(announce_interval_ms, 100, "Time between announcements");
DEFINE_string(primary_address, "", "HOST:PORT to replicate from at the start");
DEFINE_bool(start_as_primary, false, "Start as primary of --initial_term");
DEFINE_uint64(initial_term, 1, "Term at the start");
DEFINE_uint32(slots, 5, "Statements at a time");
DEFINE_uint32(connections, 35, "Open connections");
DEFINE_uint32(lock_timeout_ms, 2000, "Wait for a row lock");
DEFINE_string(open_delay_ms, "0", "Time to open a connection");
DEFINE_string(statement_delay_ms, "0", "Run time of each data statement");
DEFINE_string(replication_delay_ms, "0", "Age at which a replica applies");
DEFINE_string(faults, "", "NAME=VALUE of fault switches, comma-separated");
DEFINE_string(seed_sql, "", "Statements to run at the start of a primary");
DEFINE_string(data_file, "",
              "Journal to restart from; goes before the flags "
              "for the role at the start");
DEFINE_string(record, "", "File that gets a line for each commit");
DEFINE_uint32(max_lifetime_s, 600, "Exits by itself after so long");

namespace ragwortmux::standin {

namespace {

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

bool startRole(StandInServer &Server) {
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
  // Ends the process even while the event loop is frozen.
  alarm(FLAGS_max_lifetime_s + LifetimeGraceSeconds);
  kj::UnixEventPort::captureSignal(SIGTERM);
  auto Io = kj::setupAsyncIo();
  kj::Timer &Timer = Io.provider->getTimer();
  StandInServer Server(settingsFromFlags(), Io.provider->getNetwork(), Timer);
  if (!startRole(Server) || !setFaults(Server.context().m_Faults)) {
    std::cerr << "standin: bad flags\n";
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
