#ifndef BENCH_ENTRYHOSTS_SERVERSTANDIN_H
#define BENCH_ENTRYHOSTS_SERVERSTANDIN_H

#include "platform/LineStream.h"
#include "ragwortmux/Core/Time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace ragwortmux {

class IoLoop;

/// The log of a group of stand-in servers; its entries take effect on all of
/// them at once.
struct GroupStandIn final {
  std::string m_Name;           ///< Name of the group.
  std::string m_Primary;        ///< Id of the primary.
  std::uint64_t m_Position = 0; ///< Number of writes.
};

/// A stand-in of a backend server on an event loop, for many connections. It
/// answers statements without storing data, and refuses connections above its
/// limit.
class ServerStandIn final {
public:
  ServerStandIn(IoLoop &Loop, GroupStandIn &Group, std::string Id,
                std::uint32_t MaxConnections);
  ~ServerStandIn();
  ServerStandIn(const ServerStandIn &) = delete;
  ServerStandIn &operator=(const ServerStandIn &) = delete;

  const std::string &id() const { return m_Id; }
  /// Address with the port.
  std::string address();
  /// Number of connections that were refused because of the limit.
  std::uint64_t refusedConnections() const { return m_Refused; }
  /// Highest number of connections at a time.
  std::size_t peakConnections() const { return m_Peak; }

private:
  kj::Promise<void> accept();
  void handleLine(std::uint64_t Number, std::string_view Line);
  void remove(std::uint64_t Number);
  std::string answer(std::string_view Statement);
  std::string ready() const;

  IoLoop &m_Loop;                             ///< The event loop.
  GroupStandIn &m_Group;                      ///< Its group.
  std::string m_Id;                           ///< Id of this server.
  std::uint32_t m_MaxConnections;             ///< Limit of connections.
  kj::Own<kj::ConnectionReceiver> m_Receiver; ///< The listening socket.
  std::map<std::uint64_t, std::shared_ptr<platform::LineStream>>
      m_Connections;              ///< Open connections.
  std::uint64_t m_LastNumber = 0; ///< Number of the newest connection.
  std::uint64_t m_Refused = 0;    ///< See refusedConnections().
  std::size_t m_Peak = 0;         ///< See peakConnections().
};

} // namespace ragwortmux

#endif // BENCH_ENTRYHOSTS_SERVERSTANDIN_H
