#include "GroupFixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

namespace ragwortmux {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_FIXTURE_TEST_SUITE(Writes, GroupFixture)

BOOST_AUTO_TEST_CASE(AcknowledgedOnlyWhenAppliedAtTheWholeInSyncSet,
                     *boost::unit_test::label("promise-2")) {
  const RequestId Id = write();
  BOOST_TEST(runsAt() == "s1");
  sample(1, 9, {"s2", "s3"});
  answer(ok(1, 10));
  BOOST_TEST(!answered(Id));
  sample(1, 10, {"s2"});
  BOOST_TEST(!answered(Id));
  sample(1, 10, {"s3"});
  BOOST_TEST((code(Id) == ResultCode::Ok));
  BOOST_TEST((m_Answers.at(Id).m_Token == point(1, 10)));
  BOOST_TEST((m_Answers.at(Id).m_NeedsLease == Term(1)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace

} // namespace ragwortmux
