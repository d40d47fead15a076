#include "Socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <string_view>

namespace ragwortmux::platform {

namespace {

constexpr int Backlog = 64;
/// Ends a line; neither byte does alone.
constexpr std::string_view LineEnd = "\r\n";
constexpr timeval SocketTimeout{5, 0};

sockaddr_in toSocketAddress(const std::string &Address, std::uint16_t Port) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(Port);
  inet_pton(AF_INET, Address.c_str(), &Result.sin_addr);
  return Result;
}

int openSocket() {
  const int Descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt(Descriptor, SOL_SOCKET, SO_RCVTIMEO, &SocketTimeout,
             sizeof SocketTimeout);
  setsockopt(Descriptor, SOL_SOCKET, SO_SNDTIMEO, &SocketTimeout,
             sizeof SocketTimeout);
  return Descriptor;
}

} // namespace

std::shared_ptr<Socket> Socket::connect(const std::string &Address,
                                        std::uint16_t Port) {
  auto Opened = std::make_shared<Socket>(openSocket());
  const sockaddr_in Endpoint = toSocketAddress(Address, Port);
  if (::connect(Opened->m_Descriptor,
                reinterpret_cast<const sockaddr *>(&Endpoint),
                sizeof Endpoint) != 0)
    return nullptr;
  return Opened;
}

std::shared_ptr<Socket> Socket::listen(const std::string &Address) {
  auto Opened = std::make_shared<Socket>(
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in Endpoint = toSocketAddress(Address, 0);
  if (::bind(Opened->m_Descriptor,
             reinterpret_cast<const sockaddr *>(&Endpoint),
             sizeof Endpoint) != 0 ||
      ::listen(Opened->m_Descriptor, Backlog) != 0)
    return nullptr;
  return Opened;
}

std::shared_ptr<Socket> Socket::accept() const {
  const int Descriptor =
      ::accept4(m_Descriptor, nullptr, nullptr, SOCK_CLOEXEC);
  return Descriptor < 0 ? nullptr : std::make_shared<Socket>(Descriptor);
}

std::uint16_t Socket::port() const {
  sockaddr_in Endpoint{};
  socklen_t Size = sizeof Endpoint;
  getsockname(m_Descriptor, reinterpret_cast<sockaddr *>(&Endpoint), &Size);
  return ntohs(Endpoint.sin_port);
}

bool Socket::write(const std::string &Text) const {
  std::size_t Sent = 0;
  while (Sent < Text.size()) {
    const ssize_t Count = ::send(m_Descriptor, Text.data() + Sent,
                                 Text.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Sent += static_cast<std::size_t>(Count);
  }
  return true;
}

bool Socket::receive() {
  char Buffer[4096];
  const ssize_t Count = ::recv(m_Descriptor, Buffer, sizeof Buffer, 0);
  if (Count <= 0)
    return false;
  m_Input.append(Buffer, static_cast<std::size_t>(Count));
  return true;
}

std::optional<std::string> Socket::readLine() {
  for (;;) {
    const std::size_t End = m_Input.find(LineEnd);
    if (End != std::string::npos) {
      std::string Line = m_Input.substr(0, End);
      m_Input.erase(0, End + LineEnd.size());
      return Line;
    }
    if (!receive())
      return std::nullopt;
  }
}

std::string Socket::readBytes(std::size_t Count) {
  while (m_Input.size() < Count && receive()) {
  }
  std::string Bytes = m_Input.substr(0, Count);
  m_Input.erase(0, Bytes.size());
  return Bytes;
}

void Socket::shutdown() const { ::shutdown(m_Descriptor, SHUT_RDWR); }

void Socket::close() {
  if (m_Descriptor >= 0)
    ::close(m_Descriptor);
  m_Descriptor = -1;
}

void Socket::reset() {
  const linger ResetOnClose{1, 0};
  setsockopt(m_Descriptor, SOL_SOCKET, SO_LINGER, &ResetOnClose,
             sizeof ResetOnClose);
  close();
}

std::uint16_t findFreePort(const std::string &Address) {
  return Socket::listen(Address)->port();
}

int httpCall(const std::string &Address, std::uint16_t Port,
             const std::string &Method, const std::string &Path,
             const std::string &Body, std::string *Answer) {
  const auto Connection = Socket::connect(Address, Port);
  if (Connection == nullptr)
    return 0;
  Connection->write(Method + " " + Path + " HTTP/1.1\r\nHost: x\r\n" +
                    "Content-Type: application/json\r\nContent-Length: " +
                    std::to_string(Body.size()) + "\r\n\r\n" + Body);
  const auto Status = Connection->readLine();
  if (!Status || Status->size() < 12)
    return 0;
  std::size_t Length = 0;
  for (auto Line = Connection->readLine(); Line && !Line->empty();
       Line = Connection->readLine()) {
    std::string Lower = *Line;
    std::transform(Lower.begin(), Lower.end(), Lower.begin(), ::tolower);
    if (Lower.starts_with("content-length:"))
      Length = std::stoul(Lower.substr(15));
  }
  const std::string Bytes = Connection->readBytes(Length);
  if (Answer != nullptr)
    *Answer = Bytes;
  return std::stoi(Status->substr(9, 3));
}

} // namespace ragwortmux::platform
