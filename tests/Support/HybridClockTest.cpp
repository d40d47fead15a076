#include "ragwortmux/Process/Support/HybridClock.h"

#include <boost/test/unit_test.hpp>

using namespace ragwortmux;
using namespace std::chrono_literals;

namespace {

/// A clock whose wall time the test sets.
struct ClockFixture {
  WallTime m_Wall{1000ms};
  HybridClock m_Clock{[this] { return m_Wall; }};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(HybridClockTest, ClockFixture)

BOOST_AUTO_TEST_CASE(TimesIncreaseWhenWallClockStopsOrGoesBack) {
  const HybridTime First = m_Clock.now();
  BOOST_TEST(hybridMs(First) == 1000U);
  BOOST_TEST(hybridCounter(First) == 0U);
  const HybridTime Second = m_Clock.now();
  BOOST_TEST((Second > First));
  m_Wall = WallTime(500ms);
  BOOST_TEST((m_Clock.now() > Second));
  m_Wall = WallTime(2000ms);
  BOOST_TEST((m_Clock.now() == makeHybridTime(2000, 0)));
}

BOOST_AUTO_TEST_CASE(TimesAfterMergeExceedReceivedTime) {
  const HybridTime Received = makeHybridTime(5000, 7);
  BOOST_TEST(m_Clock.merge(Received));
  BOOST_TEST((m_Clock.now() == makeHybridTime(5000, 8)));
  // An older time changes nothing.
  BOOST_TEST(m_Clock.merge(makeHybridTime(10, 0)));
  BOOST_TEST((m_Clock.now() == makeHybridTime(5000, 9)));
}

BOOST_AUTO_TEST_CASE(TimeTooFarAheadIsNotMerged) {
  const std::uint64_t Limit = 1000 + HybridClock::MaxAhead.count();
  BOOST_TEST(m_Clock.merge(makeHybridTime(Limit, 0)));
  BOOST_TEST(!m_Clock.merge(makeHybridTime(Limit + 1, 0)));
  BOOST_TEST(hybridMs(m_Clock.now()) == Limit);
}

BOOST_AUTO_TEST_CASE(CounterOverflowCarriesIntoMilliseconds) {
  BOOST_TEST(m_Clock.merge(makeHybridTime(1000, MaxHybridCounter)));
  BOOST_TEST((m_Clock.now() == makeHybridTime(1001, 0)));
}

BOOST_AUTO_TEST_SUITE_END()
