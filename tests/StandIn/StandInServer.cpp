#include "tests/StandIn/StandInServer.h"

#include "tests/StandIn/StandInConnection.h"

#include <kj/debug.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <iostream>
#include <thread>

namespace ragwortmux::standin {

namespace {

/// Replaces line feeds and tabs, which separate the records and fields of the
/// record file, by escape sequences.
std::string escapeSeparators(const std::string &Text) {
  std::string Line;
  for (const char Character : Text) {
    if (Character == '\n' || Character == '\t') {
      Line += Character == '\n' ? "\\n" : "\\t";
      continue;
    }
    Line.push_back(Character);
  }
  return Line;
}

} // namespace

StandInServer::StandInServer(StandInSettings Settings, kj::Network &Network,
                             kj::Timer &Timer)
    : m_Network(Network), m_Timer(Timer), m_ReplicationReceiver(*this),
      m_Announcer(*this), m_Tasks(*this) {
  m_Context.m_Settings = std::move(Settings);
  m_Context.m_Store.m_OnChange = [this] { m_Changed.notify(); };
  m_Context.m_Store.m_OnCommit = [this](const StandInLogEntry &Entry) {
    recordCommit(Entry);
  };
  m_Context.m_EndSession = [this](const std::string &Attempt) {
    endSession(Attempt);
  };
  m_Context.m_Follow = [this](Term NewTerm, const std::string &Address,
                              std::uint16_t Port) {
    return follow(NewTerm, Address, Port);
  };
  m_Context.m_StopFollowing = [this] { m_ReplicationReceiver.stop(); };
  if (!m_Context.m_Settings.m_RecordFile.empty()) {
    m_RecordOutput.open(m_Context.m_Settings.m_RecordFile, std::ios::app);
  }
}

StandInServer::~StandInServer() noexcept(false) = default;

void StandInServer::listen() {
  sockaddr_in Address = {};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(m_Context.m_Settings.m_Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  m_Receiver = m_Network.getSockaddr(&Address, sizeof(Address))->listen();
  m_Port = static_cast<std::uint16_t>(m_Receiver->getPort());
  m_Tasks.add(acceptLoop());
  m_Announcer.start();
}

bool StandInServer::follow(Term NewTerm, const std::string &Address,
                           std::uint16_t Port) {
  if (!m_Context.m_Store.follow(NewTerm,
                                Address + ":" + std::to_string(Port))) {
    return false;
  }
  m_ReplicationReceiver.follow(NewTerm, Address, Port);
  return true;
}

bool StandInServer::restore(const std::string &File) {
  if (!m_Journal.open(File, m_Context.m_Store)) {
    return false;
  }
  const StandInStore &Store = m_Context.m_Store;
  const std::string &Primary = Store.primaryAddress();
  const std::size_t Colon = Primary.rfind(':');
  if (Colon != std::string::npos && Store.term() == Store.followedTerm()) {
    m_ReplicationReceiver.follow(
        Store.followedTerm(), Primary.substr(0, Colon),
        static_cast<std::uint16_t>(std::stoi(Primary.substr(Colon + 1))));
  }
  return true;
}

bool StandInServer::runLocally(const std::string &Sql) {
  StandInSession Session(m_Context, Term(0));
  Session.start(Sql);
  const bool Done = !Session.step(now());
  return Done && Session.hasCommitted();
}

kj::Promise<void> StandInServer::waitForChange(Instant Deadline) {
  const auto Delay = std::max(Deadline - now(), Duration(0));
  return m_Changed.wait().exclusiveJoin(
      m_Timer.afterDelay(Delay.count() * kj::MICROSECONDS));
}

void StandInServer::cancelStatement(std::uint32_t ProcessId,
                                    std::uint32_t SecretKey) {
  const auto Found = m_OpenConnections.find(ProcessId);
  if (Found == m_OpenConnections.end() || SecretKey != ProcessId) {
    return;
  }
  if (StandInSession *Session = Found->second.m_Connection->session()) {
    Session->cancel();
    m_Changed.notify();
  }
}

void StandInServer::applyDelayedFaults() {
  StandInFaults &Faults = m_Context.m_Faults;
  if (Faults.consume("silent_connections")) {
    Faults.set("silent_connections", "0");
    ++m_SilentGeneration;
  }
  const Duration Freeze = Faults.duration("freeze");
  Faults.set("freeze", "0");
  // Blocks the event loop: no message is handled and no announcement is sent.
  std::this_thread::sleep_for(Freeze);
}

Instant StandInServer::now() const {
  const auto SinceOrigin = m_Timer.now() - kj::origin<kj::TimePoint>();
  return Instant(Duration(SinceOrigin / kj::MICROSECONDS));
}

void StandInServer::taskFailed(kj::Exception &&Exception) {
  std::cerr << "standin: " << Exception.getDescription().cStr() << '\n';
}

kj::Promise<void> StandInServer::acceptLoop() {
  return m_Receiver->accept().then([this](kj::Own<kj::AsyncIoStream> Stream) {
    if (m_Context.m_Faults.value("refuse_connections") == 0) {
      open(kj::mv(Stream));
    }
    return acceptLoop();
  });
}

void StandInServer::open(kj::Own<kj::AsyncIoStream> Stream) {
  const std::uint32_t Id = ++m_LastProcessId;
  OpenConnection &Open = m_OpenConnections[Id];
  Open.m_Connection = kj::heap<StandInConnection>(*this, kj::mv(Stream), Id);
  // An I/O error ends the connection like a close by the client. The removal
  // runs in a later turn of the event loop, since a promise must not destroy
  // itself.
  Open.m_Task = Open.m_Connection->run()
                    .catch_([](kj::Exception &&) {})
                    .then([this, Id] {
                      m_Tasks.add(kj::evalLater(
                          [this, Id] { m_OpenConnections.erase(Id); }));
                    })
                    .eagerlyEvaluate(nullptr);
}

void StandInServer::endSession(const std::string &Attempt) {
  for (auto &[Id, Open] : m_OpenConnections) {
    const StandInSession *Session = Open.m_Connection->session();
    if (Session != nullptr && Session->attempt() == Attempt) {
      // The task uses the connection, so it is destroyed first.
      Open.m_Task = nullptr;
      m_OpenConnections.erase(Id);
      return;
    }
  }
}

void StandInServer::recordCommit(const StandInLogEntry &Entry) {
  if (!m_RecordOutput.is_open()) {
    return;
  }
  m_RecordOutput << Entry.m_Point.m_Term.value() << '\t'
                 << Entry.m_Point.m_Position.value() << '\t'
                 << escapeSeparators(Entry.m_Attempt) << '\t'
                 << escapeSeparators(Entry.m_Statements) << '\n'
                 << std::flush;
}

} // namespace ragwortmux::standin
