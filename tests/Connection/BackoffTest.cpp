#include "ragwortmux/Connection/Backoff.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <random>
#include <vector>

using namespace ragwortmux;
using namespace std::chrono_literals;

namespace {

/// The pause after a number of failures with the default settings.
struct Step final {
  int m_Failures;      ///< Attempts that failed before.
  Duration m_Shortest; ///< Shortest pause.
  Duration m_Longest;  ///< Longest pause.
};

std::ostream &operator<<(std::ostream &Stream, const Step &Case) {
  return Stream << "after " << Case.m_Failures << " failures";
}

const std::vector<Step> Steps = {{0, 15ms, 30ms},       {1, 30ms, 60ms},
                                 {2, 60ms, 120ms},      {3, 120ms, 240ms},
                                 {4, 120ms, 240ms},     {100, 120ms, 240ms},
                                 {100000, 120ms, 240ms}};

} // namespace

BOOST_AUTO_TEST_SUITE(BackoffTest)

BOOST_DATA_TEST_CASE(PausesDoubleUpToLimit, boost::unit_test::data::make(Steps),
                     Case) {
  std::mt19937_64 Random(20261205);
  for (int Run = 0; Run < 10; ++Run) {
    Backoff Pauses;
    for (int Failure = 0; Failure < Case.m_Failures; ++Failure)
      Pauses.nextPause(Random());
    const Duration Pause = Pauses.nextPause(Random());
    BOOST_TEST((Pause >= Case.m_Shortest && Pause <= Case.m_Longest),
               Pause.count() << " us");
    Pauses.reset();
    BOOST_TEST((Pauses.nextPause(Random()) <= 30ms));
  }
}

// Without a leader for two seconds, 195 hosts made 33 calls a second each,
// which five control hosts with 0.3 of a core could not answer beside their
// election.
BOOST_AUTO_TEST_CASE(HostsWithoutLeaderMakeFewCalls) {
  constexpr int Hosts = 195;
  constexpr Duration Outage = 2s;
  // A fifth of what the processors of five control hosts answer, at 0.2 ms of
  // processor time a call and 0.3 of a core each.
  constexpr int MostCallsPerSecond = 1500;
  std::mt19937_64 Random(20261205);
  int Calls = 0;
  for (int Host = 0; Host < Hosts; ++Host) {
    Backoff Pauses;
    for (Duration At{0}; At < Outage; At += Pauses.nextPause(Random()))
      ++Calls;
  }
  BOOST_TEST(Calls <= MostCallsPerSecond * Outage / 1s);
}

BOOST_AUTO_TEST_SUITE_END()
