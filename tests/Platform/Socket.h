#ifndef TESTS_PLATFORM_SOCKET_H
#define TESTS_PLATFORM_SOCKET_H

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace ragwortmux::platform {

/// A blocking TCP socket on loopback that gives up after 5 s.
class Socket final {
public:
  Socket() = default;
  explicit Socket(int Descriptor) : m_Descriptor(Descriptor) {}
  ~Socket() { close(); }
  Socket(const Socket &) = delete;
  Socket &operator=(const Socket &) = delete;

  /// Connects; null if that fails.
  static std::shared_ptr<Socket> connect(const std::string &Address,
                                         std::uint16_t Port);
  /// Listens on a free port; null if that fails.
  static std::shared_ptr<Socket> listen(const std::string &Address);

  /// The next connection; null once the socket is shut down.
  std::shared_ptr<Socket> accept() const;
  /// The port that it is bound to.
  std::uint16_t port() const;
  /// Sends all of \p Text; false if the connection is broken.
  bool write(const std::string &Text) const;
  /// The next line without its end; none at the end or after 5 s.
  std::optional<std::string> readLine();
  /// The next \p Count bytes; fewer at the end.
  std::string readBytes(std::size_t Count);
  /// Wakes who waits on it.
  void shutdown() const;
  void close();
  /// Closes with a reset.
  void reset();

private:
  bool fill();

  int m_Descriptor = -1; ///< The socket.
  std::string m_Input;   ///< Received and not taken yet.
};

/// A free port at \p Address.
std::uint16_t freePort(const std::string &Address);

/// One HTTP call: the status, 0 if there was no answer.
int call(const std::string &Address, std::uint16_t Port,
         const std::string &Method, const std::string &Path,
         const std::string &Body, std::string *Answer = nullptr);

} // namespace ragwortmux::platform

#endif // TESTS_PLATFORM_SOCKET_H
