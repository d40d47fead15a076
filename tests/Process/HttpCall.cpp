#include "HttpCall.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdlib>

namespace ragwortmux {

namespace {

/// True if \p Input is a complete answer, by its Content-Length.
bool isComplete(const std::string &Input) {
  const std::string Field = "Content-Length: ";
  const std::size_t HeadEnd = Input.find("\r\n\r\n");
  const std::size_t Length = Input.find(Field);
  if (HeadEnd == std::string::npos || Length > HeadEnd) {
    return false;
  }
  const long Bytes = std::atol(Input.c_str() + Length + Field.size());
  return Input.size() >= HeadEnd + 4 + static_cast<std::size_t>(Bytes);
}

} // namespace

HttpAnswer httpCall(std::uint16_t Port, const std::string &Method,
                    const std::string &Path, const std::string &Body,
                    const std::string &Token) {
  HttpAnswer Answer;
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval ReceiveTimeout{5, 0};
  setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &ReceiveTimeout,
             sizeof ReceiveTimeout);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  std::string Input;
  if (connect(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof Address) ==
      0) {
    const std::string Request =
        Method + " " + Path + " HTTP/1.1\r\nHost: 127.0.0.1\r\n" +
        "Authorization: Bearer " + Token + "\r\nConnection: close\r\n" +
        "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
    send(Socket, Request.data(), Request.size(), MSG_NOSIGNAL);
    std::array<char, 65536> Buffer{};
    ssize_t Count = 0;
    while (!isComplete(Input) &&
           (Count = recv(Socket, Buffer.data(), Buffer.size(), 0)) > 0) {
      Input.append(Buffer.data(), static_cast<std::size_t>(Count));
    }
  }
  close(Socket);
  constexpr std::size_t StatusOffset = 9;
  if (Input.size() > StatusOffset) {
    Answer.m_Status = std::atoi(Input.c_str() + StatusOffset);
  }
  const std::size_t End = Input.find("\r\n\r\n");
  if (End != std::string::npos) {
    Answer.m_Body = Input.substr(End + 4);
  }
  return Answer;
}

} // namespace ragwortmux
