#include "World.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

std::mutex ChildMutex;
std::set<pid_t> Children;

std::string takeWord(std::string &Text) {
  const std::size_t Blank = Text.find(' ');
  std::string Word = Text.substr(0, Blank);
  Text = Blank == std::string::npos ? "" : Text.substr(Blank + 1);
  return Word;
}

sockaddr_in toSocketAddress(const std::string &Address, std::uint16_t Port) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(Port);
  inet_pton(AF_INET, Address.c_str(), &Result.sin_addr);
  return Result;
}

std::uint16_t freePort(const std::vector<std::string> &Addresses) {
  static std::mt19937 Random(std::random_device{}());
  for (int Try = 0; Try < 200; ++Try) {
    const auto Port = static_cast<std::uint16_t>(12000 + Random() % 18000);
    bool IsFree = true;
    for (const std::string &Address : Addresses) {
      for (const int Type : {SOCK_STREAM, SOCK_DGRAM}) {
        const int Fd = ::socket(AF_INET, Type, 0);
        const int One = 1;
        ::setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &One, sizeof One);
        const sockaddr_in At = toSocketAddress(Address, Port);
        IsFree = IsFree && ::bind(Fd, reinterpret_cast<const sockaddr *>(&At),
                                  sizeof At) == 0;
        ::close(Fd);
      }
    }
    if (IsFree)
      return Port;
  }
  std::exit(CouldNotRun);
}

std::string inQuotes(const std::string &Text) { return "\"" + Text + "\""; }

/// The value of a text field of a JSON object without nesting.
std::string jsonText(const std::string &Body, const std::string &Name) {
  const std::size_t At = Body.find(inQuotes(Name));
  if (At == std::string::npos)
    return "";
  const std::size_t Begin = Body.find('"', At + Name.size() + 2);
  if (Begin == std::string::npos)
    return "";
  return Body.substr(Begin + 1, Body.find('"', Begin + 1) - Begin - 1);
}

std::uint64_t unixMs() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<Ms>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

} // namespace

Record::Record(const std::string &Path) : m_File(Path, std::ios::app) {}

void Record::line(const std::string &Text) {
  const long At = now();
  const std::lock_guard Lock(m_Mutex);
  m_File << At << " ms  " << Text << "\n";
  m_File.flush();
}

long Record::now() const {
  return std::chrono::duration_cast<Ms>(Clock::now() - m_Start).count();
}

std::shared_ptr<Connection> Connection::connect(const std::string &Address,
                                                std::uint16_t Port,
                                                Ms Timeout) {
  const int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto Result = std::make_shared<Connection>(Fd);
  const sockaddr_in To = toSocketAddress(Address, Port);
  ::fcntl(Fd, F_SETFL, O_NONBLOCK);
  const int One = 1;
  ::setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
  if (::connect(Fd, reinterpret_cast<const sockaddr *>(&To), sizeof To) != 0) {
    if (errno != EINPROGRESS)
      return nullptr;
    pollfd Polled{Fd, POLLOUT, 0};
    if (::poll(&Polled, 1, static_cast<int>(Timeout.count())) <= 0)
      return nullptr;
    int Error = 0;
    socklen_t Length = sizeof Error;
    ::getsockopt(Fd, SOL_SOCKET, SO_ERROR, &Error, &Length);
    if (Error != 0)
      return nullptr;
  }
  return Result;
}

Connection::~Connection() { ::close(m_Fd); }

bool Connection::write(const std::string &Text) const {
  std::size_t Sent = 0;
  while (Sent < Text.size()) {
    const ssize_t Count =
        ::send(m_Fd, Text.data() + Sent, Text.size() - Sent, MSG_NOSIGNAL);
    if (Count > 0) {
      Sent += static_cast<std::size_t>(Count);
      continue;
    }
    if (errno != EAGAIN && errno != EINTR)
      return false;
    pollfd Polled{m_Fd, POLLOUT, 0};
    if (::poll(&Polled, 1, 60000) <= 0)
      return false;
  }
  return true;
}

bool Connection::fill(Clock::time_point Until) {
  m_TimedOut = false;
  while (true) {
    const auto Left =
        std::chrono::duration_cast<Ms>(Until - Clock::now()).count();
    if (Left <= 0) {
      m_TimedOut = true;
      return false;
    }
    pollfd Polled{m_Fd, POLLIN, 0};
    const int Ready = ::poll(&Polled, 1, static_cast<int>(Left));
    if (Ready <= 0)
      continue;
    char Buffer[65536];
    const ssize_t Count = ::recv(m_Fd, Buffer, sizeof Buffer, 0);
    if (Count < 0 && (errno == EAGAIN || errno == EINTR))
      continue;
    if (Count <= 0)
      return false;
    m_Buffer.append(Buffer, static_cast<std::size_t>(Count));
    return true;
  }
}

std::optional<std::string> Connection::readLine(Ms Timeout) {
  const auto Until = Clock::now() + Timeout;
  while (true) {
    const std::size_t End =
        m_Buffer.find("\r\n", m_Scanned > 0 ? m_Scanned - 1 : 0);
    if (End != std::string::npos) {
      std::string Line = m_Buffer.substr(0, End);
      m_Buffer.erase(0, End + 2);
      m_Scanned = 0;
      return Line;
    }
    m_Scanned = m_Buffer.size();
    if (!fill(Until))
      return std::nullopt;
  }
}

std::optional<std::string> Connection::readBytes(std::size_t Count,
                                                 Ms Timeout) {
  const auto Until = Clock::now() + Timeout;
  while (m_Buffer.size() < Count) {
    if (!fill(Until))
      return std::nullopt;
  }
  std::string Bytes = m_Buffer.substr(0, Count);
  m_Buffer.erase(0, Count);
  m_Scanned = 0;
  return Bytes;
}

void Connection::shutdown() const { ::shutdown(m_Fd, SHUT_RDWR); }

Listener::Listener(const std::string &Address, std::uint16_t Port,
                   Serve Handler)
    : m_Handler(std::move(Handler)) {
  m_Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int One = 1;
  ::setsockopt(m_Fd, SOL_SOCKET, SO_REUSEADDR, &One, sizeof One);
  sockaddr_in At = toSocketAddress(Address, Port);
  if (::bind(m_Fd, reinterpret_cast<sockaddr *>(&At), sizeof At) != 0 ||
      ::listen(m_Fd, 512) != 0)
    std::exit(CouldNotRun);
  socklen_t Length = sizeof At;
  ::getsockname(m_Fd, reinterpret_cast<sockaddr *>(&At), &Length);
  m_Port = ntohs(At.sin_port);
  m_Acceptor = std::thread([this] { accept(); });
}

void Listener::accept() {
  while (!m_IsStopping) {
    pollfd Polled{m_Fd, POLLIN, 0};
    if (::poll(&Polled, 1, 50) <= 0)
      continue;
    const int Fd =
        ::accept4(m_Fd, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (Fd < 0)
      continue;
    const int One = 1;
    ::setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
    auto Client = std::make_shared<Connection>(Fd);
    const std::lock_guard Lock(m_Mutex);
    if (m_IsStopping)
      return;
    m_Connections.push_back(Client);
    m_Threads.emplace_back([this, Client] { m_Handler(Client); });
  }
}

void Listener::stop() {
  if (m_IsStopping.exchange(true))
    return;
  m_Acceptor.join();
  ::close(m_Fd);
  std::vector<std::thread> Threads;
  {
    const std::lock_guard Lock(m_Mutex);
    for (const auto &Weak : m_Connections) {
      if (const auto Client = Weak.lock())
        Client->shutdown();
    }
    Threads.swap(m_Threads);
  }
  for (std::thread &Each : Threads)
    Each.join();
}

int httpCall(const std::string &Address, std::uint16_t Port,
             const std::string &Method, const std::string &Path,
             const std::string &Body, Ms Timeout, std::string *Answer) {
  const auto To = Connection::connect(Address, Port, Timeout);
  if (To == nullptr)
    return 0;
  To->write(Method + " " + Path + " HTTP/1.1\r\nHost: " + Address + ":" +
            std::to_string(Port) +
            "\r\nContent-Type: application/json\r\nContent-Length: " +
            std::to_string(Body.size()) + "\r\n\r\n" + Body);
  const auto First = To->readLine(Timeout);
  if (!First || First->size() < 12)
    return 0;
  std::size_t Length = 0;
  for (auto Line = To->readLine(Timeout); Line && !Line->empty();
       Line = To->readLine(Timeout)) {
    if (Line->starts_with("Content-Length: "))
      Length = std::stoul(Line->substr(16));
  }
  const auto Content = To->readBytes(Length, Timeout);
  if (Answer != nullptr)
    *Answer = Content.value_or("");
  return std::stoi(First->substr(9, 3));
}

Process::Process(std::vector<std::string> Command,
                 std::vector<std::string> Environment, std::string Output)
    : m_Command(std::move(Command)), m_Environment(std::move(Environment)),
      m_Output(std::move(Output)) {}

void Process::start() {
  std::vector<char *> Arguments;
  for (std::string &Each : m_Command)
    Arguments.push_back(Each.data());
  Arguments.push_back(nullptr);
  std::vector<char *> Variables;
  for (std::string &Each : m_Environment)
    Variables.push_back(Each.data());
  Variables.push_back(nullptr);
  const int Fd =
      ::open(m_Output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  const std::lock_guard Lock(ChildMutex);
  const pid_t Child = ::fork();
  if (Child == 0) {
    // It ends with this process, whatever ends that.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(Fd, 1);
    ::dup2(Fd, 2);
    ::execve(Arguments[0], Arguments.data(), Variables.data());
    ::_exit(127);
  }
  ::close(Fd);
  m_Id = Child;
  Children.insert(Child);
}

void Process::signal(int Number) const {
  if (m_Id > 0)
    ::kill(m_Id, Number);
}

void Process::kill() {
  if (m_Id <= 0)
    return;
  ::kill(m_Id, SIGKILL);
  ::waitpid(m_Id, nullptr, 0);
  const std::lock_guard Lock(ChildMutex);
  Children.erase(m_Id);
  m_Id = -1;
}

bool Process::isRunning() {
  if (m_Id <= 0)
    return false;
  if (::waitpid(m_Id, nullptr, WNOHANG) == 0)
    return true;
  const std::lock_guard Lock(ChildMutex);
  Children.erase(m_Id);
  m_Id = -1;
  return false;
}

double Process::residentMb() const {
  std::ifstream Status("/proc/" + std::to_string(m_Id) + "/status");
  for (std::string Line; std::getline(Status, Line);) {
    if (Line.starts_with("VmRSS:"))
      return std::stod(Line.substr(6)) / 1024;
  }
  return 0;
}

std::string Position::text() const {
  return std::to_string(m_Term) + "." + std::to_string(m_Number);
}

/// Session state of one connection to a backend.
struct Backend::Session final {
  char m_State = 'I';
  bool m_ReadOnly = false;
  std::uint64_t m_Term = 0; ///< Of the backend at the transaction's begin.
  std::map<std::string, std::string> m_Values;
  std::map<std::string, std::string> m_Prepared;
  std::map<std::string, std::string> m_Writes;
  bool m_Hides = false; ///< The next READY hides its position.
};

Backend::Backend(Service &Owner, std::string Id, std::string Address,
                 std::string Zone)
    : m_Service(Owner), m_Id(std::move(Id)), m_Address(std::move(Address)),
      m_Zone(std::move(Zone)) {}

Backend::~Backend() { crash(); }

void Backend::start(bool IsPrimary) {
  m_IsPrimary = IsPrimary;
  m_Sequence = 0;
  m_Born = unixMs();
  m_Connections = 0;
  m_Busy = 0;
  m_IsAlive = true;
  m_Listener = std::make_unique<Listener>(
      m_Address, m_Port, [this](const auto &Client) { serve(Client); });
  m_Port = m_Listener->port();
  m_Announcer = std::thread([this] { announce(); });
}

void Backend::crash() {
  if (!m_IsAlive.exchange(false))
    return;
  m_Listener->stop();
  m_Announcer.join();
}

void Backend::clearLog() {
  const std::lock_guard Lock(m_Service.m_Mutex);
  m_Log.clear();
}

void Backend::announce() {
  constexpr int HeartbeatMs = 1200;
  std::size_t Host = 0;
  while (m_IsAlive) {
    const bool IsPrimary = m_IsPrimary;
    const std::string Body =
        "{\"service\":" + inQuotes(m_Service.m_Name) +
        ",\"address\":" + inQuotes(m_Address + ":" + std::to_string(m_Port)) +
        ",\"zone\":" + inQuotes(m_Zone) +
        ",\"version\":\"v1\",\"slots\":" + std::to_string(m_Service.m_Slots) +
        ",\"state\":\"ready\",\"coldRemainingMs\":0,\"dbRole\":" +
        inQuotes(IsPrimary ? "primary" : "replica") +
        ",\"born\":" + std::to_string(m_Born) +
        ",\"sequence\":" + std::to_string(++m_Sequence) + "}";
    bool IsAcknowledged = false;
    for (std::size_t Try = 0;
         Try < m_Service.m_Control.size() && !IsAcknowledged && m_IsAlive;
         ++Try) {
      const auto &[Address, Port] =
          m_Service.m_Control[Host % m_Service.m_Control.size()];
      const int Status = httpCall(Address, Port, "POST",
                                  "/instances/" + m_Id + "/heartbeat", Body);
      IsAcknowledged = Status >= 200 && Status < 300;
      Host += IsAcknowledged ? 0 : 1;
    }
    const auto Until =
        Clock::now() + Ms(IsAcknowledged ? HeartbeatMs : HeartbeatMs / 4);
    // A change of its role is reported immediately.
    while (m_IsAlive && m_IsPrimary == IsPrimary && Clock::now() < Until)
      std::this_thread::sleep_for(Ms(10));
  }
}

void Backend::serve(const std::shared_ptr<Connection> &Client) {
  Session Current;
  bool IsStarted = false;
  struct Counter final {
    explicit Counter(std::atomic<int> &Value) : m_Value(Value) {}
    ~Counter() { --m_Value; }
    std::atomic<int> &m_Value;
  };
  const int Count = ++m_Connections;
  const Counter Counted(m_Connections);
  while (m_IsAlive) {
    auto Line = Client->readLine(Ms(1000));
    if (!Line) {
      if (Client->timedOut())
        continue;
      return;
    }
    std::string Rest = std::move(*Line);
    const std::string Word = takeWord(Rest);
    if (!IsStarted && Word == "STARTUP") {
      const std::string Name = takeWord(Rest);
      takeWord(Rest);
      if (Name != m_Service.m_Name || (!Rest.empty() && Rest != m_Id)) {
        Client->write("ERROR MISROUTED " + m_Id + "\r\n");
        return;
      }
      if (Count > m_Service.m_MaxConnections) {
        Client->write("ERROR TOOMANY " + m_Id + "\r\n");
        return;
      }
      IsStarted = true;
      Client->write(ready(Current, false));
    } else if (IsStarted && Word == "QUERY") {
      const std::string Id = takeWord(Rest);
      const std::string Text = answer(Current, Id, std::move(Rest));
      if (!m_IsAlive)
        return;
      if (!Client->write(Text +
                         ready(Current, std::exchange(Current.m_Hides, false))))
        return;
    } else {
      return;
    }
  }
}

std::string Backend::ready(const Session &Current, bool HidesPosition) {
  return std::string("READY ") + Current.m_State + " " +
         (HidesPosition ? "-" : m_Service.position(*this).text()) + "\r\n";
}

std::string Backend::status() {
  const std::lock_guard Lock(m_Service.m_Mutex);
  const Position Received =
      m_Log.empty() ? Position{m_Term, 0} : m_Log.back().m_At;
  return std::string("ROW ") + (m_IsPrimary ? "primary" : "replica") + " " +
         std::to_string(m_Term) + " " +
         (m_IsPrimary ? Position{m_Term, Received.m_Number}.text()
                      : Received.text()) +
         " " + std::to_string(m_Term) + " 0 " + std::to_string(m_Busy) + " " +
         std::to_string(m_Connections) + "\r\nCOMPLETE -\r\n";
}

std::string Backend::answer(Session &Current, const std::string &Id,
                            std::string Text) {
  std::string Done = "COMPLETE -\r\n";
  std::string Rest = Text;
  std::string Word = takeWord(Rest);
  if (Word == "DISCARD") {
    Current.m_Values.clear();
    Current.m_Prepared.clear();
    return Done;
  }
  if (Word == "SET") {
    const std::string Name = takeWord(Rest);
    Current.m_Values[Name] = Rest;
    return Done;
  }
  if (Word == "PREPARE") {
    const std::string Name = takeWord(Rest);
    Current.m_Prepared[Name] = takeWord(Rest);
    return Done;
  }
  if (Word == "DEALLOC") {
    Current.m_Prepared.erase(Rest);
    return Done;
  }
  if (Word == "STATUS")
    return status();
  if (Word == "ROLLBACK") {
    Current.m_Writes.clear();
    Current.m_State = 'I';
    return Done;
  }
  // The rest takes a slot for as long as the work lasts.
  struct Slot final {
    explicit Slot(std::atomic<int> &Busy) : m_Busy(Busy), m_Count(++Busy) {}
    ~Slot() { --m_Busy; }
    std::atomic<int> &m_Busy;
    int m_Count;
  };
  const Slot Taken(m_Busy);
  if (Taken.m_Count > m_Service.m_Slots)
    return "ERROR BUSY " + m_Id + "\r\n";
  if (Word == "SINCE") {
    const std::string Since = takeWord(Rest);
    Text = Rest;
    Position Needed;
    Needed.m_Term = std::stoull(Since);
    Needed.m_Number = std::stoull(Since.substr(Since.find('.') + 1));
    if (m_Service.position(*this) < Needed)
      return "ERROR LAGGING " + m_Id + "\r\n";
  }
  return run(Current, Id, Text);
}

std::string Backend::run(Session &Current, const std::string &Id,
                         const std::string &Text) {
  std::string Rest = Text;
  std::string Word = takeWord(Rest);
  if (Word == "EXECUTE") {
    const std::string Name = takeWord(Rest);
    const auto Found = Current.m_Prepared.find(Name);
    if (Found == Current.m_Prepared.end())
      return "ERROR NOSTMT " + m_Id + "\r\n";
    Word = Found->second;
  }
  const bool IsBegin = Word == "BEGIN";
  const bool IsPlain = IsBegin ? Rest.empty() : !Current.m_ReadOnly;
  if (Current.m_State == 'T' && !Current.m_ReadOnly &&
      (!m_IsPrimary || m_Term != Current.m_Term) &&
      !(Word == "COMMIT" && Current.m_Writes.empty())) {
    Current.m_State = 'E';
    Current.m_Writes.clear();
    return "ERROR READONLY " + m_Id + "\r\n";
  }
  if (!m_IsPrimary && (Word == "WRITE" || (IsBegin && IsPlain)))
    return "ERROR READONLY " + m_Id + "\r\n";
  if (IsBegin) {
    Current.m_State = 'T';
    Current.m_ReadOnly = !IsPlain;
    Current.m_Term = m_Term;
    return "COMPLETE -\r\n";
  }
  std::this_thread::sleep_for(m_Service.m_Work);
  if (!m_IsAlive)
    return "";
  std::string Done = "COMPLETE " + m_Id + "." +
                     std::to_string(m_Service.m_Record.now()) + "\r\n";
  if (m_Service.m_Ran)
    m_Service.m_Ran(m_Id, Id, Text);
  if (Word == "COMMIT") {
    Current.m_State = 'I';
    const bool Wrote = !Current.m_Writes.empty();
    if (Wrote && !m_Service.commit(*this, std::exchange(Current.m_Writes, {})))
      return "ERROR TIMEOUT " + m_Id + "\r\n";
    Current.m_Hides = Wrote && m_Service.m_HidesPositions;
    return Done;
  }
  const std::string Item = takeWord(Rest);
  if (Word == "WRITE") {
    if (Current.m_State == 'T') {
      Current.m_Writes[Item] = Rest;
      return Done;
    }
    if (!m_Service.commit(*this, {{Item, Rest}}))
      return "ERROR TIMEOUT " + m_Id + "\r\n";
    Current.m_Hides = m_Service.m_HidesPositions;
    return Done;
  }
  if (m_Service.m_Rows) {
    if (const auto Rows = m_Service.m_Rows(Item))
      return *Rows + Done;
  }
  const auto Own = Current.m_Writes.find(Item);
  std::string Value = Own != Current.m_Writes.end() ? Own->second : "";
  if (Own == Current.m_Writes.end()) {
    const std::lock_guard Lock(m_Service.m_Mutex);
    const auto Now = Clock::now();
    for (const Commit &Each : m_Log) {
      const auto Found = Each.m_Data.find(Item);
      if (Each.m_AppliedAt <= Now && Found != Each.m_Data.end())
        Value = Found->second;
    }
  }
  return "ROW " + Value + "\r\n" + Done;
}

Service::~Service() {
  for (const auto &Each : m_Backends)
    Each->crash();
  for (std::thread &Task : m_Tasks)
    Task.join();
}

Backend &Service::add(const std::string &Id, const std::string &Address,
                      const std::string &Zone) {
  m_Backends.push_back(std::make_unique<Backend>(*this, Id, Address, Zone));
  return *m_Backends.back();
}

Backend &Service::backend(const std::string &Id) {
  for (const auto &Each : m_Backends) {
    if (Each->m_Id == Id)
      return *Each;
  }
  std::exit(CouldNotRun);
}

/// What its log holds and has applied.
Position Service::position(const Backend &Of) {
  const std::lock_guard Lock(m_Mutex);
  Position Result{Of.m_Term, 0};
  if (Of.m_IsPrimary)
    return {Of.m_Term, Of.m_Log.empty() ? 0 : Of.m_Log.back().m_At.m_Number};
  const auto Now = Clock::now();
  for (const Commit &Each : Of.m_Log) {
    if (Each.m_AppliedAt <= Now)
      Result = Each.m_At;
  }
  return Result;
}

std::vector<std::string> Service::logOf(const Backend &Of) {
  const std::lock_guard Lock(m_Mutex);
  std::vector<std::string> Result;
  for (const Commit &Each : Of.m_Log)
    Result.push_back(Each.m_At.text());
  return Result;
}

bool Service::has(const Backend &Of, const std::string &Item,
                  const std::string &Data) {
  const std::lock_guard Lock(m_Mutex);
  return std::any_of(Of.m_Log.begin(), Of.m_Log.end(), [&](const Commit &Each) {
    const auto Found = Each.m_Data.find(Item);
    return Found != Each.m_Data.end() && Found->second == Data;
  });
}

std::string Service::primary() {
  const std::lock_guard Lock(m_Mutex);
  Backend *Leads = leader();
  return Leads == nullptr ? "" : Leads->m_Id;
}

Backend *Service::leader() {
  Backend *Best = nullptr;
  for (const auto &Each : m_Backends) {
    if (Each->m_IsPrimary && (Best == nullptr || Each->m_Term > Best->m_Term))
      Best = Each.get();
  }
  return Best;
}

bool Service::commit(Backend &At, std::map<std::string, std::string> Data) {
  int Received = 0;
  {
    const std::lock_guard Lock(m_Mutex);
    const auto Now = Clock::now();
    const std::uint64_t Last =
        At.m_Log.empty() ? 0 : At.m_Log.back().m_At.m_Number;
    Commit New{{At.m_Term, Last + 1}, std::move(Data), Now};
    At.m_Log.push_back(New);
    for (const auto &Each : m_Backends) {
      if (Each.get() == &At || !Each->m_IsAlive || Each->m_IsDeaf ||
          Each->m_IsPrimary || Each->m_Term > At.m_Term)
        continue;
      copyTo(*Each, At);
      ++Received;
    }
  }
  const auto Until = Clock::now() + Ms(900);
  while (Received < m_SyncReplicas && At.m_IsAlive && Clock::now() < Until) {
    std::this_thread::sleep_for(Ms(5));
    const std::lock_guard Lock(m_Mutex);
    for (const auto &Each : m_Backends)
      Received += Each.get() != &At && Each->m_IsAlive && !Each->m_IsDeaf &&
                          Each->m_Log.size() >= At.m_Log.size()
                      ? 1
                      : 0;
  }
  return Received >= m_SyncReplicas;
}

/// Gives \p To what it lacks of the log of \p From; drops what that lacks.
void Service::copyTo(Backend &To, const Backend &From) {
  std::size_t Common = 0;
  while (Common < To.m_Log.size() && Common < From.m_Log.size() &&
         To.m_Log[Common].m_At == From.m_Log[Common].m_At)
    ++Common;
  To.m_Log.resize(Common);
  To.m_Term = From.m_Term;
  const auto AppliedAt = Clock::now() + Ms(To.m_LagMs);
  for (std::size_t Index = Common; Index < From.m_Log.size(); ++Index) {
    To.m_Log.push_back(From.m_Log[Index]);
    To.m_Log.back().m_AppliedAt = AppliedAt;
  }
}

int Service::promote(const std::string &Id) {
  Backend *Chosen = nullptr;
  for (const auto &Each : m_Backends)
    Chosen = Each->m_Id == Id ? Each.get() : Chosen;
  if (Chosen == nullptr || !Chosen->m_IsAlive)
    return 409;
  {
    const std::lock_guard Lock(m_Mutex);
    if (leader() == Chosen)
      return 200;
  }
  const std::lock_guard Lock(m_Mutex);
  m_Tasks.emplace_back([this, Chosen] {
    std::this_thread::sleep_for(Ms(300));
    {
      const std::lock_guard Inner(m_Mutex);
      if (!Chosen->m_IsAlive || Chosen->m_IsPrimary)
        return;
      std::uint64_t Term = 0;
      for (const auto &Each : m_Backends)
        Term = std::max(Term, Each->m_Term);
      Chosen->m_Term = Term + 1;
      Chosen->m_IsPrimary = true;
    }
    m_Record.line("promotion of " + Chosen->m_Id + " has taken effect");
    if (m_Promoted)
      m_Promoted(Chosen->m_Id);
    // The old primary follows a second after it can reach the new one.
    std::this_thread::sleep_for(Ms(1000));
    const std::lock_guard Inner(m_Mutex);
    for (const auto &Each : m_Backends) {
      if (Each.get() == Chosen || !Each->m_IsAlive || Each->m_IsDeaf)
        continue;
      Each->m_IsPrimary = false;
      copyTo(*Each, *Chosen);
    }
  });
  return 200;
}

World::World(Record &Log, const Layout &Sizes, std::string Folder)
    : m_Record(Log), m_Layout(Sizes), m_Folder(std::move(Folder)),
      m_Service(Log, "portal-db-1") {
  std::mt19937 Random(std::random_device{}());
  m_Subnet = "127." + std::to_string(20 + Random() % 200) + "." +
             std::to_string(1 + Random() % 250) + ".";
  m_Routes = {{"booking", "primary", 1000, 0},
              {"dash", "bounded_staleness", 2000, 1500},
              {"ticket", "read_your_writes", 1000, 2500}};
}

World::~World() {
  for (const auto &Each : m_FrontProcesses)
    Each->kill();
  for (const auto &Each : m_CoreProcesses)
    Each->kill();
  for (const auto &Each : m_Service.all())
    Each->crash();
  m_Platform.reset();
}

std::string World::address(int Host) const {
  return m_Subnet + std::to_string(Host);
}
std::string World::coreAddress(int Index) const { return address(10 + Index); }
std::string World::frontAddress(int Index) const { return address(30 + Index); }

std::string World::render(const std::string &Template, int Index,
                          bool IsCore) const {
  static const char *Zones[] = {"nasr-city", "smart-village", "new-capital"};
  std::string Seeds;
  for (int Core = 0; Core < std::min(3, m_Layout.m_Cores); ++Core)
    Seeds += (Core > 0 ? "," : "") + coreAddress(Core) + ":" +
             std::to_string(m_ControlPort);
  const std::string Zone = Zones[Index % 3];
  const std::string Name = std::string(IsCore ? "core-" : "front-") + Zone +
                           "-" + std::to_string(Index / 3 + 1);
  const std::map<std::string, std::string> Values = {
      {"nodeName", Name},
      {"zone", Zone},
      {"ip", IsCore ? coreAddress(Index) : frontAddress(Index)},
      {"listen.control", std::to_string(m_ControlPort)},
      {"listen.front", std::to_string(m_FrontPort)},
      {"listen.readyAddr", std::to_string(m_ReadyPort)},
      {"internalPorts.0", std::to_string(m_RpcPort)},
      {"bounds.graceS", "6"},
      {"seeds", Seeds},
      {"faultTolerance.machines", m_Layout.m_Cores >= 3 ? "1" : "0"},
      {"bootstrap", "true"},
      {"dataDir", m_Folder + "/" + Name},
      {"cloudApi.address",
       address(5) + ":" + std::to_string(m_Platform->port())}};
  std::ifstream File(Template);
  std::stringstream Read;
  Read << File.rdbuf();
  std::string Text = Read.str();
  // No value is given for the sections.
  for (std::size_t At = Text.find("{{#"); At != std::string::npos;
       At = Text.find("{{#")) {
    const std::size_t End = Text.find("{{/", At);
    Text.erase(At, Text.find("}}", End) + 2 - At);
  }
  for (const auto &[Key, Value] : Values) {
    const std::string Mark = "{{" + Key + "}}";
    for (std::size_t At = Text.find(Mark); At != std::string::npos;
         At = Text.find(Mark, At))
      Text.replace(At, Mark.size(), Value);
  }
  // The port of the metrics is free on the machines of the platform only.
  const std::size_t Metrics = Text.find("metrics_port=9464");
  if (Metrics != std::string::npos)
    Text.replace(Metrics, 17, "metrics_port=" + std::to_string(m_MetricsPort));
  return Text;
}

std::string World::configuration(int Version) const {
  std::string Routes;
  for (const Route &Each : m_Routes) {
    Routes += std::string(Routes.empty() ? "" : ",") + "{\"name\":\"r-" +
              Each.m_Database + "\",\"dbName\":\"" + Each.m_Database +
              "\",\"pathPrefix\":\"/\",\"kind\":\"" + Each.m_Kind +
              "\",\"timeoutMs\":" + std::to_string(Each.m_TimeoutMs) +
              ",\"targetLatencyMs\":400,\"priority\":1,\"service\":\"" +
              m_Service.m_Name + "\",\"maxAttempts\":2";
    if (Each.m_StalenessMs > 0)
      Routes += ",\"maxStalenessMs\":" + std::to_string(Each.m_StalenessMs);
    Routes += "}";
  }
  return "{\"version\":" + std::to_string(Version) + ",\"routes\":[" + Routes +
         "],\"services\":[{\"name\":\"" + m_Service.m_Name +
         "\",\"healthPath\":\"/health\",\"maxConns\":" +
         std::to_string(m_Service.m_MaxConnections) +
         ",\"protocol\":\"h1\",\"tls\":false,\"syncReplicas\":" +
         std::to_string(m_Service.m_SyncReplicas) +
         "}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
         "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,\"txIdleMs\":3000}}";
}

bool World::configure(const std::string &Text, Ms Limit) {
  const auto Until = Clock::now() + Limit;
  for (int Try = 0; Clock::now() < Until; ++Try) {
    const int Status = httpCall(coreAddress(Try % m_Layout.m_Cores),
                                m_ControlPort, "POST", "/config/replace", Text);
    if (Status == 200) {
      m_Record.line("the configuration is acknowledged");
      return true;
    }
    std::this_thread::sleep_for(Ms(200));
  }
  return false;
}

void World::servePlatform(const std::shared_ptr<Connection> &Client) {
  while (true) {
    const auto First = Client->readLine(Ms(5000));
    if (!First)
      return;
    std::size_t Length = 0;
    std::string Holder;
    std::string Token;
    for (auto Line = Client->readLine(Ms(1000)); Line && !Line->empty();
         Line = Client->readLine(Ms(1000))) {
      if (Line->starts_with("Content-Length: "))
        Length = std::stoul(Line->substr(16));
      if (Line->starts_with("Ragwortmux-Duty-Holder: "))
        Holder = Line->substr(24);
      if (Line->starts_with("Ragwortmux-Fencing-Token: "))
        Token = Line->substr(26);
    }
    const std::string Body = Client->readBytes(Length, Ms(1000)).value_or("");
    const std::string Id = jsonText(Body, "id");
    const std::string Status = std::to_string(m_Service.promote(Id));
    std::string Text = "POST /promotion of " + Id;
    Text.append(" by ").append(Holder).append(" with token ").append(Token);
    Text.append(": ").append(Status);
    m_Record.line(Text);
    Client->write("HTTP/1.1 " + Status +
                  " OK\r\nContent-Type: application/json\r\n"
                  "Content-Length: 2\r\n\r\n{}");
  }
}

bool World::isReady(int Index) const {
  return httpCall(frontAddress(Index), m_ReadyPort, "GET", "/ready", "") == 200;
}

bool World::start() {
  namespace fs = std::filesystem;
  const char *Root = std::getenv("REVIEW_ROOT");
  const std::string Repository =
      Root == nullptr ? fs::current_path().string() : Root;
  const std::string Program = Repository + "/target/bin/ragwortmux";
  if (!fs::exists(Program)) {
    m_Record.line("the program is not built");
    return false;
  }
  std::vector<std::string> Addresses;
  Addresses.reserve(64);
  for (int Index = 0; Index < m_Layout.m_Cores; ++Index)
    Addresses.push_back(coreAddress(Index));
  for (int Index = 0; Index < m_Layout.m_Fronts; ++Index)
    Addresses.push_back(frontAddress(Index));
  std::set<std::uint16_t> Ports;
  while (Ports.size() < 5)
    Ports.insert(freePort(Addresses));
  auto Next = Ports.begin();
  m_FrontPort = *Next++;
  m_ReadyPort = *Next++;
  m_ControlPort = *Next++;
  m_RpcPort = *Next++;
  m_MetricsPort = *Next++;
  m_Platform = std::make_unique<Listener>(
      address(5), 0, [this](const auto &Client) { servePlatform(Client); });
  for (int Index = 0; Index < m_Layout.m_Cores; ++Index)
    m_Service.m_Control.emplace_back(coreAddress(Index), m_ControlPort);

  const auto Prepare = [&](int Index, bool IsCore) {
    const std::string Settings = m_Folder + "/" + (IsCore ? "core" : "front") +
                                 std::to_string(Index) + ".settings";
    std::ofstream(Settings)
        << render(Repository + (IsCore ? "/deploy/control.settings"
                                       : "/deploy/entry.settings"),
                  Index, IsCore);
    // Keys as in deploy/system.toml.
    auto Made = std::make_unique<Process>(
        std::vector<std::string>{Program, "serve"},
        std::vector<std::string>{
            "PATH=/usr/bin:/bin", "HOME=/tmp", "LANG=C",
            "RAGWORTMUX_CONFIG=" + Settings,
            "RAGWORTMUX_CLUSTER_KEY=processes-of-one-deployment-0001",
            "RAGWORTMUX_OPERATOR_TOKEN=no-operator-interface-is-open-01"},
        Settings + ".log");
    if (IsCore)
      fs::create_directories(m_Folder);
    Made->start();
    (IsCore ? m_CoreProcesses : m_FrontProcesses).push_back(std::move(Made));
  };
  for (int Index = 0; Index < m_Layout.m_Cores; ++Index)
    Prepare(Index, true);
  for (int Index = 0; Index < m_Layout.m_Fronts; ++Index)
    Prepare(Index, false);
  bool IsFirst = true;
  for (const auto &Each : m_Service.all()) {
    Each->start(IsFirst);
    IsFirst = false;
  }
  if (!configure(configuration(1), Ms(15000)))
    return false;
  const auto Until = Clock::now() + Ms(15000);
  for (int Index = 0; Index < m_Layout.m_Fronts; ++Index) {
    while (!isReady(Index)) {
      if (Clock::now() >= Until)
        return false;
      std::this_thread::sleep_for(Ms(50));
    }
  }
  // The first statement succeeds once the primary is known.
  while (Clock::now() < Until) {
    Client Probe(m_Record, "probe");
    if (Probe.open(frontAddress(0), m_FrontPort, m_Routes.front().m_Database) &&
        Probe.query("READ probe", Ms(2000), false).m_Ok) {
      m_Record.line("the deployment is up");
      return true;
    }
    std::this_thread::sleep_for(Ms(100));
  }
  return false;
}

void World::startFront(int Index) {
  front(Index).kill();
  front(Index).start();
}

bool Client::open(const std::string &Address, std::uint16_t Port,
                  const std::string &Database) {
  m_Connection = Connection::connect(Address, Port, Ms(1000));
  if (m_Connection == nullptr)
    return false;
  m_Connection->write("STARTUP " + Database + " u1\r\n");
  const auto Line = m_Connection->readLine(Ms(2000));
  if (Line && Line->starts_with("READY"))
    return true;
  m_Connection.reset();
  return false;
}

Answer Client::query(const std::string &Text, Ms Timeout, bool IsLogged) {
  Answer Result;
  if (m_Connection == nullptr) {
    Result.m_Error = "CLOSED";
    return Result;
  }
  m_LastId = m_Name + "-" + std::to_string(++m_Count);
  const std::string Short = Text.substr(0, 80);
  if (IsLogged)
    m_Record.line("client " + m_Name + " sends " + m_LastId + " " + Short);
  m_Connection->write("QUERY " + m_LastId + " " + Text + "\r\n");
  bool HasCompleted = false;
  while (true) {
    auto Line = m_Connection->readLine(Timeout);
    if (!Line) {
      Result.m_Error = m_Connection->timedOut() ? "NONE" : "CLOSED";
      m_Connection.reset();
      break;
    }
    std::string Rest = std::move(*Line);
    const std::string Word = takeWord(Rest);
    if (Word == "ROW") {
      Result.m_Rows.push_back(Rest);
    } else if (Word == "COMPLETE") {
      HasCompleted = true;
    } else if (Word == "ERROR") {
      Result.m_Error = takeWord(Rest);
    } else if (Word == "READY") {
      Result.m_State = takeWord(Rest);
      break;
    }
  }
  Result.m_Ok = HasCompleted && Result.m_Error.empty();
  if (IsLogged)
    m_Record.line("client " + m_Name + " gets for " + m_LastId + ": " +
                  (Result.m_Ok ? "COMPLETE" : Result.m_Error) +
                  (Result.m_Rows.empty()
                       ? ""
                       : " rows " + Result.m_Rows.front().substr(0, 60)));
  return Result;
}

bool hasTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

void limitTime(std::chrono::seconds Limit) {
  std::thread([Limit] {
    std::this_thread::sleep_for(Limit);
    const std::lock_guard Lock(ChildMutex);
    for (const pid_t Child : Children)
      ::kill(Child, SIGKILL);
    ::_exit(CouldNotRun);
  }).detach();
}

} // namespace review
