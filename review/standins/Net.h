#ifndef REVIEW_STANDINS_NET_H
#define REVIEW_STANDINS_NET_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

/// \file
/// Blocking TCP on loopback addresses, and the little HTTP that the stand-ins
/// need.

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

inline void pause(Milliseconds Length) { std::this_thread::sleep_for(Length); }

/// One TCP connection.
class Connection final {
public:
  explicit Connection(int Descriptor) : m_Descriptor(Descriptor) {}
  ~Connection() { ::close(m_Descriptor); }
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  /// Sends all of \p Text; false if the connection is broken.
  bool send(std::string_view Text) const {
    while (!Text.empty()) {
      const ssize_t Sent =
          ::send(m_Descriptor, Text.data(), Text.size(), MSG_NOSIGNAL);
      if (Sent <= 0)
        return false;
      Text.remove_prefix(static_cast<std::size_t>(Sent));
    }
    return true;
  }

  /// Reads up to the next CR LF; nothing at the end of the stream or if none
  /// comes within \p Limit.
  std::optional<std::string> line(Milliseconds Limit) {
    const auto End = Clock::now() + Limit;
    std::size_t At = m_Input.find("\r\n");
    while (At == std::string::npos) {
      if (!receive(End))
        return std::nullopt;
      At = m_Input.find("\r\n");
    }
    std::string Line = m_Input.substr(0, At);
    m_Input.erase(0, At + 2);
    return Line;
  }

  /// Reads \p Count bytes; fewer at the end of the stream.
  std::string bytes(std::size_t Count, Milliseconds Limit) {
    const auto End = Clock::now() + Limit;
    while (m_Input.size() < Count && receive(End)) {
    }
    const std::string Bytes = m_Input.substr(0, Count);
    m_Input.erase(0, Count);
    return Bytes;
  }

  /// Ends both directions, which wakes a thread that reads.
  void end() const { ::shutdown(m_Descriptor, SHUT_RDWR); }

private:
  bool receive(Clock::time_point End) {
    const auto Left =
        std::chrono::duration_cast<Milliseconds>(End - Clock::now()).count();
    pollfd Polled{m_Descriptor, POLLIN, 0};
    if (Left <= 0 || ::poll(&Polled, 1, static_cast<int>(Left)) <= 0)
      return false;
    char Buffer[16384];
    const ssize_t Count = ::recv(m_Descriptor, Buffer, sizeof Buffer, 0);
    if (Count <= 0)
      return false;
    m_Input.append(Buffer, static_cast<std::size_t>(Count));
    return true;
  }

  int m_Descriptor;    ///< The socket.
  std::string m_Input; ///< Received and not yet returned.
};

inline sockaddr_in socketAddress(const std::string &Address,
                                 std::uint16_t Port) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(Port);
  inet_pton(AF_INET, Address.c_str(), &Result.sin_addr);
  return Result;
}

/// Connects; null on failure.
inline std::shared_ptr<Connection> connectTo(const std::string &Address,
                                             std::uint16_t Port) {
  const int Descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in Target = socketAddress(Address, Port);
  if (::connect(Descriptor, reinterpret_cast<const sockaddr *>(&Target),
                sizeof Target) != 0) {
    ::close(Descriptor);
    return nullptr;
  }
  return std::make_shared<Connection>(Descriptor);
}

/// A listening socket.
class Listener final {
public:
  /// Takes a free port if \p Port is 0.
  explicit Listener(const std::string &Address, std::uint16_t Port = 0)
      : m_Descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const int On = 1;
    ::setsockopt(m_Descriptor, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
    sockaddr_in Own = socketAddress(Address, Port);
    socklen_t Size = sizeof Own;
    m_IsOpen = ::bind(m_Descriptor, reinterpret_cast<const sockaddr *>(&Own),
                      sizeof Own) == 0 &&
               ::listen(m_Descriptor, SOMAXCONN) == 0;
    ::getsockname(m_Descriptor, reinterpret_cast<sockaddr *>(&Own), &Size);
    m_Port = ntohs(Own.sin_port);
  }
  ~Listener() { ::close(m_Descriptor); }
  Listener(const Listener &) = delete;
  Listener &operator=(const Listener &) = delete;

  bool isOpen() const { return m_IsOpen; }
  std::uint16_t port() const { return m_Port; }
  /// Waits for the next connection; null once end() was called.
  std::shared_ptr<Connection> accept() const {
    const int Accepted =
        ::accept4(m_Descriptor, nullptr, nullptr, SOCK_CLOEXEC);
    return Accepted < 0 ? nullptr : std::make_shared<Connection>(Accepted);
  }
  void end() const { ::shutdown(m_Descriptor, SHUT_RDWR); }

private:
  int m_Descriptor;         ///< The socket.
  bool m_IsOpen = false;    ///< The address could be bound.
  std::uint16_t m_Port = 0; ///< The port in use.
};

/// An HTTP message without its headers.
struct HttpMessage final {
  std::string m_Start; ///< First line.
  std::string m_Body;  ///< Body.
};

/// Reads a request or a response; nothing if it does not come in full.
inline std::optional<HttpMessage> readHttp(Connection &From,
                                           Milliseconds Limit) {
  HttpMessage Message;
  const auto Start = From.line(Limit);
  if (!Start)
    return std::nullopt;
  Message.m_Start = *Start;
  std::size_t Length = 0;
  for (auto Line = From.line(Limit); Line != std::string();
       Line = From.line(Limit)) {
    if (!Line)
      return std::nullopt;
    constexpr std::string_view Name = "Content-Length: ";
    if (Line->starts_with(Name))
      Length = std::stoul(Line->substr(Name.size()));
  }
  Message.m_Body = From.bytes(Length, Limit);
  return Message;
}

/// Makes an HTTP call; the status, or 0 without an answer within a second.
inline int callHttp(const std::string &Address, std::uint16_t Port,
                    const std::string &Request, const std::string &Body,
                    std::string *Answer = nullptr) {
  const auto To = connectTo(Address, Port);
  if (To == nullptr)
    return 0;
  To->send(Request + " HTTP/1.1\r\nHost: " + Address +
           "\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(Body.size()) + "\r\n\r\n" + Body);
  const auto Message = readHttp(*To, Milliseconds(2000));
  constexpr std::size_t StatusAt = 9;
  if (!Message || Message->m_Start.size() < StatusAt + 3)
    return 0;
  if (Answer != nullptr)
    *Answer = Message->m_Body;
  return std::stoi(Message->m_Start.substr(StatusAt, 3));
}

} // namespace review

#endif // REVIEW_STANDINS_NET_H
