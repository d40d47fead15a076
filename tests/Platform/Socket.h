#ifndef TESTS_PLATFORM_SOCKET_H
#define TESTS_PLATFORM_SOCKET_H

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace ragwortmux::platform {

/// A blocking TCP socket on loopback. Reads and writes on a socket that was
/// opened with connect() time out after 5 s.
class Socket final {
public:
  Socket() = default;
  explicit Socket(int Descriptor) : m_Descriptor(Descriptor) {}
  ~Socket() { close(); }
  Socket(const Socket &) = delete;
  Socket &operator=(const Socket &) = delete;

  /// Connects to a server; null on failure.
  static std::shared_ptr<Socket> connect(const std::string &Address,
                                         std::uint16_t Port);
  /// Listens on a free port; null on failure.
  static std::shared_ptr<Socket> listen(const std::string &Address);

  /// Waits for the next connection; null once the socket is shut down.
  std::shared_ptr<Socket> accept() const;
  /// The local port.
  std::uint16_t port() const;
  /// Sends all of \p Text; false if the connection is broken.
  bool write(const std::string &Text) const;
  /// Reads a line without its CR LF, the only thing that ends it; none at the
  /// end of the stream or on a timeout.
  std::optional<std::string> readLine();
  /// Reads \p Count bytes; fewer at the end of the stream or on a timeout.
  std::string readBytes(std::size_t Count);
  /// Shuts both directions down, which wakes threads that block on the socket.
  void shutdown() const;
  void close();
  /// Closes the connection with a TCP reset.
  void reset();

private:
  bool receive();

  int m_Descriptor = -1; ///< File descriptor; negative if closed.
  std::string m_Input;   ///< Received bytes that have not been read yet.
};

/// Finds a free port at \p Address.
std::uint16_t findFreePort(const std::string &Address);

/// Makes an HTTP call; returns the status, or 0 if there was no answer. Stores
/// the body in \p Answer if it is not null.
int httpCall(const std::string &Address, std::uint16_t Port,
             const std::string &Method, const std::string &Path,
             const std::string &Body, std::string *Answer = nullptr);

} // namespace ragwortmux::platform

#endif // TESTS_PLATFORM_SOCKET_H
