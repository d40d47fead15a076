#include "CallerLoad.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>
#include <vector>

using namespace ragwortmux;

namespace {

/// Time after which a leaving server must get no new requests.
constexpr auto RemovalDelay = std::chrono::seconds(3);
/// Time for which its requests are counted after that.
constexpr auto ObservationPeriod = std::chrono::milliseconds(1500);

struct LeavingCase final {
  const char *m_Name;  ///< Description of the case.
  unsigned m_Server;   ///< Server that leaves; 0 is the primary.
  const char *m_Fault; ///< Fault that makes it leave.
};

std::ostream &operator<<(std::ostream &Stream, const LeavingCase &Case) {
  return Stream << Case.m_Name;
}

const std::vector<LeavingCase> Cases = {
    {"a replica announces that it leaves", 1, "leave"},
    {"the primary announces that it leaves", 0, "leave"},
    {"a replica stops announcing itself", 1, "stop_announcing"},
    {"the primary stops announcing itself", 0, "stop_announcing"}};

} // namespace

BOOST_AUTO_TEST_SUITE(LeavingTest, *boost::unit_test::label("promise-7"))

BOOST_DATA_TEST_CASE(LeavingServerReceivesNoNewRequests,
                     boost::unit_test::data::make(Cases), Case) {
  Cluster System;
  BOOST_REQUIRE(System.start());
  CallerLoad Load(System, {0, 1, 2});
  const auto StatementsRun = [&] {
    return System.counter(Case.m_Server, "statements_run");
  };
  // Without requests before it leaves, the checks below would prove nothing.
  const std::uint64_t Before = StatementsRun();
  BOOST_REQUIRE(waitUntil([&] { return StatementsRun() > Before + 20; }));
  BOOST_REQUIRE(System.setFault(Case.m_Server, Case.m_Fault, 1));
  std::this_thread::sleep_for(RemovalDelay);
  const std::uint64_t After = StatementsRun();
  const unsigned CompletedBefore = Load.completedBookings();
  std::this_thread::sleep_for(ObservationPeriod);
  BOOST_TEST(StatementsRun() == After);
  BOOST_TEST(Load.completedBookings() > CompletedBefore + 10);
  Load.stop();
  BOOST_TEST(Load.observedErrors() == "");
}

BOOST_AUTO_TEST_SUITE_END()
