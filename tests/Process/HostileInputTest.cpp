#include "CallerLoad.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <fstream>
#include <ostream>
#include <random>
#include <string>
#include <vector>

using namespace ragwortmux;

namespace {

constexpr unsigned MessageCount = 10000;
constexpr unsigned MessagesPerConnection = 20;
/// Number of connections that are open at the same time.
constexpr std::size_t OpenConnections = 200;
/// Allowed growth of the resident memory of the process.
constexpr std::uint64_t MaxGrowthKb = 64U << 10U;

using RandomEngine = std::mt19937_64;

std::uint64_t randomBelow(RandomEngine &Numbers, std::uint64_t Bound) {
  return Numbers() % Bound;
}

/// Encodes a PostgreSQL message with its length; type 0 adds no type byte.
std::string pgMessage(char Type, const std::string &Body) {
  const auto Length = htonl(static_cast<std::uint32_t>(Body.size() + 4));
  std::string Bytes(Type == 0 ? 0 : 1, Type);
  Bytes.append(reinterpret_cast<const char *>(&Length), sizeof Length);
  return Bytes + Body;
}

using namespace std::string_literals;

struct AttackedPort final {
  const char *m_Name;                               ///< Users of the port.
  std::uint16_t (Cluster::*m_Port)(unsigned) const; ///< Returns the port.
  std::uint64_t m_Seed;                             ///< Seed of the mutations.
  std::vector<std::string> m_ValidMessages;         ///< Messages to mutate.
};

std::ostream &operator<<(std::ostream &Stream, const AttackedPort &Case) {
  return Stream << Case.m_Name << ", seed " << Case.m_Seed;
}

const std::vector<AttackedPort> Ports = {
    {"callers",
     &Cluster::callerPort,
     20261201,
     {pgMessage(0, "\0\3\0\0user\0u\0database\0stock\0\0"s),
      pgMessage('Q', "SELECT 'intruder'\0"s),
      pgMessage('Q', "SET ragwortmux.token = 'x'\0"s),
      pgMessage('P', "name\0SELECT 1\0\0\0"s), pgMessage('S', ""),
      pgMessage('X', ""), pgMessage(0, "\4\322\26\56\0\0\0\1\0\0\0\2"s),
      pgMessage(0, "\4\322\26\57"s)}},
    {"HTTP",
     &Cluster::httpPort,
     20261202,
     {"GET /v1/status HTTP/1.1\r\nHost: x\r\n\r\n",
      "PUT /v1/catalogue/stock?expect_revision=0&change_id=x HTTP/1.1\r\n"
      "Authorization: Bearer x\r\nContent-Length: "
      "17\r\n\r\n{\"name\":\"stock\"}",
      "POST /v1/announce HTTP/1.1\r\nContent-Length: 999999999\r\n\r\n{\"gr",
      "POST /v1/announce HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
      "ffffffffff\r\n[[[[[["}},
    {"RPC",
     &Cluster::rpcPort,
     20261203,
     {"\0\0\0\0\4\0\0\0\0\0\0\0\1\0\1\0\10\0\0\0\0\0\0\0"s +
          std::string(16, '\0'),
      "\377\377\0\0\377\377\377\177"s + std::string(64, '\1'),
      "\0\0\0\0\2\0\0\0\0\0\0\0\3\0\1\0\377\377\377\177\377\377\377\177"s}}};

/// Returns a valid message unchanged, truncated or with three random bytes, or
/// only random bytes.
std::string mutateMessage(const AttackedPort &Case, RandomEngine &Numbers) {
  std::string Bytes =
      Case.m_ValidMessages[randomBelow(Numbers, Case.m_ValidMessages.size())];
  switch (randomBelow(Numbers, 4)) {
  case 0:
    return Bytes;
  case 1:
    return Bytes.substr(0, randomBelow(Numbers, Bytes.size() + 1));
  case 2:
    for (unsigned Count = 0; Count < 3; ++Count) {
      Bytes[randomBelow(Numbers, Bytes.size())] = static_cast<char>(Numbers());
    }
    return Bytes;
  default:
    Bytes.resize(randomBelow(Numbers, 400));
    for (char &Byte : Bytes) {
      Byte = static_cast<char>(Numbers());
    }
    return Bytes;
  }
}

int connectTo(std::uint16_t Port) {
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  // A refused connection is detected by the first send().
  static_cast<void>(
      connect(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof Address));
  return Socket;
}

/// Sends MessageCount mutated messages. Each connection carries
/// MessagesPerConnection of them and is closed when its slot is used again.
void sendMutatedMessages(const AttackedPort &Case, std::uint16_t Port) {
  RandomEngine Numbers(Case.m_Seed);
  std::vector<int> Sockets(OpenConnections, -1);
  for (unsigned Sent = 0; Sent < MessageCount;) {
    int &Socket = Sockets[Sent / MessagesPerConnection % OpenConnections];
    if (Socket >= 0) {
      close(Socket);
    }
    Socket = connectTo(Port);
    for (unsigned Count = 0; Count < MessagesPerConnection; ++Count, ++Sent) {
      const std::string Bytes = mutateMessage(Case, Numbers);
      if (send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL) < 0) {
        // The host has closed the connection; the rest uses a new one.
        close(Socket);
        Socket = connectTo(Port);
      }
    }
  }
  for (const int Socket : Sockets) {
    close(Socket);
  }
}

/// Returns the resident memory of a process, in KiB.
std::uint64_t residentKb(pid_t Process) {
  std::ifstream Status("/proc/" + std::to_string(Process) + "/status");
  const std::string Field = "VmRSS:";
  for (std::string Line; std::getline(Status, Line);) {
    if (Line.starts_with(Field)) {
      return std::stoull(Line.substr(Field.size()));
    }
  }
  return 0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(HostileInputTest)

BOOST_DATA_TEST_CASE(MutatedMessagesDoNotAffectOtherCallers,
                     boost::unit_test::data::make(Ports), Case) {
  Cluster System;
  BOOST_REQUIRE(System.start());
  // Both callers book and read through the host that gets the messages.
  CallerLoad Load(System, {0, 0});
  BOOST_REQUIRE(waitUntil([&] { return Load.completedBookings() > 20; }));
  const std::uint64_t MemoryBeforeKb = residentKb(System.host(0).processId());
  sendMutatedMessages(Case, (System.*Case.m_Port)(0));
  const unsigned CompletedBefore = Load.completedBookings();
  BOOST_TEST(waitUntil(
      [&] { return Load.completedBookings() > CompletedBefore + 20; }));
  Load.stop();
  BOOST_TEST(Load.observedErrors() == "");
  BOOST_REQUIRE(System.host(0).isRunning());
  BOOST_TEST(residentKb(System.host(0).processId()) <
             MemoryBeforeKb + MaxGrowthKb);
  for (const char *Path : {"/healthz", "/readyz"}) {
    BOOST_TEST(httpCall(System.httpPort(0), "GET", Path).m_Status == 200);
  }
}

BOOST_AUTO_TEST_SUITE_END()
