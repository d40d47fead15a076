#include "ragwortmux/Core/ResultCode.h"
#include "ragwortmux/Process/Support/CommandLine.h"
#include "ragwortmux/Process/Support/Log.h"
#include "ragwortmux/Process/Support/MetricTable.h"
#include "ragwortmux/Process/Support/SettingTable.h"
#include "ragwortmux/Process/Support/TimelineEvent.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <fstream>
#include <sstream>
#include <string>
#include <vector>

using namespace ragwortmux;

namespace {

using Lines = std::vector<std::string>;

std::string readFile(const std::string &Name) {
  std::ifstream File(std::string(RAGWORTMUX_SOURCE_DIR) + "/" + Name);
  BOOST_TEST_REQUIRE(File.good(), Name);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

/// The rows of all tables of \p Page below the heading \p Heading, without the
/// header rows.
Lines tableRows(const std::string &Page, const std::string &Heading) {
  std::istringstream Text(readFile(Page));
  Lines Rows;
  bool IsBelowHeading = false;
  bool IsBody = false;
  for (std::string Line; std::getline(Text, Line);) {
    if (Line.starts_with("#"))
      IsBelowHeading = Line == Heading;
    if (!Line.starts_with("|"))
      IsBody = false;
    if (IsBelowHeading && IsBody)
      Rows.push_back(Line);
    if (Line.starts_with("| ---"))
      IsBody = true;
  }
  return Rows;
}

std::string code(std::string_view Text) {
  return Text.empty() ? "" : fmt::format("`{}`", Text);
}

void checkRows(const Lines &Found, const Lines &Expected) {
  std::string ExpectedText;
  for (const std::string &Row : Expected)
    ExpectedText += Row + "\n";
  BOOST_TEST_INFO("the page should have:\n" << ExpectedText);
  BOOST_TEST(Found == Expected, boost::test_tools::per_element());
}

} // namespace

BOOST_AUTO_TEST_SUITE(DocsTest)

BOOST_AUTO_TEST_CASE(SettingsPageMatchesSettingTable) {
  Lines Expected;
  for (const SettingInfo &Info : allSettings())
    Expected.push_back(fmt::format(
        "| `{}` | `{}` | {} | {} | {} |", Info.m_Name,
        environmentName(Info.m_Name), Info.m_Allowed,
        Info.m_IsRequired ? "required" : code(Info.m_Default), Info.m_Meaning));
  checkRows(tableRows("docs/CONFIGURATION.md", "## Settings"), Expected);
}

BOOST_AUTO_TEST_CASE(SecretsPageMatchesSecretTable) {
  Lines Expected;
  for (const SecretInfo &Info : {ClusterKeyInfo, OperatorTokenInfo})
    Expected.push_back(fmt::format("| `{}` | {} | {} |", Info.m_Variable,
                                   allowedSecret(), Info.m_Meaning));
  checkRows(tableRows("docs/CONFIGURATION.md", "## Secrets"), Expected);
}

BOOST_AUTO_TEST_CASE(ResultCodePageMatchesResultCodeTable) {
  Lines Expected;
  for (const ResultCodeInfo &Info : allResultCodes())
    Expected.push_back(fmt::format(
        "| {} | `{}` | {} | {} |", static_cast<unsigned>(Info.m_Code),
        Info.m_Name, code(Info.m_SqlState), Info.m_Meaning));
  checkRows(tableRows("docs/RESULT_CODES.md", "## Table"), Expected);
}

BOOST_AUTO_TEST_CASE(OperationsPageMatchesMetricTable) {
  Lines Expected;
  for (const MetricInfo &Info : allMetrics()) {
    std::string Labels;
    for (std::size_t Index = 0; Index < Info.labelCount(); ++Index)
      Labels += (Labels.empty() ? "" : ", ") + code(Info.m_Labels.at(Index));
    Expected.push_back(fmt::format("| `{}` | {} | {} | {} |", Info.m_Name,
                                   Info.m_Unit, Labels, Info.m_Help));
  }
  checkRows(tableRows("docs/OPERATIONS.md", "## Metrics"), Expected);
}

BOOST_AUTO_TEST_CASE(OperationsPageMatchesEventKindTable) {
  Lines Expected;
  for (const EventKindInfo &Info : allEventKinds())
    Expected.push_back(
        fmt::format("| `{}` | {} |", Info.m_Name, Info.m_Meaning));
  checkRows(tableRows("docs/OPERATIONS.md", "### Kinds of events"), Expected);
}

BOOST_AUTO_TEST_CASE(OperationsPageMatchesLogPrefixes) {
  const Lines Rows = tableRows("docs/OPERATIONS.md", "## Log");
  constexpr auto Last = static_cast<std::size_t>(Part::Timeline);
  BOOST_TEST_REQUIRE(Rows.size() == Last + 1);
  for (std::size_t Index = 0; Index <= Last; ++Index)
    BOOST_TEST(Rows[Index].starts_with(
        fmt::format("| `{}` | ", partPrefix(static_cast<Part>(Index)))));
}

BOOST_AUTO_TEST_CASE(VersionMatchesCMakeProject) {
  BOOST_TEST(readFile("CMakeLists.txt")
                 .find(fmt::format("VERSION {} ", ProductVersion)) !=
             std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
