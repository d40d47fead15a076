#include "ragwortmux/Process/Control/ControlLoad.h"
#include "ragwortmux/Process/Support/Metrics.h"
#include "tests/Support/LogCapture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>
#include <vector>

using namespace ragwortmux;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant Start{std::chrono::hours(1)};

/// Runs a task of \p Kind that waits and runs for the given times.
void runTask(ControlLoad &Load, ControlTaskKind Kind, Instant PostedAt,
             Duration Wait, Duration Length) {
  Load.taskPosted();
  Load.taskStarted(Kind, PostedAt, PostedAt + Wait);
  Load.taskEnded(PostedAt + Wait + Length);
}

struct AgeCase final {
  Duration m_Age;   ///< Age of the recorded task.
  bool m_IsCovered; ///< The summary contains it.

  friend std::ostream &operator<<(std::ostream &Stream, const AgeCase &Case) {
    return Stream << Case.m_Age.count() << " us";
  }
};

const std::vector<AgeCase> Ages = {{Duration(0), true},
                                   {milliseconds(250), true},
                                   {milliseconds(1700), true},
                                   {milliseconds(2300), false},
                                   {seconds(60), false}};

} // namespace

BOOST_AUTO_TEST_SUITE(ControlLoadTest)

BOOST_AUTO_TEST_CASE(SummaryHasTheMaximaAndSums) {
  Metrics All;
  ControlLoad Load(All);
  runTask(Load, ControlTaskKind::Tick, Start, milliseconds(1), milliseconds(2));
  runTask(Load, ControlTaskKind::Renewal, Start + milliseconds(300),
          milliseconds(40), milliseconds(20));
  runTask(Load, ControlTaskKind::Tick, Start + milliseconds(400),
          milliseconds(11), milliseconds(3));
  Load.logSynced(Start + milliseconds(420), milliseconds(6));
  Load.logSynced(Start + milliseconds(430), milliseconds(5));
  Load.updatePushed(Start + milliseconds(430));
  Load.taskPosted();
  const ControlLoadSummary Values = Load.summary(Start + milliseconds(450));
  BOOST_CHECK(Values.m_LongestTickGap == milliseconds(410));
  BOOST_CHECK(Values.m_LongestTask == milliseconds(20));
  BOOST_CHECK(Values.m_LongestTaskKind == ControlTaskKind::Renewal);
  BOOST_CHECK(Values.m_LongestWait == milliseconds(40));
  BOOST_CHECK(Values.m_LongestSync == milliseconds(6));
  BOOST_CHECK(Values.m_Busy == milliseconds(25));
  BOOST_TEST(Values.m_Tasks == 3U);
  BOOST_TEST(Values.m_Renewals == 1U);
  BOOST_TEST(Values.m_Pushes == 1U);
  BOOST_TEST(Values.m_Waiting == 1U);
}

BOOST_AUTO_TEST_CASE(SummaryContainsTheRunningTaskAndTheOpenTickGap) {
  Metrics All;
  ControlLoad Load(All);
  runTask(Load, ControlTaskKind::Tick, Start, Duration(0), Duration(0));
  Load.taskPosted();
  Load.taskStarted(ControlTaskKind::Report, Start, Start + milliseconds(10));
  const ControlLoadSummary Values = Load.summary(Start + milliseconds(90));
  BOOST_CHECK(Values.m_LongestTask == milliseconds(80));
  BOOST_CHECK(Values.m_LongestTaskKind == ControlTaskKind::Report);
  BOOST_CHECK(Values.m_LongestTickGap == milliseconds(90));
  BOOST_TEST(Values.m_Waiting == 0U);
}

BOOST_DATA_TEST_CASE(SummaryForgetsOldTasks, boost::unit_test::data::make(Ages),
                     Case) {
  Metrics All;
  ControlLoad Load(All);
  runTask(Load, ControlTaskKind::Renewal, Start, milliseconds(1),
          milliseconds(2));
  const ControlLoadSummary Values =
      Load.summary(Start + milliseconds(3) + Case.m_Age);
  BOOST_TEST(Values.m_Renewals == (Case.m_IsCovered ? 1U : 0U));
  BOOST_TEST((Values.m_LongestTask == milliseconds(2)) == Case.m_IsCovered);
}

BOOST_AUTO_TEST_CASE(LongWaitsAreLoggedAtMostOnceASecond) {
  const LogCapture Log;
  Metrics All;
  ControlLoad Load(All);
  runTask(Load, ControlTaskKind::Report, Start, ControlLoad::WarningWait,
          milliseconds(70));
  BOOST_TEST(Log.text().empty());
  for (const int Ms : {200, 300, 1100, 1300}) {
    runTask(Load, ControlTaskKind::Renewal, Start + milliseconds(Ms),
            milliseconds(60), milliseconds(1));
  }
  BOOST_TEST(Log.lines() == 2U, Log.text());
  BOOST_TEST(Log.contains("A task of the control node waited long. "
                          "waited_task=renewal waited_ms=60 tick_gap_ms=0 "
                          "task_ms=70 task=report"),
             Log.text());
}

BOOST_AUTO_TEST_CASE(TimesAreInTheMetrics) {
  Metrics All;
  ControlLoad Load(All);
  runTask(Load, ControlTaskKind::Renewal, Start, milliseconds(40),
          milliseconds(20));
  Load.logSynced(Start, milliseconds(6));
  const std::string Text = All.renderPrometheus();
  for (const char *Line :
       {"ragwortmux_control_wait_seconds_sum{task=\"renewal\"} 0.040000",
        "ragwortmux_control_task_seconds_sum{task=\"renewal\"} 0.020000",
        "ragwortmux_log_sync_seconds_sum 0.006000"}) {
    BOOST_TEST(Text.find(Line) != std::string::npos, Text);
  }
}

BOOST_AUTO_TEST_SUITE_END()
