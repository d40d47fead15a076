#include "tests/Request/PermitSimulation.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <ostream>

namespace ragwortmux::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The bounds of deployment B.
WorkspaceLimiterSettings boundsOfB() {
  WorkspaceLimiterSettings Settings;
  Settings.m_Window = seconds(5);
  Settings.m_Overage = 1000;
  Settings.m_Slack = 20;
  Settings.m_Drift = {1, milliseconds(10)};
  return Settings;
}

/// Runs with every kind of fault. The demand exceeds the limit, so that the
/// windows are as full as the design lets them become.
std::optional<Instant> runWithFaults(std::uint64_t Seed, OmittedRule Omitted) {
  std::mt19937_64 Random(Seed ^ 0x9e3779b97f4a7c15U);
  const auto Below = [&](std::uint64_t Limit) { return Random() % Limit; };
  WorkspaceLimiterSettings Settings;
  Settings.m_Window = seconds(1 + Below(3));
  Settings.m_Overage = static_cast<std::uint32_t>(Below(4) * 1000);
  Settings.m_Slack = static_cast<std::uint32_t>(1 + Below(20));
  Settings.m_Drift = {1, milliseconds(10)};
  const auto RandomLimit = [&] {
    return WorkspaceLimit{static_cast<std::uint32_t>(1 + Below(40)),
                          static_cast<std::uint32_t>(Below(30))};
  };
  PermitFaults Faults;
  Faults.m_Loss = Below(2) == 0 ? 0 : 0.1;
  Faults.m_Duplication = Below(2) == 0 ? 0 : 0.2;
  Faults.m_LongDelay = Below(2) == 0 ? 0 : 0.1;
  Faults.m_Drift = 0.005;
  Faults.m_Omitted = Omitted;
  const std::size_t Hosts = 1 + Below(4);
  WorkspaceLimit Limit = RandomLimit();
  PermitSimulation Run(Seed, Hosts, Settings, Limit, Faults);
  const Instant End(seconds(9));
  for (std::size_t Host = 0; Host < Hosts; ++Host) {
    // Phases of high and of no demand, because a bucket fills while idle.
    Instant At;
    while (At < End) {
      const Instant PhaseEnd = At + milliseconds(200 + Below(2500));
      const std::uint64_t Gap =
          Below(3) == 0 ? 4'000'000
                        : 1'000'000 * Hosts / (Limit.m_RatePerSecond * 4) + 1;
      for (; At < PhaseEnd; At += Duration(1 + Below(2 * Gap)))
        Run.at(At, [&Run, Host] { Run.arrive(Host); });
      At = std::max(At, PhaseEnd);
    }
  }
  for (std::uint64_t Fault = Below(6); Fault > 0; --Fault) {
    const std::size_t Host = Below(Hosts);
    const Duration Length = milliseconds(Below(3000));
    const Instant At(milliseconds(Below(9000)));
    switch (Below(7)) {
    case 0:
      Run.at(At, [&Run, Host, Length] { Run.freeze(Host, Length); });
      break;
    case 1:
      Run.at(At, [&Run, Host, Length] { Run.cutOff(Host, Length); });
      break;
    case 2:
      Run.at(At, [&Run, Host] { Run.restart(Host); });
      break;
    case 3:
      Run.at(At, [&Run, Length] { Run.freezeLeader(Length); });
      break;
    case 4:
      Run.at(At, [&Run, Next = RandomLimit()] { Run.setLimit(Next); });
      break;
    case 5:
      Run.at(At, [&Run, Length] { Run.removeAndAdd(Length / 10); });
      break;
    default:
      Run.at(At, [&Run] {
        Run.elect((Run.leader() + 1) % PermitSimulation::ControlHosts);
      });
      break;
    }
  }
  Run.run(End);
  return Run.findExceededWindow();
}

} // namespace

BOOST_AUTO_TEST_SUITE(WorkspacePermitsRuns)

// Guards against any combination of lost and late messages, frozen or
// restarted hosts, leaders and limits that lets a window exceed its bound.
BOOST_AUTO_TEST_CASE(NoWindowExceedsItsBound) {
  constexpr std::uint64_t Seeds = 10'000;
  const auto Start = std::chrono::steady_clock::now();
  std::size_t Exceeded = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    const auto Window = runWithFaults(Seed, OmittedRule::None);
    if (Window) {
      ++Exceeded;
      BOOST_TEST_MESSAGE("seed " << Seed << ": the window from "
                                 << Window->time_since_epoch().count()
                                 << " us");
    }
  }
  BOOST_TEST(Exceeded == 0U);
  BOOST_TEST_MESSAGE(
      Seeds << " seeds in "
            << std::chrono::duration_cast<milliseconds>(
                   std::chrono::steady_clock::now() - Start)
                   .count()
            << " ms");
}

// The check above would notice if one rule of the design were missing.
BOOST_DATA_TEST_CASE(
    OmittedRuleIsNoticed,
    boost::unit_test::data::make(
        {OmittedRule::EmptyStart, OmittedRule::IssueBeforeQuorum,
         OmittedRule::QuorumRound, OmittedRule::Expiry,
         OmittedRule::ExpiryFromSending, OmittedRule::AnswerOnce,
         OmittedRule::BucketAfterRemoval}),
    Omitted) {
  constexpr std::uint64_t Seeds = 10'000;
  std::uint64_t Seed = 1;
  while (Seed <= Seeds && !runWithFaults(Seed, Omitted))
    ++Seed;
  BOOST_TEST_MESSAGE("noticed by seed " << Seed);
  BOOST_TEST(Seed <= Seeds);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ragwortmux::test
