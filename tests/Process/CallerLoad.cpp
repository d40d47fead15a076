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
  m_StopRequested = true;
  for (std::thread &Thread : m_Threads) {
    Thread.join();
  }
  m_Threads.clear();
}

std::string CallerLoad::observedErrors() {
  const std::lock_guard Lock(m_Mutex);
  return m_ObservedErrors;
}

void CallerLoad::run(unsigned Caller, unsigned Host) {
  const std::string Session = "caller-" + std::to_string(Caller);
  const unsigned NextHost = m_Hosts[(Caller + 1) % m_Hosts.size()];
  for (unsigned Number = 0; !m_StopRequested; ++Number) {
    const std::string Key = Session + "-" + std::to_string(Number);
    const std::string RequestKey = generateRequestKey();
    const std::string Insert = std::string("INSERT INTO hires VALUES ('")
                                   .append(Key)
                                   .append("', '")
                                   .append(Key)
                                   .append("')");
    PgAnswer Answer;
    const bool Booked = waitUntil([&] {
      Answer = runOnce(m_System.callerPort(Host), "bookings", Insert,
                       {{"request_key", RequestKey}, {"session", Session}});
      return Answer.m_Ok;
    });
    if (!Booked) {
      recordError("booking not acknowledged: " + Key + " " + Answer.m_Message);
      return;
    }
    const PgAnswer Read = m_System.read(NextHost, Key, Session);
    const PgAnswer Aged =
        runOnce(m_System.callerPort(Host), "stock", "SELECT '" + Key + "'");
    if (!Read.m_Ok || Read.m_Rows.size() != 1 || Read.value() != Key) {
      recordError(Key + " session read returned '" + Read.value() + "' " +
                  Read.m_Message);
    }
    if (!Aged.m_Ok || Aged.value() != Key) {
      recordError(Key + " aged read returned '" + Aged.value() + "' " +
                  Aged.m_Message);
    }
    ++m_CompletedBookings;
  }
}

void CallerLoad::recordError(const std::string &Error) {
  const std::lock_guard Lock(m_Mutex);
  m_ObservedErrors += Error + "\n";
}

} // namespace ragwortmux
