#include "ragwortmux/Version/WorkspaceLimiter.h"

#include <boost/test/unit_test.hpp>

namespace ragwortmux::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const WorkspaceId W1("w1");
const WorkspaceId W2("w2");

WorkspaceLimiterSettings settings() {
  WorkspaceLimiterSettings Settings;
  Settings.m_Window = seconds(5);
  Settings.m_Overage = 1000;
  Settings.m_Slack = 20;
  Settings.m_Drift = {1, milliseconds(10)};
  return Settings;
}

} // namespace

BOOST_AUTO_TEST_SUITE(WorkspaceLimiterTest)

// Guards against a workspace that uses up what belongs to another one.
BOOST_AUTO_TEST_CASE(WorkspacesHaveBucketsOfTheirOwn) {
  WorkspaceLimiter Limiter(settings());
  const Instant Now(seconds(100));
  Limiter.becameLeader(Instant());
  const PermitGrant All = Limiter.take(Now, {W1, 10'000, 0}, {10, 5});
  BOOST_TEST(All.m_Permits > 0U);
  BOOST_TEST((All.m_RetryAfter > Duration(0)));
  BOOST_TEST(Limiter.take(Now, {W1, 1, 0}, {10, 5}).m_Permits == 0U);
  BOOST_TEST(Limiter.take(Now, {W2, 3, 0}, {10, 5}).m_Permits == 3U);
}

// Guards against reserves of hosts that take the permits which waiting
// operations need.
BOOST_AUTO_TEST_CASE(SparePermitsComeFromTheUpperHalf) {
  WorkspaceLimiter Limiter(settings());
  const Instant Now(seconds(100));
  Limiter.becameLeader(Instant());
  const PermitGrant Spare = Limiter.take(Now, {W1, 0, 10'000}, {10, 5});
  BOOST_TEST(Spare.m_Permits > 0U);
  BOOST_TEST(!Spare.m_IsPlenty);
  BOOST_TEST(Limiter.take(Now, {W1, 0, 10}, {10, 5}).m_Permits == 0U);
  const PermitGrant Needed = Limiter.take(Now, {W1, 10'000, 0}, {10, 5});
  BOOST_TEST(Needed.m_Permits >= Spare.m_Permits);
}

// Guards against buckets that pile up for workspaces which are idle or removed.
BOOST_AUTO_TEST_CASE(FullBucketsAreRemoved) {
  WorkspaceLimiter Limiter(settings());
  Limiter.becameLeader(Instant());
  for (int Number = 0; Number < 1000; ++Number)
    Limiter.take(Instant(seconds(100)),
                 {WorkspaceId("w" + std::to_string(Number)), 10, 0}, {10, 5});
  BOOST_TEST(Limiter.bucketCount() == 1000U);
  Limiter.take(Instant(seconds(120)), {W1, 1, 0}, {10, 5});
  BOOST_TEST(Limiter.bucketCount() == 1U);
}

// Guards against permits that a new leader issues beside those that its
// predecessor has issued a moment ago.
BOOST_AUTO_TEST_CASE(NewLeaderStartsEmpty) {
  WorkspaceLimiter Limiter(settings());
  Limiter.becameLeader(Instant());
  const Instant Now(seconds(100));
  Limiter.becameLeader(Now);
  BOOST_TEST(Limiter.take(Now, {W1, 1, 0}, {10, 5}).m_Permits == 0U);
  const Instant Later = Now + milliseconds(1010);
  BOOST_TEST(Limiter.take(Later, {W1, 100, 0}, {10, 5}).m_Permits == 10U);
  // A workspace that took nothing since has what has been refilled since.
  BOOST_TEST(Limiter.take(Later, {W2, 100, 0}, {10, 5}).m_Permits == 10U);
}

// Guards against a limit whose rate cannot be used, or validity so short that
// permits expire on their way.
BOOST_AUTO_TEST_CASE(ValidityFitsIntoTheOverage) {
  BOOST_TEST((WorkspaceLimiter(settings()).validity() == milliseconds(430)));
  WorkspaceLimiterSettings None = settings();
  None.m_Overage = 0;
  BOOST_TEST((WorkspaceLimiter(None).validity() == milliseconds(250)));
  None.m_Window = Duration(0);
  BOOST_TEST(!WorkspaceLimiter(None).isEnforced());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ragwortmux::test
