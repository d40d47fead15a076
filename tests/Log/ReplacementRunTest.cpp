#include "tests/Log/ReplacementRun.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <vector>

namespace {

using namespace ragwortmux;

constexpr std::uint64_t SeedsPerCase = 40;
/// Seeds of which at least one must fail if a rule is taken out.
constexpr std::uint64_t SeedsWithoutRule = 40;

/// A rule that is taken out.
struct MissingRule final {
  const char *m_Name;       ///< Name of the case.
  ReplacementRules m_Rules; ///< The other rules.
};

std::ostream &operator<<(std::ostream &Stream, const MissingRule &Case) {
  return Stream << Case.m_Name;
}

const std::vector<MissingRule> MissingRules = {
    {"a host ends without handing over its vote", {false, true, true}},
    {"hosts beyond three have no vote", {true, false, true}},
    {"a lost disk counts for the quorum", {true, true, false}},
};

} // namespace

BOOST_AUTO_TEST_SUITE(ReplacementRunTest, *boost::unit_test::label("promise-9"))

// Guards against a log that loses entries or its quorum for good because hosts
// were replaced shortly after each other, or beside a lost disk.
BOOST_DATA_TEST_CASE(LogSurvivesReplacedHosts,
                     boost::unit_test::data::xrange(4), Block) {
  const std::uint64_t First =
      1 + static_cast<std::uint64_t>(Block) * SeedsPerCase;
  for (std::uint64_t Seed = First; Seed < First + SeedsPerCase; ++Seed) {
    ReplacementRun Run(Seed, {});
    const std::optional<std::string> Failure = Run.run();
    BOOST_CHECK_MESSAGE(!Failure, "seed " << Seed << ": "
                                          << Failure.value_or("") << "; plan"
                                          << Run.plan());
  }
}

// The same with any number of hosts that end without notice, also beside a lost
// disk. Fewer than half of the voters may remain then; see
// docs/design/replacing-control-hosts.md.
BOOST_AUTO_TEST_CASE(LogSurvivesAnySuddenRemovals,
                     *boost::unit_test::label("known-red")) {
  for (std::uint64_t Seed = 1; Seed <= 4 * SeedsPerCase; ++Seed) {
    const std::optional<std::string> Failure =
        ReplacementRun(Seed, {}, SuddenRemovals::Any).run();
    BOOST_CHECK_MESSAGE(!Failure,
                        "seed " << Seed << ": " << Failure.value_or(""));
  }
}

// The schedules notice each rule that is taken out.
BOOST_DATA_TEST_CASE(SchedulesNeedEachRule,
                     boost::unit_test::data::make(MissingRules), Case) {
  std::uint64_t Failures = 0;
  for (std::uint64_t Seed = 1; Seed <= SeedsWithoutRule; ++Seed)
    Failures += ReplacementRun(Seed, Case.m_Rules).run() ? 1 : 0;
  BOOST_TEST_MESSAGE(Case.m_Name << ": " << Failures << " of "
                                 << SeedsWithoutRule << " seeds fail");
  BOOST_CHECK_GT(Failures, 0);
}

BOOST_AUTO_TEST_SUITE_END()
