#include "ragwortmux/Version/CatalogueProgressLog.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace ragwortmux;

namespace {

using namespace std::chrono_literals;

struct Row final {
  const char *m_Name;      ///< What has happened.
  Duration m_At;           ///< When the log is updated.
  std::uint64_t m_Newest;  ///< Newest revision.
  std::size_t m_Confirmed; ///< Sessions that have it, of three.
  const char *m_Line;      ///< The expected line; null: none.
};

const std::vector<Row> Rows = {
    {"no change so far", 0s, 0, 3, nullptr},
    {"a change", 1000ms, 1, 1, nullptr},
    {"all have it", 1030ms, 1, 3,
     "all 3 sessions have catalogue revision 1 after 30 ms"},
    {"nothing new", 1060ms, 1, 3, nullptr},
    {"the next change", 2000ms, 2, 2, nullptr},
    {"below the limit", 2099ms, 2, 2, nullptr},
    {"at the limit", 2100ms, 2, 2,
     "1 of 3 sessions lack catalogue revision 2 after 100 ms"},
    {"written once only", 2200ms, 2, 2, nullptr},
    {"late", 2500ms, 2, 3,
     "all 3 sessions have catalogue revision 2 after 500 ms"},
    {"all have it at once", 3000ms, 3, 3,
     "all 3 sessions have catalogue revision 3 after 0 ms"}};

} // namespace

BOOST_AUTO_TEST_SUITE(CatalogueProgressLogTest)

BOOST_AUTO_TEST_CASE(WritesEachRevisionOnceWhenAllSessionsHaveIt) {
  CatalogueProgressLog Log(100ms);
  for (const Row &Each : Rows) {
    BOOST_TEST_CONTEXT(Each.m_Name) {
      const auto Line = Log.update(
          {Revision(Each.m_Newest), Each.m_Confirmed, 3}, Instant(Each.m_At));
      BOOST_TEST(Line.value_or("") ==
                 (Each.m_Line == nullptr ? "" : Each.m_Line));
      const bool IsComplete = Each.m_Newest == 0 || Each.m_Confirmed == 3;
      BOOST_TEST(Log.isWaiting(Revision(Each.m_Newest)) == !IsComplete);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
