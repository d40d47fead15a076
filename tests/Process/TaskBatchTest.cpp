#include "ragwortmux/Process/Control/TaskBatch.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <vector>

using namespace ragwortmux;
using namespace std::chrono_literals;

namespace {

/// Tasks of equal length that are all posted at once.
struct Burst final {
  std::size_t m_Tasks;   ///< Number of tasks.
  Duration m_Length;     ///< Time that each runs.
  std::size_t m_Batches; ///< Batches expected.
};

std::ostream &operator<<(std::ostream &Stream, const Burst &Case) {
  return Stream << Case.m_Tasks << " tasks of " << Case.m_Length.count()
                << " us";
}

const std::vector<Burst> Bursts = {
    {1, 100us, 1},   {10, 100us, 1}, {64, 100us, 1}, {65, 100us, 2},
    {195, 100us, 4}, {10, 5ms, 5},   {3, 20ms, 3}};

} // namespace

BOOST_AUTO_TEST_SUITE(TaskBatchTest)

BOOST_DATA_TEST_CASE(TasksShareBatches, boost::unit_test::data::make(Bursts),
                     Case) {
  TaskBatch Batch;
  Instant Now{1h};
  std::size_t Batches = 0;
  for (std::size_t Left = Case.m_Tasks; Left > 0; --Left) {
    Batch.taskStarted(Now);
    Now += Case.m_Length;
    Batches += Batch.taskEnded(Now, Left - 1) ? 1 : 0;
  }
  BOOST_TEST(Batches == Case.m_Batches);
}

BOOST_AUTO_TEST_SUITE_END()
