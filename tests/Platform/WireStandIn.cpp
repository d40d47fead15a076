#include "WireStandIn.h"

#include "platform/WireText.h"

#include <utility>

namespace ragwortmux::platform {

/// Session state of one connection.
struct WireStandIn::Session final {
  char m_State = 'I'; ///< Transaction state as in READY.
  std::map<std::string, std::string> m_Values; ///< Session values.
  std::map<std::string, std::string> m_Names;  ///< Prepared statements.
  std::map<std::string, std::string>
      m_Writes; ///< Writes of the open transaction.
};

WireStandIn::WireStandIn(ServiceStandIn &Service, std::string Name,
                         std::string Id, const std::string &Address)
    : m_Service(Service), m_Name(std::move(Name)), m_Id(std::move(Id)),
      m_Address(Address), m_Listener(Socket::listen(Address)),
      m_Port(m_Listener->port()), m_Acceptor([this] { serve(); }) {}

WireStandIn::~WireStandIn() {
  crash();
  m_Acceptor.join();
  for (std::thread &Thread : m_Threads)
    Thread.join();
}

std::string WireStandIn::address() const {
  return m_Address + ":" + std::to_string(m_Port);
}

void WireStandIn::crash() {
  m_Up = false;
  m_Listener->shutdown();
  const std::lock_guard Lock(m_Mutex);
  for (const auto &Connection : m_Connections)
    Connection->shutdown();
}

std::vector<std::string> WireStandIn::runs() const {
  const std::lock_guard Lock(m_Mutex);
  return m_Runs;
}

void WireStandIn::serve() {
  while (m_Up) {
    const auto Connection = m_Listener->accept();
    if (Connection == nullptr)
      return;
    const std::lock_guard Lock(m_Mutex);
    m_Connections.push_back(Connection);
    m_Threads.emplace_back([this, Connection] { serveConnection(Connection); });
  }
}

void WireStandIn::serveConnection(const std::shared_ptr<Socket> &Connection) {
  Session Current;
  bool IsStarted = false;
  while (m_Up) {
    // A read that times out on an idle connection is no end of it.
    const auto Line = Connection->readLine();
    if (!Line)
      return;
    std::string_view Rest = *Line;
    const std::string_view Word = takeWord(Rest);
    if (!IsStarted && Word == "STARTUP") {
      const bool IsRight =
          takeWord(Rest) == m_Name && !takeWord(Rest).empty() && Rest == m_Id;
      if (!IsRight) {
        Connection->write("ERROR MISROUTED " + m_Id + "\r\n");
        Connection->shutdown();
        return;
      }
      IsStarted = true;
      Connection->write(ready(Current));
    } else if (IsStarted && Word == "QUERY") {
      const std::string Id(takeWord(Rest));
      const std::string Body = answer(Current, std::string(Rest), Id);
      Connection->write(Body + ready(Current));
    } else {
      return;
    }
  }
}

std::string WireStandIn::ready(const Session &Current) const {
  const std::lock_guard Lock(m_Service.m_Mutex);
  return std::string("READY ") + Current.m_State + " " +
         std::to_string(m_Service.m_Term) + "." +
         std::to_string(m_Service.m_Position) + "\r\n";
}

std::string WireStandIn::answer(Session &Current, std::string Text,
                                const std::string &StatementId) {
  std::string Done = "COMPLETE -\r\n";
  std::string_view Rest = Text;
  std::string_view Word = takeWord(Rest);
  if (Word == "STATUS") {
    const std::lock_guard Lock(m_Service.m_Mutex);
    const bool Leads = m_Service.m_Primary == m_Id;
    return std::string("ROW ") + (Leads ? "primary " : "replica ") +
           std::to_string(m_Service.m_Term) + " " +
           std::to_string(m_Service.m_Term) + "." +
           std::to_string(m_Service.m_Position) + " 0 0 0 1\r\n" + Done;
  }
  if (Word == "DISCARD") {
    Current.m_Values.clear();
    Current.m_Names.clear();
    return Done;
  }
  if (Word == "SET") {
    const std::string Name(takeWord(Rest));
    Current.m_Values[Name] = Rest;
    return Done;
  }
  if (Word == "PREPARE") {
    const std::string Name(takeWord(Rest));
    Current.m_Names[Name] = Rest;
    return Done;
  }
  if (Word == "SINCE") {
    takeWord(Rest);
    Text = Rest;
    Rest = Text;
    Word = takeWord(Rest);
  }
  {
    const std::lock_guard Lock(m_Mutex);
    std::string Values;
    for (const auto &[Name, Value] : Current.m_Values)
      Values.append(" ").append(Name).append("=").append(Value);
    m_Runs.push_back(StatementId + " " + Text + Values);
  }
  if (Word == "EXECUTE") {
    const std::string Name(takeWord(Rest));
    const auto Known = Current.m_Names.find(Name);
    if (Known == Current.m_Names.end())
      return "ERROR NOSTMT\r\n";
    return run(Current, Known->second.substr(0, Known->second.find(' ')) + " " +
                            std::string(Rest));
  }
  return run(Current, Text);
}

std::string WireStandIn::run(Session &Current, const std::string &Text) {
  const std::lock_guard Lock(m_Service.m_Mutex);
  std::string Signed = "COMPLETE " + m_Id + "\r\n";
  const bool Leads = m_Service.m_Primary == m_Id;
  std::string_view Rest = Text;
  const std::string_view Word = takeWord(Rest);
  const bool NeedsLead = Word == "WRITE" || (Word == "BEGIN" && Rest.empty());
  if (NeedsLead && !Leads) {
    Current.m_State = Current.m_State == 'I' ? 'I' : 'E';
    return "ERROR READONLY " + m_Id + "\r\n";
  }
  if (Word == "BEGIN") {
    Current.m_State = 'T';
    return "COMPLETE -\r\n";
  }
  if (Word == "COMMIT" || Word == "ROLLBACK") {
    if (Word == "COMMIT" && !Current.m_Writes.empty()) {
      for (const auto &[Item, Data] : Current.m_Writes)
        m_Service.m_Data[Item] = Data;
      ++m_Service.m_Position;
    }
    Current.m_Writes.clear();
    Current.m_State = 'I';
    return Signed;
  }
  const std::string Item(takeWord(Rest));
  if (Word == "WRITE") {
    if (Current.m_State == 'T') {
      Current.m_Writes[Item] = Rest;
    } else {
      m_Service.m_Data[Item] = Rest;
      ++m_Service.m_Position;
    }
    return Signed;
  }
  const auto Own = Current.m_Writes.find(Item);
  return "ROW " +
         (Own != Current.m_Writes.end() ? Own->second
                                        : m_Service.m_Data[Item]) +
         "\r\n" + Signed;
}

} // namespace ragwortmux::platform
