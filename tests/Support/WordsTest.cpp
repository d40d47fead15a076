#include <boost/test/unit_test.hpp>

#include <array>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace ragwortmux {

namespace {

/// Names of the platform's wires that stand in its adapter alone.
constexpr std::array PlatformWords = {
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

BOOST_AUTO_TEST_SUITE(WordsTest)

BOOST_AUTO_TEST_CASE(ThePlatformsWordsStandInItsAdapterAlone) {
  const std::filesystem::path Root(RAGWORTMUX_SOURCE_DIR "/ragwortmux");
  std::size_t Files = 0;
  for (const auto &Entry :
       std::filesystem::recursive_directory_iterator(Root)) {
    if (!Entry.is_regular_file())
      continue;
    ++Files;
    const std::string Text = read(Entry.path());
    for (const char *Word : PlatformWords)
      BOOST_TEST((Text.find(Word) == std::string::npos),
                 Entry.path().string() << " names " << Word);
  }
  BOOST_TEST(Files > 100U);
}

BOOST_AUTO_TEST_CASE(OnlyTheProgramsStartIncludesTheAdapter) {
  const std::filesystem::path Root(RAGWORTMUX_SOURCE_DIR "/ragwortmux");
  for (const auto &Entry :
       std::filesystem::recursive_directory_iterator(Root)) {
    if (!Entry.is_regular_file() ||
        Entry.path().parent_path().filename() == "Main")
      continue;
    BOOST_TEST((read(Entry.path()).find("\"platform/") == std::string::npos),
               Entry.path().string());
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ragwortmux
