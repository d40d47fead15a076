#include "ragwortmux/Process/Entry/LeaseLog.h"
#include "tests/Support/LogCapture.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace ragwortmux;

namespace {

using std::chrono::milliseconds;

constexpr Instant Start{std::chrono::hours(1)};

/// A LeaseLog and the lines that it writes.
struct Fixture {
  LogCapture m_Log;
  LeaseLog m_Lease;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LeaseLogTest, Fixture)

BOOST_AUTO_TEST_CASE(LossAndNextGrantAreWrittenOnce) {
  m_Lease.granted(Start, Start + milliseconds(100));
  m_Lease.granted(Start + milliseconds(50), Start + milliseconds(150));
  m_Lease.check(Start + milliseconds(149), Start + milliseconds(150));
  BOOST_TEST(!m_Log.contains("The lease was lost."));
  m_Lease.answered("h1:1", "not-leader");
  m_Lease.answered("h2:1", "no_answer");
  m_Lease.check(Start + milliseconds(160), Start + milliseconds(150));
  m_Lease.check(Start + milliseconds(170), Start + milliseconds(150));
  m_Lease.granted(Start + milliseconds(400), Start + milliseconds(500));
  const std::string Text = m_Log.text();
  BOOST_TEST(
      m_Log.contains("The lease was lost. grant_age_ms=110 ended_ms_ago=10 "
                     "failed_answers=2 last_answer=no_answer answered_by=h2:1"),
      Text);
  BOOST_TEST(
      m_Log.contains("The lease was granted. without_ms=250 failed_answers=2 "
                     "last_answer=no_answer answered_by=h2:1 "
                     "lease_left_ms=100"),
      Text);
  BOOST_TEST(m_Log.lines() == 3U, Text);
}

BOOST_AUTO_TEST_CASE(NoLossIsWrittenBeforeTheFirstGrant) {
  m_Lease.check(Start, Instant());
  BOOST_TEST(m_Log.text().empty());
  m_Lease.granted(Start, Start + milliseconds(100));
  BOOST_TEST(
      m_Log.contains("The lease was granted. without_ms=-1 failed_answers=0 "
                     "last_answer=none"),
      m_Log.text());
}

// Guards against lines about a lease that was lost as soon as it was granted:
// an answer to an earlier renewal of the session carries no lease.
BOOST_AUTO_TEST_CASE(GrantOfNoLengthIsNoLease) {
  m_Lease.granted(Start, Start - milliseconds(40));
  m_Lease.check(Start + milliseconds(5), Start - milliseconds(40));
  BOOST_TEST(m_Log.text().empty());
  m_Lease.granted(Start + milliseconds(10), Start + milliseconds(100));
  BOOST_TEST(m_Log.contains("failed_answers=1 last_answer=late_grant"),
             m_Log.text());
}

BOOST_AUTO_TEST_CASE(LeaseThatEndsWithItsSessionIsLost) {
  m_Lease.granted(Start, Start + milliseconds(100));
  m_Lease.answered("h1:1", "unauthorized");
  m_Lease.check(Start + milliseconds(5), Instant());
  BOOST_TEST(
      m_Log.contains("The lease was lost. grant_age_ms=5 ended_ms_ago=5"),
      m_Log.text());
}

BOOST_AUTO_TEST_SUITE_END()
