#ifndef TESTS_STANDIN_STANDINANNOUNCER_H
#define TESTS_STANDIN_STANDINANNOUNCER_H

#include <kj/compat/http.h>

#include <string>
#include <vector>

namespace ragwortmux::standin {

class StandInServer;

/// Announces the server to one entry host at a time; changes to the next one
/// when an announcement fails.
class StandInAnnouncer final {
public:
  explicit StandInAnnouncer(StandInServer &Server);

  /// Starts to announce if there is any entry host.
  void start();

private:
  kj::Promise<void> announceLoop();
  kj::Promise<void> announce();
  kj::Promise<void> post();
  std::string message() const;

  StandInServer &m_Server;               ///< What to announce.
  kj::HttpHeaderTable m_Headers;         ///< Known headers.
  std::size_t m_Host = 0;                ///< Index of the current entry host.
  kj::Own<kj::NetworkAddress> m_Address; ///< Its address.
  kj::Own<kj::HttpClient> m_Client;      ///< Client of it; null at first.
  std::string m_Body;                    ///< Announcement being sent.
  kj::Promise<void> m_Task = nullptr;    ///< Announces.
};

} // namespace ragwortmux::standin

#endif // TESTS_STANDIN_STANDINANNOUNCER_H
