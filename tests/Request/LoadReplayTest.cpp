#include "LoadReplay.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

#include <sstream>

namespace ragwortmux::test {

namespace {

const std::vector<LoadPattern> Patterns = {
    {.m_Name = "calm"},
    {.m_Name = "class", .m_ClassFactors = {1, 2.5, 1}, .m_Length = seconds(6)},
    {.m_Name = "highest priority",
     .m_ClassFactors = {1.9, 1, 1},
     .m_Length = seconds(3)},
    {.m_Name = "workspaces", .m_LargeFactor = 9, .m_MidFactor = 6},
    {.m_Name = "idle transactions", .m_IdleTransactions = 120},
    {.m_Name = "lost answers", .m_LostPercent = 45},
    {.m_Name = "waves", .m_HasWaves = true},
    {.m_Name = "all",
     .m_ClassFactors = {1.9, 2.5, 1},
     .m_LargeFactor = 9,
     .m_MidFactor = 6,
     .m_IdleTransactions = 120,
     .m_LostPercent = 45,
     .m_HasWaves = true,
     .m_IsS3CutOff = true},
};

} // namespace

BOOST_AUTO_TEST_SUITE(LoadReplayTest)

// Guards against load patterns that are served worse with workspaces and load
// shedding than without, and against load that retries multiply.
BOOST_DATA_TEST_CASE(IsServedAtLeastAsWellAsBefore,
                     boost::unit_test::data::make(Patterns), Pattern) {
  LoadReplay Before(Pattern, false);
  Before.run();
  LoadReplay After(Pattern, true);
  After.run();
  const std::size_t Smallest = LoadReplay::Weights.size() - 1;
  for (const auto &[Name, Replay] :
       {std::pair("before", &Before), std::pair("after", &After)}) {
    std::ostringstream Line;
    Line << Pattern << ' ' << Name << ": in time, by class";
    for (const int Class : {0, 1, 2})
      Line << ' ' << Replay->result(Class, Class).share();
    Line << ", small workspaces " << Replay->result(0, 2, 2).share()
         << ", in classes 0 and 1 " << Replay->result(0, 1, 2).share()
         << ", p99 ms of the smallest "
         << Replay->result(0, 1, Smallest).p99() / milliseconds(1)
         << ", refused " << Replay->result().m_Refused << ", sent "
         << Replay->m_Sent << ", ran " << Replay->m_Executed;
    BOOST_TEST_MESSAGE(Line.str());
  }
  BOOST_TEST(After.m_RefusedButRun == 0U);
  BOOST_TEST(After.m_Sent <= Before.m_Sent);
  BOOST_TEST(After.m_Sent * 10 <= After.m_Executed * 11);
  BOOST_TEST(After.result(0, 0).share() >= Before.result(0, 0).share() - 0.02);
  BOOST_TEST(After.result(0, 1, 2).share() >=
             Before.result(0, 1, 2).share() - 0.02);
  // The shortest target of a class is 200 ms.
  BOOST_TEST((After.result(0, 1, Smallest).p99() <=
              std::max<Duration>(Before.result(0, 1, Smallest).p99(),
                                 milliseconds(200))));
  // Statements of the two large workspaces go before those of the lowest
  // priority, which here hurts more of these than before.
  if (Pattern.m_LargeFactor == 1)
    BOOST_TEST(After.result().share() >= Before.result().share() - 0.02);
  const bool IsCalm = Pattern.m_ClassFactors[1] == 1 &&
                      Pattern.m_LargeFactor == 1 && !Pattern.m_HasWaves;
  if (IsCalm)
    BOOST_TEST(After.result().m_Refused == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ragwortmux::test
