#ifndef TESTS_PLATFORM_WIRESTANDIN_H
#define TESTS_PLATFORM_WIRESTANDIN_H

#include "Socket.h"

#include <atomic>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace ragwortmux::platform {

/// State shared by all stand-in servers of one service: one log, whose entries
/// take effect on all servers at once, and the current primary.
struct ServiceStandIn final {
  std::mutex m_Mutex;                        ///< Guards the other members.
  std::map<std::string, std::string> m_Data; ///< Data by item.
  std::uint64_t m_Term = 1;                  ///< Term of the primary.
  std::uint64_t m_Position = 0;              ///< Number of commits.
  std::string m_Primary;                     ///< Id of the primary.
};

/// A stand-in of a backend server that implements the platform's line protocol.
class WireStandIn final {
public:
  WireStandIn(ServiceStandIn &Service, std::string Name, std::string Id,
              const std::string &Address);
  ~WireStandIn();
  WireStandIn(const WireStandIn &) = delete;
  WireStandIn &operator=(const WireStandIn &) = delete;

  const std::string &id() const { return m_Id; }
  std::string address() const;
  bool isAlive() const { return m_IsAlive; }
  /// Closes all connections and stops to listen, as after a crash.
  void crash();
  /// From now on fails every second message that sets up or resets a session,
  /// without effect; or none.
  void failSessionSteps(bool Fails) { m_FailsSessionSteps = Fails; }
  /// All statements that were run, with their ids and the session's values.
  std::vector<std::string> executedStatements() const;
  /// The words by which the connection of each of executedStatements() named
  /// who it speaks for.
  std::vector<std::string> speakers() const;

private:
  struct Session;
  void serve();
  void serveConnection(const std::shared_ptr<Socket> &Connection);
  std::string answer(Session &Current, std::string Text,
                     const std::string &StatementId);
  bool failsSessionStep(std::string_view Word);
  std::string run(Session &Current, const std::string &Text);
  std::string ready(const Session &Current) const;

  ServiceStandIn &m_Service;          ///< State shared with the other servers.
  std::string m_Name;                 ///< Name of the service.
  std::string m_Id;                   ///< Id of this server.
  std::string m_Address;              ///< IP address.
  std::shared_ptr<Socket> m_Listener; ///< Listening socket.
  std::uint16_t m_Port = 0;           ///< TCP port.
  std::atomic<bool> m_IsAlive = true; ///< False after crash().
  std::atomic<bool> m_FailsSessionSteps = false; ///< See failSessionSteps().
  std::atomic<unsigned> m_SessionSteps = 0;      ///< Set-up messages received.
  mutable std::mutex m_Mutex; ///< Guards the connections, threads and runs.
  std::list<std::shared_ptr<Socket>>
      m_Connections;                             ///< All accepted connections.
  std::list<std::thread> m_Threads;              ///< One thread per connection.
  std::vector<std::string> m_ExecutedStatements; ///< See executedStatements().
  std::vector<std::string> m_Speakers;           ///< See speakers().
  std::thread m_Acceptor;                        ///< Accepts connections.
};

} // namespace ragwortmux::platform

#endif // TESTS_PLATFORM_WIRESTANDIN_H
