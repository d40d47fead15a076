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

/// What all stand-in servers of one service share: one log, applied by all at
/// once, and who leads.
struct ServiceStandIn final {
  std::mutex m_Mutex;                        ///< Guards the rest.
  std::map<std::string, std::string> m_Data; ///< Items.
  std::uint64_t m_Term = 1;                  ///< Term of the primary.
  std::uint64_t m_Position = 0;              ///< Commits so far.
  std::string m_Primary;                     ///< Id of the primary.
};

/// A stand-in of a backend server on the platform's wire.
class WireStandIn final {
public:
  WireStandIn(ServiceStandIn &Service, std::string Name, std::string Id,
              const std::string &Address);
  ~WireStandIn();
  WireStandIn(const WireStandIn &) = delete;
  WireStandIn &operator=(const WireStandIn &) = delete;

  const std::string &id() const { return m_Id; }
  std::string address() const;
  bool isUp() const { return m_Up; }
  /// Ends at once, as a crash does.
  void crash();
  /// The texts of all statements that it ran for callers.
  std::vector<std::string> runs() const;

private:
  struct Session;
  void serve();
  void serveConnection(const std::shared_ptr<Socket> &Connection);
  std::string answer(Session &Current, std::string Text,
                     const std::string &StatementId);
  std::string run(Session &Current, const std::string &Text);
  std::string ready(const Session &Current) const;

  ServiceStandIn &m_Service;                        ///< Shared.
  std::string m_Name;                               ///< The service's name.
  std::string m_Id;                                 ///< This server.
  std::string m_Address;                            ///< IP number.
  std::shared_ptr<Socket> m_Listener;               ///< Where it listens.
  std::uint16_t m_Port = 0;                         ///< Its port.
  std::atomic<bool> m_Up = true;                    ///< It has not crashed.
  mutable std::mutex m_Mutex;                       ///< Guards the rest.
  std::list<std::shared_ptr<Socket>> m_Connections; ///< Open ones.
  std::list<std::thread> m_Threads;                 ///< One each.
  std::vector<std::string> m_Runs;                  ///< See runs().
  std::thread m_Acceptor;                           ///< Takes connections.
};

} // namespace ragwortmux::platform

#endif // TESTS_PLATFORM_WIRESTANDIN_H
