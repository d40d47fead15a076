#include "WireFixture.h"

#include "ragwortmux/Connection/ChooseGroupHosts.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <sstream>

namespace ragwortmux::platform {

namespace {

using namespace std::chrono_literals;

/// Number of entry hosts: one more than serve a group.
constexpr int EntryHosts = MaxGroupHostsPerDomain + 1;

HostId hostName(int Number) {
  return HostId("entry-" + std::to_string(Number));
}

/// Entry hosts that serve the group of the test, most preferred first.
std::vector<HostId> servingHosts() {
  std::vector<HomeCandidate> Hosts;
  for (int Number = 1; Number <= EntryHosts; ++Number)
    Hosts.push_back({hostName(Number), FailureDomainId("z")});
  return chooseGroupHosts(GroupId("svc"), FailureDomainId("z"), Hosts);
}

bool isServing(const HostId &Host) {
  const auto Hosts = servingHosts();
  return std::find(Hosts.begin(), Hosts.end(), Host) != Hosts.end();
}

/// Five entry hosts in one failure domain, one of which serves no group.
struct RelayFixture : WireFixture {
  RelayFixture() {
    for (int Number = 2; Number <= EntryHosts; ++Number) {
      const std::string Address = "127.0.0." + std::to_string(Number + 2);
      Host &Added = m_Hosts[hostName(Number)];
      Added.m_Address = Address;
      Added.m_CallerPort = findFreePort(Address);
      Added.m_HttpPort = findFreePort(Address);
      Added.m_MetricsPort = findFreePort(Address);
      Added.m_Process =
          start("entry", hostName(Number).value(), Address, Added.m_CallerPort,
                Added.m_HttpPort, Added.m_MetricsPort);
    }
    for (auto &[Name, Each] : m_Hosts) {
      if (!isServing(Name))
        m_Relaying = &Each;
    }
    // entry-1 is one of the hosts that serve the group.
    BOOST_REQUIRE(m_Relaying != nullptr);
    // Until the five hosts are known, each serves the group itself.
    BOOST_REQUIRE(waitUntil([&] {
      return m_Relaying->m_Process->errors().find("5 of them in this") !=
             std::string::npos;
    }));
    BOOST_REQUIRE(waitUntil([&] { return relaysReads(); }));
  }

  /// An entry host besides entry-1.
  struct Host final {
    std::string m_Address;
    std::uint16_t m_CallerPort = 0;
    std::uint16_t m_HttpPort = 0;
    std::uint16_t m_MetricsPort = 0;
    std::unique_ptr<ChildProcess> m_Process;
  };

  WireCaller connect() const {
    return {m_Relaying->m_CallerPort, "own", m_Relaying->m_Address};
  }

  /// Number of statements that the relaying host got successful answers to.
  double relayedAnswers() const {
    std::string Body;
    httpCall(m_Relaying->m_Address, m_Relaying->m_MetricsPort, "GET",
             "/metrics", "", &Body);
    const std::string Name = "ragwortmux_relayed_statements_total{decision="
                             "\"answered\",result=\"ok\"} ";
    const std::size_t At = Body.find(Name);
    return At == std::string::npos ? 0
                                   : std::stod(Body.substr(At + Name.size()));
  }

  /// True once a read was answered through another host.
  bool relaysReads() const {
    if (httpCall(m_Relaying->m_Address, m_Relaying->m_HttpPort, "GET", "/ready",
                 "") != 200)
      return false;
    const double Before = relayedAnswers();
    return connect().succeeds("READ a") && relayedAnswers() > Before;
  }

  /// What the relaying host has logged about relayed statements.
  std::string relayLog() const {
    std::istringstream Log(m_Relaying->m_Process->errors());
    std::string Found;
    for (std::string Line; std::getline(Log, Line);) {
      if (Line.find("relay") != std::string::npos)
        Found += Line + '\n';
    }
    return Found;
  }

  std::map<HostId, Host> m_Hosts;
  Host *m_Relaying = nullptr; ///< The host that serves no group.
};

bool isError(const std::vector<std::string> &Lines) {
  return Lines.size() == 2 && Lines[0].starts_with("ERROR") &&
         Lines[1].starts_with("READY I");
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(RelayEndToEndTest, RelayFixture)

BOOST_AUTO_TEST_CASE(SessionsAndTransactionsWorkThroughRelay) {
  const double Before = relayedAnswers();
  WireCaller First = connect();
  WireCaller Second = connect();
  for (const char *Value : {"one", "two", "three"}) {
    BOOST_TEST(First.succeeds("WRITE a " + std::string(Value)));
    BOOST_TEST(First.execute("READ a").front() == "ROW " + std::string(Value));
  }
  BOOST_TEST(relayedAnswers() == Before + 6);

  // Values and prepared statements of the session go with each statement.
  BOOST_TEST(First.succeeds("SET tenant 7"));
  BOOST_TEST(First.succeeds("PREPARE s1 WRITE shape"));
  BOOST_TEST(Second.succeeds("PREPARE s1 READ shape"));
  BOOST_TEST(First.succeeds("EXECUTE s1 b four"));
  BOOST_TEST(Second.execute("EXECUTE s1 b").front() == "ROW four");
  std::size_t WithTenant = 0;
  for (const auto &Server : m_Servers) {
    for (const std::string &Executed : Server->executedStatements())
      WithTenant += Executed.find("tenant=7") != std::string::npos ? 1 : 0;
  }
  BOOST_TEST(WithTenant == 1U);

  BOOST_TEST(First.execute("BEGIN").back().starts_with("READY T"));
  BOOST_TEST(First.succeeds("WRITE c five"));
  BOOST_TEST(First.execute("READ c").front() == "ROW five");
  BOOST_TEST(Second.execute("READ c").front() == "ROW ");
  BOOST_TEST(First.execute("COMMIT").back().starts_with("READY I"));
  BOOST_TEST(Second.execute("READ c").front() == "ROW five");
  BOOST_TEST(First.succeeds("BEGIN"));
  BOOST_TEST(First.succeeds("WRITE c six"));
  BOOST_TEST(First.succeeds("ROLLBACK"));
  BOOST_TEST(First.execute("READ c").front() == "ROW five");
  // A transaction ends with its caller.
  BOOST_TEST(Second.succeeds("BEGIN"));
  BOOST_TEST(Second.succeeds("WRITE c seven"));
  Second.m_Socket->close();
  BOOST_TEST(First.succeeds("WRITE d eight"));
  BOOST_TEST(First.execute("READ c").front() == "ROW five");
}

BOOST_DATA_TEST_CASE_F(RelayFixture, FailedServingHostLeavesNoCallerUnanswered,
                       boost::unit_test::data::make({false, true}), IsKilled) {
  // Successive callers are spread over all hosts that serve the group.
  constexpr std::size_t CallerCount = 2 * MaxGroupHostsPerDomain;
  std::vector<WireCaller> Callers;
  Callers.reserve(CallerCount);
  for (std::size_t Count = 0; Count < CallerCount; ++Count) {
    Callers.push_back(connect());
    BOOST_REQUIRE(Callers.back().succeeds("BEGIN"));
    BOOST_REQUIRE(
        Callers.back().succeeds("WRITE e" + std::to_string(Count) + " one"));
  }
  const auto Failing =
      std::find_if(m_Hosts.begin(), m_Hosts.end(), [&](const auto &Each) {
        return &Each.second != m_Relaying;
      });
  ChildProcess &Process = *Failing->second.m_Process;
  IsKilled ? Process.kill() : Process.stop();
  std::size_t Failed = 0;
  for (WireCaller &Each : Callers) {
    const auto Lines = Each.execute("WRITE f two");
    Failed += isError(Lines) ? 1 : 0;
    BOOST_TEST((isError(Lines) || Lines.back().starts_with("READY T")));
  }
  BOOST_TEST(Failed >= 1U);
  BOOST_TEST(Failed <= 3U);
  for (WireCaller &Each : Callers) {
    BOOST_TEST(Each.execute("ROLLBACK").back().starts_with("READY I"));
    BOOST_TEST(Each.succeeds("WRITE g three"));
  }
}

BOOST_AUTO_TEST_CASE(LeavingServingHostRefusesNoRelayedStatement) {
  constexpr std::size_t CallerCount = 2 * MaxGroupHostsPerDomain;
  std::vector<WireCaller> Open;
  std::vector<WireCaller> Idle;
  Open.reserve(CallerCount);
  Idle.reserve(CallerCount);
  for (std::size_t Count = 0; Count < CallerCount; ++Count) {
    Open.push_back(connect());
    BOOST_REQUIRE(Open.back().succeeds("BEGIN"));
    Idle.push_back(connect());
  }
  const auto Leaving =
      std::find_if(m_Hosts.begin(), m_Hosts.end(), [&](const auto &Each) {
        return &Each.second != m_Relaying;
      });
  Leaving->second.m_Process->terminate();
  for (std::size_t Count = 0; Count < CallerCount; ++Count) {
    const std::string Item = "h" + std::to_string(Count);
    BOOST_TEST(Open[Count].succeeds("WRITE " + Item + " one"));
    BOOST_TEST(Idle[Count].succeeds("WRITE i" + std::to_string(Count) + " one"),
               Idle[Count].m_LastAnswer << '\n'
                                        << relayLog());
    BOOST_TEST(Open[Count].succeeds("COMMIT"));
    BOOST_TEST(Idle[Count].execute("READ " + Item).front() == "ROW one");
  }
  BOOST_TEST(Leaving->second.m_Process->waitForExit(6s).has_value());
  for (WireCaller &Each : Open)
    BOOST_TEST(Each.succeeds("WRITE g three"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ragwortmux::platform
