#include "bench/Measure/HttpCall.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <string_view>

namespace ragwortmux {

namespace {

constexpr timeval Timeout = {6, 0};
constexpr std::size_t StatusOffset = 9; // After "HTTP/1.1 ".
constexpr std::size_t MinHeadBytes = 12;

/// True if the text contains the head and a body of its Content-Length.
bool isComplete(const std::string &Text) {
  constexpr std::string_view LengthField = "Content-Length: ";
  const std::size_t Head = Text.find("\r\n\r\n");
  const std::size_t Field = Text.find(LengthField);
  if (Head == std::string::npos || Field == std::string::npos || Field > Head) {
    return false;
  }
  const std::size_t Length =
      std::strtoul(Text.c_str() + Field + LengthField.size(), nullptr, 10);
  return Text.size() >= Head + 4 + Length;
}

std::string exchange(int Socket, const std::string &Request) {
  if (send(Socket, Request.data(), Request.size(), MSG_NOSIGNAL) !=
      static_cast<ssize_t>(Request.size())) {
    return {};
  }
  std::string Text;
  std::array<char, 4096> Block;
  for (ssize_t Count = 1; Count > 0 && !isComplete(Text);) {
    Count = recv(Socket, Block.data(), Block.size(), 0);
    Text.append(Block.data(), static_cast<std::size_t>(Count > 0 ? Count : 0));
  }
  return Text;
}

std::string requestText(const HttpCall &Call) {
  std::string Text = Call.m_Method + " " + Call.m_Path +
                     " HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\n" +
                     "Content-Length: " + std::to_string(Call.m_Body.size()) +
                     "\r\n";
  if (!Call.m_Token.empty()) {
    Text += "Authorization: Bearer " + Call.m_Token + "\r\n";
  }
  return Text + "\r\n" + Call.m_Body;
}

} // namespace

HttpAnswer callHttp(const HttpCall &Call) {
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Timeout, sizeof(Timeout));
  setsockopt(Socket, SOL_SOCKET, SO_SNDTIMEO, &Timeout, sizeof(Timeout));
  sockaddr_in Address = {};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Call.m_Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  std::string Text;
  if (connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
              sizeof(Address)) == 0) {
    Text = exchange(Socket, requestText(Call));
  }
  close(Socket);
  HttpAnswer Answer;
  const std::size_t Body = Text.find("\r\n\r\n");
  if (Text.size() < MinHeadBytes || Body == std::string::npos) {
    return Answer;
  }
  Answer.m_Status = static_cast<unsigned>(
      std::strtoul(Text.c_str() + StatusOffset, nullptr, 10));
  Answer.m_Body = Text.substr(Body + 4);
  return Answer;
}

} // namespace ragwortmux
