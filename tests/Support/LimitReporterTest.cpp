#include "ragwortmux/Process/Support/LimitReporter.h"
#include "ragwortmux/Process/Support/Log.h"
#include "ragwortmux/Process/Support/Metrics.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <sstream>

using namespace ragwortmux;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(LimitReporterTest)

// Guards against a crowd that fills the log, and against hits that are not
// counted.
BOOST_AUTO_TEST_CASE(HitsAreCountedAndLoggedOnceASecond) {
  std::ostringstream Output;
  LogSettings Settings;
  Settings.m_Format = LogFormat::Json;
  Settings.m_Output = &Output;
  startLog(Settings);
  Metrics Counted;
  LimitReporter Reporter(Part::Caller, &Counted);
  const Instant Start = Instant(Duration(1s));
  for (unsigned Count = 0; Count < 100; ++Count)
    Reporter.report("one", "paused", 7, Start + Count * 1ms);
  Reporter.report("two", "closed", 8, Start);
  BOOST_TEST(Counted.counter(Metric::ClientLimitHits, {"one", "paused"}) ==
             100U);
  BOOST_TEST(std::ranges::count(Output.str(), '\n') == 2);
  Reporter.report("one", "paused", 9, Start + 1s);
  BOOST_TEST(Output.str().find("\"hits\":100") != std::string::npos);
  startLog({});
}

BOOST_AUTO_TEST_SUITE_END()
