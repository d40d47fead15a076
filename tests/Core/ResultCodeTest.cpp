#include "ragwortmux/Core/ResultCode.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace ragwortmux;

BOOST_AUTO_TEST_SUITE(ResultCodeTest)

BOOST_AUTO_TEST_CASE(CodesAreUniqueAndAscending) {
  const auto Codes = allResultCodes();
  BOOST_TEST(std::ranges::is_sorted(Codes, std::ranges::less_equal(),
                                    &ResultCodeInfo::m_Code));
}

BOOST_AUTO_TEST_CASE(IsNotRunMatchesName) {
  for (const ResultCodeInfo &Info : allResultCodes()) {
    BOOST_TEST(isNotRun(Info.m_Code) == Info.m_Name.starts_with("not-run"),
               Info.m_Name);
  }
}

BOOST_AUTO_TEST_SUITE_END()
