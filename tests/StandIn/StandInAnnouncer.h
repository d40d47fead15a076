#ifndef TESTS_STANDIN_STANDINANNOUNCER_H
#define TESTS_STANDIN_STANDINANNOUNCER_H

#include <kj/compat/http.h>

#include <string>
#include <vector>

namespace ragwortmux::standin {

class StandInServer;

/// Announces the server to one entry host over HTTP at a fixed interval; turns
/// to the next entry host when an announcement fails.
class StandInAnnouncer final {
public:
  explicit StandInAnnouncer(StandInServer &Server);

  /// Starts the announcements if entry hosts are configured.
  void start();

private:
  kj::Promise<void> announceLoop();
  kj::Promise<void> announce();
  kj::Promise<void> post();
  std::string announcementJson() const;

  StandInServer &m_Server;       ///< Server that is announced.
  kj::HttpHeaderTable m_Headers; ///< Header table of the HTTP client.
  std::size_t m_HostIndex =
      0; ///< Entry host in use: index modulo their number.
  kj::Own<kj::NetworkAddress> m_Address; ///< Address of that entry host.
  kj::Own<kj::HttpClient>
      m_Client;       ///< Client of that entry host; null before the first
                      ///< announcement and after a failure.
  std::string m_Body; ///< Request body in transmission.
  kj::Promise<void> m_Task = nullptr; ///< Runs announceLoop().
};

} // namespace ragwortmux::standin

#endif // TESTS_STANDIN_STANDINANNOUNCER_H
