#include "ragwortmux/Process/Entry/LeaseLog.h"
#include "ragwortmux/Process/Support/Log.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <sstream>
#include <string>

using namespace ragwortmux;

namespace {

using std::chrono::milliseconds;

constexpr Instant Start{std::chrono::hours(1)};

/// A LeaseLog whose lines are captured as text.
struct Fixture {
  Fixture() { startLog({LogLevel::Info, LogFormat::Text, &m_Stream}); }
  ~Fixture() { startLog({}); }
  Fixture(const Fixture &) = delete;
  Fixture &operator=(const Fixture &) = delete;

  bool hasLine(const std::string &Line) const {
    return m_Stream.str().find(Line) != std::string::npos;
  }

  std::ostringstream m_Stream; ///< Receives the lines.
  LeaseLog m_Lease;            ///< Writes them.
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LeaseLogTest, Fixture)

BOOST_AUTO_TEST_CASE(LossAndNextGrantAreWrittenOnce) {
  m_Lease.granted(Start, Start + milliseconds(100));
  m_Lease.granted(Start + milliseconds(50), Start + milliseconds(150));
  m_Lease.check(Start + milliseconds(149), Start + milliseconds(150));
  BOOST_TEST(!hasLine("The lease was lost."));
  m_Lease.answered("h1:1", "not-leader");
  m_Lease.answered("h2:1", "no_answer");
  m_Lease.check(Start + milliseconds(160), Start + milliseconds(150));
  m_Lease.check(Start + milliseconds(170), Start + milliseconds(150));
  m_Lease.granted(Start + milliseconds(400), Start + milliseconds(500));
  const std::string Text = m_Stream.str();
  BOOST_TEST(hasLine("The lease was lost. grant_age_ms=110 ended_ms_ago=10 "
                     "failed_answers=2 last_answer=no_answer answered_by=h2:1"),
             Text);
  BOOST_TEST(hasLine("The lease was granted. without_ms=250 failed_answers=2 "
                     "last_answer=no_answer answered_by=h2:1 "
                     "lease_left_ms=100"),
             Text);
  BOOST_TEST(std::count(Text.begin(), Text.end(), '\n') == 3, Text);
}

BOOST_AUTO_TEST_CASE(NoLossIsWrittenBeforeTheFirstGrant) {
  m_Lease.check(Start, Instant());
  BOOST_TEST(m_Stream.str().empty());
  m_Lease.granted(Start, Start + milliseconds(100));
  BOOST_TEST(hasLine("The lease was granted. without_ms=-1 failed_answers=0 "
                     "last_answer=none"),
             m_Stream.str());
}

BOOST_AUTO_TEST_CASE(LeaseThatEndsWithItsSessionIsLost) {
  m_Lease.granted(Start, Start + milliseconds(100));
  m_Lease.answered("h1:1", "unauthorized");
  m_Lease.check(Start + milliseconds(5), Instant());
  BOOST_TEST(hasLine("The lease was lost. grant_age_ms=5 ended_ms_ago=5"),
             m_Stream.str());
}

BOOST_AUTO_TEST_SUITE_END()
