#include "WireFixture.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cmath>
#include <thread>

namespace ragwortmux::platform {

namespace {

using namespace std::chrono_literals;

constexpr double Rate = 20;
constexpr double Burst = 5;
constexpr double Window = 2;
constexpr double Overage = 0.1;
constexpr double Slack = 5;

/// A control process that enforces limits, and a tenant that has one; callers
/// use its key.
struct LimitFixture : WireFixture {
  LimitFixture()
      : WireFixture(
            {"--quota_window_s=2", "--quota_overage=0.1", "--quota_slack=5"}) {
    std::string Body = configuration(2);
    Body.pop_back();
    Body += R"(,"tenants":[{"name":"w1","apiKeys":["u1"],"priority":0,)"
            R"("ratePerS":20,"burst":5}]})";
    BOOST_REQUIRE(replace(2, Body) == 200);
    BOOST_REQUIRE(waitUntil([&] {
      WireCaller Probe(m_CallerPort, "booking");
      return Probe.succeeds("READ a");
    }));
  }

  /// Sends statements for \p Length; returns the number of those that were
  /// refused because of the limit.
  std::size_t runFor(std::chrono::milliseconds Length) {
    WireCaller Caller(m_CallerPort, "booking");
    std::size_t Refused = 0;
    const auto End = std::chrono::steady_clock::now() + Length;
    while (std::chrono::steady_clock::now() < End) {
      if (!Caller.succeeds("READ a") && isRefusal(Caller.m_LastAnswer))
        ++Refused;
      std::this_thread::sleep_for(2ms);
    }
    return Refused;
  }
  static bool isRefusal(const std::string &Answer) {
    return Answer.starts_with("ERROR BUSY 119 ");
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(WorkspaceLimitTest, LimitFixture)

// Guards against limits that real processes do not enforce, and against an
// entry process that goes on without permits when control is unreachable.
BOOST_AUTO_TEST_CASE(LimitHoldsAlsoWithoutControl) {
  const auto Start = std::chrono::steady_clock::now();
  const std::size_t Before = countExecuted("");
  BOOST_TEST(runFor(4s) > 0U);
  const std::size_t Executed = countExecuted("") - Before;
  const double Seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - Start)
          .count();
  const double Windows = std::ceil(Seconds / Window);
  BOOST_TEST(Executed > 0U);
  BOOST_TEST(static_cast<double>(Executed) <=
             Windows * ((1 + Overage) * (Rate * Window + Burst) + Slack));

  m_Control->stop();
  WireCaller Caller(m_CallerPort, "own");
  BOOST_TEST(waitUntil([&] {
    Caller.succeeds("READ a");
    return Caller.m_LastAnswer.starts_with("ERROR BUSY 107 ");
  }));
  const std::size_t WithoutControl = countExecuted("");
  runFor(1s);
  BOOST_TEST(countExecuted("") == WithoutControl);
  m_Control->resume();
  BOOST_TEST(waitUntil([&] {
    WireCaller Again(m_CallerPort, "booking");
    return Again.succeeds("READ a");
  }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ragwortmux::platform
