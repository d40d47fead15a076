#include "ragwortmux/Process/Support/LogExplainer.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <sstream>

namespace ragwortmux {

namespace {

/// Lines as the processes of a played day wrote them, shortened.
const std::string RecordedLog =
    R"(  33.5388 core-1 {"time_ms":1000,"level":"info","part":"control","text":"group g: primary i-1 cannot be reached"})"
    "\n"
    R"(  33.5400 front-1 {"time_ms":1010,"level":"info","part":"group","text":"Group g: term 2 revision 9, primary none."})"
    "\n"
    R"(  33.6400 front-1 {"time_ms":1100,"level":"info","part":"group","text":"A statement was decided on.","id":"aa","decision":"unknown","code":202,"result":"outcome-unknown-term-ended","server":"i-1","lease_left_ms":700})"
    "\n"
    R"(  34.7000 front-1 {"time_ms":2200,"level":"info","part":"group","text":"A statement was decided on.","id":"bb","decision":"retried","code":102,"result":"not-run-queue-full","server":"i-1","waited_ms":20})"
    "\n"
    R"(  35.2000 front-2 {"time_ms":2700,"level":"info","part":"group","text":"A statement was decided on.","id":"bb","decision":"refused","code":102,"result":"not-run-queue-full","server":"i-1","waited_ms":1000})"
    "\n"
    "not a line of a log\n{\"cut short\n"
    R"(  36.0000 front-2 {"time_ms":3500,"level":"warn","part":"control","text":"Lost control: no lease any more."})"
    "\n"
    R"(  36.1000 front-2 {"time_ms":3600,"level":"info","part":"group","text":"A statement was decided on.","id":"cc","decision":"refused","code":109,"result":"not-run-too-old","server":"","floor_age_ms":-1})"
    "\n"
    R"(  36.2000 front-2 {"time_ms":3700,"level":"warn","part":"caller","text":"A caller's connection ended with work left.","decision":"closed","reason":"closed idle","running_ms":0,"id":"dd"})"
    "\n";

/// A statement and the texts that its explanation must contain.
struct ExplanationCase final {
  const char *m_Id;
  const char *m_Cause;
  const char *m_ContextLine;
};

std::ostream &operator<<(std::ostream &Stream, const ExplanationCase &Case) {
  return Stream << Case.m_Id;
}

const std::vector<ExplanationCase> ExplanationCases = {
    {"aa", "the primary's term ended before the answer", "primary none"},
    {"bb", "queue or concurrency limit is reached", "primary none"},
    {"cc", "holds data young enough", "Lost control"},
    {"dd", "connection ended before the answer: closed idle", "Lost control"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(LogExplainerTest)

BOOST_DATA_TEST_CASE(ExplanationNamesCauseAndPrecedingLogLines,
                     boost::unit_test::data::make(ExplanationCases), Case) {
  std::istringstream Lines(RecordedLog);
  LogExplainer Explainer(Case.m_Id);
  Explainer.add(Lines, "file");
  const auto Explanation = Explainer.explain();
  BOOST_REQUIRE(!Explanation.empty());
  BOOST_TEST(Explanation.back().find(Case.m_Cause) != std::string::npos);
  std::string All;
  for (const std::string &Line : Explanation)
    All += Line + "\n";
  BOOST_TEST(All.find(Case.m_ContextLine) != std::string::npos, All);
}

BOOST_AUTO_TEST_CASE(UnknownIdGivesNoExplanation) {
  std::istringstream Lines(RecordedLog);
  LogExplainer Explainer("zz");
  Explainer.add(Lines, "file");
  BOOST_TEST(Explainer.explain().empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ragwortmux
