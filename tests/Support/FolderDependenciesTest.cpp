#include "tests/Support/SourceFiles.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <fstream>
#include <regex>
#include <string>

namespace ragwortmux {

namespace {

/// Folders of ragwortmux/Process in order of dependency: each may include
/// headers of itself and of the folders before it. Files directly in
/// ragwortmux/Process combine the folders and may include all of them.
constexpr std::array ProcessFolders = {"Support", "Log",   "Generated",
                                       "Loop",    "Peers", "Backend",
                                       "Control", "Entry", "Operators"};

std::size_t folderRank(const std::string &Folder) {
  return static_cast<std::size_t>(
      std::find(ProcessFolders.begin(), ProcessFolders.end(), Folder) -
      ProcessFolders.begin());
}

/// The folder of the header that a line includes; empty if the line includes no
/// header of these folders.
std::string includedFolder(const std::string &Line) {
  static const std::regex Include(
      R"re(#include "ragwortmux/Process/(\w+)/\w+\.h")re");
  std::smatch Match;
  return std::regex_search(Line, Match, Include) ? Match[1].str() : "";
}

} // namespace

BOOST_AUTO_TEST_SUITE(FolderDependenciesTest)

BOOST_AUTO_TEST_CASE(FoldersIncludeOnlyEarlierFolders) {
  std::size_t Includes = 0;
  for (const auto &Path : sourceFiles("ragwortmux/Process")) {
    const std::size_t Own = folderRank(Path.parent_path().filename().string());
    std::ifstream Stream(Path);
    for (std::string Line; std::getline(Stream, Line);) {
      const std::string Folder = includedFolder(Line);
      if (Folder.empty())
        continue;
      ++Includes;
      BOOST_TEST(folderRank(Folder) <= Own, Path.string() << ": " << Line);
    }
  }
  BOOST_TEST(Includes > 100U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ragwortmux
