#ifndef REVIEW_STANDINS_SERVICE_H
#define REVIEW_STANDINS_SERVICE_H

#include "review/standins/Net.h"
#include "review/standins/Record.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace review {

/// One commit in a server's log.
struct LogEntry final {
  std::uint64_t m_Term = 0;      ///< Term of the primary that made it.
  std::uint64_t m_Number = 0;    ///< Its number.
  std::string m_Item;            ///< The item that it writes.
  std::string m_Data;            ///< The item's data.
  Clock::time_point m_VisibleAt; ///< When this server has applied it.
};

/// A statement that a server has run.
struct Run final {
  Clock::time_point m_At; ///< When.
  std::string m_Server;   ///< Where.
  std::string m_Id;       ///< The id that it carried.
  std::string m_Text;     ///< Its text, without a SINCE prefix.
  std::string m_Row;      ///< The row that it returned.
};

/// Takes the first word off \p Text.
inline std::string takeWord(std::string &Text) {
  const std::size_t Blank = Text.find(' ');
  std::string Word = Text.substr(0, Blank);
  Text.erase(0, Blank == std::string::npos ? Text.size() : Blank + 1);
  return Word;
}

class Service;

/// A stand-in backend server.
class Server final {
public:
  Server(Service &Owner, std::string Id, std::string Zone, std::string Address);

  void serve();
  void sendHeartbeats(const std::vector<std::string> &Control,
                      std::uint16_t ControlPort);
  /// The body of a heartbeat; \p Cold is the value of coldRemainingMs.
  std::string heartbeat(std::uint64_t Sequence, const std::string &State,
                        const std::string &Cold) const;
  /// Ends the process: the listener and all connections close.
  void crash();
  std::string position(bool Applied) const;

  Service &m_Service;                                   ///< Its service.
  const std::string m_Id;                               ///< Its id.
  const std::string m_Zone;                             ///< Its zone.
  const std::string m_Address;                          ///< Its IP address.
  std::shared_ptr<Listener> m_Listener;                 ///< Where it listens.
  std::vector<std::weak_ptr<Connection>> m_Connections; ///< Accepted ones.
  std::atomic<bool> m_IsPrimary = false;                ///< It leads.
  std::uint64_t m_Term = 1;                  ///< Newest term that it knows.
  std::vector<LogEntry> m_Log;               ///< Received commits.
  Milliseconds m_Lag{60};                    ///< How late it applies commits.
  std::atomic<bool> m_IsAlive = true;        ///< False after crash().
  std::atomic<bool> m_IsDeaf = false;        ///< Receives no commits.
  std::atomic<bool> m_IsCut = false;         ///< No path to and from control.
  std::atomic<bool> m_IsDraining = false;    ///< Says that it leaves.
  std::atomic<bool> m_IsBusy = false;        ///< All slots are taken.
  std::atomic<std::uint64_t> m_Sequence = 0; ///< Of the last heartbeat.
  std::atomic<bool> m_IsDrainAcknowledged = false; ///< Control knows it.

private:
  struct Session;
  void serveConnection(const std::shared_ptr<Connection> &From);
  std::string answer(Session &Current, const std::string &Id, std::string Text);
  std::string runStatement(Session &Current, const std::string &Id,
                           std::string Text);
  std::string statusRow() const;
};

/// A stand-in database service: a primary and its replicas.
class Service final {
public:
  Service(std::string Name, Record &Log)
      : m_Name(std::move(Name)), m_Record(Log) {}

  Server &add(const std::string &Id, const std::string &Zone,
              const std::string &Address) {
    m_Servers.push_back(std::make_unique<Server>(*this, Id, Zone, Address));
    Server &Added = *m_Servers.back();
    Added.m_IsPrimary = m_Servers.size() == 1;
    Added.m_Log.push_back({1, 1, "", "", Clock::now()});
    return Added;
  }

  void start(const std::vector<std::string> &Control,
             std::uint16_t ControlPort) {
    for (const auto &Each : m_Servers) {
      std::thread([&Each] { Each->serve(); }).detach();
      std::thread([&Each, Control, ControlPort] {
        Each->sendHeartbeats(Control, ControlPort);
      }).detach();
    }
  }

  /// Commits a write at the primary \p At; with sync replicas, returns once a
  /// replica has received it. False if the server ended meanwhile.
  bool commit(std::unique_lock<std::mutex> &Lock, Server &At,
              const std::vector<std::pair<std::string, std::string>> &Writes) {
    const std::uint64_t Number = At.m_Log.back().m_Number + 1;
    for (const auto &[Item, Data] : Writes)
      At.m_Log.push_back({At.m_Term, Number, Item, Data, Clock::now()});
    replicate(At);
    if (m_SyncReplicas == 0)
      return true;
    m_Changed.wait(Lock, [&] {
      return !At.m_IsAlive ||
             std::any_of(m_Servers.begin(), m_Servers.end(),
                         [&](const auto &Each) {
                           return Each.get() != &At &&
                                  Each->m_Log.back().m_Number >= Number;
                         });
    });
    return At.m_IsAlive;
  }

  /// Sends the replicas what they lack.
  void replicate(const Server &From) {
    for (const auto &Each : m_Servers) {
      if (Each.get() == &From || Each->m_IsPrimary || !Each->m_IsAlive ||
          Each->m_IsDeaf)
        continue;
      while (Each->m_Log.size() < From.m_Log.size()) {
        Each->m_Log.push_back(From.m_Log[Each->m_Log.size()]);
        Each->m_Log.back().m_VisibleAt = Clock::now() + Each->m_Lag;
      }
    }
    m_Changed.notify_all();
  }

  /// The platform's promotion: some hundred ms later the server leads with
  /// what it has received. False if it does not run.
  bool promote(const std::string &Id) {
    Server *Target = find(Id);
    if (Target == nullptr || !Target->m_IsAlive)
      return false;
    if (Target->m_IsPrimary && Target->m_Term == m_Term)
      return true;
    std::thread([this, Target] {
      pause(Milliseconds(300));
      const std::lock_guard Lock(m_Mutex);
      if (!Target->m_IsAlive || Target->m_IsPrimary)
        return;
      Target->m_Term = ++m_Term;
      Target->m_IsPrimary = true;
      m_Record.add("promoted " + Target->m_Id + ", its log ends at " +
                   Target->position(false));
      for (const auto &Each : m_Servers) {
        if (Each.get() == Target)
          continue;
        Each->m_IsPrimary = false;
        Each->m_Term = m_Term;
        if (Each->m_Log.size() > Target->m_Log.size())
          Each->m_Log.resize(Target->m_Log.size());
      }
      m_Promoted = Target;
    }).detach();
    return true;
  }

  Server *find(const std::string &Id) const {
    for (const auto &Each : m_Servers) {
      if (Each->m_Id == Id)
        return Each.get();
    }
    return nullptr;
  }

  std::vector<Run> runs() {
    const std::lock_guard Lock(m_Mutex);
    return m_Runs;
  }

  const std::string m_Name;          ///< Its name.
  Record &m_Record;                  ///< The record.
  std::mutex m_Mutex;                ///< Guards the servers' state.
  std::condition_variable m_Changed; ///< A log has grown or a server ended.
  std::vector<std::unique_ptr<Server>> m_Servers; ///< All of them.
  std::vector<Run> m_Runs;     ///< Statements that clients sent.
  unsigned m_SyncReplicas = 0; ///< Replicas before an acknowledgement.
  Milliseconds m_Work{4};      ///< Time of a statement.
  std::uint64_t m_Term = 1;    ///< Newest term.
  std::atomic<Server *> m_Promoted = nullptr; ///< The last promoted server.
};

/// What a connection to a server holds.
struct Server::Session final {
  char m_State = 'I';     ///< As in READY.
  bool m_IsPlain = false; ///< The open transaction may write.
  std::vector<std::pair<std::string, std::string>> m_Writes; ///< Uncommitted.
  std::map<std::string, std::string> m_Prepared; ///< Prepared statements.
};

inline Server::Server(Service &Owner, std::string Id, std::string Zone,
                      std::string Address)
    : m_Service(Owner), m_Id(std::move(Id)), m_Zone(std::move(Zone)),
      m_Address(std::move(Address)),
      m_Listener(std::make_shared<Listener>(m_Address)) {}

inline void Server::crash() {
  m_IsAlive = false;
  m_Listener->end();
  const std::lock_guard Lock(m_Service.m_Mutex);
  for (const auto &Each : m_Connections) {
    if (const auto Open = Each.lock())
      Open->end();
  }
  m_Service.m_Changed.notify_all();
}

inline void Server::serve() {
  while (m_IsAlive) {
    const auto Accepted = m_Listener->accept();
    if (Accepted == nullptr)
      return;
    {
      const std::lock_guard Lock(m_Service.m_Mutex);
      m_Connections.emplace_back(Accepted);
    }
    std::thread([this, Accepted] { serveConnection(Accepted); }).detach();
  }
}

inline std::string Server::position(bool Applied) const {
  const auto Now = Clock::now();
  for (auto Entry = m_Log.rbegin(); Entry != m_Log.rend(); ++Entry) {
    if (!Applied || Entry->m_VisibleAt <= Now)
      return std::to_string(Entry->m_Term) + "." +
             std::to_string(Entry->m_Number);
  }
  return "-";
}

inline std::string Server::heartbeat(std::uint64_t Sequence,
                                     const std::string &State,
                                     const std::string &Cold) const {
  return R"({"service":")" + m_Service.m_Name + R"(","address":")" + m_Address +
         ":" + std::to_string(m_Listener->port()) + R"(","zone":")" + m_Zone +
         R"(","version":"v1","slots":5,"state":")" + State +
         R"(","coldRemainingMs":)" + Cold + R"(,"dbRole":")" +
         (m_IsPrimary ? "primary" : "replica") + R"(","born":1764900000000,)" +
         R"("sequence":)" + std::to_string(Sequence) + "}";
}

inline void Server::sendHeartbeats(const std::vector<std::string> &Control,
                                   std::uint16_t ControlPort) {
  constexpr Milliseconds Interval(1200);
  std::size_t Next = 0;
  bool WasDraining = false;
  bool WasPrimary = m_IsPrimary;
  while (m_IsAlive) {
    const bool IsDraining = m_IsDraining;
    for (std::size_t Try = 0; Try < Control.size() && !m_IsCut; ++Try) {
      const int Status = callHttp(
          Control[Next], ControlPort, "POST /instances/" + m_Id + "/heartbeat",
          heartbeat(++m_Sequence, IsDraining ? "draining" : "ready", "0"));
      if (Status == 200) {
        if (IsDraining && !m_IsDrainAcknowledged) {
          m_IsDrainAcknowledged = true;
          m_Service.m_Record.add("control acknowledged that " + m_Id +
                                 " is draining");
        }
        break;
      }
      Next = (Next + 1) % Control.size();
    }
    WasDraining = IsDraining;
    WasPrimary = m_IsPrimary;
    // A change is reported immediately.
    const auto Due = Clock::now() + Interval;
    while (m_IsAlive && Clock::now() < Due && m_IsDraining == WasDraining &&
           m_IsPrimary == WasPrimary)
      pause(Milliseconds(10));
  }
}

inline void Server::serveConnection(const std::shared_ptr<Connection> &From) {
  constexpr Milliseconds Idle(600000);
  const auto Startup = From->line(Idle);
  if (!Startup)
    return;
  std::string Rest = *Startup;
  const bool IsStartup = takeWord(Rest) == "STARTUP";
  const std::string Name = takeWord(Rest);
  const std::string Who = takeWord(Rest);
  const bool IsControl = Who.starts_with("core");
  if (!IsStartup || Name != m_Service.m_Name ||
      (!Rest.empty() && Rest != m_Id)) {
    From->send("ERROR MISROUTED " + m_Id + "\r\n");
    return;
  }
  // A cut swallows what is sent over it.
  while (IsControl && m_IsCut)
    pause(Milliseconds(20));
  From->send("READY I " + position(true) + "\r\n");
  Session Current;
  while (m_IsAlive) {
    const auto Line = From->line(Idle);
    if (!Line)
      return;
    while (IsControl && m_IsCut)
      pause(Milliseconds(20));
    Rest = *Line;
    if (takeWord(Rest) != "QUERY")
      return;
    const std::string Id = takeWord(Rest);
    const std::string Answer = answer(Current, Id, Rest);
    if (!m_IsAlive)
      return;
    From->send(Answer + "READY " + Current.m_State + " " + position(true) +
               "\r\n");
  }
}

inline std::string Server::statusRow() const {
  return std::string("ROW ") + (m_IsPrimary ? "primary " : "replica ") +
         std::to_string(m_Term) + " " + position(false) + " 0 0 1 5\r\n";
}

inline std::string Server::answer(Session &Current, const std::string &Id,
                                  std::string Text) {
  std::unique_lock Lock(m_Service.m_Mutex);
  std::string Rest = Text;
  std::string Word = takeWord(Rest);
  if (Word == "STATUS")
    return statusRow() + "COMPLETE -\r\n";
  if (Word == "DISCARD") {
    Current.m_Prepared.clear();
    return "COMPLETE -\r\n";
  }
  if (Word == "SET")
    return "COMPLETE -\r\n";
  if (Word == "PREPARE") {
    const std::string Name = takeWord(Rest);
    Current.m_Prepared[Name] = takeWord(Rest);
    return "COMPLETE -\r\n";
  }
  if (Current.m_State == 'E' && Word != "COMMIT" && Word != "ROLLBACK")
    return "ERROR MALFORMED failed\r\n";
  if (Word == "ROLLBACK") {
    Current.m_State = 'I';
    Current.m_Writes.clear();
    return "COMPLETE -\r\n";
  }
  if (Word == "SINCE") {
    const std::string Since = takeWord(Rest);
    const std::size_t Dot = Since.find('.');
    const std::uint64_t Term = std::stoull(Since.substr(0, Dot));
    const std::uint64_t Number = std::stoull(Since.substr(Dot + 1));
    const auto Now = Clock::now();
    const bool Holds =
        std::any_of(m_Log.begin(), m_Log.end(), [&](const LogEntry &Each) {
          return Each.m_VisibleAt <= Now && Each.m_Term == Term &&
                 Each.m_Number >= Number;
        });
    if (!Holds)
      return "ERROR LAGGING " + m_Id + "\r\n";
    Text = Rest;
    Word = takeWord(Rest);
  }
  if (Word == "BEGIN") {
    if (Rest.empty() && !m_IsPrimary)
      return "ERROR READONLY " + m_Id + "\r\n";
    Current.m_State = 'T';
    Current.m_IsPlain = Rest.empty();
    return "COMPLETE -\r\n";
  }
  Lock.unlock();
  pause(m_Service.m_Work);
  return runStatement(Current, Id, Text);
}

inline std::string Server::runStatement(Session &Current, const std::string &Id,
                                        std::string Text) {
  std::unique_lock Lock(m_Service.m_Mutex);
  if (m_IsBusy)
    return "ERROR BUSY " + m_Id + "\r\n";
  std::string Rest = Text;
  std::string Word = takeWord(Rest);
  if (Word == "EXECUTE") {
    const auto Prepared = Current.m_Prepared.find(takeWord(Rest));
    if (Prepared == Current.m_Prepared.end())
      return "ERROR NOSTMT " + m_Id + "\r\n";
    Word = Prepared->second;
  }
  const bool Writes = Word == "WRITE";
  if (!m_IsPrimary && (Writes || (Current.m_State == 'T' && Current.m_IsPlain &&
                                  !Current.m_Writes.empty()))) {
    if (Current.m_State == 'T')
      Current.m_State = 'E';
    return "ERROR READONLY " + m_Id + "\r\n";
  }
  const std::string Signature = "COMPLETE " + m_Id + "." +
                                std::to_string(m_Service.m_Runs.size()) +
                                "\r\n";
  m_Service.m_Runs.push_back({Clock::now(), m_Id, Id, Text, ""});
  m_Service.m_Record.add("run at " + m_Id + ": " + Id + " " + Text);
  const std::size_t Own = m_Service.m_Runs.size() - 1;
  if (Word == "READ") {
    const std::string Item = takeWord(Rest);
    const auto Now = Clock::now();
    std::string Data;
    for (const LogEntry &Entry : m_Log) {
      if (Entry.m_Item == Item && Entry.m_VisibleAt <= Now)
        Data = Entry.m_Data;
    }
    m_Service.m_Runs[Own].m_Row = Data;
    return "ROW " + Data + "\r\n" + Signature;
  }
  if (Writes) {
    const std::string Item = takeWord(Rest);
    if (Current.m_State == 'T') {
      Current.m_Writes.emplace_back(Item, Rest);
      return Signature;
    }
    return m_Service.commit(Lock, *this, {{Item, Rest}}) ? Signature : "";
  }
  if (Word == "COMMIT") {
    const bool Failed = Current.m_State == 'E';
    Current.m_State = 'I';
    const auto Writes = std::exchange(Current.m_Writes, {});
    if (Failed)
      return "ERROR ABORTED " + m_Id + "\r\n";
    if (Writes.empty())
      return Signature;
    return m_Service.commit(Lock, *this, Writes) ? Signature : "";
  }
  return "ERROR MALFORMED " + m_Id + "\r\n";
}

} // namespace review

#endif // REVIEW_STANDINS_SERVICE_H
