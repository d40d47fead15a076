#include "ragwortmux/Process/Loop/LoopWatch.h"
#include "tests/Support/LogCapture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <vector>

using namespace ragwortmux;

namespace {

using std::chrono::milliseconds;

constexpr Instant Start{std::chrono::hours(1)};

/// A LoopWatch and the lines that it writes.
struct Fixture {
  /// Runs work that starts late by \p Delay and takes \p Length.
  void run(LoopWork Work, Instant Now, Duration Delay, Duration Length) {
    m_Watch.started(Work, Now - Delay, Now);
    m_Watch.ended(Now + Length);
  }

  LogCapture m_Log;
  Duration m_UsedTime{0}; ///< Processor time of the thread.
  LoopWatch m_Watch{[this] { return m_UsedTime; }};
};

struct DelayCase final {
  Duration m_Delay;    ///< Lateness of a timer.
  Duration m_Observed; ///< The delay passed to the observer.
  bool m_IsLogged;     ///< A line is written.

  friend std::ostream &operator<<(std::ostream &Stream, const DelayCase &Case) {
    return Stream << Case.m_Delay.count() << " us";
  }
};

const std::vector<DelayCase> Delays = {
    {milliseconds(-1), Duration(0), false},
    {Duration(0), Duration(0), false},
    {LoopWatch::WarningDelay, LoopWatch::WarningDelay, false},
    {milliseconds(51), milliseconds(51), true}};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LoopWatchTest, Fixture)

BOOST_DATA_TEST_CASE(DelaysAreObservedAndLongOnesLogged,
                     boost::unit_test::data::make(Delays), Case) {
  std::vector<Duration> Observed;
  m_Watch.setObserver([&](LoopWork Work, Duration Delay) {
    BOOST_CHECK(Work == LoopWork::Timer);
    Observed.push_back(Delay);
  });
  run(LoopWork::Timer, Start, Case.m_Delay, Duration(0));
  BOOST_REQUIRE_EQUAL(Observed.size(), 1U);
  BOOST_CHECK(Observed[0] == Case.m_Observed);
  BOOST_TEST(m_Log.text().empty() != Case.m_IsLogged, m_Log.text());
}

BOOST_AUTO_TEST_CASE(LineNamesTheLongestWorkAndTheProcessorTime) {
  run(LoopWork::Timer, Start, Duration(0), milliseconds(1));
  run(LoopWork::PostedTasks, Start + milliseconds(10), Duration(0),
      milliseconds(80));
  m_UsedTime += milliseconds(70);
  run(LoopWork::Timer, Start + milliseconds(100), milliseconds(90),
      Duration(0));
  BOOST_TEST(m_Log.contains(
                 "The event loop is late. work=timer delay_ms=90 late_runs=1 "
                 "longest_run=posted_tasks longest_run_ms=80 processor_ms=70 "
                 "over_ms=100"),
             m_Log.text());
}

BOOST_AUTO_TEST_CASE(LinesAreLimitedToOneASecond) {
  for (const int Ms : {0, 200, 900, 1000, 1100}) {
    run(LoopWork::Timer, Start + milliseconds(Ms), milliseconds(60),
        Duration(0));
  }
  BOOST_TEST(m_Log.lines() == 2U, m_Log.text());
  BOOST_TEST(m_Log.contains("late_runs=3"), m_Log.text());
}

BOOST_AUTO_TEST_SUITE_END()
