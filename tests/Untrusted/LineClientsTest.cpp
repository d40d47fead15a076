#include "HostileCrowd.h"

#include "tests/Platform/WireFixture.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace ragwortmux;
using namespace std::chrono_literals;

namespace {

/// Size of the crowd; fixed before the limits were built.
constexpr std::size_t CrowdSize = 48;
/// Allowed growth of the memory of the process. Without limits the crowd makes
/// it grow by more than the 43 MB that it sends.
constexpr std::uint64_t MaxGrowthKb = 24U << 10U;
/// Descriptors that the process may have open in addition to those before a
/// crowd that has not finished a message came: 8 callers that have not
/// completed their startup, 16 HTTP connections, or new connections to servers.
constexpr std::size_t MaxMoreDescriptors = 24;
/// Connections to servers that the crowd's statements may cause.
constexpr std::size_t MaxServerConnections = 64;
/// A statement within the limit of 1 MiB.
constexpr std::size_t LargeBytes = 900'000;

const std::string Startup = "STARTUP booking u1\r\n";

/// What a crowd does at the line protocol, and how long it sends.
struct Case final {
  const char *m_Name;      ///< For the test's name.
  CrowdPlan m_Plan;        ///< What it does.
  bool m_IsExpectedClosed; ///< Most of the crowd must be closed.
};

std::ostream &operator<<(std::ostream &Stream, const Case &Current) {
  return Stream << Current.m_Name;
}

CrowdPlan makePlan(const std::string &Greeting, const std::string &Message) {
  CrowdPlan Plan;
  Plan.m_Address = "127.0.0.2";
  Plan.m_Connections = CrowdSize;
  Plan.m_Greeting = Greeting;
  Plan.m_Message = Message;
  return Plan;
}

std::vector<Case> makeCases() {
  const std::string Large(LargeBytes, 'x');
  const std::string LargeQuery = "QUERY q1 WRITE a " + Large + "\r\n";
  std::vector<Case> Cases;
  Cases.push_back({"large messages", makePlan(Startup, LargeQuery), false});
  Cases.back().m_Plan.m_Repeats = 3;
  Cases.push_back(
      {"large messages in pieces", makePlan(Startup, LargeQuery), false});
  Cases.back().m_Plan.m_PieceBytes = 16'000;
  Cases.push_back({"large messages without their end",
                   makePlan(Startup, LargeQuery.substr(0, LargeBytes)), true});
  Cases.push_back({"messages far over the limit",
                   makePlan(Startup, std::string(std::size_t{8} << 20U, 'x')),
                   true});
  Cases.push_back({"no startup but bytes",
                   makePlan("", std::string(std::size_t{8} << 20U, 'x')),
                   true});
  Cases.push_back({"statements sent ahead, answers not read",
                   makePlan(Startup, "QUERY q1 READ a\r\n"), false});
  Cases.back().m_Plan.m_Repeats = 20'000;
  Cases.back().m_Plan.m_IsReading = false;
  std::string Malformed;
  for (unsigned Count = 0; Count < 100'000; ++Count) {
    Malformed += "X\r\n";
  }
  Cases.push_back({"malformed messages, answers not read",
                   makePlan(Startup, Malformed), true});
  Cases.back().m_Plan.m_IsReading = false;
  std::string Prepared;
  for (unsigned Count = 0; Count < 50; ++Count) {
    Prepared += "QUERY q1 PREPARE s" + std::to_string(Count) + " READ " +
                Large.substr(0, 100'000) + "\r\n";
  }
  Cases.push_back(
      {"prepared statements without end", makePlan(Startup, Prepared), false});
  Cases.push_back({"messages sent slowly",
                   makePlan(Startup, "QUERY q1 READ " + Large), true});
  Cases.back().m_Plan.m_PieceBytes = 1;
  Cases.back().m_Plan.m_Pause = 200ms;
  Cases.push_back({"stop in a message", makePlan(Startup, "QUERY q1"), true});
  Cases.push_back({"stop in the startup", makePlan("STARTUP bo", ""), true});
  Cases.push_back({"never start up", makePlan("", ""), true});
  return Cases;
}

} // namespace

BOOST_AUTO_TEST_SUITE(LineClientsTest)

// Guards against clients of the line protocol that exhaust the memory or the
// descriptors of an entry process.
BOOST_DATA_TEST_CASE(CrowdStaysWithinBounds,
                     boost::unit_test::data::make(makeCases()), Current) {
  setLowLimits();
  platform::WireFixture Fixture;
  const pid_t Entry = Fixture.m_Entry->processId();
  const std::uint64_t MemoryBefore = residentMemoryKb(Entry);
  const std::size_t DescriptorsBefore = openDescriptors(Entry);
  {
    CrowdPlan Plan = Current.m_Plan;
    Plan.m_Port = Fixture.m_CallerPort;
    HostileCrowd Crowd(Plan);
    Crowd.run(4s);
    BOOST_TEST(openDescriptors(Entry) <=
               DescriptorsBefore + CrowdSize + MaxServerConnections);
    if (Current.m_IsExpectedClosed) {
      const bool AreClosed = platform::waitUntil([&] {
        Crowd.run(20ms);
        return openDescriptors(Entry) <= DescriptorsBefore + MaxMoreDescriptors;
      });
      BOOST_TEST(AreClosed);
    }
  }
  BOOST_REQUIRE(Fixture.m_Entry->isRunning());
  const std::uint64_t Peak = peakMemoryKb(Entry);
  BOOST_TEST_MESSAGE(Current << ": memory " << MemoryBefore << " KiB, peak "
                             << Peak << " KiB, descriptors "
                             << DescriptorsBefore << ", now "
                             << openDescriptors(Entry));
  BOOST_TEST(Peak < MemoryBefore + MaxGrowthKb);
  BOOST_TEST(platform::waitUntil([&] {
    platform::WireCaller Caller(Fixture.m_CallerPort, "booking");
    return Caller.succeeds("READ a");
  }));
}

// Guards against clients that exhaust the memory of a control process through
// the port of configurations and heartbeats.
BOOST_AUTO_TEST_CASE(LargeConfigurationsStayWithinBounds) {
  setLowLimits();
  platform::WireFixture Fixture;
  const pid_t Control = Fixture.m_Control->processId();
  const std::uint64_t MemoryBefore = residentMemoryKb(Control);
  const std::size_t DescriptorsBefore = openDescriptors(Control);
  {
    CrowdPlan Plan = makePlan("POST /config/replace HTTP/1.1\r\nHost: x\r\n"
                              "Content-Length: 2000000\r\n\r\n",
                              std::string(1'900'000, '['));
    Plan.m_Address = "127.0.0.1";
    Plan.m_Port = Fixture.m_ControlPort;
    HostileCrowd Crowd(Plan);
    Crowd.run(4s);
    BOOST_TEST(platform::waitUntil([&] {
      Crowd.run(20ms);
      return openDescriptors(Control) <= DescriptorsBefore + MaxMoreDescriptors;
    }));
  }
  BOOST_REQUIRE(Fixture.m_Control->isRunning());
  const std::uint64_t Peak = peakMemoryKb(Control);
  BOOST_TEST_MESSAGE("memory " << MemoryBefore << " KiB, peak " << Peak
                               << " KiB");
  BOOST_TEST(Peak < MemoryBefore + MaxGrowthKb);
  BOOST_TEST(platform::waitUntil([&] { return Fixture.replace(2) == 200; }));
}

// Guards against limits that refuse a message of the largest legal size.
BOOST_AUTO_TEST_CASE(LargeMessageIsServedInCalm) {
  setLowLimits();
  platform::WireFixture Fixture;
  platform::WireCaller Caller(Fixture.m_CallerPort, "booking");
  const std::string Value((std::size_t{1} << 20U) - 64, 'v');
  BOOST_TEST(Caller.succeeds("WRITE a " + Value));
  const auto Lines = Caller.execute("READ a");
  BOOST_REQUIRE(!Lines.empty());
  BOOST_TEST((Lines.front() == "ROW " + Value));
}

// Guards against limits that refuse clients which send statements ahead and
// read their answers.
BOOST_AUTO_TEST_CASE(StatementsSentAheadAreAnsweredWhenRead) {
  setLowLimits();
  platform::WireFixture Fixture;
  platform::WireCaller Caller(Fixture.m_CallerPort, "booking");
  constexpr unsigned Statements = 48;
  std::string Text;
  for (unsigned Index = 0; Index < Statements; ++Index) {
    Text += "QUERY p" + std::to_string(Index) + " READ a\r\n";
  }
  Caller.m_Socket->write(Text);
  unsigned Answered = 0;
  for (auto Line = Caller.m_Socket->readLine(); Line;
       Line = Caller.m_Socket->readLine()) {
    Answered += Line->starts_with("READY") ? 1 : 0;
    if (Answered == Statements) {
      break;
    }
  }
  BOOST_TEST(Answered == Statements);
}

BOOST_AUTO_TEST_SUITE_END()
