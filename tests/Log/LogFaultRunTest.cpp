#include "tests/Log/LogFaultRun.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using ragwortmux::LogFaultRun;

constexpr std::uint64_t SeedsPerCase = 125;

BOOST_AUTO_TEST_SUITE(FaultRuns, *boost::unit_test::label("promise-9"))

// Each case runs SeedsPerCase seeds, one after the other.
BOOST_DATA_TEST_CASE(MembersAgreeAfterInjectedFaults,
                     boost::unit_test::data::xrange(8), Block) {
  const std::uint64_t First =
      1 + static_cast<std::uint64_t>(Block) * SeedsPerCase;
  std::uint64_t Entries = 0;
  std::uint64_t Confirmations = 0;
  for (std::uint64_t Seed = First; Seed < First + SeedsPerCase; ++Seed) {
    LogFaultRun Run(Seed);
    const std::optional<std::string> Failure = Run.run();
    BOOST_CHECK_MESSAGE(!Failure,
                        "seed " << Seed << ": " << Failure.value_or(""));
    Entries += Run.network().checks().newestCommitted().value();
    Confirmations += Run.network().checks().confirmations();
  }
  // The cluster makes progress in spite of the faults.
  BOOST_CHECK_GT(Entries, SeedsPerCase * 50);
  BOOST_CHECK_GT(Confirmations, SeedsPerCase * 50);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
