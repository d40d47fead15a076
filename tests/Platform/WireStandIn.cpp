#include "WireStandIn.h"

#include "platform/WireText.h"

#include <utility>

namespace ragwortmux::platform {

/// Session state of one connection.
struct WireStandIn::Session final {
  std::string m_Speaker; ///< Who the connection speaks for.
  char m_State = 'I';    ///< Transaction state as in READY.
  std::map<std::string, std::string> m_Values; ///< Session values.
  std::map<std::string, std::string>
      m_PreparedStatements; ///< Prepared statements.
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
  m_IsAlive = false;
  m_Listener->shutdown();
  const std::lock_guard Lock(m_Mutex);
  for (const auto &Connection : m_Connections)
    Connection->shutdown();
}

std::vector<std::string> WireStandIn::executedStatements() const {
  const std::lock_guard Lock(m_Mutex);
  return m_ExecutedStatements;
}

std::vector<std::string> WireStandIn::speakers() const {
  const std::lock_guard Lock(m_Mutex);
  return m_Speakers;
}

void WireStandIn::serve() {
  while (m_IsAlive) {
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
  while (m_IsAlive) {
    // A read that times out on an idle connection is no end of it.
    const auto Line = Connection->readLine();
    if (!Line)
      return;
    std::string_view Rest = *Line;
    const std::string_view Word = consumeWord(Rest);
    if (!IsStarted && Word == "STARTUP") {
      const bool IsExpectedService = consumeWord(Rest) == m_Name;
      Current.m_Speaker = consumeWord(Rest);
      const bool IsExpectedServer =
          IsExpectedService && !Current.m_Speaker.empty() && Rest == m_Id;
      if (!IsExpectedServer) {
        Connection->write("ERROR MISROUTED " + m_Id + "\r\n");
        Connection->shutdown();
        return;
      }
      IsStarted = true;
      Connection->write(ready(Current));
    } else if (IsStarted && Word == "QUERY") {
      const std::string Id(consumeWord(Rest));
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
  std::string EmptyCompletion = "COMPLETE -\r\n";
  std::string_view Rest = Text;
  std::string_view Word = consumeWord(Rest);
  if (Word == "STATUS") {
    const std::lock_guard Lock(m_Service.m_Mutex);
    const bool IsPrimary = m_Service.m_Primary == m_Id;
    return std::string("ROW ") + (IsPrimary ? "primary " : "replica ") +
           std::to_string(m_Service.m_Term) + " " +
           std::to_string(m_Service.m_Term) + "." +
           std::to_string(m_Service.m_Position) + " 0 0 0 1\r\n" +
           EmptyCompletion;
  }
  if (failsSessionStep(Word))
    return "ERROR FAILED\r\n";
  if (Word == "DISCARD") {
    Current.m_Values.clear();
    Current.m_PreparedStatements.clear();
    return EmptyCompletion;
  }
  if (Word == "SET") {
    const std::string Name(consumeWord(Rest));
    Current.m_Values[Name] = Rest;
    return EmptyCompletion;
  }
  if (Word == "PREPARE") {
    const std::string Name(consumeWord(Rest));
    Current.m_PreparedStatements[Name] = Rest;
    return EmptyCompletion;
  }
  if (Word == "SINCE") {
    consumeWord(Rest);
    Text = Rest;
    Rest = Text;
    Word = consumeWord(Rest);
  }
  {
    const std::lock_guard Lock(m_Mutex);
    std::string Values;
    for (const auto &[Name, Value] : Current.m_Values)
      Values.append(" ").append(Name).append("=").append(Value);
    m_ExecutedStatements.push_back(StatementId + " " + Text + Values);
    m_Speakers.push_back(Current.m_Speaker);
  }
  if (Word == "EXECUTE") {
    const std::string Name(consumeWord(Rest));
    const auto Found = Current.m_PreparedStatements.find(Name);
    if (Found == Current.m_PreparedStatements.end())
      return "ERROR NOSTMT\r\n";
    return run(Current, Found->second.substr(0, Found->second.find(' ')) + " " +
                            std::string(Rest));
  }
  return run(Current, Text);
}

bool WireStandIn::failsSessionStep(std::string_view Word) {
  const bool IsStep = Word == "DISCARD" || Word == "SET" || Word == "PREPARE";
  return IsStep && m_FailsSessionSteps && ++m_SessionSteps % 2 == 0;
}

std::string WireStandIn::run(Session &Current, const std::string &Text) {
  const std::lock_guard Lock(m_Service.m_Mutex);
  std::string Completion = "COMPLETE " + m_Id + "\r\n";
  const bool IsPrimary = m_Service.m_Primary == m_Id;
  std::string_view Rest = Text;
  const std::string_view Word = consumeWord(Rest);
  const bool NeedsPrimary =
      Word == "WRITE" || (Word == "BEGIN" && Rest.empty());
  if (NeedsPrimary && !IsPrimary) {
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
    return Completion;
  }
  const std::string Item(consumeWord(Rest));
  if (Word == "WRITE") {
    if (Current.m_State == 'T') {
      Current.m_Writes[Item] = Rest;
    } else {
      m_Service.m_Data[Item] = Rest;
      ++m_Service.m_Position;
    }
    return Completion;
  }
  const auto OwnWrite = Current.m_Writes.find(Item);
  return "ROW " +
         (OwnWrite != Current.m_Writes.end() ? OwnWrite->second
                                             : m_Service.m_Data[Item]) +
         "\r\n" + Completion;
}

} // namespace ragwortmux::platform
