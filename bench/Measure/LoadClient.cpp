#include "bench/Measure/LoadClient.h"

#include "bench/Measure/Cluster.h"
#include "bench/Measure/SessionClient.h"
#include "ragwortmux/Process/Support/UuidV7.h"

namespace ragwortmux {

namespace {

constexpr std::size_t MaxQueuedRequests = 5000;
constexpr int MaxBookingTries = 12;
constexpr std::chrono::milliseconds RetryPause(100);
constexpr unsigned FirstUnknown = 200;
constexpr unsigned RanLost = 302;
constexpr unsigned RanEarlier = 303;
constexpr unsigned Percent = 100;
/// Appended to a read; its last column is the role of the server that answers.
constexpr const char *RoleSql = "; SELECT ragwortmux_position()";
constexpr std::size_t ReadValues = 3;

bool hasRun(unsigned Code) {
  return Code == 0 || Code == RanLost || Code == RanEarlier;
}

bool isUnknown(unsigned Code) {
  return (Code > FirstUnknown && Code < RanLost) || Code == ClientAnswer::Lost;
}

std::string bookingSql(const std::string &Key, const std::string &Value) {
  const std::string Rest = " SET v = '" + Value + "' WHERE k = '" + Key + "'";
  return "UPDATE stock" + Rest + "; UPDATE deposits" + Rest;
}

WallTime wallNow() {
  return std::chrono::time_point_cast<WallTime::duration>(
      std::chrono::system_clock::now());
}

} // namespace

LoadClient::LoadClient(const Cluster &Target, RunRecord &Record,
                       const LoadSettings &Settings)
    : m_Cluster(Target), m_Record(Record), m_Settings(Settings),
      m_Usable(Target.workload().m_EntryHosts) {
  const Workload &UserWorkload = Target.workload();
  for (std::uint32_t Group = 0; Group < UserWorkload.m_Groups; ++Group) {
    m_Sessions.push_back(
        std::make_unique<RowVersionTracker>("s", UserWorkload.m_Sessions));
    m_Meters.push_back(
        std::make_unique<RowVersionTracker>("m", UserWorkload.m_Meters));
  }
  for (auto &Usable : m_Usable) {
    Usable = true;
  }
}

LoadClient::~LoadClient() { stop(); }

void LoadClient::start() {
  const Workload &UserWorkload = m_Cluster.workload();
  std::uint64_t Seed = m_Settings.m_Seed;
  for (std::uint32_t Worker = 0; Worker < m_Settings.m_ReadWorkers; ++Worker) {
    m_Threads.emplace_back([this, Next = ++Seed] { runWorker(m_Reads, Next); });
  }
  for (std::uint32_t Worker = 0; Worker < m_Settings.m_WriteWorkers; ++Worker) {
    m_Threads.emplace_back(
        [this, Next = ++Seed] { runWorker(m_Writes, Next); });
  }
  for (std::uint32_t Group = 0; Group < UserWorkload.m_Groups; ++Group) {
    for (std::uint32_t Host = 0; Host < UserWorkload.m_EntryHosts; ++Host) {
      m_Threads.emplace_back([this, Group, Host] { runProbe(Group, Host); });
    }
  }
  m_Threads.emplace_back([this] { generateArrivals(); });
}

void LoadClient::stop() {
  m_Stopping = true;
  m_Reads.m_Ready.notify_all();
  m_Writes.m_Ready.notify_all();
  for (std::thread &Thread : m_Threads) {
    Thread.join();
  }
  m_Threads.clear();
}

void LoadClient::setHostUsable(std::uint32_t Host, bool Usable) {
  m_Usable[Host] = Usable;
}

void LoadClient::generateArrivals() {
  const Workload &UserWorkload = m_Cluster.workload();
  Random Numbers(m_Settings.m_Seed);
  std::exponential_distribution<double> Pause(UserWorkload.m_RequestsPerSecond);
  Clock::time_point Due = Clock::now();
  while (!m_Stopping) {
    Due += std::chrono::duration_cast<Clock::duration>(
        std::chrono::duration<double>(Pause(Numbers)));
    Arrival Next;
    Next.m_Class = pickClass(Numbers);
    Next.m_Group =
        static_cast<std::uint32_t>(Numbers() % UserWorkload.m_Groups);
    Next.m_Due = Due;
    std::this_thread::sleep_until(Due);
    const bool IsRead = Next.m_Class == LoadClass::SessionRead ||
                        Next.m_Class == LoadClass::AgedRead;
    Queue &To = IsRead ? m_Reads : m_Writes;
    const std::lock_guard Guard(To.m_Lock);
    if (To.m_Waiting.size() >= MaxQueuedRequests) {
      m_Record.recordOverflow();
      continue;
    }
    To.m_Waiting.push_back(Next);
    To.m_Ready.notify_one();
  }
}

void LoadClient::runWorker(Queue &From, std::uint64_t Seed) {
  Random Numbers(Seed);
  SessionClient Client(m_Cluster);
  while (true) {
    Arrival Next;
    {
      std::unique_lock Guard(From.m_Lock);
      // The wait has a time limit, since stop() notifies without the lock and a
      // worker can miss the notification.
      From.m_Ready.wait_for(Guard, RetryPause, [&] {
        return m_Stopping || !From.m_Waiting.empty();
      });
      if (From.m_Waiting.empty()) {
        if (m_Stopping) {
          return;
        }
        continue;
      }
      Next = From.m_Waiting.front();
      From.m_Waiting.pop_front();
    }
    handle(Client, Next, Numbers);
  }
}

void LoadClient::runProbe(std::uint32_t Group, std::uint32_t Host) {
  const Workload &UserWorkload = m_Cluster.workload();
  const std::chrono::milliseconds Interval(m_Settings.m_ProbeIntervalMs);
  SessionClient Client(m_Cluster);
  SessionClient::Request Request;
  Request.m_Host = Host;
  Request.m_Entry = Cluster::probeEntry(Group);
  const std::string Key = "p" + std::to_string(Host);
  // Spreads the probes of the hosts evenly over the interval.
  Clock::time_point Due =
      Clock::now() + Interval * Host / UserWorkload.m_EntryHosts;
  for (std::uint64_t Number = 1; !m_Stopping; ++Number) {
    std::this_thread::sleep_until(Due);
    BookingRecord Booking;
    Booking.m_Value = Key + ":" + std::to_string(Number);
    Request.m_Sql = bookingSql(Key, Booking.m_Value);
    const ClientAnswer Answer = Client.run(Request);
    if (!isUnknown(Answer.m_Code)) {
      Booking.m_Outcome =
          Answer.ok() ? BookingOutcome::Acknowledged : BookingOutcome::NotRun;
    }
    Booking.m_Answers = std::to_string(Answer.m_Code);
    m_Record.recordBooking(Group, std::move(Booking), Clock::now());
    Due = std::max(Due + Interval, Clock::now());
  }
}

void LoadClient::handle(SessionClient &Client, const Arrival &Given,
                        Random &Numbers) {
  switch (Given.m_Class) {
  case LoadClass::Booking:
    runBooking(Client, Given, Numbers);
    return;
  case LoadClass::Write:
    runWrite(Client, Given, Numbers);
    return;
  case LoadClass::SessionRead:
  case LoadClass::AgedRead:
    runRead(Client, Given, Numbers);
    return;
  }
}

void LoadClient::runBooking(SessionClient &Client, const Arrival &Given,
                            Random &Numbers) {
  RowVersionTracker &Rows = *m_Sessions[Given.m_Group];
  const auto Write = Rows.beginWrite(Numbers);
  if (!Write) {
    m_Record.recordOverflow();
    return;
  }
  BookingRecord Booking;
  Booking.m_Value = Rows.value(*Write);
  SessionClient::Request Request;
  Request.m_Entry = Cluster::entryName(LoadClass::Booking, Given.m_Group);
  Request.m_Session =
      Rows.key(Write->m_Row) + "-" + std::to_string(Given.m_Group);
  Request.m_Sql = bookingSql(Rows.key(Write->m_Row), Booking.m_Value);
  if (!m_Settings.m_UnkeyedBookings) {
    Request.m_RequestKey =
        makeRequestKey(wallNow(), [&Numbers] { return Numbers(); }).value();
  }
  bool MayHaveRun = false;
  for (int Try = 0; Try < MaxBookingTries; ++Try) {
    Request.m_Host = pickHost(Numbers);
    const ClientAnswer Answer = Client.run(Request);
    Booking.m_Answers += " " + std::to_string(Answer.m_Code);
    if (Try == 0) {
      recordAnswer(Given, Answer.m_Code);
    }
    if (hasRun(Answer.m_Code)) {
      Booking.m_Outcome = BookingOutcome::Acknowledged;
      break;
    }
    MayHaveRun = MayHaveRun || isUnknown(Answer.m_Code);
    if (!MayHaveRun) {
      Booking.m_Outcome = BookingOutcome::NotRun;
      break;
    }
    if (m_Settings.m_UnkeyedBookings) {
      break;
    }
    // Only a resend with the same request key reveals the outcome.
    m_Record.recordResend(false);
    std::this_thread::sleep_for(RetryPause);
  }
  const Clock::time_point Now = Clock::now();
  const BookingOutcome Outcome = Booking.m_Outcome;
  m_Record.recordBooking(Given.m_Group, std::move(Booking), Now);
  if (Outcome == BookingOutcome::NotRun) {
    Rows.recordNotRun(*Write);
    return;
  }
  if (Outcome == BookingOutcome::Unknown) {
    Rows.recordUnknownOutcome(*Write);
    return;
  }
  Rows.recordAcknowledgement(*Write, Now);
  if (!m_Settings.m_UnkeyedBookings &&
      Numbers() % Percent < m_Settings.m_ResendPercent) {
    // Simulates a caller that lost the answer; a newer booking of the session
    // may be in progress.
    Request.m_Host = pickHost(Numbers);
    m_Record.recordResend(true);
    Client.run(Request);
  }
}

void LoadClient::runWrite(SessionClient &Client, const Arrival &Given,
                          Random &Numbers) {
  RowVersionTracker &Rows = *m_Meters[Given.m_Group];
  const auto Write = Rows.beginWrite(Numbers);
  if (!Write) {
    m_Record.recordOverflow();
    return;
  }
  SessionClient::Request Request;
  Request.m_Host = pickHost(Numbers);
  Request.m_Entry = Cluster::entryName(LoadClass::Write, Given.m_Group);
  Request.m_Sql = "UPDATE readings SET v = '" + Rows.value(*Write) +
                  "' WHERE k = '" + Rows.key(Write->m_Row) + "'";
  const ClientAnswer Answer = Client.run(Request);
  recordAnswer(Given, Answer.m_Code);
  if (Answer.ok()) {
    Rows.recordAcknowledgement(*Write, Clock::now());
  } else if (isUnknown(Answer.m_Code)) {
    Rows.recordUnknownOutcome(*Write);
  } else {
    Rows.recordNotRun(*Write);
  }
}

void LoadClient::runRead(SessionClient &Client, const Arrival &Given,
                         Random &Numbers) {
  const bool OwnSession = Given.m_Class == LoadClass::SessionRead;
  RowVersionTracker &Rows =
      OwnSession ? *m_Sessions[Given.m_Group] : *m_Meters[Given.m_Group];
  const std::uint32_t Row = Rows.pickRow(Numbers);
  const std::string Id = "r" + std::to_string(++m_LastId);
  SessionClient::Request Request;
  Request.m_Host = pickHost(Numbers);
  Request.m_Entry = entryFor(Given.m_Class, Given.m_Group);
  if (OwnSession) {
    Request.m_Session = Rows.key(Row) + "-" + std::to_string(Given.m_Group);
  }
  Request.m_Sql = "SELECT '" + Id + "'; SELECT v FROM " +
                  (OwnSession ? "stock" : "readings") + " WHERE k = '" +
                  Rows.key(Row) + "'" + RoleSql;
  const Duration MaxAge =
      OwnSession ? Duration(0) : Duration(m_Cluster.workload().m_MaxAge);
  const std::uint64_t RequiredVersion =
      Rows.acknowledgedVersion(Row, Clock::now() - MaxAge);
  const ClientAnswer Answer = Client.run(Request);
  recordAnswer(Given, Answer.m_Code);
  if (Answer.ok()) {
    const bool NewSession = OwnSession && !Rows.recordSessionAnswer(Row);
    m_Record.recordRead(Given.m_Class,
                        !Answer.m_Values.empty() &&
                            Answer.m_Values.back() == "replica",
                        NewSession);
    checkAnswer(Given, Rows, Row, RequiredVersion, Id, Answer.m_Values);
  }
}

void LoadClient::checkAnswer(const Arrival &Given,
                             const RowVersionTracker &Rows, std::uint32_t Row,
                             std::uint64_t MinVersion, const std::string &Id,
                             const std::vector<std::string> &Values) {
  const std::string Context =
      std::string(loadClassName(Given.m_Class)) + " " + Id + " of group " +
      std::to_string(Given.m_Group) + ", row " + Rows.key(Row);
  if (Values.size() != ReadValues || Values[0] != Id) {
    m_Record.recordViolation("whole answer to the own request",
                             Context + ": " + std::to_string(Values.size()) +
                                 " values, first " +
                                 (Values.empty() ? "none" : Values[0]));
    return;
  }
  const auto Version = Rows.parseVersion(Row, Values[1]);
  if (!Version) {
    m_Record.recordViolation("whole answer to the own request",
                             Context + ": value '" + Values[1] + "'");
    return;
  }
  if (*Version < MinVersion) {
    m_Record.recordViolation(
        Given.m_Class == LoadClass::SessionRead ? "read-your-writes"
                                                : "stated age",
        Context + ": version " + std::to_string(*Version) + ", acknowledged " +
            std::to_string(MinVersion));
  }
}

std::uint32_t LoadClient::pickHost(Random &Numbers) const {
  while (true) {
    const auto Host = static_cast<std::uint32_t>(Numbers() % m_Usable.size());
    if (m_Usable[Host]) {
      return Host;
    }
  }
}

LoadClass LoadClient::pickClass(Random &Numbers) const {
  const LoadMix &Mix = m_Cluster.workload().m_Mix;
  auto Number = static_cast<std::uint32_t>(Numbers() % Percent);
  if (Number < Mix.m_Booking) {
    return LoadClass::Booking;
  }
  Number -= Mix.m_Booking;
  if (Number < Mix.m_Write) {
    return LoadClass::Write;
  }
  Number -= Mix.m_Write;
  return Number < Mix.m_SessionRead ? LoadClass::SessionRead
                                    : LoadClass::AgedRead;
}

std::string LoadClient::entryFor(LoadClass Class, std::uint32_t Group) const {
  return Cluster::entryName(
      m_Settings.m_ReadAtPrimary ? LoadClass::Write : Class, Group);
}

void LoadClient::recordAnswer(const Arrival &Given, unsigned Code) {
  m_Record.recordAnswer(
      Given.m_Class, Code,
      std::chrono::duration_cast<Duration>(Clock::now() - Given.m_Due));
}

} // namespace ragwortmux
