#ifndef REVIEW_STANDINS3_WORLD_H
#define REVIEW_STANDINS3_WORLD_H

/// \file
/// Stand-ins for a small deployment on loopback addresses: the platform, the
/// operator, backends of one service and clients, around the project's own
/// processes. They follow the pages PROTOCOL.md and DEPLOY.md.

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

/// Writes record.txt; usable from all threads.
class Record final {
public:
  explicit Record(const std::string &Path);
  void line(const std::string &Text);
  /// Milliseconds since the start.
  long now() const;

private:
  std::mutex m_Mutex;
  std::ofstream m_File;
  Clock::time_point m_Start = Clock::now();
};

/// A blocking TCP connection that reads lines ended by CR LF.
class Connection final {
public:
  static std::shared_ptr<Connection> connect(const std::string &Address,
                                             std::uint16_t Port, Ms Timeout);
  explicit Connection(int Fd) : m_Fd(Fd) {}
  ~Connection();
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  bool write(const std::string &Text) const;
  /// The next line; none at the end of the stream or after \p Timeout.
  std::optional<std::string> readLine(Ms Timeout);
  std::optional<std::string> readBytes(std::size_t Count, Ms Timeout);
  void shutdown() const;
  bool timedOut() const { return m_TimedOut; }

private:
  bool fill(Clock::time_point Until);
  int m_Fd;
  std::string m_Buffer;
  std::size_t m_Scanned = 0;
  bool m_TimedOut = false;
};

/// A listening socket that serves each connection on a thread of its own.
class Listener final {
public:
  using Serve = std::function<void(const std::shared_ptr<Connection> &)>;
  Listener(const std::string &Address, std::uint16_t Port, Serve Handler);
  ~Listener() { stop(); }
  Listener(const Listener &) = delete;
  Listener &operator=(const Listener &) = delete;
  std::uint16_t port() const { return m_Port; }
  /// Closes the socket and all connections, and joins the threads.
  void stop();

private:
  void accept();
  Serve m_Handler;
  int m_Fd = -1;
  std::uint16_t m_Port = 0;
  std::atomic<bool> m_IsStopping = false;
  std::thread m_Acceptor;
  std::mutex m_Mutex;
  std::vector<std::thread> m_Threads;
  std::vector<std::weak_ptr<Connection>> m_Connections;
};

/// Status of an HTTP call, 0 without an answer within \p Timeout.
int httpCall(const std::string &Address, std::uint16_t Port,
             const std::string &Method, const std::string &Path,
             const std::string &Body, Ms Timeout = Ms(1000),
             std::string *Answer = nullptr);

/// One of the project's processes.
class Process final {
public:
  Process(std::vector<std::string> Command,
          std::vector<std::string> Environment, std::string Output);
  ~Process() { kill(); }
  void start();
  void signal(int Number) const;
  /// Kills it, if it runs, and waits for its end.
  void kill();
  /// True while it runs; reaps it otherwise.
  bool isRunning();
  /// Resident memory in MB; 0 if it does not run.
  double residentMb() const;
  pid_t id() const { return m_Id; }

private:
  std::vector<std::string> m_Command;
  std::vector<std::string> m_Environment;
  std::string m_Output;
  pid_t m_Id = -1;
};

/// Position in a backend's log.
struct Position final {
  std::uint64_t m_Term = 1;
  std::uint64_t m_Number = 0;
  auto operator<=>(const Position &) const = default;
  std::string text() const;
};

/// One committed write.
struct Commit final {
  Position m_At;
  std::map<std::string, std::string> m_Data;
  Clock::time_point m_AppliedAt{}; ///< At this backend.
};

class Service;

/// One backend. It answers the line protocol and announces itself.
class Backend final {
public:
  Backend(Service &Owner, std::string Id, std::string Address,
          std::string Zone);
  ~Backend();

  /// Starts it with the log that it holds; \p IsPrimary as it sees itself.
  void start(bool IsPrimary);
  /// Ends it at once, without a word; its log stays.
  void crash();
  void clearLog();

  const std::string &id() const { return m_Id; }
  bool isAlive() const { return m_IsAlive; }
  /// Receives nothing from the primary while \p IsDeaf.
  void setDeaf(bool IsDeaf) { m_IsDeaf = IsDeaf; }
  /// Applies this long after it has received.
  void setLag(int Milliseconds) { m_LagMs = Milliseconds; }

private:
  friend class Service;
  struct Session;
  void serve(const std::shared_ptr<Connection> &Client);
  std::string answer(Session &Current, const std::string &Id, std::string Text);
  std::string run(Session &Current, const std::string &Id,
                  const std::string &Text);
  std::string status();
  std::string ready(const Session &Current, bool HidesPosition);
  void announce();

  Service &m_Service;
  std::string m_Id;
  std::string m_Address;
  std::string m_Zone;
  std::uint16_t m_Port = 0;
  std::atomic<bool> m_IsAlive = false;
  std::atomic<bool> m_IsPrimary = false;
  std::atomic<bool> m_IsDeaf = false; ///< Receives nothing from the primary.
  std::atomic<int> m_LagMs = 60;      ///< How long it applies later.
  std::uint64_t m_Term = 1;
  std::vector<Commit> m_Log;
  std::atomic<int> m_Busy = 0;
  std::atomic<int> m_Connections = 0;
  std::uint64_t m_Sequence = 0;
  std::uint64_t m_Born = 0;
  std::unique_ptr<Listener> m_Listener;
  std::thread m_Announcer;
};

/// A service of a primary and replicas, with the rules of PROTOCOL.md.
class Service final {
public:
  Service(Record &Log, std::string Name)
      : m_Record(Log), m_Name(std::move(Name)) {}

  Backend &add(const std::string &Id, const std::string &Address,
               const std::string &Zone);
  Backend &backend(const std::string &Id);
  std::vector<std::unique_ptr<Backend>> &all() { return m_Backends; }
  /// What `POST /promotion` does; the HTTP status.
  int promote(const std::string &Id);
  Position position(const Backend &Of);
  /// The numbers of the commits that the backend's log has.
  std::vector<std::string> logOf(const Backend &Of);
  bool has(const Backend &Of, const std::string &Item, const std::string &Data);
  std::string primary();

  Record &m_Record;
  std::string m_Name;
  int m_SyncReplicas = 0;
  int m_Slots = 5;
  int m_MaxConnections = 34;
  Ms m_Work{5};
  std::vector<std::pair<std::string, std::uint16_t>> m_Control;
  /// Called with what ran: backend, statement id, text.
  std::function<void(const std::string &, const std::string &,
                     const std::string &)>
      m_Ran;
  /// Answer of a read, if it differs from the stored value.
  std::function<std::optional<std::string>(const std::string &Item)> m_Rows;
  /// The READY after a write of this backend says "-" as its position.
  std::atomic<bool> m_HidesPositions = false;
  /// Called when the promotion of a backend has taken effect.
  std::function<void(const std::string &)> m_Promoted;

  std::mutex m_Mutex;

private:
  friend class Backend;
  bool commit(Backend &At, std::map<std::string, std::string> Data);
  void copyTo(Backend &To, const Backend &From);
  Backend *leader();
  std::vector<std::unique_ptr<Backend>> m_Backends;
  std::vector<std::thread> m_Tasks;

public:
  ~Service();
};

/// Sizes and settings of the deployment.
struct Layout final {
  int m_Cores = 3;
  int m_Fronts = 3;
  int m_MemoryMb = 260;
};

/// The whole deployment: processes, platform, operator, one service.
class World final {
public:
  World(Record &Log, const Layout &Sizes, std::string Folder);
  ~World();

  /// Starts backends, processes and the first configuration; false if the
  /// deployment did not come up.
  bool start();
  /// Sends a configuration until it is acknowledged.
  bool configure(const std::string &Text, Ms Limit);
  std::string configuration(int Version) const;
  void startFront(int Index);
  Process &front(int Index) { return *m_FrontProcesses.at(Index); }
  Process &core(int Index) { return *m_CoreProcesses.at(Index); }
  std::string frontAddress(int Index) const;
  std::string coreAddress(int Index) const;
  std::uint16_t frontPort() const { return m_FrontPort; }
  std::uint16_t controlPort() const { return m_ControlPort; }
  bool isReady(int Index) const;

  Service &service() { return m_Service; }
  /// Kind and time-out of the routes: name, kind, timeoutMs, maxStalenessMs.
  struct Route final {
    std::string m_Database;
    std::string m_Kind;
    int m_TimeoutMs;
    int m_StalenessMs;
  };
  std::vector<Route> m_Routes;

private:
  std::string render(const std::string &Template, int Index, bool IsCore) const;
  void servePlatform(const std::shared_ptr<Connection> &Client);
  std::string address(int Host) const;

  Record &m_Record;
  Layout m_Layout;
  std::string m_Folder;
  std::string m_Subnet;
  std::uint16_t m_FrontPort = 0;
  std::uint16_t m_ReadyPort = 0;
  std::uint16_t m_ControlPort = 0;
  std::uint16_t m_RpcPort = 0;
  std::uint16_t m_MetricsPort = 0;
  Service m_Service;
  std::unique_ptr<Listener> m_Platform;
  std::vector<std::unique_ptr<Process>> m_FrontProcesses;
  std::vector<std::unique_ptr<Process>> m_CoreProcesses;
};

/// What a client got for one statement.
struct Answer final {
  bool m_Ok = false;
  std::string m_Error; ///< Code, or "CLOSED" or "NONE".
  std::vector<std::string> m_Rows;
  std::string m_State;
};

/// A client's session.
class Client final {
public:
  Client(Record &Log, std::string Name)
      : m_Record(Log), m_Name(std::move(Name)) {}
  bool open(const std::string &Address, std::uint16_t Port,
            const std::string &Database);
  Answer query(const std::string &Text, Ms Timeout = Ms(4000),
               bool IsLogged = true);
  void close() { m_Connection.reset(); }
  bool isOpen() const { return m_Connection != nullptr; }
  const std::shared_ptr<Connection> &connection() const { return m_Connection; }
  std::string lastId() const { return m_LastId; }

private:
  Record &m_Record;
  std::string m_Name;
  std::shared_ptr<Connection> m_Connection;
  std::uint64_t m_Count = 0;
  std::string m_LastId;
};

/// True unless the variable TROUBLE is 0.
bool hasTrouble();
/// Exit codes of a case.
enum Exit : int { Held = 0, Broken = 1, CouldNotRun = 2 };
/// Ends the process with CouldNotRun after this time, killing its children.
void limitTime(std::chrono::seconds Limit);

} // namespace review

#endif // REVIEW_STANDINS3_WORLD_H
