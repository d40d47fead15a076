#include "PromotionRun.h"

namespace ragwortmux::test {

BOOST_AUTO_TEST_SUITE(PromotionRunTest)

// Guards against two primaries: a server whose term another promotion has ended
// was appointed because it still answered that it leads.
BOOST_AUTO_TEST_CASE(OnlyPrimaryOfNewestTermIsAppointed) {
  constexpr unsigned Seeds = 60;
  std::size_t Appointments = 0;
  std::size_t Promotions = 0;
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
    BOOST_TEST_CONTEXT("seed " << Seed) {
      PromotionRun Run(Seed);
      Run.playFaults(120s);
      BOOST_TEST(Run.m_WrongAppointments == 0U);
      BOOST_TEST(Run.m_LatePromotions == 0U);
      Appointments += Run.m_Appointments;
      Promotions += Run.m_Promotions;
      // The group is served again once the faults are over.
      Run.play(20s);
      BOOST_TEST(Run.isPrimary(Run.m_Newest));
    }
  }
  // The runs are no proof unless primaries were replaced.
  BOOST_TEST(Appointments > 5 * Seeds);
  BOOST_TEST(Promotions > 5 * Seeds);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ragwortmux::test
