#include "ragwortmux/Request/QueueEstimate.h"

#include <boost/test/unit_test.hpp>

namespace ragwortmux::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct EstimateFixture {
  /// Statements occupy a connection for \p Time, one after the other.
  void serve(int Count, Duration Time, QueueLane Lane = QueueLane::Read) {
    for (int Index = 0; Index < Count; ++Index) {
      m_Estimate.occupied(m_Now, ConnectionId(1), Lane);
      m_Now += Time;
      m_Estimate.served(m_Now, ConnectionId(1));
      m_Estimate.setBacklog(m_Now, Lane, m_IsWaiting);
    }
  }
  bool canServe(std::size_t Ahead, Duration Left,
                QueueLane Lane = QueueLane::Read, std::uint32_t Slots = 4) {
    return m_Estimate.canServe(m_Now, {Lane, Ahead, Slots, m_Now + Left});
  }

  Instant m_Now{std::chrono::hours(1)};
  bool m_IsWaiting = false;
  QueueEstimate m_Estimate{QueueEstimateSettings()};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(QueueEstimateTest, EstimateFixture)

// Guards against refusals that rest on one slow statement, or on none.
BOOST_AUTO_TEST_CASE(DecidesNothingOnFewSamples) {
  BOOST_TEST(canServe(1000, milliseconds(1)));
  serve(15, milliseconds(100));
  BOOST_TEST(canServe(1000, milliseconds(1)));
  serve(1, milliseconds(100));
  BOOST_TEST(!canServe(1000, milliseconds(1)));
  // The other lane has been observed never.
  BOOST_TEST(canServe(1000, milliseconds(1), QueueLane::Primary));
  // Nor does it rest on what was observed long ago.
  m_Now += seconds(5);
  BOOST_TEST(canServe(1000, milliseconds(1)));
}

// Guards against refusals in calm: a short queue is never refused.
BOOST_AUTO_TEST_CASE(ShortQueueIsNeverRefused) {
  serve(100, milliseconds(100));
  BOOST_TEST(canServe(8, milliseconds(1)));
  BOOST_TEST(!canServe(9, milliseconds(1)));
}

BOOST_AUTO_TEST_CASE(SlotsAndServiceTimeDetermineWait) {
  serve(100, milliseconds(20));
  // 100 statements in 4 slots take 500 ms, or 400 ms with the margin.
  BOOST_TEST(!canServe(100, milliseconds(390)));
  BOOST_TEST(canServe(100, milliseconds(410)));
  BOOST_TEST(canServe(100, milliseconds(210), QueueLane::Read, 8));
}

// Guards against an estimate that ignores other hosts in the servers' slots:
// with 4 slots of its own it would expect four times the rate.
BOOST_AUTO_TEST_CASE(MeasuredRateOfBacklogPrecedesSlots) {
  m_IsWaiting = true;
  serve(100, milliseconds(20));
  BOOST_TEST(!canServe(100, milliseconds(1500)));
  BOOST_TEST(canServe(100, milliseconds(1700)));
  // Without a backlog the servers may be faster than statements arrive.
  m_IsWaiting = false;
  serve(1, milliseconds(20));
  BOOST_TEST(canServe(100, milliseconds(500)));
}

// Guards against statements that were refused for lack of a slot, which take
// little time, counting as served ones.
BOOST_AUTO_TEST_CASE(StatementsThatDidNotRunAreNoSamples) {
  serve(100, milliseconds(20));
  for (int Index = 0; Index < 100; ++Index) {
    m_Estimate.occupied(m_Now, ConnectionId(1), QueueLane::Read);
    m_Estimate.dropped(ConnectionId(1));
    m_Estimate.served(m_Now, ConnectionId(1));
  }
  BOOST_TEST(!canServe(100, milliseconds(390)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ragwortmux::test
