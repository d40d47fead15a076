#include "tests/StandIn/ChildProcess.h"
#include "tests/StandIn/PgClient.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>

#include <array>

using namespace ragwortmux;

namespace {

/// Minimal HTTP endpoint of an entry host that receives announcements.
class FakeEntryHost final {
public:
  FakeEntryHost() : m_Socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in Address = {};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto *const SocketAddress = reinterpret_cast<sockaddr *>(&Address);
    socklen_t Size = sizeof(Address);
    BOOST_REQUIRE(bind(m_Socket, SocketAddress, Size) == 0);
    BOOST_REQUIRE(listen(m_Socket, 8) == 0);
    BOOST_REQUIRE(getsockname(m_Socket, SocketAddress, &Size) == 0);
    m_Name = "127.0.0.1:" + std::to_string(ntohs(Address.sin_port));
  }
  FakeEntryHost(const FakeEntryHost &) = delete;
  FakeEntryHost &operator=(const FakeEntryHost &) = delete;
  ~FakeEntryHost() { close(m_Socket); }

  const std::string &name() const { return m_Name; }

  /// Accepts one connection, reads one request and answers with \p Status, or
  /// closes the connection without an answer if it is empty. Returns the
  /// request; empty if none arrived in time.
  std::string answerOneRequest(const std::string &Status) const {
    pollfd Poll{m_Socket, POLLIN, 0};
    if (poll(&Poll, 1, TimeoutMs) <= 0) {
      return "";
    }
    const int Connection = accept(m_Socket, nullptr, nullptr);
    std::string Request;
    std::array<char, 4096> Block;
    while (Request.find('}') == std::string::npos) {
      const ssize_t Count = recv(Connection, Block.data(), Block.size(), 0);
      if (Count <= 0) {
        break;
      }
      Request.append(Block.data(), static_cast<std::size_t>(Count));
    }
    if (!Status.empty()) {
      const std::string Answer = "HTTP/1.1 " + Status +
                                 "\r\nContent-Length: 0\r\n"
                                 "Connection: close\r\n\r\n";
      send(Connection, Answer.data(), Answer.size(), MSG_NOSIGNAL);
    }
    close(Connection);
    return Request;
  }

private:
  static constexpr int TimeoutMs = 5000; ///< Maximum wait for a connection.

  int m_Socket;       ///< Listening socket.
  std::string m_Name; ///< HOST:PORT.
};

ChildProcessSettings announcerSettings(const std::string &Hosts) {
  return {std::string(RAGWORTMUX_BINARY_DIR) + "/standin-backend",
          {"--group=g", "--server=s1", "--domain=north", "--start_as_primary",
           "--initial_term=4", "--announce_interval_ms=20", "--slots=3",
           "--max_lifetime_s=60", "--announce_to=" + Hosts},
          {}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(StandInAnnouncerTest)

BOOST_AUTO_TEST_CASE(AnnouncesStateAndItsChanges) {
  const FakeEntryHost Host;
  ChildProcess Process(announcerSettings(Host.name()));
  BOOST_REQUIRE(Process.start());
  const auto Port = Process.waitForPort();
  BOOST_REQUIRE(Port.has_value());
  const std::string Request = Host.answerOneRequest("200 OK");
  BOOST_TEST(Request.starts_with("POST /v1/announce HTTP/1.1\r\n"));
  const std::string Json =
      Request.substr(std::min(Request.size(), Request.find("\r\n\r\n") + 4));
  BOOST_TEST(Json == R"({"group":"g","server":"s1","domain":"north",)"
                     R"("address":"127.0.0.1","port":)" +
                         std::to_string(*Port) +
                         R"(,"role":"primary","term":4,"position":0,"slots":3,)"
                         R"("connections":35,"leaving":false})");

  PgClient Control(*Port);
  BOOST_REQUIRE(Control.connect());
  BOOST_TEST(Control.query("INSERT INTO t VALUES ('a','1')").m_Ok);
  BOOST_TEST(Control.query("SELECT standin_fault('leave','1')").m_Ok);
  BOOST_TEST(waitUntil([&] {
    const std::string Next = Host.answerOneRequest("200 OK");
    return Next.find(R"("position":1,)") != std::string::npos &&
           Next.find(R"("leaving":true)") != std::string::npos;
  }));
}

BOOST_AUTO_TEST_CASE(SwitchesToNextHostAfterFailure) {
  const FakeEntryHost Refusing;
  const FakeEntryHost Silent;
  const FakeEntryHost Answering;
  ChildProcess Process(announcerSettings(Refusing.name() + "," + Silent.name() +
                                         "," + Answering.name()));
  BOOST_REQUIRE(Process.start());
  BOOST_TEST(Refusing.answerOneRequest("503 Busy") != "");
  // The second host's connections stay in its backlog and are never answered.
  BOOST_TEST(Answering.answerOneRequest("200 OK") != "");
  BOOST_TEST(Answering.answerOneRequest("200 OK") != "");
  // A connection closed without an answer also counts as a failure.
  BOOST_TEST(Answering.answerOneRequest("") != "");
  BOOST_TEST(Refusing.answerOneRequest("200 OK") != "");
}

BOOST_AUTO_TEST_SUITE_END()
