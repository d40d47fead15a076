#include "tests/Support/SourceFiles.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace ragwortmux {

namespace {

/// Names of the platform's wire protocols, which may occur only in its adapter.
constexpr std::array PlatformNames = {
    "syncReplicas",     "heartbeatAddr", "MISROUTED", "maxStalenessMs",
    "txIdleMs",         "Fencing-Token", "STEPDOWN",  "TOOMANY",
    "pathPrefix",       "dbRole",        "READONLY",  "NOSTMT",
    "bounded_staleness"};

std::string read(const std::filesystem::path &Path) {
  std::ifstream Stream(Path);
  return {std::istreambuf_iterator<char>(Stream),
          std::istreambuf_iterator<char>()};
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlatformIsolationTest)

BOOST_AUTO_TEST_CASE(PlatformNamesOccurOnlyInTheAdapter) {
  std::size_t Files = 0;
  for (const auto &Path : sourceFiles("ragwortmux")) {
    ++Files;
    const std::string Text = read(Path);
    for (const char *Word : PlatformNames)
      BOOST_TEST((Text.find(Word) == std::string::npos),
                 Path.string() << " names " << Word);
  }
  BOOST_TEST(Files > 100U);
}

BOOST_AUTO_TEST_CASE(OnlyMainIncludesThePlatformAdapter) {
  for (const auto &Path : sourceFiles("ragwortmux")) {
    if (Path.parent_path().filename() == "Main")
      continue;
    BOOST_TEST((read(Path).find("\"platform/") == std::string::npos),
               Path.string());
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ragwortmux
