#include "CallerLoad.h"

namespace ragwortmux {

CallerLoad::CallerLoad(const Cluster &System, std::vector<unsigned> Hosts)
    : m_System(System), m_Hosts(std::move(Hosts)) {
  for (unsigned Caller = 0; Caller < m_Hosts.size(); ++Caller) {
    m_Threads.emplace_back([this, Caller] { run(Caller, m_Hosts[Caller]); });
  }
}

CallerLoad::~CallerLoad() { stop(); }

void CallerLoad::stop() {
  m_Stopped = true;
  for (std::thread &Thread : m_Threads) {
    Thread.join();
  }
  m_Threads.clear();
}

std::string CallerLoad::faults() {
  const std::lock_guard Lock(m_Mutex);
  return m_Faults;
}

void CallerLoad::run(unsigned Caller, unsigned Host) {
  const std::string Session = "caller-" + std::to_string(Caller);
  const unsigned Next = m_Hosts[(Caller + 1) % m_Hosts.size()];
  for (unsigned Number = 0; !m_Stopped; ++Number) {
    const std::string Key = Session + "-" + std::to_string(Number);
    const std::string RequestKey = makeKey();
    const std::string Insert = std::string("INSERT INTO hires VALUES ('")
                                   .append(Key)
                                   .append("', '")
                                   .append(Key)
                                   .append("')");
    PgAnswer Told;
    const bool Booked = waitUntil([&] {
      Told = runOnce(m_System.callerPort(Host), "bookings", Insert,
                     {{"request_key", RequestKey}, {"session", Session}});
      return Told.m_Ok;
    });
    if (!Booked) {
      note("booking not acknowledged: " + Key + " " + Told.m_Message);
      return;
    }
    const PgAnswer Read = m_System.read(Next, Key, Session);
    const PgAnswer Aged =
        runOnce(m_System.callerPort(Host), "stock", "SELECT '" + Key + "'");
    if (!Read.m_Ok || Read.m_Rows.size() != 1 || Read.value() != Key) {
      note(Key + " session read returned '" + Read.value() + "' " +
           Read.m_Message);
    }
    if (!Aged.m_Ok || Aged.value() != Key) {
      note(Key + " aged read returned '" + Aged.value() + "' " +
           Aged.m_Message);
    }
    ++m_Served;
  }
}

void CallerLoad::note(const std::string &Fault) {
  const std::lock_guard Lock(m_Mutex);
  m_Faults += Fault + "\n";
}

} // namespace ragwortmux
